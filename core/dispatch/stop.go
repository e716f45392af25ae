package dispatch

import (
	"maps"
	"slices"

	pb "sapphirepoint.example/sapphirepoint/gen/sapphirepointv1"
)

// drain begins the planned stop: no new work is taken, peers are told, and
// what is in progress is finished.
func (c *Core) drain() {
	if c.draining {
		return
	}
	c.draining = true
	for _, p := range c.sortedPeers() {
		c.peers[p].sent = 0
	}
	c.sendStatus()
	c.endHeldBack()
}

// endHeldBack ends the jobs that nobody waits for and of which nothing has
// started; otherwise the stop would wait for their deadlines.
func (c *Core) endHeldBack() {
	for _, id := range slices.Sorted(maps.Keys(c.jobs)) {
		if sub := c.jobs[id]; len(sub.waiters) == 0 && !sub.assembly.MayHaveRun() {
			c.giveUp(sub, pb.Reason_REASON_NOT_SERVING, "the process is stopping")
		}
	}
}

// checkDrained goes on with a planned stop as soon as nothing is in progress:
// the answers are handed over, then the stop is reported, once.
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

// busy says whether anybody waits for an answer, anything runs or any write is
// under way.
func (c *Core) busy() bool {
	return len(c.requests)+len(c.jobs)+len(c.submissions)+len(c.starts) > 0 || c.claims.inFlight != nil
}
