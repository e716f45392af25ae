package queue

import (
	"time"

	"sapphirepoint.example/sapphirepoint/core/task"
)

// maxLateScan limits the number of waiting tasks that CountLate examines.
const maxLateScan = 64

// LatenessCriteria defines which waiting tasks count as late.
type LatenessCriteria struct {
	// StartInterval is the expected time between two task starts of the institution.
	StartInterval time.Duration
	// Tolerance is how long a task may delay the result of a job whose longest task runs for
	// TypicalRunTime. For other jobs it is proportional to the longest task's run time.
	Tolerance time.Duration
	// TypicalRunTime is the run time of a job's longest task for which Tolerance is given.
	TypicalRunTime time.Duration
	// MaxSlack limits the slack that a task has because it is declared shorter than the longest
	// task of its job: the time that it can wait without delaying the job's result. Declared times
	// are often wrong, so a task that waits because it is declared short may turn out to be the
	// longest.
	MaxSlack time.Duration
}

// CountLate counts the waiting tasks of an institution that are expected to start too late by more
// than the tolerance, assuming that one task starts per StartInterval. It examines at most
// maxLateScan tasks, team by team in the order of the heap, which is only partly that of Next.
func (q *Queue) CountLate(now task.Time, institution string, d LatenessCriteria) int {
	inst := q.institutions[institution]
	if inst == nil {
		return 0
	}
	s := latenessScan{now: now, criteria: d}
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

// latenessScan is the state of one call of CountLate.
type latenessScan struct {
	now      task.Time
	criteria LatenessCriteria
	// scanned and late are the numbers of tasks examined so far, and of those that are late.
	scanned int
	late    int
}

// addJob examines the waiting tasks of a job, the longest first, up to the first that isn't late:
// shorter tasks have more slack.
func (s *latenessScan) addJob(e *queuedJob) {
	tolerance := time.Duration(float64(s.criteria.Tolerance) * float64(e.longest) / float64(s.criteria.TypicalRunTime))
	for i := len(e.waiting) - 1; i >= 0 && s.scanned < maxLateScan; i-- {
		s.scanned++
		start := s.now + time.Duration(s.scanned)*s.criteria.StartInterval
		slack := min(e.longest-e.job.RunTimes[e.waiting[i]], s.criteria.MaxSlack)
		if start <= e.job.Arrived+slack+tolerance {
			return
		}
		s.late++
	}
}
