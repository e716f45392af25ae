package entry

import (
	"context"

	"sapphirepoint.example/sapphirepoint/core/schedule"
)

// Dump is the state of a process, for operators.
type Dump struct {
	ID              string        `json:"id"`
	Ready           bool          `json:"ready"`
	Stopping        bool          `json:"stopping"`
	Leader          string        `json:"leader"`
	LeaderReachable bool          `json:"leader_reachable"`
	Configuration   uint64        `json:"configuration"`
	Peers           []string      `json:"peers"`
	JobsInHand      int           `json:"jobs_in_hand"`
	RunnersRevision uint64        `json:"runners_revision"`
	Scheduler       schedule.Dump `json:"scheduler"`
}

// Dump returns the state; it is empty if the process has ended.
func (p *Process) Dump(ctx context.Context) Dump {
	done := make(chan Dump, 1)
	p.post(func() { done <- p.dump() })
	select {
	case d := <-done:
		return d
	case <-ctx.Done():
		return Dump{}
	}
}

func (p *Process) dump() Dump {
	return Dump{
		ID:              p.self.ID,
		Ready:           p.Ready(),
		Stopping:        p.Stopping(),
		Leader:          string(p.choice.Leader),
		LeaderReachable: p.choice.Reachable,
		Configuration:   p.table.Version(),
		Peers:           p.mesh.Connected(),
		JobsInHand:      p.gateway.InHand(),
		RunnersRevision: p.runnerList.Revision,
		Scheduler:       p.schedule.Dump(p.clock.now()),
	}
}
