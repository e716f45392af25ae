package dispatch

func (c *Core) stateSizes() map[string]int {
	return map[string]int{
		"submissions": len(c.submissions),
		"jobs":        len(c.jobs),
		"starts":      len(c.starts),
		"forwards":    len(c.forwarding.forwards),
		"kept":        c.answers.Len(),
		"kept bytes":  c.answers.Bytes(),
		"requests":    len(c.requests),
		"holders":     c.holders.Len(),
		"unsettled":   c.unsettledClaims.Len(),
		"adopted":     len(c.succession.adopted),
		"successors":  len(c.succession.successors),
		"claims":      len(c.claims.waiting) + len(c.claims.inFlight),
		"queued jobs": c.queue.Jobs(),
		"id blocks":   c.issuer.Blocks(),
		"loans":       len(c.lending.granted),
		"loans asked": len(c.lending.requested),
		"asked":       len(c.succession.requested),
		"timers":      len(c.timers) / 10,
	}
}
