package slots

import (
	"slices"

	"sapphirepoint.example/sapphirepoint/core/heap"
	"sapphirepoint.example/sapphirepoint/core/task"
)

// SetMembers divides the slots according to a new member list. If the nodes of the failure domain
// haven't changed, only upstreams that are new or have another number of slots are divided.
//
// A busy slot that gets another owner is given up when its task ends. Until then the upstream's own
// limit prevents a second task on it.
func (p *Pool) SetMembers(m task.Members) {
	nodes := domainNodes(m, p.domain, p.self)
	same := slices.Equal(nodes, p.nodes)
	p.nodes = nodes
	for _, u := range p.upstreams {
		u.listed = false
	}
	for i := range m.Upstreams {
		p.setUpstream(&m.Upstreams[i], same)
	}
	p.dropUnlisted()
	p.recallMoved(m)
}

// domainNodes lists the nodes among which a domain's slots are divided, in the order of their names.
// It includes self in any case, because a node uses its slots until it has stopped.
func domainNodes(m task.Members, domain, self string) []string {
	var nodes []string
	if self != "" {
		nodes = append(nodes, self)
	}
	for _, n := range m.Nodes {
		if n.FailureDomain == domain && n.Name != self && !n.Leaving {
			nodes = append(nodes, n.Name)
		}
	}
	slices.Sort(nodes)
	return nodes
}

// setUpstream applies the entry of an upstream in the member list. sameNodes: the slots are divided
// among the same nodes as before.
func (p *Pool) setUpstream(m *task.Upstream, sameNodes bool) {
	u := p.upstream(m.Name, m.Institution)
	u.domain = m.FailureDomain
	u.listed = !m.Leaving
	u.grow(m.Slots)
	if !u.listed {
		return
	}
	if u.domain != p.domain {
		p.giveUpUpstream(u)
		return
	}
	if sameNodes && u.dividedSlots == m.Slots {
		return
	}
	u.dividedSlots = m.Slots
	for _, r := range u.slots {
		mine := r.index < m.Slots && Owner(r.slot(), p.nodes) == p.self
		p.setOwned(r, mine)
	}
}

// giveUpUpstream gives up the owned slots of an upstream.
func (p *Pool) giveUpUpstream(u *upstream) {
	if u.dividedSlots == 0 {
		return
	}
	u.dividedSlots = 0
	for _, r := range u.slots {
		p.setOwned(r, false)
	}
}

// setOwned records whether this process owns a slot.
func (p *Pool) setOwned(r *slotRecord, mine bool) {
	switch {
	case mine == (r.right == rightOwned):
	case mine:
		p.takeOwnership(r)
	default:
		p.giveUpOwnership(r)
	}
}

// takeOwnership records that this process owns a slot. If the slot was borrowed, the loan is dropped
// without a return, and a task on it goes on.
func (p *Pool) takeOwnership(r *slotRecord) {
	if r.right == rightBorrowed {
		p.dropBorrowed(r)
	}
	p.owned++
	r.grantRight(rightOwned)
}

// giveUpOwnership gives up an owned slot, usually because another node owns it now. If the slot is
// lent, nothing is sent to the borrower: it recalls the slot itself when it gets the member list,
// see recallMoved.
func (p *Pool) giveUpOwnership(r *slotRecord) {
	p.owned--
	switch r.state {
	case lent:
		p.institutionSlots(r.upstream.institution).lent--
		r.state = idle
		r.right = rightNone
	case coolingDown:
		p.coolingDown = heap.Drop(p.coolingDown, r)
		r.revokeRight()
		r.state = idle
	default:
		r.revokeRight()
	}
}

// dropUnlisted gives up the slots of upstreams that are leaving or no longer listed. An upstream is
// removed once none of its slots is in use.
func (p *Pool) dropUnlisted() {
	var gone []string
	for name, u := range p.upstreams {
		if !u.listed {
			gone = append(gone, name)
		}
	}
	slices.Sort(gone)
	for _, name := range gone {
		u := p.upstreams[name]
		p.giveUpUpstream(u)
		inUse := false
		for _, r := range u.slots {
			if r.right == rightBorrowed {
				p.recall(r)
			}
			inUse = inUse || r.state != idle
		}
		if !inUse {
			delete(p.upstreams, name)
		}
	}
}

// recallMoved recalls borrowed slots that another node than the lender owns now. The new owner has
// no record of the loan and may start tasks on them.
func (p *Pool) recallMoved(m task.Members) {
	nodes := make(map[string][]string)
	for _, d := range p.sortedLenders() {
		for _, r := range slices.Clone(d.slots) {
			domain := r.upstream.domain
			if nodes[domain] == nil {
				nodes[domain] = domainNodes(m, domain, "")
			}
			if Owner(r.slot(), nodes[domain]) != r.peer.Node {
				p.recall(r)
			}
		}
	}
}

// sortedLenders lists the accounts that have borrowed slots, in the order of the lenders.
func (p *Pool) sortedLenders() []*lenderAccount {
	list := make([]*lenderAccount, 0, len(p.borrowed))
	for _, d := range p.borrowed {
		if len(d.slots) > 0 {
			list = append(list, d)
		}
	}
	slices.SortFunc(list, func(a, b *lenderAccount) int {
		return compareIncarnations(a.slots[0].peer, b.slots[0].peer)
	})
	return list
}

func compareIncarnations(a, b task.Incarnation) int {
	switch {
	case a.Node < b.Node:
		return -1
	case a.Node > b.Node:
		return 1
	case a.Run < b.Run:
		return -1
	case a.Run > b.Run:
		return 1
	}
	return 0
}
