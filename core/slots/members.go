package slots

import (
	"slices"

	"sapphirepoint.example/sapphirepoint/core/heap"
	"sapphirepoint.example/sapphirepoint/core/task"
)

// SetMembers divides the slots anew after a change of the list. Only upstreams
// that are new are divided while the failure domain's nodes stay the same.
//
// A busy slot that another node owns from now on is given up when its task
// ends; until then the upstream's own limit refuses a second use.
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

// domainNodes lists the nodes that share a domain's slots, in name order. A node
// counts itself, because it serves until it has stopped.
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

func (p *Pool) giveUpUpstream(u *upstream) {
	if u.dividedSlots == 0 {
		return
	}
	u.dividedSlots = 0
	for _, r := range u.slots {
		p.setOwned(r, false)
	}
}

func (p *Pool) setOwned(r *slotRecord, mine bool) {
	switch {
	case mine == (r.right == rightOwned):
	case mine:
		p.takeOwnership(r)
	default:
		p.giveUpOwnership(r)
	}
}

// takeOwnership makes a slot this process's takeOwnership. Borrowed before, it stays in use.
func (p *Pool) takeOwnership(r *slotRecord) {
	if r.right == rightBorrowed {
		p.dropBorrowed(r)
	}
	p.owned++
	r.grantRight(rightOwned)
}

// giveUpOwnership gives a slot up to its new owner. If it is lent, the borrower finds
// out by the list as well.
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

// dropUnlisted gives up the slots of upstreams that leave or have left.
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

// recallMoved gives back borrowed slots that have passed from their lender to
// another node, which doesn't know of the loan.
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
