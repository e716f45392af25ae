package dispatch

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"sapphirepoint.example/sapphirepoint/core/queue"
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
	// Standing is how long a request is served by a lender as slots come free.
	Standing time.Duration
	// StandPercent shortens that to a part of the borrower's expected wait.
	StandPercent int
	// MinStanding is the shortest time for which a request is served.
	MinStanding time.Duration
	// BlindWait is the least expected wait for which peers are asked that
	// aren't known to have idle slots.
	BlindWait time.Duration
	// ReturnShort sends idle borrowed slots home by a message of their own only
	// if the lender is short of slots.
	ReturnShort bool
	// Reserve is how many idle slots a lender keeps.
	Reserve int
	// MinReturn is the fewest slots for which a message of their own is sent.
	MinReturn int
	// NearPercent is by how much a peer of the same domain is preferred.
	NearPercent int
	// EvenPercent is the part of the difference in idle slots that is asked
	// for beyond the need.
	EvenPercent int
	// Patience is how long an answer is awaited before another peer is asked.
	Patience time.Duration
	// ReturnDelay is how long idle borrowed slots wait for a message to ride on
	// before they go back in one of their own; 0 means for ever.
	ReturnDelay time.Duration
	// KeepIdle is how many slots stay idle here before borrowed ones go back.
	KeepIdle int
	// SlackLimit bounds the slack that a task is let wait; 0 means no bound.
	SlackLimit time.Duration
	// SlackPercent is the part of its slack that a task is let wait before a
	// slot is borrowed for it, in percent.
	SlackPercent int
	// Relative makes the tolerance grow with the length of a job.
	Relative bool
	// SparePercent is what is asked for beyond the need, in percent of it.
	SparePercent int
	// YieldPercent is the part of a borrower's expected wait that a lender's
	// own may be for the lender to give up slots that it could use; 0 means
	// that it gives up none.
	YieldPercent int
	// YieldWait is the least expected wait of a borrower for that.
	YieldWait time.Duration
}

// DefaultLending is what measured best; see docs/design-placement.md.
var DefaultLending = Lending{
	Valid:       60 * time.Second,
	Standing:    time.Second,
	Patience:    5 * time.Millisecond,
	ReturnDelay: 100 * time.Millisecond,
}

const (
	// lenderGrace is how long slots stay lent after the connection with their
	// borrower is lost. Lent out again at once, they would meet tasks that the
	// borrower started; kept for good, they would be lost.
	lenderGrace = time.Second
	// minPace keeps an empty account from dividing by zero.
	minPace = time.Microsecond
	// meanWeight is the part of the newest run time in the running mean: 1/32.
	meanWeight = 32
)

// lending is the account of loans given, and of requests for more.
type lending struct {
	lastLoan    uint64
	lastRequest uint64
	given       map[uint64]*loan
	asked       map[counterpart]*request
	standing    map[counterpart]*request
	// seen is what peers last said of their idle slots, less what was asked
	// for since.
	seen map[task.Incarnation]*sight
	// spare is the number of borrowed slots, by institution, that may go home.
	spare map[string]int
	// mean is the running mean of the run times of an institution's tasks.
	mean map[string]time.Duration
	// looking is set while a timer stands to look at the waiting tasks again.
	looking bool
	// returning is set while a timer stands to send idle borrowed slots home.
	returning bool
}

// counterpart is a peer in the matter of one institution.
type counterpart struct {
	peer        task.Incarnation
	institution string
}

// loan is slots that a peer has the use of.
type loan struct {
	to    task.Incarnation
	slots []task.Slot
}

// request is a request for slots, as the borrower or the lender keeps it.
type request struct {
	id    uint64
	count int
	// at is when it was sent or came.
	at task.Time
	// wait is the borrower's expected wait.
	wait time.Duration
}

// sight is what is known of a peer's idle slots.
type sight struct {
	idle map[string]int
	at   task.Time
	// short says that the peer had tasks waiting, or no idle slot.
	short bool
}

func newLending() lending {
	return lending{
		given:    make(map[uint64]*loan),
		asked:    make(map[counterpart]*request),
		standing: make(map[counterpart]*request),
		seen:     make(map[task.Incarnation]*sight),
		mean:     make(map[string]time.Duration),
		spare:    make(map[string]int),
	}
}

// observe takes the run time of a task into the institution's mean.
func (c *Core) observe(institution string, took time.Duration) {
	old := c.lending.mean[institution]
	if old == 0 {
		old = took
	}
	c.lending.mean[institution] = old + (took-old)/meanWeight
}

// pace is the expected time between two slots of an institution coming free.
func (c *Core) pace(institution string) time.Duration {
	mean := c.lending.mean[institution]
	if mean == 0 {
		mean = queue.DefaultWork
	}
	held := max(1, c.pool.Held(institution))
	return max(mean/time.Duration(held), minPace)
}

// expectedWait is that of a task that joins the end of the queue.
func (c *Core) expectedWait(institution string) time.Duration {
	return time.Duration(c.queue.Tasks(institution)) * c.pace(institution)
}

// borrow asks peers for slots if tasks would wait longer than tolerated.
func (c *Core) borrow(inst *pb.Institution) {
	name := inst.GetName()
	if c.cfg.Lending.Off || c.queue.Tasks(name) == 0 || len(c.lending.seen) == 0 {
		return
	}
	need := c.queue.Late(c.now, name, c.demand(inst))
	need += need * c.cfg.Lending.SparePercent / 100
	need -= c.pending(name)
	if need > 0 {
		need = c.askIdle(name, need)
	}
	if need > 0 && c.expectedWait(name) >= c.cfg.Lending.BlindWait {
		c.askBlind(name, need)
	}
	c.lookAgain(inst)
}

func (c *Core) demand(inst *pb.Institution) queue.Demand {
	d := queue.Demand{
		Pace:         c.pace(inst.GetName()),
		Tolerance:    time.Duration(inst.GetBorrowToleranceMs()) * time.Millisecond,
		SlackPercent: c.cfg.Lending.SlackPercent,
		SlackLimit:   c.cfg.Lending.SlackLimit,
	}
	if c.cfg.Lending.Relative {
		d.Typical = c.lending.mean[inst.GetName()]
	}
	return d
}

// lookAgain sets a timer, because tasks become late and requests go without an
// answer when nothing happens, too.
func (c *Core) lookAgain(inst *pb.Institution) {
	if c.lending.looking {
		return
	}
	c.lending.looking = true
	wait := max(time.Duration(inst.GetBorrowToleranceMs())*time.Millisecond/4, c.cfg.Lending.Patience)
	c.after(wait, func() { c.lending.looking = false })
}

// pending is the number of slots asked for that may be granted any moment.
func (c *Core) pending(institution string) int {
	n := 0
	for k, r := range c.lending.asked {
		if k.institution == institution && c.now-r.at < c.cfg.Lending.Patience {
			n += r.count
		}
	}
	return n
}

// askIdle asks the peers that are thought to have idle slots, the best first,
// and returns the need that is left.
func (c *Core) askIdle(institution string, need int) int {
	var list []task.Incarnation
	for p, s := range c.lending.seen {
		if s.idle[institution] > 0 {
			list = append(list, p)
		}
	}
	slices.SortFunc(list, func(a, b task.Incarnation) int {
		seen := c.lending.seen
		return cmp.Or(cmp.Compare(c.worth(b, seen[b].idle[institution]), c.worth(a, seen[a].idle[institution])), compareIncarnations(a, b))
	})
	for _, p := range list {
		if need <= 0 {
			break
		}
		idle := c.lending.seen[p].idle[institution]
		n := min(need, idle)
		c.ask(counterpart{p, institution}, n+(idle-n)*c.cfg.Lending.EvenPercent/100)
		need -= n
	}
	return need
}

// worth is the worth of a peer's idle slots: more in the same domain.
func (c *Core) worth(p task.Incarnation, idle int) int {
	w := idle * 100
	if q := c.peers[p]; q != nil && q.failureDomain == c.cfg.FailureDomain {
		w += idle * c.cfg.Lending.NearPercent
	}
	return w
}

// askBlind asks one peer that isn't known to have idle slots, the one last
// heard of longest ago, unless a request to it stands already.
func (c *Core) askBlind(institution string, need int) {
	var best counterpart
	var bestAt task.Time
	for p, s := range c.lending.seen {
		k := counterpart{p, institution}
		if r := c.lending.asked[k]; r != nil && c.now-r.at < c.stands(r) {
			continue
		}
		if best.peer.Node == "" || s.at < bestAt || s.at == bestAt && compareIncarnations(p, best.peer) < 0 {
			best, bestAt = k, s.at
		}
	}
	if best.peer.Node != "" {
		c.ask(best, need)
	}
}

func (c *Core) ask(k counterpart, count int) {
	c.lending.lastRequest++
	c.lending.asked[k] = &request{id: c.lending.lastRequest, count: count, at: c.now, wait: c.expectedWait(k.institution)}
	s := c.lending.seen[k.peer]
	s.idle[k.institution] = max(0, s.idle[k.institution]-count)
	c.send(k.peer, &pb.PeerMessage{Body: &pb.PeerMessage_BorrowRequest{BorrowRequest: &pb.BorrowRequest{
		Request:     c.lending.lastRequest,
		Institution: k.institution,
		Count:       uint32(count),
		QueuedTasks: uint32(c.queue.Tasks(k.institution)),
		WaitMs:      uint32(c.expectedWait(k.institution).Milliseconds()),
	}}})
}

// borrowRequested notes a request, to be served as slots are idle.
func (c *Core) borrowRequested(from task.Incarnation, r *pb.BorrowRequest) {
	c.lending.standing[counterpart{from, r.GetInstitution()}] = &request{
		id:    r.GetRequest(),
		count: int(r.GetCount()),
		at:    c.now,
		wait:  time.Duration(r.GetWaitMs()) * time.Millisecond,
	}
}

// stands is how long a request is served.
func (c *Core) stands(r *request) time.Duration {
	if c.cfg.Lending.StandPercent == 0 {
		return c.cfg.Lending.Standing
	}
	return min(max(r.wait*time.Duration(c.cfg.Lending.StandPercent)/100, c.cfg.Lending.MinStanding), c.cfg.Lending.Standing)
}

// lendIdle grants idle slots to the peers that asked, the one with the longest
// wait first.
func (c *Core) lendIdle(institution string) {
	for len(c.lending.standing) > 0 && c.pool.Idle(institution) > 0 && !c.draining {
		k, ok := c.neediest(institution)
		if !ok || !c.grant(k) {
			return
		}
	}
}

// yield gives idle slots that waiting tasks could use to a peer whose tasks
// wait much longer.
func (c *Core) yield(institution string) {
	l := &c.cfg.Lending
	if l.YieldPercent == 0 || len(c.lending.standing) == 0 || c.draining {
		return
	}
	k, ok := c.neediest(institution)
	if !ok {
		return
	}
	wait := c.lending.standing[k].wait
	if wait < l.YieldWait || c.expectedWait(institution) >= wait*time.Duration(l.YieldPercent)/100 {
		return
	}
	c.grant(k)
}

// neediest finds the standing request with the longest expected wait.
func (c *Core) neediest(institution string) (counterpart, bool) {
	var best counterpart
	var top *request
	for k, r := range c.lending.standing {
		if c.now-r.at >= c.stands(r) {
			delete(c.lending.standing, k)
			continue
		}
		if k.institution != institution {
			continue
		}
		if top == nil || r.wait > top.wait || r.wait == top.wait && compareIncarnations(k.peer, best.peer) < 0 {
			best, top = k, r
		}
	}
	return best, top != nil
}

// grant gives slots on a standing request: those borrowed from the peer before
// own ones. It reports false if there were none to give.
func (c *Core) grant(k counterpart) bool {
	r := c.lending.standing[k]
	back := c.pool.GiveBackIdle(k.peer, r.count)
	c.lending.lastLoan++
	id := c.lending.lastLoan
	l := &loan{to: k.peer, slots: c.pool.Lend(k.institution, min(r.count-back, max(0, c.pool.IdleOwn(k.institution)-c.cfg.Lending.Reserve)), k.peer, id)}
	given := back + len(l.slots)
	if given == 0 {
		return false
	}
	r.count -= given
	if r.count == 0 {
		delete(c.lending.standing, k)
	}
	grant := &pb.LendGrant{Request: r.id, Loan: id, ValidMs: uint32(c.cfg.Lending.Valid.Milliseconds())}
	for _, s := range l.slots {
		grant.Slots = append(grant.Slots, &pb.Slot{Upstream: s.Upstream, Index: s.Index})
	}
	c.send(k.peer, &pb.PeerMessage{Body: &pb.PeerMessage_LendGrant{LendGrant: grant}})
	if len(l.slots) > 0 {
		c.lending.given[id] = l
		c.after(c.cfg.Lending.Valid, func() { c.endLoan(id) })
	}
	return true
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

// granted takes over the slots of a grant. The time for which they may be used
// is half of the lender's, so that tasks started on them have ended by then.
func (c *Core) granted(from task.Incarnation, g *pb.LendGrant, returned int) {
	for k, r := range c.lending.asked {
		if k.peer != from || r.id != g.GetRequest() {
			continue
		}
		r.count -= len(g.GetSlots()) + returned
		if r.count <= 0 {
			delete(c.lending.asked, k)
		}
	}
	if len(g.GetSlots()) == 0 {
		return
	}
	list := make([]task.Slot, 0, len(g.GetSlots()))
	for _, s := range g.GetSlots() {
		list = append(list, task.Slot{Upstream: s.GetUpstream(), Index: s.GetIndex()})
	}
	c.pool.Borrow(from, g.GetLoan(), list)
	c.stats.Borrowed += uint64(len(list))
	use := time.Duration(g.GetValidMs()) * time.Millisecond / 2
	c.after(use, func() { c.pool.EndLoan(from, g.GetLoan()) })
}

// returned takes slots back that rode on a message, and counts them.
func (c *Core) returned(list []*pb.LendReturn) int {
	n := 0
	for _, r := range list {
		for _, s := range r.GetSlots() {
			if c.pool.TakeBack(task.Slot{Upstream: s.GetUpstream(), Index: s.GetIndex()}, r.GetLoan()) {
				n++
			}
		}
	}
	return n
}

// addReturns lets idle borrowed slots ride home on a message to their lender.
func (c *Core) addReturns(to task.Incarnation, m *pb.PeerMessage) {
	c.rideHome(to)
	for _, r := range c.pool.Returns(to) {
		back := &pb.LendReturn{Loan: r.Loan}
		for _, s := range r.Slots {
			back.Slots = append(back.Slots, &pb.Slot{Upstream: s.Upstream, Index: s.Index})
		}
		m.Returns = append(m.Returns, back)
	}
}

// rideHome gives back what was spare for a while.
func (c *Core) rideHome(to task.Incarnation) {
	for _, inst := range c.settings.Current().GetInstitutions() {
		name := inst.GetName()
		spare := min(c.lending.spare[name], c.pool.SpareBorrowed(name, false))
		c.lending.spare[name] -= c.pool.GiveBackIdle(to, max(0, spare-c.cfg.Lending.KeepIdle))
	}
}

// returnLater sends borrowed slots home that stay idle for a while.
func (c *Core) returnLater(institution string) {
	if c.lending.returning || c.cfg.Lending.ReturnDelay == 0 || c.pool.Idle(institution) == c.pool.IdleOwn(institution) {
		return
	}
	c.lending.returning = true
	c.pool.SpareBorrowed(institution, true)
	c.after(c.cfg.Lending.ReturnDelay, func() {
		c.lending.returning = false
		c.sendHome(institution)
	})
}

// sendHome returns spare borrowed slots, most of them in few messages.
func (c *Core) sendHome(institution string) {
	spare := c.pool.SpareBorrowed(institution, false)
	c.lending.spare[institution] = spare
	list := c.sortedPeers()
	slices.SortStableFunc(list, func(a, b task.Incarnation) int {
		return cmp.Compare(c.pool.IdleBorrowed(b), c.pool.IdleBorrowed(a))
	})
	for _, p := range list {
		n := min(c.lending.spare[institution]-c.cfg.Lending.KeepIdle, c.pool.IdleBorrowed(p))
		if n < max(1, c.cfg.Lending.MinReturn) {
			return
		}
		c.send(p, &pb.PeerMessage{Body: &pb.PeerMessage_LendReturn{LendReturn: &pb.LendReturn{}}})
	}
}

// addIdle tells a peer of the idle slots that it could have: own ones and those
// borrowed from it.
func (c *Core) addIdle(to task.Incarnation, st *pb.PeerStatus) {
	if c.draining {
		return
	}
	for _, inst := range c.settings.Current().GetInstitutions() {
		name := inst.GetName()
		n := max(0, c.pool.IdleOwn(name)+c.pool.IdleBorrowed(to)-c.cfg.Lending.Reserve)
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
	if st.GetStopping() {
		delete(c.lending.seen, from)
		return
	}
	idle := make(map[string]int, len(st.GetIdle()))
	for _, i := range st.GetIdle() {
		idle[i.GetInstitution()] = int(i.GetSlots())
	}
	c.lending.seen[from] = &sight{idle: idle, at: c.now, short: st.GetQueuedTasks() > 0 || len(idle) == 0}
}

// lendingPeerDown ends the dealings with a peer that can't be reached.
func (c *Core) lendingPeerDown(p task.Incarnation) {
	delete(c.lending.seen, p)
	other := func(k counterpart, _ *request) bool { return k.peer == p }
	maps.DeleteFunc(c.lending.asked, other)
	maps.DeleteFunc(c.lending.standing, other)
	c.pool.LenderGone(p)
	for _, id := range slices.Sorted(maps.Keys(c.lending.given)) {
		if c.lending.given[id].to == p {
			c.after(lenderGrace, func() { c.endLoan(id) })
		}
	}
}
