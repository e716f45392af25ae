// Package entry is the process on an entry VM: one loop round fleet.Node. It
// owns the timers and carries out what the node commands; sockets and the
// platform are reached through ports. The loop never waits for them.
package entry

import (
	"context"
	"strconv"
	"time"

	"github.com/pkg/errors"

	"sapphirepoint.example/sapphirepoint/core/fleet"
	"sapphirepoint.example/sapphirepoint/core/layout"
	"sapphirepoint.example/sapphirepoint/core/ledger"
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
	// Born is when the runner's lifetime began, in milliseconds since 1970; 0 if it
	// wasn't told.
	Born int64
	// Cause is set where there is no usable answer.
	Cause error
}

// HoldAnswer is a runner's answer to a Hold.
type HoldAnswer struct {
	CallAnswer
	Running     []workload.RunKey
	Checkpoints map[workload.RunKey]string
	Ends        []workload.End
}

// Store is the platform's store.
type Store interface {
	// Register publishes this process and returns its number, which is higher
	// than that of all that registered before.
	Register(context.Context, peer.Member) (uint64, error)
	// Members waits for a change of the registered processes and returns all;
	// the first call returns at once.
	Members(context.Context) ([]peer.Member, error)
	// OperatorSettings waits for a change of what the operator has written; the first call
	// returns at once.
	OperatorSettings(context.Context) (OperatorSettings, error)
	// Runners reads the list of runners as it is now.
	Runners(context.Context) (fleet.RunnerList, error)
	// Layout reads how the runners are divided, and sets it if nobody has yet; an
	// empty proposal only reads. It never changes.
	Layout(ctx context.Context, propose layout.Layout) (layout.Layout, error)
	LedgerStore
}

// OperatorSettings is what the operator has written.
type OperatorSettings struct {
	// Declaration is the configuration; nil means that what is there can't be used.
	Declaration *routing.Declaration
	Evacuations routing.Evacuations
}

// LedgerStore keeps the records of the shards' jobs.
type LedgerStore interface {
	// Claim takes a shard's rows for an owner, or renews its hold. ErrSuperseded:
	// another owner has them; ErrRejected: also, the owner has excluded the VM.
	Claim(ctx context.Context, shard int, owner string, c ledger.Claim) (ledger.Ownership, error)
	// HasRecords reports whether any shard has records.
	HasRecords(ctx context.Context) (bool, error)
	// OwnershipVersion is the version of the ownership row.
	OwnershipVersion(ctx context.Context, shard int) (uint64, error)
	// Records reads all records of a shard.
	Records(ctx context.Context, shard int) ([]ledger.Record, error)
	// Write saves records if the ownership row has the version; else it is
	// ErrSuperseded.
	Write(ctx context.Context, shard int, version uint64, records []ledger.Record) error
}

var (
	// ErrSuperseded: another process owns the shard.
	ErrSuperseded = errors.New("another process owns the shard")
	// ErrRejected: the store has refused a call and done nothing.
	ErrRejected = errors.New("the store turned the call away")
)

// Config is what a process needs.
type Config struct {
	// Node is the VM's name.
	Node string
	// Domain is the VM's failure domain.
	Domain   string
	Schedule schedule.Config
	// MilliCPU is the processor that the VM has, in thousandths of a core.
	MilliCPU int
	// LinkMbps is the bandwidth of the VM's link, in Mbit a second; 0 if unknown.
	LinkMbps float64
	// PeerAddress is where other processes reach this one.
	PeerAddress string
	// Grace is how long after a planned stop begins the platform ends the
	// process.
	Grace time.Duration
}

// MemberID names one lifetime of a process on a VM.
func MemberID(node string, number uint64) string {
	return node + "#" + strconv.FormatUint(number, 10)
}
