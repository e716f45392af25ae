package gateway

import (
	"time"

	"sapphirepoint.example/sapphirepoint/core/workload"
)

// A verdict names a job and no hand-in. If a job's hand-in is dropped and the job is handed in again,
// the verdict on the first hand-in may still be on its way, and says nothing of the second one.

const (
	// dropRetention is how long dropped hand-ins are remembered: longer than a verdict on one of them may
	// be on its way. A scheduler that has got the Drop sends none, unless the job is stored; it may then
	// hold its verdict back for 1.1 s.
	dropRetention = 4 * time.Second
	// maxDropsRemembered bounds the memory, in hand-ins.
	maxDropsRemembered = 1 << 16
)

// droppedHandIn is a job whose hand-in was dropped at a time.
type droppedHandIn struct {
	job workload.JobID
	at  Time
}

// recentDrops are the hand-ins that were dropped during the last dropRetention.
type recentDrops struct {
	// latest is when each job's last dropped hand-in was dropped; ordered has all, oldest first.
	latest  map[workload.JobID]Time
	ordered []droppedHandIn
}

func newRecentDrops() recentDrops { return recentDrops{latest: make(map[workload.JobID]Time)} }

// add remembers that a hand-in of a job is dropped now.
func (d *recentDrops) add(now Time, id workload.JobID) {
	d.latest[id] = now
	d.ordered = append(d.ordered, droppedHandIn{job: id, at: now})
	d.expire(now)
}

// has reports whether a hand-in of a job was dropped recently.
func (d *recentDrops) has(now Time, id workload.JobID) bool {
	at, ok := d.latest[id]
	return ok && now-at < dropRetention
}

// expire forgets the hand-ins whose retention is over, and the oldest ones if there are too many.
func (d *recentDrops) expire(now Time) {
	for len(d.ordered) > 0 {
		oldest := d.ordered[0]
		if len(d.ordered) <= maxDropsRemembered && now-oldest.at < dropRetention {
			return
		}
		d.ordered = d.ordered[1:]
		if d.latest[oldest.job] == oldest.at {
			delete(d.latest, oldest.job)
		}
	}
}
