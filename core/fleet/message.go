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

// Message is a message from one process to another.
type Message interface{ message() }

// Heartbeat is the state that a process reports of itself, to each connected process every
// leader.HeartbeatInterval.
type Heartbeat struct {
	Report             leader.Report
	DeclarationVersion uint64
	// RunnersRevision is the revision of the sender's list of runners. RunnersStale: the
	// sender leads the cell's first shard, reads the list for the cell, and hasn't been able
	// to for a while; a process that can sends it its own.
	RunnersRevision uint64
	RunnersStale    bool
	// RunnersDigest is equal for lists with the same runners in the same states, while
	// the revision grows with every heartbeat of a runner. 0 if the sender has no list.
	RunnersDigest uint64
	// StoredJobs is what the sender knows about stored jobs.
	StoredJobs StoredJobs
	// Pending are the counts of waiting jobs of the shards that the sender leads. A shard whose jobs aren't
	// loaded yet has none.
	Pending []PendingJobs
	// ExpectedWait is, if the sender leads, how long the runners of its shards would need
	// for the waiting work.
	ExpectedWait time.Duration
	// Loads are the loads of the shards that the sender leads, if there are other shards.
	Loads []ShardLoad
	// UncertainFor is the remaining time in which the sender assumes that some VM may be
	// unreachable from all other processes. Callers of that VM may send jobs again, to other
	// cells, of which tasks have already run; see uncertainty.go.
	UncertainFor time.Duration
	// Evacuations are the failure domains in which no new tasks are started, as known to
	// the sender.
	Evacuations routing.Evacuations
	// TakesLentJobs: the sender takes a job to the shard that lends room for it. Earlier versions
	// didn't.
	TakesLentJobs bool
	// SentAt is the sender's clock, and Received is SentAt of the newest heartbeat that the sender has
	// received from the receiver. Both are 0 in heartbeats of earlier versions.
	SentAt, Received Time
}

// Layout sends the division of the runners into shards to a process whose heartbeat reports that
// it doesn't know the layout.
type Layout struct{ layout.Layout }

// HandIn passes a caller's job from its entry process to the scheduler of a shard.
type HandIn struct{ gateway.HandIn }

// Verdict is a scheduler's decision on a job, sent to the entry process that handed it in: the
// job has ended with an outcome, was accepted if it is stored, or is refused.
type Verdict struct{ gateway.Verdict }

// DropJob tells a scheduler to drop a job that was handed in to it, because the job's caller has
// left or was answered or, if HandedOver, because another scheduler gets it.
type DropJob struct {
	Shard      int
	Job        workload.JobID
	HandedOver bool
}

// JobQuery requests a stored job's state, or with Cancel its cancellation, from the leader of
// the shard that the job belongs to.
type JobQuery struct {
	Request uint64
	Job     workload.JobID
	Cancel  bool
	// Hops counts the shards that the job has left, and Shard is the shard that it moved
	// to. With Hops 0 the query is for the job's home shard.
	Hops, Shard int
}

// JobAnswer answers a JobQuery.
type JobAnswer struct {
	Request uint64
	State   schedule.JobState
}

// JobMove transfers an accepted stored job that is stalled in its shard to the leader of another
// shard, where it would start sooner. It is sent again until JobTaken arrives.
type JobMove struct {
	Shard int
	schedule.MovedJob
}

// JobTaken reports to the sender of a JobMove that the job is stored in the rows of the other
// shard. Shard is the shard that the job has left.
type JobTaken struct {
	Shard int
	Job   workload.JobID
}

// Declaration sends the configuration in force to a process whose heartbeat reports an older
// version.
type Declaration struct{ *routing.Declaration }

// RunnerList is the platform's list of runners of a cell at a revision or, with Handover, a list
// of other runners that the receiver has to know of.
type RunnerList struct {
	Revision uint64
	// Runners are in the order of their ids.
	Runners []workload.Runner
	// Unreadable are entries that name no usable runner, or for which the list has no room. They aren't sent to others.
	Unreadable []workload.RunnerID
	// Handover: the sender is about to pass on jobs that another scheduler had, and
	// Runners are those on which that scheduler may have started them. Some may no longer be
	// on the platform's list. The receiver adds them to the runners that it knows; they
	// don't replace its list.
	Handover bool
	// InUse is set with Handover: the sender leads the runners' shard and uses them though they
	// aren't on the platform's list. The receiver remembers them, to name them in a handover.
	InUse bool
}

// Progress is sent by a retiring leader to the next leader of a shard.
type Progress struct {
	Shard int
	schedule.Progress
}

// LearnedPaces is what the leader of a shard has learned of runners and queues. It is sent to the
// processes that would lead the shard next, from time to time and as the leader retires. Processes
// of earlier versions ignore it.
type LearnedPaces struct {
	Shard int
	schedule.Learned
}

func (Heartbeat) message()    {}
func (HandIn) message()       {}
func (Verdict) message()      {}
func (DropJob) message()      {}
func (JobQuery) message()     {}
func (JobAnswer) message()    {}
func (JobMove) message()      {}
func (JobTaken) message()     {}
func (Declaration) message()  {}
func (RunnerList) message()   {}
func (Progress) message()     {}
func (Layout) message()       {}
func (LearnedPaces) message() {}

// Command is an action for the process to carry out.
type Command interface{ command() }

// Send sends a message to a process. Without a connection the message is dropped: the
// node is notified when a connection ends or is made again.
type Send struct {
	To      leader.ID
	Message Message
}

// Disconnect closes the connection with a process.
type Disconnect struct{ Peer leader.ID }

// Order is an order of a shard's scheduler to a runner: schedule.Start, Stop or Hold.
type Order struct {
	Shard int
	Order schedule.Command
}

// Connect lists the connections that the process needs. Other connections that it has made
// are to be closed after a delay.
type Connect struct{ Links []topology.Link }

// StoreCall is a ledger's call to the store: ledger.Claim, Read, Check or Write.
// Its result is passed to Node.StoreAnswered.
type StoreCall struct {
	Shard int
	Call  ledger.Command
}

// Answer is the final answer to a caller's request.
type Answer struct{ gateway.Reply }

// StateAnswer answers a Query. Unreachable: the leader of the job's shard couldn't be
// queried.
type StateAnswer struct {
	Request     uint64
	State       schedule.JobState
	Unreachable bool
}

// ReadRunners requests an immediate read of the list of runners.
type ReadRunners struct{}

// Notice is an event to be logged.
type Notice struct {
	Event string
	// Warning marks an event that may need an operator's attention.
	Warning bool
	Fields  []Field
}

// Field is a key and value of a Notice.
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

// ms converts a duration to milliseconds, the unit of durations in notices.
func ms(d time.Duration) float64 { return float64(d) / float64(time.Millisecond) }
