package ledger

import (
	"slices"
	"time"

	"sapphirepoint.example/sapphirepoint/core/workload"
)

// State is the state of a stored job.
type State uint8

// The states of a stored job.
const (
	// Open: tasks are still to be done.
	Open State = iota
	// Completed: all tasks are done.
	Completed
	// Failed: a task failed as often as the queue allows.
	Failed
	// Cancelled: the caller cancelled the job.
	Cancelled
	// CancelledEarly: the caller cancelled the job before it arrived. If it arrives, it
	// doesn't run.
	CancelledEarly
	// Forgotten: the job's rows are deleted.
	Forgotten
	// Moving: the job is being handed over to another shard, and doesn't run in this one.
	Moving
	// Moved: the job is in the rows of the other shard.
	Moved
)

var stateNames = [...]string{"open", "completed", "failed", "cancelled", "cancelled-early", "forgotten", "moving", "moved"}

// String is the name in stored rows and logs.
func (s State) String() string { return stateNames[s] }

// NeedsDefinition reports whether the job's definition is still needed in the store.
func (s State) NeedsDefinition() bool { return s == Open || s == Moving }

// Bits is a set of small numbers: the indexes of the tasks of a step.
type Bits []byte

// Has reports whether n is in the set.
func (b Bits) Has(n int) bool { return n/8 < len(b) && b[n/8]&(1<<(n%8)) != 0 }

// Set adds n, which must be below the capacity of the set.
func (b Bits) Set(n int) { b[n/8] |= 1 << (n % 8) }

// NewBits returns an empty set for the numbers below n.
func NewBits(n int) Bits { return make(Bits, (n+7)/8) }

// Failure is a run that failed. Step counts the steps of all occurrences of a timed job, one
// occurrence after the other, as does the index of Record.Done. Run is the number of the run,
// so that a failure reported by two schedulers counts once.
type Failure struct {
	Step  int
	Index int
	Run   int
}

// MaxLosses bounds the losses in a record.
const MaxLosses = 64

// Loss is a runner's incarnation that was lost with a run of a task. Step and Index have the same meaning
// as in Failure.
type Loss struct {
	Step   int
	Index  int
	Runner workload.RunnerID
	// Incarnation is the start of the incarnation, in milliseconds since 1970; 0 if unknown.
	Incarnation int64 `json:",omitempty"`
	// Begun: the runner had confirmed the run. Restarted: a later incarnation of the runner has answered.
	Begun     bool `json:",omitempty"`
	Restarted bool `json:",omitempty"`
}

// Record is the stored state of a job.
type Record struct {
	Job workload.JobID
	// Definition is the job as it was accepted. In a record to be saved it is nil if the
	// store already has it.
	Definition *workload.Job
	// Age is the time from the acceptance of the job until the record was read.
	Age time.Duration
	// Epoch is the ownership epoch of the shard in which the job was accepted.
	Epoch uint64
	State State
	// Done has the tasks of each step of each occurrence that have succeeded.
	Done []Bits
	// Failures are the failed runs.
	Failures []Failure
	// Losses are the runners that were lost with runs of tasks that aren't done, at most MaxLosses.
	Losses []Loss
	// Restarted: a task was started more than once.
	Restarted bool
	// To is the shard that the job moves to or has moved to. Hand counts the owners that the
	// job has had in all shards.
	To, Hand int
	// Unseen: a task was started again by the process that had started it before, while the
	// state of the earlier run was unknown.
	Unseen bool
}

// Begun reports whether the record shows that a run of the job has begun.
func (r *Record) Begun() bool {
	ended := func(done Bits) bool { return slices.ContainsFunc(done, func(b byte) bool { return b != 0 }) }
	began := func(l Loss) bool { return l.Begun }
	return len(r.Failures) > 0 || slices.ContainsFunc(r.Losses, began) || slices.ContainsFunc(r.Done, ended)
}

// rowCount is the number of rows that saving the record writes or deletes.
func (r *Record) rowCount() int {
	if r.Definition != nil || !r.State.NeedsDefinition() {
		return 2
	}
	return 1
}

// size is an estimate of the record's size in bytes on the wire.
func (r *Record) size() int {
	n := rowBytes
	if r.Definition != nil {
		n += len(r.Definition.Spec) + stepBytes*len(r.Definition.Steps)
	}
	for _, d := range r.Done {
		n += 2 * len(d)
	}
	return n + failureBytes*len(r.Failures) + lossBytes*len(r.Losses)
}

// Upper estimates of the sizes of a record's parts in a call, in bytes.
const (
	rowBytes     = 400
	stepBytes    = 400
	failureBytes = 40
	lossBytes    = 300
)
