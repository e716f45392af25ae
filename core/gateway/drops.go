package gateway

import (
	"time"

	"sapphirepoint.example/sapphirepoint/core/leader"
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
	// shard had the job, and scheduler led it; "" if the job was withdrawn from it.
	shard     int
	scheduler leader.ID
}

// recentDrops are the hand-ins that were dropped during the last retention.
type recentDrops struct {
	retention time.Duration
	// latest is each job's last dropped hand-in; ordered has all, oldest first.
	latest  map[workload.JobID]droppedHandIn
	ordered []droppedHandIn
}

func newRecentDrops() recentDrops {
	return recentDrops{latest: make(map[workload.JobID]droppedHandIn), retention: dropRetention}
}

// add remembers that a hand-in is dropped now.
func (d *recentDrops) add(h droppedHandIn) {
	d.latest[h.job] = h
	d.ordered = append(d.ordered, h)
	d.expire(h.at)
}

// has reports whether a hand-in of a job was dropped recently.
func (d *recentDrops) has(now Time, id workload.JobID) bool {
	h, ok := d.latest[id]
	return ok && now-h.at < d.retention
}

// expire forgets the hand-ins whose retention is over, and the oldest ones if there are too many.
func (d *recentDrops) expire(now Time) {
	for len(d.ordered) > 0 {
		oldest := d.ordered[0]
		if len(d.ordered) <= maxDropsRemembered && now-oldest.at < d.retention {
			return
		}
		d.ordered = d.ordered[1:]
		if d.latest[oldest.job].at == oldest.at {
			delete(d.latest, oldest.job)
		}
	}
}

// rememberDrop remembers that a job's hand-in is dropped now.
func (g *Gateway) rememberDrop(j *inFlightJob) {
	g.drops.add(droppedHandIn{job: j.job.ID, at: g.now, shard: j.shard, scheduler: j.scheduler})
}

// notePriorHandIn records that a run of a new job may be alive: a hand-in of it was dropped shortly
// before, and the scheduler that had it, which knows its runs, doesn't lead any more.
func (g *Gateway) notePriorHandIn(j *inFlightJob) {
	h, ok := g.drops.latest[j.job.ID]
	overAt := h.at + orphanRunLifetime
	if !ok || g.now >= overAt || j.job.Stored || g.leads(h.scheduler, h.shard) {
		return
	}
	j.shard, j.priorSubmissions = h.shard, 1
	j.uncertainUntil, j.staysUntil = overAt, overAt
}

// noteWithdrawal keeps a new job in the shard that had it before, if that shard has lost its leader: a run of it may be
// alive on a runner that is silent, and other shards don't know of that runner. The shard's next leader asks it.
func (g *Gateway) noteWithdrawal(j *inFlightJob) {
	h, ok := g.withdrawals.latest[j.job.ID]
	if !ok || j.job.Stored || !g.fallback.several() || !g.withdrawals.has(g.now, j.job.ID) || g.hasReachableLeader(h.shard) {
		return
	}
	j.shard, j.priorSubmissions = h.shard, 1
	j.uncertainUntil, j.staysUntil = h.at+orphanRunLifetime, h.at+silentRunLifetime
}

// leads reports whether a process is the reachable leader of a shard.
func (g *Gateway) leads(id leader.ID, shard int) bool {
	return id != "" && g.choices[shard].Leader == id && g.choices[shard].Reachable
}
