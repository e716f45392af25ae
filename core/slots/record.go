package slots

import (
	"math"

	"sapphirepoint.example/sapphirepoint/core/heap"
	"sapphirepoint.example/sapphirepoint/core/task"
)

// right is the title under which this process may use a slot.
type right uint8

const (
	// none: the slot isn't this process's to start tasks on.
	none right = iota
	own
	loaned
)

// use is what a slot is doing.
type use uint8

const (
	idle use = iota
	busy
	// lent: a peer has the use of this own slot.
	lent
	// closed: not to be used before a time.
	closed
)

// record is the account of one slot.
type record struct {
	upstream *upstream
	index    uint32
	right    right
	use      use
	// stale marks a borrowed slot that goes back to its lender when its task
	// ends.
	stale bool
	// until is when a closed slot opens.
	until task.Time
	// at is the position among the closed slots.
	at int
	// peer and loan are those of a lent or borrowed slot.
	peer task.Incarnation
	loan uint64
	// debt is the position among the slots borrowed from the peer.
	debt int
}

func (r *record) name() task.Slot {
	return task.Slot{Upstream: r.upstream.name, Index: r.index}
}

func (r *record) group() *group {
	switch r.right {
	case own:
		return &r.upstream.own
	case loaned:
		return &r.upstream.loaned
	}
	return nil
}

// Before orders closed slots by the time they open.
func (r *record) Before(o *record) bool {
	if r.until != o.until {
		return r.until < o.until
	}
	if r.upstream != o.upstream {
		return r.upstream.name < o.upstream.name
	}
	return r.index < o.index
}

// Position is the place among the closed slots.
func (r *record) Position() *int { return &r.at }

// upstream is the account of one upstream's slots.
type upstream struct {
	name        string
	institution string
	domain      string
	weight      float64
	listed      bool
	// divided is the number of slots that were divided with the present nodes.
	divided uint32
	slots   []*record
	own     group
	loaned  group
}

func (p *Pool) upstream(name, institution string) *upstream {
	u := p.upstreams[name]
	if u == nil {
		u = &upstream{name: name, institution: institution, weight: 1}
		l := p.ledger(institution)
		u.own = group{upstream: u, ledger: l, right: own, at: heap.Absent}
		u.loaned = group{upstream: u, ledger: l, right: loaned, at: heap.Absent}
		p.upstreams[name] = u
	}
	return u
}

func (u *upstream) grow(n uint32) {
	for i := uint32(len(u.slots)); i < n; i++ {
		u.slots = append(u.slots, &record{upstream: u, index: i, at: heap.Absent})
	}
}

// group is the slots of one upstream that are held under one right; lent ones
// don't count.
type group struct {
	upstream *upstream
	ledger   *ledger
	right    right
	idle     []*record
	total    int
	busy     int
	usable   int
	// load orders the groups: the part in use for the weight.
	load float64
	at   int
}

func (g *group) push(r *record) {
	g.idle = append(g.idle, r)
}

func (g *group) pop() *record {
	last := len(g.idle) - 1
	r := g.idle[last]
	g.idle = g.idle[:last]
	return r
}

func (g *group) take(r *record) {
	for i, other := range g.idle {
		if other == r {
			g.idle = append(g.idle[:i], g.idle[i+1:]...)
			return
		}
	}
}

// limit is the number of slots that may be busy at once.
func (g *group) limit() int {
	w := g.upstream.weight
	if w >= 1 {
		return g.total
	}
	if w <= 0 {
		return 0
	}
	return max(1, int(math.Ceil(w*float64(g.total))))
}

// refile brings the ledger up to date after a change.
func (g *group) refile() {
	if g.busy < 0 || g.busy+len(g.idle) > g.total {
		panic("slots: more slots in use than held of " + g.upstream.name)
	}
	l := g.ledger
	usable := max(0, min(len(g.idle), g.limit()-g.busy))
	a := &l.own
	if g.right == loaned {
		a = &l.loaned
	}
	a.usable += usable - g.usable
	a.low = min(a.low, a.usable)
	g.usable = usable
	if usable == 0 {
		a.groups = heap.Drop(a.groups, g)
		return
	}
	g.load = float64(g.busy+1) / (g.upstream.weight * float64(g.total))
	a.groups = heap.Put(a.groups, g)
}

// Before puts the least loaded group first.
func (g *group) Before(o *group) bool {
	if g.load != o.load {
		return g.load < o.load
	}
	return g.upstream.name < o.upstream.name
}

// Position is the place among the groups with usable slots.
func (g *group) Position() *int { return &g.at }

// ledger is the account of one institution.
type ledger struct {
	own    account
	loaned account
	held   int
	// lent is the number of own slots that peers have the use of.
	lent int
}

// account is the usable slots held under one right.
type account struct {
	// groups have usable slots; the best is first.
	groups []*group
	usable int
	// low is the least number of usable slots since it was last read.
	low int
}

// enter gives an idle slot a right.
func (r *record) enter(to right) {
	r.right = to
	g := r.group()
	g.total++
	g.ledger.held++
	if r.use == busy {
		g.busy++
	} else {
		g.push(r)
	}
	g.refile()
}

// leave takes a slot out of its group. A busy slot stays busy without a right
// until its task ends.
func (r *record) leave() {
	g := r.group()
	g.total--
	g.ledger.held--
	switch r.use {
	case busy:
		g.busy--
	case idle:
		g.take(r)
	}
	r.right = none
	g.refile()
}

// closeSlot keeps a slot from being used before a time.
func (p *Pool) closeSlot(r *record, until task.Time) {
	r.use = closed
	r.until = until
	p.closed = heap.Put(p.closed, r)
}

// EndCooldowns makes closed slots usable whose time has come.
func (p *Pool) EndCooldowns(now task.Time) {
	for len(p.closed) > 0 && p.closed[0].until <= now {
		r := p.closed[0]
		p.closed = heap.Drop(p.closed, r)
		r.use = idle
		g := r.group()
		g.push(r)
		g.refile()
		if r.stale {
			p.settle(r)
		}
	}
}
