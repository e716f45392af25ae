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
	p.post(func(now Time) { done <- p.dump(now) })
	select {
	case d := <-done:
		return d
	case <-ctx.Done():
		return Dump{}
	}
}

func (p *Process) dump(now Time) Dump {
	choice, table := p.node.Choice(), p.node.Table()
	return Dump{
		ID:              string(p.node.Self()),
		Ready:           p.Ready(),
		Stopping:        p.Stopping(),
		Leader:          string(choice.Leader),
		LeaderReachable: choice.Reachable,
		Configuration:   table.Version(),
		Peers:           p.mesh.Connected(),
		JobsInHand:      p.node.InHand(),
		RunnersRevision: p.node.RunnersRevision(),
		Scheduler:       p.node.Scheduler().Dump(now),
	}
}
