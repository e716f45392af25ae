// Package entry is the process on an entry VM: one loop round the cores that
// take jobs (gateway), schedule them (schedule), choose who schedules (leader)
// and route requests (routing). Sockets, timers and the platform are reached
// through ports; the loop itself never waits for them.
package entry

import (
	"context"
	"time"

	"sapphirepoint.example/sapphirepoint/core/routing"
	"sapphirepoint.example/sapphirepoint/core/schedule"
	"sapphirepoint.example/sapphirepoint/core/workload"
	"sapphirepoint.example/sapphirepoint/peer"
)

// Runners carries orders to runners. Calls are concurrent and return when the
// runner has answered or the context has ended.
type Runners interface {
	Start(context.Context, schedule.Start) CallAnswer
	Stop(context.Context, schedule.Stop) CallAnswer
	Hold(context.Context, schedule.Hold) HoldAnswer
}

// CallAnswer is a runner's answer.
type CallAnswer struct {
	Outcome schedule.CallOutcome
	// Clock is the runner's clock in milliseconds; 0 if it wasn't told.
	Clock int64
	// Cause is set where there is no usable answer.
	Cause error
}

// HoldAnswer is a runner's answer to a Hold.
type HoldAnswer struct {
	CallAnswer
	Running []workload.RunKey
	Ends    []workload.End
}

// Store is the platform's store.
type Store interface {
	// Register publishes this process and returns its number, which is higher
	// than that of all that registered before.
	Register(context.Context, peer.Member) (uint64, error)
	// Members waits for a change of the registered processes and returns all;
	// the first call returns at once.
	Members(context.Context) ([]peer.Member, error)
	// Declaration waits for a change of the declared configuration; the first
	// call returns at once. nil means that what is there can't be used.
	Declaration(context.Context) (*routing.Declaration, error)
	// Runners reads the list of runners as it is now.
	Runners(context.Context) (RunnerList, error)
}

// RunnerList is the platform's list of runners at a revision.
type RunnerList struct {
	Revision uint64
	Runners  []workload.Runner
}

// Config is what a process needs.
type Config struct {
	// Node is the VM's name.
	Node     string
	Schedule schedule.Config
	// PeerAddress is where other processes reach this one.
	PeerAddress string
	// Grace is how long after a planned stop begins the platform ends the
	// process.
	Grace time.Duration
}
