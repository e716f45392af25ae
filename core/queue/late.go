package queue

import (
	"time"

	"sapphirepoint.example/sapphirepoint/core/task"
)

// lateScan bounds the waiting tasks that Late looks at.
const lateScan = 64

// Demand says which waiting tasks count as late.
type Demand struct {
	// Pace is the expected time between two starts.
	Pace time.Duration
	// Tolerance is how long a task may hold up its job's answer.
	Tolerance time.Duration
	// Typical is the run time for which the tolerance is meant; that of a job
	// whose longest task takes longer is longer in proportion. 0 means the
	// same tolerance for all.
	Typical time.Duration
	// SlackPercent is the part of a task's slack that it is let wait, in
	// percent. Declared times are often wrong, and a task that waits because it
	// is declared short may turn out to be the longest.
	SlackPercent int
	// SlackLimit bounds that wait; 0 means no bound.
	SlackLimit time.Duration
}

// Late counts the waiting tasks of an institution that are expected to start
// later than they should by more than the tolerance, were the institution's
// slots to come free one after the other. It looks at the first tasks only.
func (q *Queue) Late(now task.Time, institution string, d Demand) int {
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

type scan struct {
	now    task.Time
	demand Demand
	seen   int
	late   int
}

func (s *scan) job(e *entry) {
	tolerance := s.demand.Tolerance
	if s.demand.Typical > 0 {
		tolerance = time.Duration(float64(tolerance) * float64(e.longest) / float64(s.demand.Typical))
	}
	for i := len(e.waiting) - 1; i >= 0 && s.seen < lateScan; i-- {
		s.seen++
		start := s.now + time.Duration(s.seen)*s.demand.Pace
		slack := (e.longest - e.job.Work[e.waiting[i]]) * time.Duration(s.demand.SlackPercent) / 100
		if s.demand.SlackLimit > 0 {
			slack = min(slack, s.demand.SlackLimit)
		}
		if start <= e.job.Arrived+slack+tolerance {
			return
		}
		s.late++
	}
}
