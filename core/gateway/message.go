package gateway

import (
	"time"

	"sapphirepoint.example/sapphirepoint/core/leader"
	"sapphirepoint.example/sapphirepoint/core/workload"
)

// Command is an output of the gateway.
type Command interface{ command() }

// HandIn hands a job in to a scheduler.
type HandIn struct {
	At Time
	To leader.ID
	// Shard gets the job, Home is the shard that it belongs to, and ExpectedWait is that of a
	// new job in Shard as last reported.
	Shard, Home  int
	ExpectedWait time.Duration
	Job          *workload.Job
	// RemainingObjective and RemainingTimeout are what is left of the job's latency objective
	// and of the caller's timeout.
	RemainingObjective time.Duration
	RemainingTimeout   time.Duration
	// PriorSubmissions counts the schedulers that had the job before, and PriorRunsTTL is how
	// much longer runs that they started may be alive.
	PriorSubmissions int
	PriorRunsTTL     time.Duration
	// Domain is the failure domain of the entry VM.
	Domain string
	// HandedBack: the job was lent, and its lender can't be reached from this process.
	HandedBack bool
}

// Drop tells a scheduler to drop a job: its caller has left or was answered, or, with
// HandedOver, another scheduler gets it.
type Drop struct {
	At         Time
	To         leader.ID
	Shard      int
	Job        workload.JobID
	HandedOver bool
}

// Reply answers one request.
type Reply struct {
	Request    uint64
	Job        *workload.Job
	Outcome    workload.Outcome
	RetryAfter time.Duration
	Reason     string
	// Cause is set if the job was refused or given up.
	Cause workload.RefusalCause
	// Scheduler decided the outcome, PriorSubmissions counts the schedulers before it, and
	// Elapsed is the time from the job's arrival in this process.
	Scheduler        leader.ID
	PriorSubmissions int
	Elapsed          time.Duration
}

func (HandIn) command() {}
func (Drop) command()   {}
func (Reply) command()  {}

// Verdict is a scheduler's decision on a job.
type Verdict struct {
	From       leader.ID
	Job        workload.JobID
	Outcome    workload.Outcome
	RetryAfter time.Duration
	Reason     string
	// Cause is set if the job was refused or given up.
	Cause workload.RefusalCause
	// NoRoom: the scheduler has started no task of the job for lack of room, and another
	// scheduler may have room.
	NoRoom bool
	// Lent: the scheduler of the shard Lender has granted room for the job, or has the job already
	// and gets this copy of it too.
	Lent   bool
	Lender int
}
