package admission

import (
	"slices"

	"github.com/cespare/xxhash/v2"

	"sapphirepoint.example/sapphirepoint/core/task"
)

// memberList is the content of the platform's member list and the times at which it was read.
type memberList struct {
	known bool
	nodes []string
	hash  uint64
	// version is the version of the list, nodesVersion the first version seen with these nodes.
	version, nodesVersion uint64
	// slots is the number of slots of each institution's listed upstreams.
	slots map[string]int
	// readAt is when the list was last read, changedAt when these nodes were first read.
	readAt, changedAt task.Time
	// agreed: all declared entry processes are listed, and each has reported that it uses a list
	// with the same nodes and is within its limits.
	agreed bool
}

// SetMembers applies a new version of the platform's member list.
func (q *Quotas) SetMembers(now task.Time, m task.Members) {
	nodes := make([]string, 0, len(m.Nodes))
	for _, n := range m.Nodes {
		nodes = append(nodes, n.Name)
	}
	slices.Sort(nodes)
	if !q.list.known || !slices.Equal(nodes, q.list.nodes) {
		q.setNodes(now, nodes)
		q.list.nodesVersion = m.Version
	}
	q.list.version = m.Version
	q.list.slots = make(map[string]int)
	for _, u := range m.Upstreams {
		q.list.slots[u.Institution] += int(u.Slots)
	}
	q.list.readAt = now
	q.divideUnits()
	q.endWaitsEarly(now)
}

func (q *Quotas) setNodes(now task.Time, nodes []string) {
	h := xxhash.New()
	for _, n := range nodes {
		_, _ = h.WriteString(n)
		_, _ = h.Write([]byte{0})
	}
	q.list.known = true
	q.list.nodes = nodes
	q.list.hash = h.Sum64()
	q.list.changedAt = now
	q.list.agreed = false
}

// MembersUnchanged records that the list was read and hasn't changed.
func (q *Quotas) MembersUnchanged(now task.Time) {
	q.list.readAt = now
}

// remainderUsable reports whether the remainder units that the list assigns to this process may be
// used.
//
// A process that is disconnected from the platform can't read that it was removed from the list
// and its units were reassigned. It stops using them when its last reading is older than
// MaxListAge. The new owners wait for remainderWait plus maxTaskOverrun, unless all processes have
// reported that they use the same list.
func (q *Quotas) remainderUsable(now task.Time) bool {
	if !q.list.known || now < q.floorUsableFrom || now-q.list.readAt >= MaxListAge {
		return false
	}
	return q.list.agreed || now >= q.list.changedAt+remainderWait+q.maxTaskOverrun
}

// endWaitsEarly ends the waits for remainder and floor units if all declared entry processes are
// listed and their reports show that the units aren't in use elsewhere. A live process that isn't
// listed can't report, so the waits go on while fewer processes are listed than declared.
func (q *Quotas) endWaitsEarly(now task.Time) {
	if !q.list.known || len(q.list.nodes) < q.entryVMs || q.list.agreed && q.noPredecessorLoans {
		return
	}
	agreed, noneHeld := true, true
	for _, name := range q.list.nodes {
		if name == q.self.Node {
			continue
		}
		p := q.peerByNode(name)
		if p == nil {
			return
		}
		// A report made under an earlier list with the same nodes doesn't count if a list with
		// other nodes came in between: the peer may use that one now.
		same := p.nodesHash == q.list.hash && p.listVersion >= q.list.nodesVersion
		agreed = agreed && same && p.withinLimits
		noneHeld = noneHeld && !p.holdsPredecessorLoans
	}
	q.list.agreed = q.list.agreed || agreed
	if noneHeld && !q.noPredecessorLoans {
		q.noPredecessorLoans = true
		q.floorUsableFrom = min(q.floorUsableFrom, now)
	}
}

func (q *Quotas) peerByNode(node string) *quotaPeer {
	for inc, p := range q.peers {
		if inc.Node == node && p.statusReceived {
			return p
		}
	}
	return nil
}

// withinLimits reports whether this process lends and holds no more units than it may.
func (q *Quotas) withinLimits(now task.Time) bool {
	for _, l := range q.sortedLimits {
		if l.lent+l.held > l.ownUnits(q, now)+l.usableBorrowed(now) && !l.nonBinding() {
			return false
		}
	}
	return true
}
