package dispatch

import (
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
	// LoanDuration is how long a loan stands on the lender's clock. The borrower
	// starts tasks on it for half of that, so that they have ended by then.
	LoanDuration time.Duration
	// Limits works out the limits from an institution's tolerance.
	Limits func(tolerance time.Duration) LendingLimits
}

// LendingLimits are the limits that trade response time for messages.
type LendingLimits struct {
	// Tolerance is how long a task of a typical job may wait for an own slot.
	// That of a longer job may wait longer in proportion.
	Tolerance time.Duration
	// Slack bounds how much longer a task may wait because it is declared
	// shorter than the longest of its job.
	Slack time.Duration
	// SurplusPercent is the part of a lender's other idle slots that is asked for
	// beyond the need.
	SurplusPercent int
	// MinSpeculativeWait is the least expected wait for which peers are asked that
	// aren't known to have idle slots.
	MinSpeculativeWait time.Duration
	// ReturnDelay is how long a borrowed slot has to be spare to go home.
	ReturnDelay time.Duration
	// MinReturnBatch is the least number of slots that go home in a message of their
	// own. Fewer wait for a message that is sent anyway.
	MinReturnBatch int
}

// DefaultLending is what measured best; see docs/design/placement.md.
var DefaultLending = Lending{LoanDuration: 60 * time.Second, Limits: LendingLimitsFor}

const (
	leastBlindWait   = 150 * time.Millisecond
	leastReturnDelay = 15 * time.Millisecond
	leastReturn      = 2
	mostReturn       = 8
	mostEvenPercent  = 60
	// patience is how long an answer is awaited before another peer is asked.
	patience = 20 * time.Millisecond
	// leastStanding and mostStanding bound how long a request is served as
	// slots come free; between them it is standPart of the borrower's wait.
	leastStanding = 2 * time.Millisecond
	mostStanding  = time.Second
	standPart     = 4
	// queueTrust is how long a peer that said that tasks wait isn't asked.
	queueTrust = 400 * time.Millisecond
	// lenderGrace is how long slots stay lent after the connection with their
	// borrower is lost. Lent out again at once, they would meet tasks that the
	// borrower started; kept for good, they would be lost.
	lenderGrace = time.Second
	// minPace keeps an empty account from dividing by zero.
	minPace = time.Microsecond
	// meanWeight is the part of the newest run time in the running mean: 1/32.
	meanWeight = 32
)

// LendingLimitsFor works out the limits from an institution's tolerance: none puts
// response time first, 20 ms and more puts few messages first.
func LendingLimitsFor(tolerance time.Duration) LendingLimits {
	ms := int(tolerance.Milliseconds())
	return LendingLimits{
		Tolerance:          tolerance,
		Slack:              3 * tolerance,
		SurplusPercent:     min(3*ms, mostEvenPercent),
		MinSpeculativeWait: leastBlindWait + 4*tolerance,
		ReturnDelay:        leastReturnDelay + tolerance,
		MinReturnBatch:     min(leastReturn+ms/4, mostReturn),
	}
}

// lending is the account of loans given, and of requests for more.
type lending struct {
	lastLoan    uint64
	lastRequest uint64
	given       map[uint64]*loan
	asked       map[counterpart]*request
	standing    map[counterpart]*request
	seen        map[task.Incarnation]*sight
	// mean is the running mean of the run times of an institution's tasks.
	mean map[string]time.Duration
	// spare is the number of borrowed slots, by institution, that may go home.
	spare map[string]int
	// quiet is until when asking is known to be of no use.
	quiet task.Time
	// looking is set while a timer stands to look at the waiting tasks again.
	looking bool
	// returning is set while a timer stands to send spare slots home.
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

// stands is how long a request is served. A short queue is soon gone, and slots
// granted after that would go home unused.
func (r *request) stands() time.Duration {
	return min(max(r.wait/standPart, leastStanding), mostStanding)
}

// sight is what a peer last said of its slots.
type sight struct {
	// idle are its idle slots, by institution, less what was asked for since.
	idle map[string]int
	// queued says that it had tasks waiting.
	queued bool
	at     task.Time
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

func (c *Core) meanRun(institution string) time.Duration {
	if mean := c.lending.mean[institution]; mean > 0 {
		return mean
	}
	return queue.DefaultRunTime
}

// pace is the expected time between two slots of an institution coming free.
func (c *Core) pace(institution string) time.Duration {
	held := max(1, c.pool.Held(institution))
	return max(c.meanRun(institution)/time.Duration(held), minPace)
}

// expectedWait is that of a task that joins the end of the queue.
func (c *Core) expectedWait(institution string) time.Duration {
	return time.Duration(c.queue.Tasks(institution)) * c.pace(institution)
}

// borrowRequested notes a request, to be served as slots are idle.
func (c *Core) borrowRequested(from task.Incarnation, r *pb.BorrowRequest) {
	k := counterpart{from, r.GetInstitution()}
	s := &request{
		id:    r.GetRequest(),
		count: int(r.GetCount()),
		at:    c.now,
		wait:  time.Duration(r.GetWaitMs()) * time.Millisecond,
	}
	c.lending.standing[k] = s
	c.after(s.stands(), func() { forgetRequest(c.lending.standing, k, s) })
}

// forgetRequest drops a request unless a newer one has taken its place.
func forgetRequest(m map[counterpart]*request, k counterpart, r *request) {
	if m[k] == r {
		delete(m, k)
	}
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

// neediest finds the standing request with the longest expected wait.
func (c *Core) neediest(institution string) (counterpart, bool) {
	var best counterpart
	var top *request
	for k, r := range c.lending.standing {
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
	back := c.pool.ReturnIdle(k.peer, r.count)
	c.lending.lastLoan++
	id := c.lending.lastLoan
	l := &loan{to: k.peer, slots: c.pool.Lend(k.institution, r.count-back, k.peer, id)}
	given := back + len(l.slots)
	if given == 0 {
		return false
	}
	r.count -= given
	if r.count == 0 {
		delete(c.lending.standing, k)
	}
	grant := &pb.LendGrant{Request: r.id, Loan: id, ValidMs: uint32(c.cfg.Lending.LoanDuration.Milliseconds())}
	for _, s := range l.slots {
		grant.Slots = append(grant.Slots, &pb.Slot{Upstream: s.Upstream, Index: s.Index})
	}
	c.send(k.peer, &pb.PeerMessage{Body: &pb.PeerMessage_LendGrant{LendGrant: grant}})
	if len(l.slots) > 0 {
		c.stats.Lent += uint64(len(l.slots))
		c.lending.given[id] = l
		c.after(c.cfg.Lending.LoanDuration, func() { c.endLoan(id) })
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

// addIdle tells a peer of the idle slots that it could have: own ones and those
// borrowed from it.
func (c *Core) addIdle(to task.Incarnation, st *pb.PeerStatus) {
	if c.draining {
		return
	}
	for _, inst := range c.settings.Current().GetInstitutions() {
		name := inst.GetName()
		waiting := c.queue.Tasks(name)
		n := c.pool.IdleOwn(name) + c.pool.IdleBorrowed(to)
		st.QueuedTasks += uint32(waiting)
		if n == 0 || waiting > 0 {
			continue
		}
		st.IdleSlots += uint32(n)
		st.Idle = append(st.Idle, &pb.IdleSlots{Institution: name, Slots: uint32(n)})
	}
}

// lendingPeerDown ends the dealings with a peer that can't be reached.
func (c *Core) lendingPeerDown(p task.Incarnation) {
	delete(c.lending.seen, p)
	other := func(k counterpart, _ *request) bool { return k.peer == p }
	maps.DeleteFunc(c.lending.asked, other)
	maps.DeleteFunc(c.lending.standing, other)
	c.pool.LenderUnreachable(p)
	for _, id := range slices.Sorted(maps.Keys(c.lending.given)) {
		if c.lending.given[id].to == p {
			c.after(lenderGrace, func() { c.endLoan(id) })
		}
	}
}
