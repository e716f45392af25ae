package slots

import (
	"math"

	"sapphirepoint.example/sapphirepoint/core/heap"
	"sapphirepoint.example/sapphirepoint/core/task"
)

// usageRight is the right under which this process uses a slot.
type usageRight uint8

const (
	// rightNone: this process may not start tasks on the slot.
	rightNone usageRight = iota
	// rightOwned: this process owns the slot.
	rightOwned
	// rightBorrowed: a peer has lent the slot to this process.
	rightBorrowed
)

// slotState is the state of a slot.
type slotState uint8

const (
	// idle: no task of this process is on the slot.
	idle slotState = iota
	// busy: Acquire has taken the slot, and it hasn't been released.
	busy
	// lent: this process owns the slot, and a peer may use it.
	lent
	// coolingDown: the slot was released but must not be used before its cooldownEnd, see
	// Pool.ReleaseWithCooldown.
	coolingDown
)

// slotRecord is the state of one slot in this process.
type slotRecord struct {
	upstream *upstream
	index    uint32
	right    usageRight
	state    slotState
	// recalled marks a borrowed slot that is to be returned as soon as it is idle.
	recalled bool
	// cooldownEnd is when a slot in cooldown becomes idle.
	cooldownEnd task.Time
	// heapIndex is the position in Pool.coolingDown.
	heapIndex int
	// peer is the borrower of a lent slot, or the lender of a borrowed one; loan is the lender's
	// number for the loan.
	peer task.Incarnation
	loan uint64
	// borrowedIndex is the position of a borrowed slot in lenderAccount.slots.
	borrowedIndex int
}

func (r *slotRecord) slot() task.Slot {
	return task.Slot{Upstream: r.upstream.name, Index: r.index}
}

// group is the group to which the slot belongs by its right; nil without a right.
func (r *slotRecord) group() *group {
	switch r.right {
	case rightOwned:
		return &r.upstream.owned
	case rightBorrowed:
		return &r.upstream.borrowed
	}
	return nil
}

// Before orders slots in cooldown by the end of the cooldown.
func (r *slotRecord) Before(o *slotRecord) bool {
	if r.cooldownEnd != o.cooldownEnd {
		return r.cooldownEnd < o.cooldownEnd
	}
	if r.upstream != o.upstream {
		return r.upstream.name < o.upstream.name
	}
	return r.index < o.index
}

// Position returns the position in Pool.coolingDown.
func (r *slotRecord) Position() *int { return &r.heapIndex }

// upstream holds the slots of one upstream.
type upstream struct {
	name        string
	institution string
	domain      string
	// weight is the share of its normal load that the upstream gets, see Pool.SetWeight.
	weight float64
	// listed: the upstream is in the latest member list and isn't leaving.
	listed bool
	// dividedSlots is the number of slots that were divided among Pool.nodes; 0 if none were.
	dividedSlots uint32
	// slots has a record of each slot by its index; owned and borrowed group those that this process
	// may use.
	slots    []*slotRecord
	owned    group
	borrowed group
}

// upstream finds an upstream, or adds one without slots.
func (p *Pool) upstream(name, institution string) *upstream {
	u := p.upstreams[name]
	if u == nil {
		u = &upstream{name: name, institution: institution, weight: 1}
		l := p.institutionSlots(institution)
		u.owned = group{upstream: u, institution: l, right: rightOwned, heapIndex: heap.Absent}
		u.borrowed = group{upstream: u, institution: l, right: rightBorrowed, heapIndex: heap.Absent}
		p.upstreams[name] = u
	}
	return u
}

// grow adds slot records up to a number of slots.
func (u *upstream) grow(n uint32) {
	for i := uint32(len(u.slots)); i < n; i++ {
		u.slots = append(u.slots, &slotRecord{upstream: u, index: i, heapIndex: heap.Absent})
	}
}

// group is the slots of one upstream that are held under the same right, without lent ones.
type group struct {
	upstream    *upstream
	institution *institutionSlots
	right       usageRight
	idle        []*slotRecord
	// total is the number of slots in the group: idle, busy and in cooldown.
	total int
	busy  int
	// usable is the number of idle slots that may be taken now without exceeding maxBusy.
	usable int
	// load is the sort key of the groups: the fraction of slots that would be busy after one more
	// start, divided by the upstream's weight.
	load float64
	// heapIndex is the position in usableSlots.groups, heap.Absent if the group isn't in there.
	heapIndex int
}

func (g *group) pushIdle(r *slotRecord) {
	g.idle = append(g.idle, r)
}

func (g *group) popIdle() *slotRecord {
	last := len(g.idle) - 1
	r := g.idle[last]
	g.idle = g.idle[:last]
	return r
}

func (g *group) removeIdle(r *slotRecord) {
	for i, other := range g.idle {
		if other == r {
			g.idle = append(g.idle[:i], g.idle[i+1:]...)
			return
		}
	}
}

// maxBusy returns the number of slots of the group that may be busy at once, by the upstream's
// weight.
func (g *group) maxBusy() int {
	w := g.upstream.weight
	if w >= 1 {
		return g.total
	}
	if w <= 0 {
		return 0
	}
	return max(1, int(math.Ceil(w*float64(g.total))))
}

// update recomputes the usable slots and the load of the group, and its place in the heap.
func (g *group) update() {
	if g.busy < 0 || g.busy+len(g.idle) > g.total {
		panic("slots: more slots in use than held of " + g.upstream.name)
	}
	l := g.institution
	usable := max(0, min(len(g.idle), g.maxBusy()-g.busy))
	a := &l.owned
	if g.right == rightBorrowed {
		a = &l.borrowed
	}
	a.count += usable - g.usable
	a.minCount = min(a.minCount, a.count)
	g.usable = usable
	if usable == 0 {
		a.groups = heap.Drop(a.groups, g)
		return
	}
	g.load = float64(g.busy+1) / (g.upstream.weight * float64(g.total))
	a.groups = heap.Put(a.groups, g)
}

// Before orders groups by load, the least first.
func (g *group) Before(o *group) bool {
	if g.load != o.load {
		return g.load < o.load
	}
	return g.upstream.name < o.upstream.name
}

// Position returns the position in usableSlots.groups.
func (g *group) Position() *int { return &g.heapIndex }

// institutionSlots is the slots of one institution in this process.
type institutionSlots struct {
	owned    usableSlots
	borrowed usableSlots
	// held is the number of slots that this process may use, see Pool.Held.
	held int
	// lent is the number of owned slots that are lent to peers.
	lent int
}

// usableSlots is the slots of one institution, held under the same right, that can be taken now.
type usableSlots struct {
	// groups is a heap of the groups with usable slots, the least loaded first.
	groups []*group
	// count is the number of usable slots of all groups.
	count int
	// minCount is the least count since the last reset by Pool.SpareBorrowed.
	minCount int
}

// grantRight puts an idle or busy slot into the group of a right.
func (r *slotRecord) grantRight(to usageRight) {
	r.right = to
	g := r.group()
	g.total++
	g.institution.held++
	if r.state == busy {
		g.busy++
	} else {
		g.pushIdle(r)
	}
	g.update()
}

// revokeRight removes a slot from its group. A busy slot stays busy, without a right, until its task
// ends.
func (r *slotRecord) revokeRight() {
	g := r.group()
	g.total--
	g.institution.held--
	switch r.state {
	case busy:
		g.busy--
	case idle:
		g.removeIdle(r)
	}
	r.right = rightNone
	g.update()
}

// startCooldown prevents the use of a slot before a given time.
func (p *Pool) startCooldown(r *slotRecord, until task.Time) {
	r.state = coolingDown
	r.cooldownEnd = until
	p.coolingDown = heap.Put(p.coolingDown, r)
}

// EndCooldowns makes the slots idle whose cooldown has ended, and returns those that were recalled.
func (p *Pool) EndCooldowns(now task.Time) {
	for len(p.coolingDown) > 0 && p.coolingDown[0].cooldownEnd <= now {
		r := p.coolingDown[0]
		p.coolingDown = heap.Drop(p.coolingDown, r)
		r.state = idle
		g := r.group()
		g.pushIdle(r)
		g.update()
		if r.recalled {
			p.returnSlot(r)
		}
	}
}
