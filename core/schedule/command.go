package schedule

import (
	"time"

	"sapphirepoint.example/sapphirepoint/core/ledger"
	"sapphirepoint.example/sapphirepoint/core/workload"
)

// Command is an output of the scheduler.
type Command interface{ command() }

// Start orders a runner to start a task. The process reports a StartResult.
type Start struct {
	Runner  workload.RunnerID
	Address string
	Token   uint64
	Run     workload.RunKey
	Spec    string
	// Checkpoint is where the task is to be resumed; "" begins anew.
	Checkpoint string
	// LeaseEnd is on the runner's clock, in milliseconds. It also makes the
	// order useless if it is carried out late.
	LeaseEnd int64
	// Timeout is how long to wait for the answer.
	Timeout time.Duration
}

// Stop orders a runner to stop a run, and never to start it if it hasn't come
// yet. The process reports a StopResult.
type Stop struct {
	Runner  workload.RunnerID
	Address string
	Token   uint64
	Run     workload.RunKey
	Timeout time.Duration
}

// Hold renews the lease of all that runs on a runner, acknowledges ends, and
// reads what runs and what has ended. The process reports a HoldResult.
type Hold struct {
	Runner  workload.RunnerID
	Address string
	Token   uint64
	// Acknowledged is the highest sequence of ends that isn't needed again.
	Acknowledged uint64
	// LeaseEnd is on the runner's clock, in milliseconds; 0 renews nothing.
	LeaseEnd int64
	// Wait is how long the runner may wait for an end.
	Wait time.Duration
	// ListOnly marks one that is sent beside another, and ReachabilityOnly one that only asks
	// whether the runner is there.
	ListOnly, ReachabilityOnly bool
	// Timeout is how long to wait for the answer, Wait included.
	Timeout time.Duration
}

// Answer is the final word on a job, to the entry VM that handed it in.
type Answer struct {
	At      Time
	Entry   EntryID
	Job     workload.JobID
	Outcome workload.Outcome
	// RetryAfter is when a caller whose job did not run may come back.
	RetryAfter time.Duration
	// Waited is the time from the job's arrival to its first start, and Runs
	// the number of starts; for logs.
	Waited time.Duration
	// Work is how long the runs took, as far as their ends are known: the
	// longest of each step, summed. Estimate is what that was taken for.
	Work, Estimate time.Duration
	Runs           int
	Reason         string
	// NoRoom: nothing of the job was started here, for want of room; another
	// scheduler may have some.
	NoRoom bool
}

// Decision is a line for the log.
type Decision struct {
	Event  string
	Job    workload.JobID
	Run    workload.RunKey
	Runner workload.RunnerID
	Reason string
	// Age is how old the deciding input is.
	Age time.Duration
	// Token is the fencing token in force.
	Token uint64
}

// Save has a record kept in the store; Saved follows with its sequence.
type Save struct {
	At       Time
	Sequence uint64
	Record   ledger.Record
}

// OutcomeSaved says that what has come of a stored job is in the store. An id that
// was cancelled before its job came isn't known.
type OutcomeSaved struct {
	Job   workload.JobID
	State JobState
}

// MoveJob gives a stored job to the owner of another shard. MoveAcknowledged follows, or it is
// given again.
type MoveJob struct {
	At Time
	To int
	MovedJob
}

// MoveAck says that a job of another shard is in the store here. It goes to the process
// that gave it.
type MoveAck struct {
	At    Time
	To    EntryID
	Shard int
	Job   workload.JobID
}

func (Start) command()        {}
func (Stop) command()         {}
func (Hold) command()         {}
func (Answer) command()       {}
func (Decision) command()     {}
func (Save) command()         {}
func (OutcomeSaved) command() {}
func (MoveJob) command()      {}
func (MoveAck) command()      {}

// CallOutcome is what came of an order to a runner.
type CallOutcome uint8

// The outcomes of orders.
const (
	// Accepted: carried out.
	Accepted CallOutcome = iota
	// Fenced: the runner has seen a higher token.
	Fenced
	// Outdated: a run with this number or a higher one was stopped or ended.
	Outdated
	// TooLate: the lease in the order had ended when it arrived.
	TooLate
	// NoRoom: the task doesn't fit.
	NoRoom
	// Invalid: the runner doesn't understand the order.
	Invalid
	// Unhealthy: the runner has done nothing, and says so.
	Unhealthy
	// Replaced: another lifetime of the runner answers at its address.
	Replaced
	// Unanswered: nobody knows; it may still be carried out.
	Unanswered
)

var outcomeNames = [...]string{"accepted", "fenced", "outdated", "too-late", "no-room", "invalid", "unhealthy", "replaced", "unanswered"}

// String is for logs.
func (o CallOutcome) String() string { return outcomeNames[o] }

// ClockReading is a runner's clock as read from an answer.
type ClockReading struct {
	// Milliseconds is the clock; 0 if the answer had none.
	Milliseconds int64
	// ReceivedAt is when the answer came.
	ReceivedAt Time
	// SentAt is when the order was sent.
	SentAt Time
	// Born is when the runner's lifetime began, in milliseconds since 1970; 0 if the
	// answer didn't tell.
	Born int64
}

// StartResult reports on a Start.
type StartResult struct {
	Runner  workload.RunnerID
	Run     workload.RunKey
	Outcome CallOutcome
	Clock   ClockReading
}

// StopResult reports on a Stop.
type StopResult struct {
	Runner  workload.RunnerID
	Run     workload.RunKey
	Outcome CallOutcome
	Clock   ClockReading
}

// HoldResult reports on a Hold.
type HoldResult struct {
	Runner           workload.RunnerID
	Token            uint64
	ListOnly         bool
	ReachabilityOnly bool
	Outcome          CallOutcome
	Running          []workload.RunKey
	// Checkpoints are the newest ones of what runs, where there are any.
	Checkpoints map[workload.RunKey]string
	Ends        []workload.End
	Clock       ClockReading
}
