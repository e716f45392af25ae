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
	// Checkpoint is where the task resumes; "" starts from the beginning.
	Checkpoint string
	// LeaseEnd is on the runner's clock, in milliseconds. A runner rejects an order that
	// arrives after it.
	LeaseEnd int64
	// Timeout is how long to wait for the answer.
	Timeout time.Duration
}

// Stop orders a runner to stop a run, and never to start it if its start hasn't arrived yet.
// The process reports a StopResult.
type Stop struct {
	Runner  workload.RunnerID
	Address string
	Token   uint64
	Run     workload.RunKey
	Timeout time.Duration
}

// Hold renews the lease of all runs on a runner, acknowledges ends, and reads the lists of
// running and ended runs. The process reports a HoldResult.
type Hold struct {
	Runner  workload.RunnerID
	Address string
	Token   uint64
	// Acknowledged is the highest sequence of ends that the runner may forget.
	Acknowledged uint64
	// LeaseEnd is on the runner's clock, in milliseconds; 0 renews nothing.
	LeaseEnd int64
	// Wait is how long the runner may delay the answer until a run ends.
	Wait time.Duration
	// ListOnly marks a Hold that only reads the lists and may be sent while another one is in
	// flight. ReachabilityOnly marks one that only checks whether the runner answers.
	ListOnly, ReachabilityOnly bool
	// NewConnection: the order is to be sent on a new connection, which shows whether the runner's host
	// accepts one.
	NewConnection bool
	// Timeout is how long to wait for the answer, Wait included.
	Timeout time.Duration
}

// Answer reports the outcome of a job, or its acceptance, to the entry VM that handed it in.
type Answer struct {
	At    Time
	Entry EntryID
	Job   workload.JobID
	// Queue is the job's; empty if the scheduler doesn't have the job.
	Queue   string
	Outcome workload.Outcome
	// RetryAfter is the time after which a caller whose job did not run may send it again.
	RetryAfter time.Duration
	// Waited is the time from the job's arrival to its first start, and Runs the number of
	// starts; for logs.
	Waited time.Duration
	// Work is the measured run time, as far as the ends are known: the longest run of each
	// step, summed. Estimate is the estimated value of the same.
	Work, Estimate time.Duration
	Runs           int
	// LongestRunner was the runner of the longest run, and RelativePace its pace divided by that
	// of the service's fastest runner. They are set if the runs took far longer than estimated.
	LongestRunner workload.RunnerID
	RelativePace  float64
	Reason        string
	// Cause is set if the job was refused or given up.
	Cause workload.RefusalCause
	// NoRoom: nothing of the job was started here, since there is no room; another scheduler
	// may have some.
	NoRoom bool
	// Lent: the scheduler of the shard Lender has granted room for the job, or has the job. Held is
	// how long the job was here; 0 for a copy.
	Lent   bool
	Lender int
	Held   time.Duration
}

// Decision is an entry for the log.
type Decision struct {
	Event  string
	Job    workload.JobID
	Run    workload.RunKey
	Runner workload.RunnerID
	Reason string
	// Age is the age of the input that led to the decision.
	Age time.Duration
	// Detail says more about the inputs; "" if there is no more to say.
	Detail string
	// Token is the fencing token in force.
	Token uint64
	// Entry is the entry process that handed the job in; "" if it has no part in the decision.
	Entry EntryID
	// Warning: it may need an operator's attention.
	Warning bool
}

// Save writes a record to the store. The process calls Saved with its sequence afterwards.
type Save struct {
	At       Time
	Sequence uint64
	Record   ledger.Record
}

// OutcomeSaved reports that the outcome of a stored job is in the store. For an id that was
// cancelled before its job arrived, State.Known is false.
type OutcomeSaved struct {
	Job   workload.JobID
	State JobState
}

// MoveJob sends a stored job to the owner of another shard. It is repeated until
// MoveAcknowledged is called.
type MoveJob struct {
	At Time
	To int
	MovedJob
}

// MoveAck reports to the process that sent a job of another shard that the job is in this
// shard's rows of the store.
type MoveAck struct {
	At    Time
	To    EntryID
	Shard int
	Job   workload.JobID
}

// UnlistedInUse names runners that this scheduler uses, or on which it has runs, though they aren't on
// the platform's list. Other processes must know them: whoever becomes leader next has to ask them for
// their runs. It is emitted before the first start on such a runner, then every unlistedInterval.
type UnlistedInUse struct {
	At      Time
	Runners []workload.Runner
}

// RefreshEntries requests an immediate read of the platform's list: a runner's entry on it is that of an
// earlier incarnation.
type RefreshEntries struct{}

func (Start) command()          {}
func (Stop) command()           {}
func (Hold) command()           {}
func (Answer) command()         {}
func (Decision) command()       {}
func (Save) command()           {}
func (OutcomeSaved) command()   {}
func (MoveJob) command()        {}
func (MoveAck) command()        {}
func (UnlistedInUse) command()  {}
func (RefreshEntries) command() {}

// CallOutcome is the outcome of an order to a runner.
type CallOutcome uint8

// The outcomes of orders.
const (
	// Accepted: carried out.
	Accepted CallOutcome = iota
	// Fenced: the runner has seen a higher token.
	Fenced
	// Outdated: a run of the task with this number or a higher one was stopped or has ended.
	Outdated
	// TooLate: the lease in the order had expired when the order arrived.
	TooLate
	// NoRoom: the task doesn't fit.
	NoRoom
	// Invalid: the runner doesn't understand the order.
	Invalid
	// Unhealthy: the runner reports that it is unhealthy and hasn't carried out the order.
	Unhealthy
	// Replaced: another incarnation of the runner answers at its address.
	Replaced
	// Unanswered: the outcome is unknown; the order may still be carried out.
	Unanswered
)

var outcomeNames = [...]string{"accepted", "fenced", "outdated", "too-late", "no-room", "invalid", "unhealthy", "replaced", "unanswered"}

// String returns the outcome's name in logs.
func (o CallOutcome) String() string { return outcomeNames[o] }

// Connection is what an order that stayed unanswered shows of the runner's host.
type Connection uint8

// The connections.
const (
	// ConnectionUnknown: the order was sent on an earlier connection, or none was made for another reason, as
	// when this process was short of processor time or the network had no way to the host.
	ConnectionUnknown Connection = iota
	// ConnectionMade: the host has accepted a new connection, so it is up and in reach, and the runner's
	// process, which doesn't answer, may still be alive.
	ConnectionMade
	// ConnectionFailed: the host, or something on the way, has refused the connection. The runner's process may
	// still be alive.
	ConnectionFailed
	// ConnectionTimedOut: no new connection was made in time, though this process wasn't late itself.
	ConnectionTimedOut
)

// ClockReading is a runner's clock as read from an answer.
type ClockReading struct {
	// Milliseconds is the clock; 0 if the answer had none.
	Milliseconds int64
	// ReceivedAt is when the answer was received.
	ReceivedAt Time
	// SentAt is when the order was sent.
	SentAt Time
	// IncarnationStart is when the runner's incarnation began, in milliseconds since 1970; 0 if
	// the answer had no such time.
	IncarnationStart int64
}

// StartResult reports the outcome of a Start, whose token it repeats.
type StartResult struct {
	Runner workload.RunnerID
	// Address is where the order was sent.
	Address string
	Token   uint64
	Run     workload.RunKey
	Outcome CallOutcome
	// Connection is set if the order stayed unanswered.
	Connection Connection
	Clock      ClockReading
}

// StopResult reports the outcome of a Stop, whose token it repeats.
type StopResult struct {
	Runner workload.RunnerID
	// Address is where the order was sent.
	Address string
	Token   uint64
	Run     workload.RunKey
	Outcome CallOutcome
	// Connection is set if the order stayed unanswered.
	Connection Connection
	Clock      ClockReading
}

// HoldResult reports the outcome of a Hold.
type HoldResult struct {
	Runner workload.RunnerID
	// Address is where the order was sent.
	Address          string
	Token            uint64
	ListOnly         bool
	ReachabilityOnly bool
	Outcome          CallOutcome
	// Connection is set if the order stayed unanswered.
	Connection Connection
	Running    []workload.RunKey
	// Checkpoints are the newest ones of the listed runs, where there are any.
	Checkpoints map[workload.RunKey]string
	Ends        []workload.End
	Clock       ClockReading
}
