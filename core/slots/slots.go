// Package slots assigns the execution slots of a failure domain's upstreams to its entry processes,
// and tracks those that one process may use: the slots that it owns and hasn't lent to peers, and
// those borrowed from peers.
package slots

import (
	"sapphirepoint.example/sapphirepoint/core/rendezvous"
	"sapphirepoint.example/sapphirepoint/core/task"
)

// Owner returns the node that owns a slot. nodes are those of the slot's failure domain.
func Owner(slot task.Slot, nodes []string) string {
	return rendezvous.Owner(nodes, slot.Upstream, slot.Index)
}

// Pool tracks the slots that this process may use. Acquire and Release take time logarithmic in the
// number of upstreams and allocate nothing.
type Pool struct {
	// self and domain are the name and the failure domain of this process's node.
	self         string
	domain       string
	upstreams    map[string]*upstream
	institutions map[string]*institutionSlots
	// nodes are the nodes among which the slots were last divided.
	nodes []string
	// owned is the number of owned slots, including lent ones.
	owned int
	// coolingDown is a heap of the slots in cooldown, ordered by the end of the cooldown.
	coolingDown []*slotRecord
	// borrowed holds the slots borrowed from each peer.
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

// Acquire takes an idle slot of an institution, from the upstream with the least load relative to
// its weight. It prefers borrowed slots, because an idle slot that this process owns can be lent to
// any peer, while a borrowed one must first be returned to its lender.
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

// Release makes a slot idle after its task has ended.
func (p *Pool) Release(s task.Slot) {
	p.ReleaseWithCooldown(s, 0)
}

// ReleaseWithCooldown releases a slot that must not be used before a given time: after its upstream
// refused a start, or while a task may still run on it. EndCooldowns makes it idle.
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

// SetWeight sets the share of its normal load that an upstream gets, from 0 (no task is started on
// it) to 1. With a weight in between it is chosen less often, and at most that fraction of its slots
// held here, but at least one, is used at once.
func (p *Pool) SetWeight(name string, weight float64) {
	u := p.upstreams[name]
	if u == nil || u.weight == weight {
		return
	}
	u.weight = weight
	u.owned.update()
	u.borrowed.update()
}

// Idle returns the number of slots of an institution that Acquire could take now.
func (p *Pool) Idle(institution string) int {
	if l := p.institutions[institution]; l != nil {
		return l.owned.count + l.borrowed.count
	}
	return 0
}

// IdleOwn returns the number of owned slots of an institution that Acquire could take now.
func (p *Pool) IdleOwn(institution string) int {
	if l := p.institutions[institution]; l != nil {
		return l.owned.count
	}
	return 0
}

// TotalIdleOwn returns the number of owned slots that Acquire could take now, over all
// institutions.
func (p *Pool) TotalIdleOwn() int {
	n := 0
	for _, l := range p.institutions {
		n += l.owned.count
	}
	return n
}

// Held returns the number of slots of an institution that this process may use, idle or busy: owned
// ones that aren't lent, and borrowed ones.
func (p *Pool) Held(institution string) int {
	if l := p.institutions[institution]; l != nil {
		return l.held
	}
	return 0
}

// Lent returns the number of owned slots of an institution that are lent to peers.
func (p *Pool) Lent(institution string) int {
	if l := p.institutions[institution]; l != nil {
		return l.lent
	}
	return 0
}

// Owned returns the number of owned slots over all institutions, including lent ones.
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
