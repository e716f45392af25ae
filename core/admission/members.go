package admission

import (
	"slices"

	"github.com/cespare/xxhash/v2"

	"sapphirepoint.example/sapphirepoint/core/task"
)

// memberList is what the platform's memberList says, and since when.
type memberList struct {
	known bool
	nodes []string
	hash  uint64
	// version is the list's, nodesVersion the first with these nodes.
	version, nodesVersion uint64
	// slots is how many each institution's upstreams have.
	slots map[string]int
	// readAt is the latest reading, changedAt the first with these nodes.
	readAt, changedAt task.Time
	// agreed: every process there can be has said that it goes by these nodes.
	agreed bool
}

// SetMembers takes a new version of the platform's list.
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

// MembersUnchanged says that the list was read and hasn't changed.
func (q *Quotas) MembersUnchanged(now task.Time) {
	q.list.readAt = now
}

// remainderUsable says whether the units that the list gives may be used.
//
// A process that is cut off from the platform doesn't learn that it was taken
// off the list and its units were given to others. It stops to use them when
// its reading is old; the others wait that long, unless they have heard from
// every process there can be that it goes by the same list.
func (q *Quotas) remainderUsable(now task.Time) bool {
	if !q.list.known || now < q.floorUsableFrom || now-q.list.readAt >= MaxListAge {
		return false
	}
	return q.list.agreed || now >= q.list.changedAt+remainderWait+q.maxTaskOverrun
}

// endWaitsEarly looks whether waits can end early, because every process there can be
// is listed, has been heard and uses no more than it may. One that lives but
// isn't listed can't be heard, so with fewer than declared the waits stand.
func (q *Quotas) endWaitsEarly(now task.Time) {
	if !q.list.known || len(q.list.nodes) < q.entryVMs || q.list.agreed && q.noPredecessorLoans {
		return
	}
	agreed, cleared := true, true
	for _, name := range q.list.nodes {
		if name == q.self.Node {
			continue
		}
		p := q.peerByNode(name)
		if p == nil {
			return
		}
		// What it said of an earlier list with the same nodes, before one with
		// others in between, is void: it may go by that other one.
		same := p.nodesHash == q.list.hash && p.listVersion >= q.list.nodesVersion
		agreed = agreed && same && p.withinLimits
		cleared = cleared && !p.holdsPredecessorLoans
	}
	q.list.agreed = q.list.agreed || agreed
	if cleared && !q.noPredecessorLoans {
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

// withinLimits says whether this process uses no more than it may.
func (q *Quotas) withinLimits(now task.Time) bool {
	for _, l := range q.sortedLimits {
		if l.lent+l.held > l.ownUnits(q, now)+l.usableBorrowed(now) && !l.nonBinding() {
			return false
		}
	}
	return true
}
