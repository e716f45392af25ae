// Package entry is the process on an entry VM: an event loop around fleet.Node. It
// owns the timers and executes the node's commands. It reaches sockets and the
// platform through interfaces; the loop never blocks on them.
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

// Runners sends orders to runners: Start starts a run of a task, Stop stops one, and Hold
// renews the lease of all runs on a runner and lists them, see schedule.Hold. Calls may be
// concurrent; each returns when the runner has answered or the context has ended.
type Runners interface {
	Start(context.Context, schedule.Start) CallAnswer
	Stop(context.Context, schedule.Stop) CallAnswer
	Hold(context.Context, schedule.Hold) HoldAnswer
}

// CallAnswer is a runner's answer to an order.
type CallAnswer struct {
	Outcome schedule.CallOutcome
	// Clock is the runner's clock in milliseconds; 0 if the answer doesn't contain it.
	Clock int64
	// IncarnationStart is when the runner's incarnation began, in milliseconds since 1970; 0
	// if the answer doesn't contain it.
	IncarnationStart int64
	// Connection is set if there is no answer.
	Connection schedule.Connection
	// Cause is the error if there is no usable answer.
	Cause error
}

// HoldAnswer is a runner's answer to a Hold: its running runs, their last checkpoints and
// the ended runs that weren't acknowledged.
type HoldAnswer struct {
	CallAnswer
	Running     []workload.RunKey
	Checkpoints map[workload.RunKey]string
	Ends        []workload.End
}

// Store is the platform's store.
type Store interface {
	// Register publishes this process and returns its number, which is higher
	// than the numbers of all earlier registrations.
	Register(context.Context, peer.Member) (uint64, error)
	// Members waits for a change of the registered processes and returns them all;
	// the first call returns at once.
	Members(context.Context) ([]peer.Member, error)
	// OperatorSettings returns what the operator has written. If nothing has changed since the
	// last call, it waits for a change for at most the given time, which the store measures.
	OperatorSettings(ctx context.Context, wait time.Duration) (OperatorSettings, error)
	// Runners reads the current list of runners.
	Runners(context.Context) (fleet.RunnerList, error)
	// Layout returns how the runners are divided into shards. If that isn't stored yet it
	// stores the proposal; an empty proposal only reads. Once stored, it never changes.
	Layout(ctx context.Context, proposal layout.Layout) (layout.Layout, error)
	LedgerStore
}

// OperatorSettings is what the operator has written to the store.
type OperatorSettings struct {
	// Changed: they have changed since the last call, or this is the first one. Otherwise the fields
	// below are empty.
	Changed bool
	// Declaration is the configuration; nil if the stored one is missing or invalid.
	Declaration *routing.Declaration
	Evacuations routing.Evacuations
}

// LedgerStore stores the records of the shards' jobs.
type LedgerStore interface {
	// Claim takes ownership of a shard's rows, or renews it, by a write to the shard's
	// ownership row, which names the owner. It returns ErrSuperseded if a renewal finds
	// another owner. It returns ErrRejected if the owner has excluded the VM, if another
	// process was faster, or if the store has rejected the call.
	Claim(ctx context.Context, shard int, owner string, c ledger.Claim) (ledger.Ownership, error)
	// HasRecords reports whether any shard has records.
	HasRecords(ctx context.Context) (bool, error)
	// OwnershipVersion returns the version of a shard's ownership row, which changes with
	// each claim and renewal.
	OwnershipVersion(ctx context.Context, shard int) (uint64, error)
	// Records reads all records of a shard.
	Records(ctx context.Context, shard int) ([]ledger.Record, error)
	// Write saves records if the ownership row still has the given version; otherwise
	// it returns ErrSuperseded.
	Write(ctx context.Context, shard int, version uint64, records []ledger.Record) error
}

var (
	// ErrSuperseded means that another process owns the shard.
	ErrSuperseded = errors.New("another process owns the shard")
	// ErrRejected means that the store has rejected a call and changed nothing.
	ErrRejected = errors.New("the store rejected the call")
)

// Config configures a process.
type Config struct {
	// Node is the VM's name.
	Node string
	// Domain is the VM's failure domain.
	Domain   string
	Schedule schedule.Config
	// MilliCPU is the CPU capacity of the VM, in thousandths of a core.
	MilliCPU int
	// LinkMbps is the bandwidth of the VM's link, in Mbit/s; 0 if unknown.
	LinkMbps float64
	// PeerAddress is the address on which other processes reach this one.
	PeerAddress string
	// InboxBytes bounds the memory of other processes' messages that were received and not handled; 0 is a default.
	InboxBytes int64
	// Grace is the time from the start of a planned stop until the platform kills
	// the process.
	Grace time.Duration
}

// MemberID returns the id of one incarnation of a process on a VM.
func MemberID(node string, number uint64) string {
	return node + "#" + strconv.FormatUint(number, 10)
}
