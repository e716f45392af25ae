package admission

import (
	"slices"

	"github.com/cespare/xxhash/v2"

	"sapphirepoint.example/sapphirepoint/core/task"
)

// list is what the platform's list says, and since when.
type list struct {
	known bool
	nodes []string
	hash  uint64
	// version is the list's, since the first with these nodes.
	version, since uint64
	// slots is how many each institution's upstreams have.
	slots map[string]int
	// read is the latest reading, changed the first with these nodes.
	read, changed task.Time
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
		q.list.since = m.Version
	}
	q.list.version = m.Version
	q.list.slots = make(map[string]int)
	for _, u := range m.Upstreams {
		q.list.slots[u.Institution] += int(u.Slots)
	}
	q.list.read = now
	q.divide()
	q.settle(now)
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
	q.list.changed = now
	q.list.agreed = false
}

// MembersUnchanged says that the list was read and hasn't changed.
func (q *Quotas) MembersUnchanged(now task.Time) {
	q.list.read = now
}

// remainderUsable says whether the units that the list gives may be used.
//
// A process that is cut off from the platform doesn't learn that it was taken
// off the list and its units were given to others. It stops to use them when
// its reading is old; the others wait that long, unless they have heard from
// every process there can be that it goes by the same list.
func (q *Quotas) remainderUsable(now task.Time) bool {
	if !q.list.known || now < q.floorFrom || now-q.list.read >= MaxListAge {
		return false
	}
	return q.list.agreed || now >= q.list.changed+remainderWait+q.overhang
}

// settle looks whether waits can end early, because every process there can be
// is listed, has been heard and uses no more than it may. One that lives but
// isn't listed can't be heard, so with fewer than declared the waits stand.
func (q *Quotas) settle(now task.Time) {
	if !q.list.known || len(q.list.nodes) < q.entryVMs || q.list.agreed && q.cleared {
		return
	}
	agreed, cleared := true, true
	for _, name := range q.list.nodes {
		if name == q.self.Node {
			continue
		}
		p := q.peerNamed(name)
		if p == nil {
			return
		}
		// What it said of an earlier list with the same nodes, before one with
		// others in between, is void: it may go by that other one.
		same := p.nodes == q.list.hash && p.version >= q.list.since
		agreed = agreed && same && p.settled
		cleared = cleared && !p.owesPredecessor
	}
	q.list.agreed = q.list.agreed || agreed
	if cleared && !q.cleared {
		q.cleared = true
		q.floorFrom = min(q.floorFrom, now)
	}
}

func (q *Quotas) peerNamed(node string) *quotaPeer {
	for inc, p := range q.peers {
		if inc.Node == node && p.heard {
			return p
		}
	}
	return nil
}

// settledHere says whether this process uses no more than it may.
func (q *Quotas) settledHere(now task.Time) bool {
	for _, l := range q.order {
		if l.lent+l.held > l.base(q, now)+l.usable(now) && !l.slack() {
			return false
		}
	}
	return true
}
