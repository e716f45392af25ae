package schedule

import (
	"slices"
	"time"
)

// The number of waiting jobs, as callers may query it.

// movedAwayOverlap is how long a job still counts here after another shard has acknowledged it. The counts of the
// two shards reach other processes with different heartbeats.
const movedAwayOverlap = 400 * time.Millisecond

// movedAway is a waiting job that another shard has acknowledged. It counts here until a time.
type movedAway struct {
	queue string
	until Time
}

// Pending returns the number of jobs of each queue of which no run has begun. A run whose start isn't confirmed
// hasn't, since its runner may have crashed before. A job that moves to another shard counts here until that shard
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
	s.rows.movedAway = slices.DeleteFunc(s.rows.movedAway, func(h movedAway) bool { return now >= h.until })
	for _, h := range s.rows.movedAway {
		n[h.queue]++
	}
	return n
}

// accepted reports whether the job is in the store or needn't be.
func (j *job) accepted() bool { return j.stored == nil || j.stored.accepted }
