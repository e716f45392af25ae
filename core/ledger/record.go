package ledger

import (
	"time"

	"sapphirepoint.example/sapphirepoint/core/workload"
)

// State is how far a kept job is.
type State uint8

// The states of a kept job.
const (
	// Open jobs have tasks to be done.
	Open State = iota
	// Completed: all tasks are done.
	Completed
	// Failed: a task failed as often as the queue allows.
	Failed
	// Cancelled: its caller took it back.
	Cancelled
	// CancelledEarly: its caller took it back before it came. If it comes, it
	// doesn't run.
	CancelledEarly
	// Forgotten: nothing is kept of it any more.
	Forgotten
	// Moving: the job is handed to another shard, and isn't done here any more.
	Moving
	// Moved: it is in the rows of that shard.
	Moved
)

var stateNames = [...]string{"open", "completed", "failed", "cancelled", "cancelled-early", "forgotten", "moving", "moved"}

// String is for logs.
func (s State) String() string { return stateNames[s] }

// NeedsDefinition reports whether the job itself is still needed, beside how far it is.
func (s State) NeedsDefinition() bool { return s == Open || s == Moving }

// Bits is a set of small numbers, those of the tasks of a step.
type Bits []byte

// Has reports whether n is in the set.
func (b Bits) Has(n int) bool { return n/8 < len(b) && b[n/8]&(1<<(n%8)) != 0 }

// Set adds n, for which there must be room.
func (b Bits) Set(n int) { b[n/8] |= 1 << (n % 8) }

// NewBits returns an empty set with room for the numbers below n.
func NewBits(n int) Bits { return make(Bits, (n+7)/8) }

// Failure is a run that ended as failed. Step counts the steps of all occurrences
// of a timed job, one occurrence after the other, as do the Done of a Record. Runs are named by their number, so
// that one that two schedulers hear of counts once.
type Failure struct {
	Step  int
	Index int
	Run   int
}

// Record is what is kept of a job.
type Record struct {
	Job workload.JobID
	// Definition is the job as it was accepted. In a record to be saved it is nil if
	// it is in the store already.
	Definition *workload.Job
	// Age is the time since the job was accepted, as it is read.
	Age time.Duration
	// Epoch is the ownership of the shard under which the job was accepted.
	Epoch uint64
	State State
	// Done are the tasks of each step of each occurrence that have ended well.
	Done []Bits
	// Failures are the runs that have failed.
	Failures []Failure
	// Restarted: a task was started more than once.
	Restarted bool
	// To is the shard to which the job moves, or has moved. Hand counts the owners that
	// it has had, all shards taken together.
	To, Hand int
	// Unseen: a task was started again by the process that had started it before,
	// while the earlier run was out of its sight.
	Unseen bool
}

// weight is the number of rows that saving the record writes or removes.
func (r *Record) weight() int {
	if r.Definition != nil || !r.State.NeedsDefinition() {
		return 2
	}
	return 1
}

// size is about how many bytes the record takes on the wire.
func (r *Record) size() int {
	n := rowBytes
	if r.Definition != nil {
		n += len(r.Definition.Spec) + stepBytes*len(r.Definition.Steps)
	}
	for _, d := range r.Done {
		n += 2 * len(d)
	}
	return n + failureBytes*len(r.Failures)
}

// Sizes of the parts of a record in a call, generously.
const (
	rowBytes     = 400
	stepBytes    = 400
	failureBytes = 40
)
