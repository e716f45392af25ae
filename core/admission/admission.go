// Package admission decides which jobs are accepted under the declared settings of the
// institutions. It enforces quotas and ceilings across all entry processes, refuses jobs that can
// never run or would miss their time limit, spreads the retry times of refused callers, and
// corrects declared run times by observed ones.
package admission

import (
	"fmt"
	"time"

	"sapphirepoint.example/sapphirepoint/core/task"
	pb "sapphirepoint.example/sapphirepoint/gen/sapphirepointv1"
)

const (
	// estimateErrorFactor is the factor by which expected run times may be too long. A job is
	// refused as too large or never runnable because of its run times only if it still doesn't fit
	// after they are divided by this factor.
	estimateErrorFactor = 4
	// maxRetryAfter limits the retry time given to a refused caller.
	maxRetryAfter = 30 * time.Second
)

// Job describes a job to be decided on. Run times are expected ones.
type Job struct {
	// Work is the total run time of all tasks, Longest the run time of the longest task.
	Work, Longest time.Duration
	// TimeLimit is the time left until the job's deadline.
	TimeLimit time.Duration
	// CPUMillis and MemoryMiB are the CPU, in thousandths of a core, and the memory that one
	// task needs.
	CPUMillis, MemoryMiB uint32
}

// Capacity describes the resources and the backlog of an institution.
type Capacity struct {
	// Slots is the number of slots that this process can use at present, including busy ones.
	Slots int
	// MaxSlots is the largest number of slots that the job could ever use at once, 0 if unknown.
	MaxSlots int
	// Queued is the total expected run time of the waiting tasks.
	Queued time.Duration
	// WaitPercent is the percentage of its time limit that a job may be expected to wait.
	WaitPercent int
	// CPUMillis and MemoryMiB are the size of the largest worker, 0 if unknown.
	CPUMillis, MemoryMiB uint32
}

// Refusal is the reason for which a job isn't accepted.
type Refusal struct {
	Reason pb.Reason
	Detail string
	// Excess is the time by which the expected wait or run time exceeds what the time limit
	// allows. It is 0 if a later attempt would be refused too.
	Excess time.Duration
}

// Decide returns nil if the job is accepted, else the refusal. The result depends on the
// arguments alone.
func Decide(j Job, c Capacity) *Refusal {
	if r := neverRunnable(j, c); r != nil {
		return r
	}
	slots := time.Duration(max(c.Slots, 1))
	if c.Queued == 0 {
		return tooLarge(j, slots)
	}
	wait := c.Queued / slots
	maxWait := min(j.TimeLimit*time.Duration(c.WaitPercent)/100, j.TimeLimit-max(j.Longest, j.Work/slots))
	if wait <= maxWait {
		return nil
	}
	return &Refusal{
		Reason: pb.Reason_REASON_OVERLOADED,
		Detail: fmt.Sprintf("the wait is about %d ms; with %d ms allowed it may be %d ms", wait.Milliseconds(), j.TimeLimit.Milliseconds(), max(maxWait, 0).Milliseconds()),
		Excess: wait - max(maxWait, 0),
	}
}

// tooLarge refuses a job whose work doesn't fit into its time limit on the present slots, even
// though no task is waiting. A later attempt may succeed, when peers lend slots or return borrowed
// ones.
func tooLarge(j Job, slots time.Duration) *Refusal {
	if j.Work/slots/estimateErrorFactor <= j.TimeLimit {
		return nil
	}
	return &Refusal{
		Reason: pb.Reason_REASON_OVERLOADED,
		Detail: fmt.Sprintf("%d ms of work can't be done in %d ms on the %d slots there are at present", j.Work.Milliseconds(), j.TimeLimit.Milliseconds(), slots),
		Excess: j.Work/slots - j.TimeLimit,
	}
}

// neverRunnable refuses a job that can't run however long it waits. Run times are assumed to be up
// to estimateErrorFactor times too long, CPU and memory are taken as declared.
func neverRunnable(j Job, c Capacity) *Refusal {
	never := func(format string, args ...any) *Refusal {
		return &Refusal{Reason: pb.Reason_REASON_NEVER_RUNNABLE, Detail: fmt.Sprintf(format, args...)}
	}
	switch {
	case c.CPUMillis > 0 && j.CPUMillis > c.CPUMillis:
		return never("a task needs %d thousandths of a core and the largest worker has %d", j.CPUMillis, c.CPUMillis)
	case c.MemoryMiB > 0 && j.MemoryMiB > c.MemoryMiB:
		return never("a task needs %d MiB and the largest worker has %d", j.MemoryMiB, c.MemoryMiB)
	case j.Longest/estimateErrorFactor > j.TimeLimit:
		return never("a task is expected to run %d ms and the job has %d ms", j.Longest.Milliseconds(), j.TimeLimit.Milliseconds())
	case c.MaxSlots > 0 && j.Work/estimateErrorFactor/time.Duration(c.MaxSlots) > j.TimeLimit:
		return never("%d ms of work can't be done in %d ms on %d slots, the most it may ever hold", j.Work.Milliseconds(), j.TimeLimit.Milliseconds(), c.MaxSlots)
	}
	return nil
}

// RetrySpreader assigns refused callers different retry times, at the rate at which capacity
// becomes free. With equal times they would return in one burst, and most would be refused again.
type RetrySpreader struct {
	// promisedUntil is when the capacity assigned to the callers refused so far is used up.
	promisedUntil task.Time
}

// RetryAfter returns the time from now after which the caller of a refused job should retry.
func (b *RetrySpreader) RetryAfter(now task.Time, r *Refusal, j Job, c Capacity) time.Duration {
	if r.Excess == 0 {
		return 0
	}
	b.promisedUntil = max(b.promisedUntil, now+r.Excess) + j.Work/time.Duration(max(c.Slots, 1))
	b.promisedUntil = min(b.promisedUntil, now+maxRetryAfter)
	return b.promisedUntil - now
}
