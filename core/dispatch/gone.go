package dispatch

import (
	"maps"
	"time"

	"sapphirepoint.example/sapphirepoint/core/task"
)

// goneAfter is how long another run of an entry VM must be known before its
// predecessor is declared gone. It is longer than a connection may be silent,
// so that a peer that took over the predecessor's answers has said so by then.
const goneAfter = 3 * time.Second

const (
	// maxAsked bounds the absent holders that are remembered.
	maxAsked = 1000
	// askedFor is for how long.
	askedFor = time.Minute
)

// succession is what is known of incarnations that have ended or may have, and
// the handover of this one.
type succession struct {
	// runs is the latest run of each entry VM that connected.
	runs map[string]knownRun
	// asked is when a holder that wasn't connected was first asked for.
	asked map[task.Incarnation]task.Time
	// adopted are those that this process answers for, successors the peers
	// that answer for others.
	adopted    map[task.Incarnation]*adopted
	successors map[task.Incarnation]successor
	handover   *handover
}

func newSuccession() succession {
	return succession{
		runs:       make(map[string]knownRun),
		asked:      make(map[task.Incarnation]task.Time),
		adopted:    make(map[task.Incarnation]*adopted),
		successors: make(map[task.Incarnation]successor),
	}
}

// knownRun is the latest run of an entry VM that connected, and since when.
type knownRun struct {
	run   uint64
	since task.Time
}

func (c *Core) noteRun(p task.Incarnation) {
	if c.succession.runs[p.Node].run != p.Run {
		c.succession.runs[p.Node] = knownRun{p.Run, c.now}
	}
}

// holderGone says whether it is certain that nobody will ever answer for an
// incarnation. Silence proves nothing, nor does the platform's list: a holder
// that is cut off or paused may yet finish its jobs, and a caller who was told
// that one failed might order it anew and get it twice. The proof is a later
// run of the same entry VM, and that every listed entry VM is connected here
// and doesn't answer for the ended run.
func (c *Core) holderGone(holder task.Incarnation) bool {
	return c.outlived(holder) && c.allHeard()
}

// outlived says whether another run of the holder's entry VM came after it.
// Runs are random and show no order: the run that this process knows may be
// the earlier one, not yet missed. So the other run must be heard from well
// after the holder was first asked for, because by then the holder existed.
func (c *Core) outlived(holder task.Incarnation) bool {
	asked, before := c.succession.asked[holder]
	if !before && len(c.succession.asked) < maxAsked {
		c.succession.asked[holder] = c.now
	}
	if holder.Node == c.cfg.Self.Node {
		// This process is the other run. Left out, a caller that reaches only
		// the successor of a holder would never get a final word.
		return before && c.now >= asked+goneAfter
	}
	known, ok := c.succession.runs[holder.Node]
	if !before || !ok || known.run == holder.Run || c.now < known.since+goneAfter {
		return false
	}
	other := c.peers[task.Incarnation{Node: holder.Node, Run: known.run}]
	return other != nil && other.heard >= asked+goneAfter
}

func (c *Core) expireAsked() {
	maps.DeleteFunc(c.succession.asked, func(_ task.Incarnation, at task.Time) bool { return at+askedFor <= c.now })
}

// allHeard says whether every listed entry VM is connected and has spoken.
func (c *Core) allHeard() bool {
	heard := make(map[string]bool, len(c.peers))
	for p, peer := range c.peers {
		if peer.status != nil {
			heard[p.Node] = true
		}
	}
	for _, n := range c.view.List().Nodes {
		if n.Name != c.cfg.Self.Node && !heard[n.Name] {
			return false
		}
	}
	return true
}
