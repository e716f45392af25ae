package gateway

import (
	"slices"

	"sapphirepoint.example/sapphirepoint/core/leader"
)

// The choice of the shard that a job is handed in to.

// FallbackShards are the shards that an entry process hands jobs in to, home shards included.
type FallbackShards struct {
	// SameCell are the shards of its own cell, OtherCells those of other cells.
	SameCell, OtherCells []int
}

// chooseShard is the shard that a job goes to, if one has a reachable leader. While runs that
// an earlier scheduler started may be alive, it is the shard that the job was in, since only
// the runners of that shard list them. It is the job's home while that has lost its leader and will
// have the next one: copies of the job may be in any other shard, and only the home's leader learns
// where.
func (g *Gateway) chooseShard(j *inFlightJob) (int, bool) {
	if g.mayRunInShard(j) || j.job.Stored {
		return j.shard, g.hasReachableLeader(j.shard)
	}
	if g.hasReachableLeader(j.home) {
		return j.home, true
	}
	if g.awaitsLeader(j.home) {
		return j.home, false
	}
	if s, ok := g.shortestWait(j, g.fallback.SameCell); ok {
		return s, true
	}
	return g.shortestWait(j, g.fallback.OtherCells)
}

// mayRunInShard reports whether runs that an earlier scheduler started may be alive on runners of the job's shard.
func (g *Gateway) mayRunInShard(j *inFlightJob) bool {
	return j.priorSubmissions > 0 && g.now < j.staysUntil
}

// SetLeaderExpected sets whether a shard without a reachable leader will have one.
func (g *Gateway) SetLeaderExpected(shard int, expected bool) { g.leaderExpected[shard] = expected }

// awaitsLeader reports whether a shard has lost its leader and will have the next one.
func (g *Gateway) awaitsLeader(shard int) bool {
	_, lost := g.leaderLostAt[shard]
	return lost && g.leaderExpected[shard]
}

// noteLostLeader records that a run of a new job may be alive: its home has lost its leader, which may
// have had the job from another entry process.
func (g *Gateway) noteLostLeader(j *inFlightJob) {
	if j.job.Stored || j.priorSubmissions > 0 || !g.awaitsLeader(j.home) {
		return
	}
	overAt := g.leaderLostAt[j.home] + orphanRunTTL
	j.priorSubmissions, j.uncertainUntil, j.staysUntil = 1, overAt, overAt
}

// recordLoss records when a shard's leader was lost, until the shard has a reachable one.
func (g *Gateway) recordLoss(shard int, c leader.Choice) {
	switch {
	case c.Reachable:
		delete(g.leaderLostAt, shard)
	case g.choices[shard].Reachable:
		g.leaderLostAt[shard] = g.now
	}
}

// shortestWait is the shard with the shortest expected wait among those with a reachable
// leader that haven't refused the job. With equal waits, jobs spread over the shards.
func (g *Gateway) shortestWait(j *inFlightJob, shards []int) (int, bool) {
	best, found := 0, false
	for i := range shards {
		s := shards[(j.home+i)%len(shards)]
		if !g.hasReachableLeader(s) || slices.Contains(j.refusedBy, s) {
			continue
		}
		if !found || g.expectedWaits[s] < g.expectedWaits[best] {
			best, found = s, true
		}
	}
	return best, found
}

// redirect hands a job that was refused for lack of room to a shard with no expected wait, and
// reports whether there is one. It does so once per job: after a second refusal the other shards are
// short of room as well.
func (g *Gateway) redirect(j *inFlightJob) bool {
	if j.redirected || j.priorSubmissions > 0 || j.job.Stored {
		return false
	}
	j.redirected = true
	j.refusedBy = append(j.refusedBy, j.shard)
	for _, shards := range [][]int{g.fallback.SameCell, g.fallback.OtherCells} {
		if s, ok := g.shortestWait(j, shards); ok && g.expectedWaits[s] == 0 {
			g.handTo(j, s)
			g.reportElsewhere(j)
			return true
		}
	}
	return false
}

// mayRedirect reports whether a refused job may go to another shard. A lent job may not: its home
// sends copies of the job to the lender, which would start them beside a run in a third shard. Nor may
// one of which an earlier hand-in was dropped: the refusal may be of that one.
func (g *Gateway) mayRedirect(j *inFlightJob, v Verdict) bool {
	return !v.Lent && !j.lent && !j.droppedBefore
}

// handToLender hands a job to the shard that has granted room for it, and reports whether the job was
// handed to any shard. If the lender's leader isn't reachable from here, the job goes back to its home,
// and nowhere else, since the home sends copies of the job to the lender.
func (g *Gateway) handToLender(j *inFlightJob, v Verdict) bool {
	if j.priorSubmissions > 0 || j.job.Stored {
		return false
	}
	j.lent = true
	if g.hasReachableLeader(v.Lender) {
		j.refusedBy = append(j.refusedBy, j.shard)
		g.handTo(j, v.Lender)
		return true
	}
	if !g.hasReachableLeader(j.home) {
		return false
	}
	c := g.assign(j, j.home)
	c.HandedBack = true
	g.out = append(g.out, c)
	return true
}
