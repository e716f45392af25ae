// Package admission decides by the institutions' terms which jobs are taken
// on: quotas and ceilings over all entry processes, what can never run, what
// can't be done in its time and when to come back, and how long tasks really
// take.
package admission

import (
	"fmt"
	"time"

	"sapphirepoint.example/sapphirepoint/core/task"
	pb "sapphirepoint.example/sapphirepoint/gen/sapphirepointv1"
)

const (
	// estimateErrorFactor is how far a job's expected times may be off before it is said
	// that it can never run.
	estimateErrorFactor = 4
	// maxRetryAfter bounds the time after which a refused caller is asked back.
	maxRetryAfter = 30 * time.Second
)

// Job is what a decision needs to know of a job; times as expected.
type Job struct {
	// Work is the run time of all tasks, Longest that of the longest.
	Work, Longest time.Duration
	// TimeLimit is the time that the job has.
	TimeLimit time.Duration
	// CPUMillis and MemoryMiB are what one task needs.
	CPUMillis, MemoryMiB uint32
}

// Capacity is what there is for an institution's jobs.
type Capacity struct {
	// Slots is how many this process can use at present.
	Slots int
	// MaxSlots is how many the job could ever use at once; 0 if it isn't known.
	MaxSlots int
	// Queued is the expected run time of the waiting tasks.
	Queued time.Duration
	// WaitPercent is the part of its time that a job may be expected to wait.
	WaitPercent int
	// CPUMillis and MemoryMiB are the size of the largest worker; 0 if it
	// isn't known.
	CPUMillis, MemoryMiB uint32
}

// Refusal says why a job isn't taken on.
type Refusal struct {
	Reason pb.Reason
	Detail string
	// Excess is the time by which the job would miss its own; 0 if coming back
	// can't help.
	Excess time.Duration
}

// Decide says whether a job is taken on; nil means yes. It depends on nothing
// but its arguments.
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

// tooLarge finds a job that can't be done in its time on the slots there are
// though nobody waits; others may be lent or come back.
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

// neverRunnable finds what no waiting can mend. Run times are believed only
// within doubt; sizes as declared.
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

// RetrySpreader spreads refused callers over the time in which there will be room
// for them. If all were told the same time, they would come back as one burst,
// and most be refused again.
type RetrySpreader struct {
	// promisedUntil is when the capacity promised to those refused so far is used up.
	promisedUntil task.Time
}

// RetryAfter is when a refused job should come back, from now.
func (b *RetrySpreader) RetryAfter(now task.Time, r *Refusal, j Job, c Capacity) time.Duration {
	if r.Excess == 0 {
		return 0
	}
	b.promisedUntil = max(b.promisedUntil, now+r.Excess) + j.Work/time.Duration(max(c.Slots, 1))
	b.promisedUntil = min(b.promisedUntil, now+maxRetryAfter)
	return b.promisedUntil - now
}
