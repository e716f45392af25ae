package entry

import (
	"context"

	"sapphirepoint.example/sapphirepoint/core/fleet"
)

// Dump is the state of a process, as shown to operators.
type Dump struct {
	ID               string                 `json:"id"`
	Ready            bool                   `json:"ready"`
	Stopping         bool                   `json:"stopping"`
	Configuration    uint64                 `json:"configuration"`
	Evacuated        []string               `json:"evacuated"`
	Peers            []string               `json:"peers"`
	MembershipStatus fleet.MembershipStatus `json:"place"`
	JobsInFlight     int                    `json:"jobs_in_hand"`
	RunnersRevision  uint64                 `json:"runners_revision"`
	Shards           []fleet.ShardDump      `json:"shards"`
}

// Dump returns the state of the process. It is empty if ctx ends first, as happens
// once the process has ended.
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
	table := p.node.Table()
	return Dump{
		ID:               string(p.node.Self()),
		Ready:            p.Ready(),
		Stopping:         p.Stopping(),
		Configuration:    table.Version(),
		Evacuated:        p.node.Evacuations().Domains,
		Peers:            p.mesh.Connected(),
		MembershipStatus: p.node.MembershipStatus(),
		JobsInFlight:     p.node.JobsInFlight(),
		RunnersRevision:  p.node.RunnersRevision(),
		Shards:           p.node.DumpShards(now),
	}
}
