package dispatch

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"sapphirepoint.example/sapphirepoint/core/queue"
	"sapphirepoint.example/sapphirepoint/core/slots"
	"sapphirepoint.example/sapphirepoint/core/task"
	pb "sapphirepoint.example/sapphirepoint/gen/sapphirepointv1"
)

// Lending sets how slots are lent between entry processes.
type Lending struct {
	// Off keeps the process from borrowing.
	Off bool
	// Valid is how long a loan stands on the lender's clock. The borrower
	// starts tasks on it for half of that, so that they have ended by then.
	Valid time.Duration
	// Relative makes the tolerance grow with the length of a job.
	Relative bool
	// SparePercent is what is asked for beyond the need, in percent of it.
	SparePercent int
	// MaxLenders bounds the peers asked at once for one institution.
	MaxLenders int
	// KeepIdle is the part of idle borrowed slots that is kept when others are
	// given back, in percent.
	KeepIdle int
}

// DefaultLending is what measured best; see docs/design-placement.md.
var DefaultLending = Lending{
	Valid:      10 * time.Second,
	MaxLenders: 2,
}

const (
	// lenderGrace is how long slots stay lent after the connection with their
	// borrower is lost. Lent out again at once, they would meet tasks that the
	// borrower started; kept for good, they would be lost.
	lenderGrace = time.Second
	// lenderTimeout is when a request for slots is taken to be lost.
	lenderTimeout = time.Second
	// minPace keeps an empty account from dividing by zero.
	minPace = time.Microsecond
)

// lending is the account of loans given, and of requests for more.
type lending struct {
	lastLoan    uint64
	lastRequest uint64
	given       map[uint64]*loan
	asked       map[uint64]*request
	// seen is what peers last said of their idle slots, less what was asked
	// for since.
	seen map[task.Incarnation]map[string]int
	// look is set while a timer stands to look at the waiting tasks again.
	look bool
	mean map[string]time.Duration
}

// loan is slots that a peer has the use of.
type loan struct {
	to    task.Incarnation
	slots []task.Slot
}

// request is a request for slots that isn't answered.
type request struct {
	lender      task.Incarnation
	institution string
	count       int
	sent        task.Time
}

func newLending() lending {
	return lending{
		given: make(map[uint64]*loan),
		asked: make(map[uint64]*request),
		seen:  make(map[task.Incarnation]map[string]int),
		mean:  make(map[string]time.Duration),
	}
}

// meanWeight is the part of the newest run time in the running mean: 1/32.
const meanWeight = 32

// observe takes the run time of a task into the institution's mean.
func (c *Core) observe(institution string, took time.Duration) {
	old := c.lending.mean[institution]
	if old == 0 {
		c.lending.mean[institution] = took
		return
	}
	c.lending.mean[institution] = old + (took-old)/meanWeight
}

// borrow asks peers for slots if tasks would wait longer than tolerated.
func (c *Core) borrow(inst *pb.Institution) {
	name := inst.GetName()
	if c.cfg.Lending.Off || c.queue.Tasks(name) == 0 {
		return
	}
	c.lookAgain(inst)
	lenders := c.lenders(name)
	if len(lenders) == 0 {
		return
	}
	need := c.queue.Late(c.now, name, c.demand(inst)) - c.pending(name)
	need += need * c.cfg.Lending.SparePercent / 100
	for _, p := range lenders {
		if need <= 0 {
			return
		}
		n := min(need, c.lending.seen[p][name])
		c.ask(p, name, n)
		need -= n
	}
}

func (c *Core) demand(inst *pb.Institution) queue.Demand {
	name := inst.GetName()
	mean := c.lending.mean[name]
	if mean == 0 {
		mean = queue.DefaultWork
	}
	held := max(1, c.pool.Held(name))
	d := queue.Demand{
		Pace:      max(mean/time.Duration(held), minPace),
		Tolerance: time.Duration(inst.GetBorrowToleranceMs()) * time.Millisecond,
	}
	if c.cfg.Lending.Relative {
		d.Typical = mean
	}
	return d
}

// lookAgain sets a timer, because tasks become late when nothing happens, too.
func (c *Core) lookAgain(inst *pb.Institution) {
	if c.lending.look {
		return
	}
	c.lending.look = true
	wait := max(time.Duration(inst.GetBorrowToleranceMs())*time.Millisecond, minLook)
	c.after(wait, func() { c.lending.look = false })
}

// minLook bounds how often waiting tasks are looked at when nothing happens.
const minLook = 20 * time.Millisecond

// pending is the number of slots asked for and not answered.
func (c *Core) pending(institution string) int {
	n := 0
	for _, r := range c.lending.asked {
		if r.institution == institution {
			n += r.count
		}
	}
	return n
}

// lenders lists peers that are thought to have idle slots, the best first.
func (c *Core) lenders(institution string) []task.Incarnation {
	var list []task.Incarnation
	for p, idle := range c.lending.seen {
		if idle[institution] > 0 {
			list = append(list, p)
		}
	}
	slices.SortFunc(list, func(a, b task.Incarnation) int {
		seen := c.lending.seen
		return cmp.Or(cmp.Compare(seen[b][institution], seen[a][institution]), compareIncarnations(a, b))
	})
	return list[:min(len(list), c.cfg.Lending.MaxLenders)]
}

func (c *Core) ask(p task.Incarnation, institution string, count int) {
	c.lending.lastRequest++
	id := c.lending.lastRequest
	c.lending.asked[id] = &request{p, institution, count, c.now}
	c.lending.seen[p][institution] -= count
	c.send(p, &pb.PeerMessage{Body: &pb.PeerMessage_BorrowRequest{BorrowRequest: &pb.BorrowRequest{
		Request:     id,
		Institution: institution,
		Count:       uint32(count),
		QueuedTasks: uint32(c.queue.Tasks(institution)),
	}}})
	c.after(lenderTimeout, func() { delete(c.lending.asked, id) })
}

// lend answers a request for slots, with none if there are none.
func (c *Core) lend(to task.Incarnation, r *pb.BorrowRequest) {
	c.lending.lastLoan++
	id := c.lending.lastLoan
	l := &loan{to: to}
	if !c.draining && c.queue.Tasks(r.GetInstitution()) == 0 {
		l.slots = c.pool.Lend(r.GetInstitution(), int(r.GetCount()), to, id)
	}
	grant := &pb.LendGrant{Request: r.GetRequest(), Loan: id, ValidMs: uint32(c.cfg.Lending.Valid.Milliseconds())}
	for _, s := range l.slots {
		grant.Slots = append(grant.Slots, &pb.Slot{Upstream: s.Upstream, Index: s.Index})
	}
	c.send(to, &pb.PeerMessage{Body: &pb.PeerMessage_LendGrant{LendGrant: grant}})
	if len(l.slots) == 0 {
		return
	}
	c.lending.given[id] = l
	c.after(c.cfg.Lending.Valid, func() { c.endLoan(id) })
}

// endLoan takes back what is left of a loan. Without it the slots of a
// borrower that died or forgot them would stay out of use for good.
func (c *Core) endLoan(id uint64) {
	l := c.lending.given[id]
	if l == nil {
		return
	}
	delete(c.lending.given, id)
	for _, s := range l.slots {
		if c.pool.TakeBack(s, id) {
			c.stats.Reclaims++
		}
	}
}

// granted takes over the slots of an answered request. The time for which they
// may be used counts from the request, so that it ends before the lender's.
func (c *Core) granted(from task.Incarnation, g *pb.LendGrant) {
	r := c.lending.asked[g.GetRequest()]
	delete(c.lending.asked, g.GetRequest())
	list := make([]task.Slot, 0, len(g.GetSlots()))
	for _, s := range g.GetSlots() {
		list = append(list, task.Slot{Upstream: s.GetUpstream(), Index: s.GetIndex()})
	}
	c.pool.Borrow(from, g.GetLoan(), list)
	c.stats.Borrowed += uint64(len(list))
	use := time.Duration(g.GetValidMs()) * time.Millisecond / 2
	if r != nil {
		use -= c.now - r.sent
	}
	c.after(max(use, 0), func() { c.pool.EndLoan(from, g.GetLoan()) })
}

// returned takes slots back that rode on a message.
func (c *Core) returned(list []*pb.LendReturn) {
	for _, r := range list {
		for _, s := range r.GetSlots() {
			c.pool.TakeBack(task.Slot{Upstream: s.GetUpstream(), Index: s.GetIndex()}, r.GetLoan())
		}
	}
}

// addReturns lets idle borrowed slots ride home on a message to their lender.
func (c *Core) addReturns(to task.Incarnation, m *pb.PeerMessage) {
	c.pool.GiveBackIdle(to, slots.All)
	for _, r := range c.pool.Returns(to) {
		back := &pb.LendReturn{Loan: r.Loan}
		for _, s := range r.Slots {
			back.Slots = append(back.Slots, &pb.Slot{Upstream: s.Upstream, Index: s.Index})
		}
		m.Returns = append(m.Returns, back)
	}
}

// addIdle tells peers of this process's idle slots.
func (c *Core) addIdle(st *pb.PeerStatus) {
	if c.draining {
		return
	}
	for _, inst := range c.settings.Current().GetInstitutions() {
		name := inst.GetName()
		n := c.pool.IdleOwn(name)
		st.QueuedTasks += uint32(c.queue.Tasks(name))
		if n == 0 || c.queue.Tasks(name) > 0 {
			continue
		}
		st.IdleSlots += uint32(n)
		st.Idle = append(st.Idle, &pb.IdleSlots{Institution: name, Slots: uint32(n)})
	}
}

// seeIdle notes what a peer says of its idle slots.
func (c *Core) seeIdle(from task.Incarnation, st *pb.PeerStatus) {
	idle := make(map[string]int, len(st.GetIdle()))
	if !st.GetStopping() {
		for _, i := range st.GetIdle() {
			idle[i.GetInstitution()] = int(i.GetSlots())
		}
	}
	c.lending.seen[from] = idle
}

// lendingPeerDown ends the dealings with a peer that can't be reached.
func (c *Core) lendingPeerDown(p task.Incarnation) {
	delete(c.lending.seen, p)
	for id, r := range c.lending.asked {
		if r.lender == p {
			delete(c.lending.asked, id)
		}
	}
	c.pool.LenderGone(p)
	for _, id := range slices.Sorted(maps.Keys(c.lending.given)) {
		if c.lending.given[id].to == p {
			c.after(lenderGrace, func() { c.endLoan(id) })
		}
	}
}
