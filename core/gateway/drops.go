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
	// shard had the job, and scheduler led it; "" if the job was withdrawn from it. home is the shard that it belongs to.
	shard, home int
	scheduler   leader.ID
}

// recentDrops are the hand-ins that were dropped during the last retention.
type recentDrops struct {
	retention time.Duration
	// latest is each job's last dropped hand-in; ordered has all, oldest first.
	latest  map[workload.JobID]droppedHandIn
	ordered []droppedHandIn
}

func newRecentDrops(retention time.Duration) recentDrops {
	return recentDrops{latest: make(map[workload.JobID]droppedHandIn), retention: retention}
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

// handInOf returns what is remembered of a job's hand-in that ends now.
func (g *Gateway) handInOf(j *inFlightJob) droppedHandIn {
	return droppedHandIn{job: j.job.ID, at: g.now, shard: j.shard, home: j.home, scheduler: j.scheduler}
}

// rememberDrop remembers that a job's hand-in is dropped now.
func (g *Gateway) rememberDrop(j *inFlightJob) { g.drops.add(g.handInOf(j)) }

// rememberRuns remembers that a run of a job may be alive on a silent runner, as the job is withdrawn from its scheduler or
// given up by it.
func (g *Gateway) rememberRuns(j *inFlightJob) {
	if !j.job.Stored {
		g.mayRun.add(g.handInOf(j))
	}
}

// notePriorHandIn records that a run of a new job may be alive: a hand-in of it was dropped, withdrawn or given up
// shortly before.
func (g *Gateway) notePriorHandIn(j *inFlightJob) {
	if j.job.Stored {
		return
	}
	if h, ok := g.drops.latest[j.job.ID]; ok {
		g.notePriorRuns(j, h, h.at+orphanRunTTL)
	}
	if h, ok := g.mayRun.latest[j.job.ID]; ok {
		g.notePriorRuns(j, h, h.at+silentRunTTL)
	}
}

// notePriorRuns keeps a new job in the shard whose runners may have runs of it until a time, unless the scheduler that
// knows these runs leads the job's home. Other shards don't know of these runners.
func (g *Gateway) notePriorRuns(j *inFlightJob, h droppedHandIn, overAt Time) {
	if g.now >= overAt || overAt < j.staysUntil || h.shard == j.home && g.leads(h.scheduler, h.shard) {
		return
	}
	j.shard, j.priorSubmissions = h.shard, 1
	j.uncertainUntil, j.staysUntil = max(j.uncertainUntil, h.at+orphanRunTTL), overAt
}

// leads reports whether a process is the reachable leader of a shard.
func (g *Gateway) leads(id leader.ID, shard int) bool {
	return id != "" && g.choices[shard].Leader == id && g.choices[shard].Reachable
}
