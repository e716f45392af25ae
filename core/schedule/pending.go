package schedule

import (
	"slices"
	"time"
)

// The number of waiting jobs, as callers may query it.

// handedOverTime is how long a job counts here after another shard has it. The two counts reach other
// processes with different heartbeats.
const handedOverTime = 400 * time.Millisecond

// handedOver is a waiting job that another shard has.
type handedOver struct {
	queue string
	until Time
}

// RowsLoaded reports whether the jobs that earlier schedulers have accepted are loaded.
func (s *Scheduler) RowsLoaded() bool { return s.rows.loaded }

// Pending returns the number of jobs of each queue of which no task has begun. A start that isn't confirmed
// doesn't count as one: its runner may have crashed before. A job that moves counts until the other shard
// counts it.
func (s *Scheduler) Pending(now Time) map[string]int {
	n := make(map[string]int)
	for _, j := range s.jobs {
		if !j.ran && j.accepted() && (!j.ended || j.moving()) {
			n[j.work.Queue]++
		}
	}
	for _, m := range s.rows.moving {
		if !m.record.Begun() {
			n[m.record.Definition.Queue]++
		}
	}
	s.rows.handedOver = slices.DeleteFunc(s.rows.handedOver, func(h handedOver) bool { return now >= h.until })
	for _, h := range s.rows.handedOver {
		n[h.queue]++
	}
	return n
}

// accepted reports whether the job is in the store or needn't be.
func (j *job) accepted() bool { return j.stored == nil || j.stored.accepted }
