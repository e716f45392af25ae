package schedule

import (
	"slices"
	"time"
)

// Timed jobs. Their steps run several times, each time when an occurrence is due by the process's
// time of day. Occurrences may overlap; each has its own steps, and the job ends when all
// occurrences have ended.

// minDueChange is the smallest change of a due time that changes the order of service: the time of
// day and the monotonic clock drift apart by less within a second.
const minDueChange = 10 * time.Millisecond

// SetTimeOfDay sets the time of day, in milliseconds since 1970.
func (s *Scheduler) SetTimeOfDay(now Time, ms int64) { s.epochMs = ms - now.Milliseconds() }

// dueAt returns when an occurrence of a timed job is due.
func (s *Scheduler) dueAt(j *job, occurrence int) Time {
	return time.Duration(j.work.DueMs(occurrence)-s.epochMs) * time.Millisecond
}

// occurrenceDue reports whether the occurrence of a step is due. The occurrences after one that
// isn't due are due later.
func (s *Scheduler) occurrenceDue(j *job, step int) bool {
	return j.work.Times == 0 || s.now >= s.dueAt(j, j.occurrence(step))
}

// updateDue sets a timed job's place in the order of service by its first occurrence that hasn't
// ended.
func (s *Scheduler) updateDue(j *job) {
	if j.work.Times == 0 {
		return
	}
	next := slices.IndexFunc(j.open, func(open int) bool { return open > 0 })
	if next < 0 {
		return
	}
	due := s.dueAt(j, j.occurrence(next))
	if d := due - j.arrived; d > -minDueChange && d < minDueChange {
		return
	}
	queued := j.queued
	s.dequeue(j)
	j.arrived, j.due, j.worthlessAt = due, due+j.work.Objective, never
	if queued {
		s.enqueue(j)
	}
}
