package fleet

import (
	"time"

	"sapphirepoint.example/sapphirepoint/core/gateway"
	"sapphirepoint.example/sapphirepoint/core/layout"
	"sapphirepoint.example/sapphirepoint/core/leader"
	"sapphirepoint.example/sapphirepoint/core/ledger"
	"sapphirepoint.example/sapphirepoint/core/routing"
	"sapphirepoint.example/sapphirepoint/core/schedule"
	"sapphirepoint.example/sapphirepoint/core/topology"
	"sapphirepoint.example/sapphirepoint/core/workload"
)

// Message is what one process sends to another.
type Message interface{ message() }

// Heartbeat is what a process says of itself.
type Heartbeat struct {
	Report             leader.Report
	DeclarationVersion uint64
	// RunnersRevision is that of the newest list of runners that the sender
	// has; RunnersStale says that it leads and can't read the list at present.
	RunnersRevision uint64
	RunnersStale    bool
	// RunnersDigest tells lists with the same runners in the same states from
	// others; revisions grow with each sign of life of a runner. 0 if the sender
	// knows of none.
	RunnersDigest uint64
	// StoredJobs is what the sender knows about stored jobs.
	StoredJobs StoredJobs
	// Pending is, from the leader, the jobs of each queue of which no task has
	// started.
	Pending map[string]int
	// BacklogTime is, from a process that leads, how long what waits in its shards would
	// take their runners.
	BacklogTime time.Duration
	// UncertainFor is how much longer the sender doubts that all VMs are heard by somebody.
	UncertainFor time.Duration
	// Evacuations are the failure domains that get no new tasks, as the sender knows.
	Evacuations routing.Evacuations
}

// Layout tells how the runners are divided, to a process that doesn't know.
type Layout struct{ layout.Layout }

// HandIn hands a job to the scheduler.
type HandIn struct{ gateway.HandIn }

// Verdict is the scheduler's word on a job.
type Verdict struct{ gateway.Verdict }

// DropJob tells a scheduler that a job isn't its own any more: its caller has
// left, or another scheduler gets it.
type DropJob struct {
	Shard      int
	Job        workload.JobID
	HandedOver bool
}

// JobQuery asks the scheduler for a job's state, or to cancel it.
type JobQuery struct {
	Request uint64
	Job     workload.JobID
	Cancel  bool
	// Hops counts the shards that the job has left, and Shard is the one that it went
	// to; a job that has left none is asked for in its own.
	Hops, Shard int
}

// JobAnswer answers a JobQuery.
type JobAnswer struct {
	Request uint64
	State   schedule.JobState
}

// JobMove gives a stored job to the owner of another shard.
type JobMove struct {
	Shard int
	schedule.MovedJob
}

// JobTaken says that a job that a shard gave away is in the rows of another one.
type JobTaken struct {
	Shard int
	Job   workload.JobID
}

// Declaration passes on a configuration.
type Declaration struct{ *routing.Declaration }

// RunnerList is the platform's list of runners at a revision.
type RunnerList struct {
	Revision uint64
	// Runners are in the order of their ids.
	Runners []workload.Runner
	// Unreadable are entries that name no runner to use. They aren't passed on.
	Unreadable []workload.RunnerID
	// Handover: the sender is about to hand in jobs that another scheduler
	// had, and these are the runners where that may have started them.
	Handover bool
}

// Progress is what a leader that retires tells the next one of a shard.
type Progress struct {
	Shard int
	schedule.Progress
}

func (Heartbeat) message()   {}
func (HandIn) message()      {}
func (Verdict) message()     {}
func (DropJob) message()     {}
func (JobQuery) message()    {}
func (JobAnswer) message()   {}
func (JobMove) message()     {}
func (JobTaken) message()    {}
func (Declaration) message() {}
func (RunnerList) message()  {}
func (Progress) message()    {}
func (Layout) message()      {}

// Command is what the process is to do.
type Command interface{ command() }

// Send passes a message to a process. Without a connection it is dropped: the
// node is told when a process is lost, or connected again.
type Send struct {
	To      leader.ID
	Message Message
}

// Disconnect closes the connection with a process.
type Disconnect struct{ Peer leader.ID }

// Order is the order of a shard's scheduler to a runner: schedule.Start, Stop or
// Hold.
type Order struct {
	Shard int
	Order schedule.Command
}

// Connect says which connections the process wants; others that it has made are
// to be closed after a while.
type Connect struct{ Links []topology.Link }

// StoreCall is a ledger's call to the store: ledger.Claim, Read, Check or Write.
// Its result is given to Node.StoreAnswered.
type StoreCall struct {
	Shard int
	Call  ledger.Command
}

// Answer is the final word on a caller's request.
type Answer struct{ gateway.Reply }

// StateAnswer answers a question about a job. Unreachable: nobody could be
// asked.
type StateAnswer struct {
	Request     uint64
	State       schedule.JobState
	Unreachable bool
}

// ReadRunners asks for the list of runners now.
type ReadRunners struct{}

// Notice is a line for the log.
type Notice struct {
	Event string
	// Warning marks what an operator should look at.
	Warning bool
	Fields  []Field
}

// Field is a part of a Notice.
type Field struct {
	Key   string
	Value any
}

func (Send) command()        {}
func (Disconnect) command()  {}
func (Connect) command()     {}
func (Order) command()       {}
func (StoreCall) command()   {}
func (Answer) command()      {}
func (StateAnswer) command() {}
func (ReadRunners) command() {}
func (Notice) command()      {}

// durations in notices are in milliseconds.
func ms(d time.Duration) float64 { return float64(d) / float64(time.Millisecond) }
