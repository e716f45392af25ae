package gateway

import "slices"

// The choice of the shard that a job is handed in to.

// FallbackShards are the shards that an entry process hands jobs in to, home shards included.
type FallbackShards struct {
	// SameCell are the shards of its own cell, OtherCells those of other cells.
	SameCell, OtherCells []int
}

// chooseShard is the shard that a job goes to, if one has a reachable leader. While runs that
// an earlier scheduler started may be alive, it is the shard that the job was in, since only
// the runners of that shard list them.
func (g *Gateway) chooseShard(j *inFlightJob) (int, bool) {
	if j.priorSubmissions > 0 && g.now < j.uncertainUntil || j.job.Stored {
		return j.shard, g.hasReachableLeader(j.shard)
	}
	if g.hasReachableLeader(j.home) {
		return j.home, true
	}
	if s, ok := g.shortestWait(j, g.fallback.SameCell); ok {
		return s, true
	}
	return g.shortestWait(j, g.fallback.OtherCells)
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
			g.reportElsewhere(j.home, j)
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
