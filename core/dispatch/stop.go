package dispatch

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
	c.checkDrained()
}

// checkDrained reports once that nothing is in progress any more.
func (c *Core) checkDrained() {
	if !c.draining || c.drained || len(c.jobs) > 0 || len(c.starts) > 0 || c.claiming() {
		return
	}
	c.drained = true
	c.emit(Drained{})
}

func (c *Core) claiming() bool {
	return len(c.claims.waiting) > 0 || c.claims.inFlight != nil || len(c.forwards) > 0
}
