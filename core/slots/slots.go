// Package slots divides the execution slots of a failure domain's upstreams
// among its entry processes, and keeps account of those that one process may
// use: its own, less those lent to peers, and those borrowed from peers.
package slots

import (
	"sapphirepoint.example/sapphirepoint/core/rendezvous"
	"sapphirepoint.example/sapphirepoint/core/task"
)

// Owner picks the owner of a slot among the nodes of its failure domain.
func Owner(slot task.Slot, nodes []string) string {
	return rendezvous.Owner(nodes, slot.Upstream, slot.Index)
}

// Pool is the account of the slots that this process may use. Taking and
// releasing one costs the logarithm of the upstreams and allocates nothing.
type Pool struct {
	self         string
	domain       string
	upstreams    map[string]*upstream
	institutions map[string]*institutionSlots
	// nodes are those among which the slots were last divided.
	nodes []string
	owned int
	// coolingDown are slots that open again at a time, the earliest first.
	coolingDown []*slotRecord
	// borrowed are the slots borrowed from each peer.
	borrowed map[task.Incarnation]*lenderAccount
}

// NewPool returns an empty pool for a node in a failure domain.
func NewPool(self, domain string) *Pool {
	return &Pool{
		self:         self,
		domain:       domain,
		upstreams:    make(map[string]*upstream),
		institutions: make(map[string]*institutionSlots),
		borrowed:     make(map[task.Incarnation]*lenderAccount),
	}
}

// Acquire takes an idle slot of an institution's upstreams, of the upstream
// with the least load for its weight. Borrowed slots go before own ones, because
// an own one that stays idle can be lent to any peer, while a borrowed one would
// have to go home first.
func (p *Pool) Acquire(institution string) (task.Slot, bool) {
	l := p.institutions[institution]
	if l == nil || l.owned.count+l.borrowed.count == 0 {
		return task.Slot{}, false
	}
	groups := l.borrowed.groups
	if len(groups) == 0 {
		groups = l.owned.groups
	}
	g := groups[0]
	r := g.popIdle()
	r.state = busy
	g.busy++
	g.update()
	return r.slot(), true
}

// Release gives a slot back after its task ended.
func (p *Pool) Release(s task.Slot) {
	p.ReleaseWithCooldown(s, 0)
}

// ReleaseWithCooldown gives a slot back that must not be used before a time: after a
// refusal, or when a task may still run on it. EndCooldowns makes it usable again.
func (p *Pool) ReleaseWithCooldown(s task.Slot, until task.Time) {
	r := p.find(s)
	if r == nil || r.state != busy {
		return
	}
	r.state = idle
	g := r.group()
	if g == nil {
		return
	}
	g.busy--
	if until > 0 {
		p.startCooldown(r, until)
		g.update()
		return
	}
	g.pushIdle(r)
	g.update()
	if r.recalled {
		p.returnSlot(r)
	}
}

// SetWeight says how much of its load an upstream should get, from 0 (closed:
// nothing is started on it) to 1. In between it is preferred less, and at most
// that part of the slots held is used at once, but one at least.
func (p *Pool) SetWeight(name string, weight float64) {
	u := p.upstreams[name]
	if u == nil || u.weight == weight {
		return
	}
	u.weight = weight
	u.owned.update()
	u.borrowed.update()
}

// Idle is the number of slots of an institution that may be taken now.
func (p *Pool) Idle(institution string) int {
	if l := p.institutions[institution]; l != nil {
		return l.owned.count + l.borrowed.count
	}
	return 0
}

// IdleOwn is the number of own slots among them.
func (p *Pool) IdleOwn(institution string) int {
	if l := p.institutions[institution]; l != nil {
		return l.owned.count
	}
	return 0
}

// TotalIdleOwn is the number of own slots that may be taken now, over all
// institutions.
func (p *Pool) TotalIdleOwn() int {
	n := 0
	for _, l := range p.institutions {
		n += l.owned.count
	}
	return n
}

// Held is the number of slots of an institution that this process has the use
// of: its own that aren't lent, and borrowed ones.
func (p *Pool) Held(institution string) int {
	if l := p.institutions[institution]; l != nil {
		return l.held
	}
	return 0
}

// Lent is the number of own slots of an institution that peers have the use of.
func (p *Pool) Lent(institution string) int {
	if l := p.institutions[institution]; l != nil {
		return l.lent
	}
	return 0
}

// Owned is the number of slots owned over all institutions, lent ones included.
func (p *Pool) Owned() int {
	return p.owned
}

func (p *Pool) find(s task.Slot) *slotRecord {
	u := p.upstreams[s.Upstream]
	if u == nil || int(s.Index) >= len(u.slots) {
		return nil
	}
	return u.slots[s.Index]
}

func (p *Pool) institutionSlots(institution string) *institutionSlots {
	l := p.institutions[institution]
	if l == nil {
		l = &institutionSlots{}
		p.institutions[institution] = l
	}
	return l
}
