package dispatch

import (
	"maps"
	"slices"

	pb "sapphirepoint.example/sapphirepoint/gen/sapphirepointv1"
)

// drain begins the planned stop: the process accepts no new work, notifies the peers and
// finishes the work in progress.
func (c *Core) drain() {
	if c.draining {
		return
	}
	c.draining = true
	for _, p := range c.sortedPeers() {
		c.peers[p].lastSent = 0
	}
	c.sendStatus()
	c.endSuspended()
}

// endSuspended ends the jobs without waiters of which nothing has started; otherwise
// the stop would wait for their deadlines.
func (c *Core) endSuspended() {
	for _, id := range slices.Sorted(maps.Keys(c.jobs)) {
		if sub := c.jobs[id]; len(sub.waiters) == 0 && !sub.assembly.MayHaveRun() {
			c.giveUp(sub, pb.Reason_REASON_NOT_SERVING, "the process is stopping")
		}
	}
}

// checkDrained continues a planned stop once nothing is in progress: it hands the
// retained answers over, then reports the end of the stop, once.
func (c *Core) checkDrained() {
	if !c.draining || c.drained || c.busy() {
		return
	}
	if c.succession.handover == nil {
		c.beginHandover()
	}
	if !c.succession.handover.done {
		return
	}
	c.drained = true
	c.emit(Drained{})
}

// busy reports whether any request, job, start or claim write is in progress.
func (c *Core) busy() bool {
	return len(c.requests)+len(c.jobs)+len(c.submissions)+len(c.starts) > 0 || c.claims.inFlight != nil
}
