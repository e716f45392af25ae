package queue

import (
	"time"

	"sapphirepoint.example/sapphirepoint/core/task"
)

// maxLateScan bounds the waiting tasks that CountLate looks at.
const maxLateScan = 64

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
	s := latenessScan{now: now, demand: d}
	for _, t := range inst.teamHeap {
		for _, e := range t.jobHeap {
			s.addJob(e)
			if s.scanned >= maxLateScan {
				return s.late
			}
		}
	}
	return s.late
}

// latenessScan is one count of late tasks.
type latenessScan struct {
	now     task.Time
	demand  LatenessCriteria
	scanned int
	late    int
}

func (s *latenessScan) addJob(e *queuedJob) {
	tolerance := time.Duration(float64(s.demand.Tolerance) * float64(e.longest) / float64(s.demand.TypicalRunTime))
	for i := len(e.waiting) - 1; i >= 0 && s.scanned < maxLateScan; i-- {
		s.scanned++
		start := s.now + time.Duration(s.scanned)*s.demand.StartInterval
		slack := min(e.longest-e.job.RunTimes[e.waiting[i]], s.demand.MaxSlack)
		if start <= e.job.Arrived+slack+tolerance {
			return
		}
		s.late++
	}
}
