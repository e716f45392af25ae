package queue

import (
	"time"

	"sapphirepoint.example/sapphirepoint/core/task"
)

// lateScan bounds the waiting tasks that CountLate looks at.
const lateScan = 64

// LatenessCriteria says which waiting tasks count as late.
type LatenessCriteria struct {
	// StartInterval is the expected time between two starts.
	StartInterval time.Duration
	// Tolerance is how long a task may hold up the answer of a job whose
	// longest task takes TypicalRunTime, and longer for a longer job in proportion.
	Tolerance      time.Duration
	TypicalRunTime time.Duration
	// MaxSlack bounds how much longer a task may wait because it is declared
	// shorter than the longest of its job. Declared times are often wrong: a
	// task that waits because it is declared short may prove the longest.
	MaxSlack time.Duration
}

// CountLate counts the waiting tasks of an institution that are expected to start
// later than they should by more than the tolerance, were the institution's
// slots to come free one after the other. It looks at the first tasks only.
func (q *Queue) CountLate(now task.Time, institution string, d LatenessCriteria) int {
	inst := q.institutions[institution]
	if inst == nil {
		return 0
	}
	s := scan{now: now, demand: d}
	for _, t := range inst.heap {
		for _, e := range t.jobs {
			s.job(e)
			if s.seen >= lateScan {
				return s.late
			}
		}
	}
	return s.late
}

// scan is one count of late tasks.
type scan struct {
	now    task.Time
	demand LatenessCriteria
	seen   int
	late   int
}

func (s *scan) job(e *entry) {
	tolerance := time.Duration(float64(s.demand.Tolerance) * float64(e.longest) / float64(s.demand.TypicalRunTime))
	for i := len(e.waiting) - 1; i >= 0 && s.seen < lateScan; i-- {
		s.seen++
		start := s.now + time.Duration(s.seen)*s.demand.StartInterval
		slack := min(e.longest-e.job.RunTimes[e.waiting[i]], s.demand.MaxSlack)
		if start <= e.job.Arrived+slack+tolerance {
			return
		}
		s.late++
	}
}
