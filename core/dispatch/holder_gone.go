package dispatch

import (
	"maps"
	"time"

	"sapphirepoint.example/sapphirepoint/core/task"
)

// predecessorGoneAfter is how long a later run of an entry VM must be known before its
// predecessor counts as gone. It is longer than a connection may be silent, so that a
// peer that adopted the predecessor has announced it by then.
const predecessorGoneAfter = 3 * time.Second

const (
	// maxRequestedHolders bounds the remembered holders in succession.requested.
	maxRequestedHolders = 1000
	// requestedHolderTTL is how long they are remembered.
	requestedHolderTTL = time.Minute
)

// succession is the state of incarnations that have or may have ended, and the
// handover of this one.
type succession struct {
	// latestRuns is the latest run of each entry VM that connected.
	latestRuns map[string]knownRun
	// requested is when the first request for a holder arrived, for holders that were not
	// connected then.
	requested map[task.Incarnation]task.Time
	// adopted are the incarnations whose successor is this process, successors the
	// peers that are the successors of others.
	adopted    map[task.Incarnation]*adopted
	successors map[task.Incarnation]successor
	handover   *handover
}

func newSuccession() succession {
	return succession{
		latestRuns: make(map[string]knownRun),
		requested:  make(map[task.Incarnation]task.Time),
		adopted:    make(map[task.Incarnation]*adopted),
		successors: make(map[task.Incarnation]successor),
	}
}

// knownRun is the latest run of an entry VM that connected, and since when it is known.
type knownRun struct {
	run   uint64
	since task.Time
}

func (c *Core) recordRun(p task.Incarnation) {
	if c.succession.latestRuns[p.Node].run != p.Run {
		c.succession.latestRuns[p.Node] = knownRun{p.Run, c.now}
	}
}

// holderGone reports whether it is certain that no process will ever answer for an
// incarnation. Neither silence nor the platform's list proves it: a holder that is
// partitioned or paused may still finish its jobs, and a caller who was answered that a job
// failed might submit it again and have it done twice. The proof is a later run of the same
// entry VM, while every listed entry VM is connected and has not adopted the ended run.
func (c *Core) holderGone(holder task.Incarnation) bool {
	return c.hasLaterRun(holder) && c.allNodesReporting()
}

// hasLaterRun reports whether another run of the holder's entry VM is certainly later than
// the holder. Runs are random numbers without an order: the run known here may be an earlier
// one whose end has not been detected yet. The first request for the holder shows that the
// holder existed by then, in place of any earlier run. So another run counts as later only if
// a message of it arrived predecessorGoneAfter after that request or later.
func (c *Core) hasLaterRun(holder task.Incarnation) bool {
	requested, requestedBefore := c.succession.requested[holder]
	if !requestedBefore && len(c.succession.requested) < maxRequestedHolders {
		c.succession.requested[holder] = c.now
	}
	if holder.Node == c.cfg.Self.Node {
		// This process is the other run. Without this case a caller that reaches
		// only the successor of a holder would never get a final answer.
		return requestedBefore && c.now >= requested+predecessorGoneAfter
	}
	known, ok := c.succession.latestRuns[holder.Node]
	if !requestedBefore || !ok || known.run == holder.Run || c.now < known.since+predecessorGoneAfter {
		return false
	}
	other := c.peers[task.Incarnation{Node: holder.Node, Run: known.run}]
	return other != nil && other.lastContact >= requested+predecessorGoneAfter
}

func (c *Core) expireRequested() {
	maps.DeleteFunc(c.succession.requested, func(_ task.Incarnation, at task.Time) bool { return at+requestedHolderTTL <= c.now })
}

// allNodesReporting reports whether every listed entry VM is connected and has sent a
// status.
func (c *Core) allNodesReporting() bool {
	reporting := make(map[string]bool, len(c.peers))
	for p, peer := range c.peers {
		if peer.status != nil {
			reporting[p.Node] = true
		}
	}
	for _, n := range c.view.List().Nodes {
		if n.Name != c.cfg.Self.Node && !reporting[n.Name] {
			return false
		}
	}
	return true
}
