// Package slots divides the execution slots of a failure domain's upstreams
// among its entry processes and keeps account of those that one process owns.
package slots

import (
	"slices"
	"strings"

	"github.com/cespare/xxhash/v2"

	"sapphirepoint.example/sapphirepoint/core/task"
)

// Owner picks the owner of a slot among the nodes by rendezvous hashing, so
// that a node that joins or leaves moves only its own share.
func Owner(slot task.Slot, nodes []string) string {
	var best string
	var top uint64
	var buf [128]byte
	for _, n := range nodes {
		b := append(buf[:0], n...)
		b = append(b, 0)
		b = append(b, slot.Upstream...)
		b = append(b, 0, byte(slot.Index), byte(slot.Index>>8))
		if h := xxhash.Sum64(b); best == "" || h > top {
			best, top = n, h
		}
	}
	return best
}

type slotState struct {
	institution string
	busy        bool
	owned       bool
}

// Pool is the account of the slots that this process may use.
type Pool struct {
	self   string
	domain string
	slots  map[task.Slot]*slotState
	idle   map[string][]task.Slot
}

// NewPool returns an empty pool for a node in a failure domain.
func NewPool(self, domain string) *Pool {
	return &Pool{
		self:   self,
		domain: domain,
		slots:  make(map[task.Slot]*slotState),
		idle:   make(map[string][]task.Slot),
	}
}

// SetMembers divides the slots anew. A busy slot that another node owns from
// now on is given up when its task ends; until then the upstream's own limit
// refuses a second use.
func (p *Pool) SetMembers(m task.Members) {
	nodes := p.domainNodes(m)
	owned := make(map[task.Slot]string)
	for _, u := range m.Upstreams {
		if u.Leaving || u.FailureDomain != p.domain {
			continue
		}
		for i := uint32(0); i < u.Slots; i++ {
			s := task.Slot{Upstream: u.Name, Index: i}
			if Owner(s, nodes) == p.self {
				owned[s] = u.Institution
			}
		}
	}
	p.apply(owned)
}

func (p *Pool) domainNodes(m task.Members) []string {
	nodes := []string{p.self}
	for _, n := range m.Nodes {
		if n.FailureDomain == p.domain && n.Name != p.self && !n.Leaving {
			nodes = append(nodes, n.Name)
		}
	}
	slices.Sort(nodes)
	return nodes
}

func (p *Pool) apply(owned map[task.Slot]string) {
	for s, st := range p.slots {
		_, still := owned[s]
		st.owned = still
		if !still && !st.busy {
			delete(p.slots, s)
		}
	}
	for s, institution := range owned {
		if p.slots[s] == nil {
			p.slots[s] = &slotState{institution: institution}
		}
		p.slots[s].owned = true
	}
	p.rebuildIdle()
}

func (p *Pool) rebuildIdle() {
	clear(p.idle)
	for s, st := range p.slots {
		if !st.busy {
			p.idle[st.institution] = append(p.idle[st.institution], s)
		}
	}
	for _, list := range p.idle {
		slices.SortFunc(list, compareSlots)
	}
}

func compareSlots(a, b task.Slot) int {
	if a.Index != b.Index {
		return int(b.Index) - int(a.Index)
	}
	return strings.Compare(a.Upstream, b.Upstream)
}

// Acquire takes an idle slot of an institution's upstreams.
func (p *Pool) Acquire(institution string) (task.Slot, bool) {
	list := p.idle[institution]
	if len(list) == 0 {
		return task.Slot{}, false
	}
	s := list[len(list)-1]
	p.idle[institution] = list[:len(list)-1]
	p.slots[s].busy = true
	return s, true
}

// Release gives a slot back.
func (p *Pool) Release(s task.Slot) {
	st := p.slots[s]
	if st == nil || !st.busy {
		return
	}
	st.busy = false
	if !st.owned {
		delete(p.slots, s)
		return
	}
	p.idle[st.institution] = append(p.idle[st.institution], s)
}

// Idle is the number of idle slots of an institution.
func (p *Pool) Idle(institution string) int {
	return len(p.idle[institution])
}

// Owned is the number of slots owned over all institutions.
func (p *Pool) Owned() int {
	n := 0
	for _, st := range p.slots {
		if st.owned {
			n++
		}
	}
	return n
}
