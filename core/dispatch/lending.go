package dispatch

import (
	"maps"
	"slices"
	"time"

	"sapphirepoint.example/sapphirepoint/core/queue"
	"sapphirepoint.example/sapphirepoint/core/task"
	pb "sapphirepoint.example/sapphirepoint/gen/sapphirepointv1"
)

// Lending configures the lending of slots between entry processes.
type Lending struct {
	// Off disables borrowing by this process.
	Off bool
	// LoanDuration is how long a loan lasts on the lender's clock. The borrower starts
	// tasks on the lent slots only during half of that time, counted from the arrival of
	// the grant, so that these tasks have ended when the loan expires.
	LoanDuration time.Duration
	// Limits derives the limits from an institution's tolerance, which its settings
	// declare as borrow_tolerance_ms.
	Limits func(tolerance time.Duration) LendingLimits
}

// LendingLimits trade response time against messages between entry processes: with higher
// values fewer messages are sent, and tasks here or at the lenders may wait longer for a slot.
type LendingLimits struct {
	// Tolerance is how long a task may wait for an own slot before a slot is requested from
	// peers, if the longest task of its job runs for the mean run time. For other jobs it is
	// proportional to the run time of the longest task.
	Tolerance time.Duration
	// Slack bounds the wait allowed beyond Tolerance to a task that is declared shorter than
	// the longest of its job: it may wait longer by the difference of the two run times, but
	// by no more than Slack.
	Slack time.Duration
	// SurplusPercent is the percentage of a peer's other idle slots, those that are not
	// needed now, that is requested along with the needed ones.
	SurplusPercent int
	// MinSpeculativeWait is the minimum expected wait at which slots are requested
	// from peers that are not known to have idle ones.
	MinSpeculativeWait time.Duration
	// ReturnDelay is how long a borrowed slot must be unused before it is returned.
	ReturnDelay time.Duration
	// MinReturnBatch is the minimum number of slots for which a message is sent only to
	// return them. Fewer are returned with the next message sent for another reason.
	MinReturnBatch int
}

// DefaultLending is the default configuration; see docs/design/placement.md.
var DefaultLending = Lending{LoanDuration: 60 * time.Second, Limits: LendingLimitsFor}

const (
	baseSpeculativeWait = 150 * time.Millisecond
	baseReturnDelay     = 15 * time.Millisecond
	baseReturnBatch     = 2
	maxReturnBatch      = 8
	maxSurplusPercent   = 60
	// grantTimeout is how long requested slots count as about to be granted; after that,
	// the tasks that need them may cause requests to other peers.
	grantTimeout = 20 * time.Millisecond
	// minRequestLifetime and maxRequestLifetime bound how long a lender serves a request
	// as its slots become idle. Within the bounds it is the borrower's expected wait
	// divided by requestLifetimeDivisor.
	minRequestLifetime     = 2 * time.Millisecond
	maxRequestLifetime     = time.Second
	requestLifetimeDivisor = 4
	// queuedPeerBackoff is how long a peer that reported waiting tasks, and is not known to
	// have idle slots, gets no request.
	queuedPeerBackoff = 400 * time.Millisecond
	// lostBorrowerGrace is how long slots stay lent after the connection with their
	// borrower is lost. If they were reused at once, tasks that the borrower started could
	// still be running on them; if they were never reclaimed, they would be lost.
	lostBorrowerGrace = time.Second
	// minSlotInterval is the minimum of slotInterval, so that the expected wait of a queue
	// is never 0.
	minSlotInterval = time.Microsecond
	// runTimeMeanDivisor is the inverse of the weight of a new run time in the running mean:
	// each run time has a weight of 1/32.
	runTimeMeanDivisor = 32
)

// LendingLimitsFor derives the limits from an institution's tolerance. A tolerance of 0
// favours short response times, one of 20 ms or more favours few messages.
func LendingLimitsFor(tolerance time.Duration) LendingLimits {
	ms := int(tolerance.Milliseconds())
	return LendingLimits{
		Tolerance:          tolerance,
		Slack:              3 * tolerance,
		SurplusPercent:     min(3*ms, maxSurplusPercent),
		MinSpeculativeWait: baseSpeculativeWait + 4*tolerance,
		ReturnDelay:        baseReturnDelay + tolerance,
		MinReturnBatch:     min(baseReturnBatch+ms/4, maxReturnBatch),
	}
}

// lending is the state of the lending of slots with peers, in both directions.
type lending struct {
	lastLoan    uint64
	lastRequest uint64
	// granted are the loans to peers, by number.
	granted map[uint64]*loan
	// requested are the requests sent to peers, received those from peers that can
	// still be served.
	requested map[requestKey]*slotRequest
	received  map[requestKey]*slotRequest
	// reports are the latest slot reports of peers.
	reports map[task.Incarnation]*slotReport
	// meanRunTimes are the running means of the run times of tasks, by institution.
	meanRunTimes map[string]time.Duration
	// spare is the number of borrowed slots, by institution, that returnSpare found to have
	// been unused for the whole ReturnDelay. addReturns adds them to messages to their
	// lenders.
	spare map[string]int
	// quietUntil is the time before which no slots are requested, because each peer either
	// reported waiting tasks recently or has an open request. A peer's report of idle
	// slots ends it at once.
	quietUntil task.Time
	// recheckPending is set while a timer to re-examine the waiting tasks is set.
	recheckPending bool
	// returnPending is set while a timer to return spare slots is set.
	returnPending bool
}

// requestKey identifies the slot requests between this process and a peer for one
// institution.
type requestKey struct {
	peer        task.Incarnation
	institution string
}

// loan is a set of slots of this process lent to a peer.
type loan struct {
	borrower task.Incarnation
	slots    []task.Slot
}

// slotRequest is a request for slots, sent to or received from a peer.
type slotRequest struct {
	id uint64
	// count is the number of slots that have not been granted yet.
	count int
	// at is when it was sent or received.
	at task.Time
	// wait is the expected wait, at the borrower, of a task at the end of the queue.
	wait time.Duration
}

// lifetime is how long the lender serves a request. A short queue empties quickly, and
// slots granted after that would be returned unused.
func (r *slotRequest) lifetime() time.Duration {
	return min(max(r.wait/requestLifetimeDivisor, minRequestLifetime), maxRequestLifetime)
}

// slotReport is what a peer's last status reported about its slots.
type slotReport struct {
	// idle are the peer's idle slots by institution, minus those requested since.
	idle map[string]int
	// queued reports whether the peer had waiting tasks.
	queued bool
	at     task.Time
}

func newLending() lending {
	return lending{
		granted:      make(map[uint64]*loan),
		requested:    make(map[requestKey]*slotRequest),
		received:     make(map[requestKey]*slotRequest),
		reports:      make(map[task.Incarnation]*slotReport),
		meanRunTimes: make(map[string]time.Duration),
		spare:        make(map[string]int),
	}
}

// recordRunTime adds the run time of a task to the institution's running mean.
func (c *Core) recordRunTime(institution string, took time.Duration) {
	old := c.lending.meanRunTimes[institution]
	if old == 0 {
		old = took
	}
	c.lending.meanRunTimes[institution] = old + (took-old)/runTimeMeanDivisor
}

// meanRunTime is the running mean of the run times of an institution's tasks, or the
// default run time before the first has ended.
func (c *Core) meanRunTime(institution string) time.Duration {
	if mean := c.lending.meanRunTimes[institution]; mean > 0 {
		return mean
	}
	return queue.DefaultRunTime
}

// slotInterval is the expected time between two slots of an institution becoming
// idle.
func (c *Core) slotInterval(institution string) time.Duration {
	held := max(1, c.pool.Held(institution))
	return max(c.meanRunTime(institution)/time.Duration(held), minSlotInterval)
}

// expectedWait is the expected wait of a task at the end of the queue.
func (c *Core) expectedWait(institution string) time.Duration {
	return time.Duration(c.queue.Tasks(institution)) * c.slotInterval(institution)
}

// borrowRequested records a peer's request, to be served as slots become idle.
func (c *Core) borrowRequested(from task.Incarnation, r *pb.BorrowRequest) {
	k := requestKey{from, r.GetInstitution()}
	s := &slotRequest{
		id:    r.GetRequest(),
		count: int(r.GetCount()),
		at:    c.now,
		wait:  time.Duration(r.GetWaitMs()) * time.Millisecond,
	}
	c.lending.received[k] = s
	c.after(s.lifetime(), func() { removeRequest(c.lending.received, k, s) })
}

// removeRequest removes a request at the end of its lifetime. A newer request to or from the
// same peer may have replaced it in the map and is left there.
func removeRequest(m map[requestKey]*slotRequest, k requestKey, r *slotRequest) {
	if m[k] == r {
		delete(m, k)
	}
}

// lendIdleSlots grants idle slots to the peers that requested some, in the order of
// their expected waits, longest first.
func (c *Core) lendIdleSlots(institution string) {
	for len(c.lending.received) > 0 && c.pool.Idle(institution) > 0 && !c.draining {
		k, ok := c.longestWaiting(institution)
		if !ok || !c.grant(k) {
			return
		}
	}
}

// longestWaiting finds the received request with the longest expected wait.
func (c *Core) longestWaiting(institution string) (requestKey, bool) {
	var best requestKey
	var top *slotRequest
	for k, r := range c.lending.received {
		if k.institution != institution {
			continue
		}
		if top == nil || r.wait > top.wait || r.wait == top.wait && compareIncarnations(k.peer, best.peer) < 0 {
			best, top = k, r
		}
	}
	return best, top != nil
}

// grant grants slots for a received request: first it returns those borrowed from that
// peer, then it lends own ones. The returned slots are no part of the grant; send adds them
// to the same message as Returns. If there are no others, the grant is sent without slots,
// because its request number identifies the request that the returned slots serve.
// grant reports false if there are no slots of either kind.
func (c *Core) grant(k requestKey) bool {
	r := c.lending.received[k]
	givenBack := c.pool.ReturnIdle(k.peer, r.count)
	c.lending.lastLoan++
	id := c.lending.lastLoan
	l := &loan{borrower: k.peer, slots: c.pool.Lend(k.institution, r.count-givenBack, k.peer, id)}
	granted := givenBack + len(l.slots)
	if granted == 0 {
		return false
	}
	r.count -= granted
	if r.count == 0 {
		delete(c.lending.received, k)
	}
	grant := &pb.LendGrant{Request: r.id, Loan: id, ValidMs: uint32(c.cfg.Lending.LoanDuration.Milliseconds())}
	for _, s := range l.slots {
		grant.Slots = append(grant.Slots, &pb.Slot{Upstream: s.Upstream, Index: s.Index})
	}
	c.send(k.peer, &pb.PeerMessage{Body: &pb.PeerMessage_LendGrant{LendGrant: grant}})
	if len(l.slots) > 0 {
		c.stats.Lent += uint64(len(l.slots))
		c.lending.granted[id] = l
		c.after(c.cfg.Lending.LoanDuration, func() { c.endLoan(id) })
	}
	return true
}

// endLoan ends a loan when LoanDuration has passed, or lostBorrowerGrace after the loss of
// the borrower's connection, and reclaims the slots not returned by then. Without it the
// slots of a borrower that crashed or failed to return them would never be used again.
func (c *Core) endLoan(id uint64) {
	l := c.lending.granted[id]
	if l == nil {
		return
	}
	delete(c.lending.granted, id)
	for _, s := range l.slots {
		if c.pool.TakeBack(s, id) {
			c.stats.Reclaims++
		}
	}
}

// reclaimReturned takes back the lent slots that a message returns, and counts them.
func (c *Core) reclaimReturned(list []*pb.LendReturn) int {
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

// addIdleSlots adds to a status the idle slots that the peer could have: own ones and
// those borrowed from it. An institution with waiting tasks here reports none, because
// place gives its idle slots to those tasks before it lends any.
func (c *Core) addIdleSlots(to task.Incarnation, st *pb.PeerStatus) {
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

// lendingPeerDown drops the requests to and from a peer that is unreachable, and ends the
// use of the slots borrowed from it. Loans to the peer end after lostBorrowerGrace.
func (c *Core) lendingPeerDown(p task.Incarnation) {
	delete(c.lending.reports, p)
	withPeer := func(k requestKey, _ *slotRequest) bool { return k.peer == p }
	maps.DeleteFunc(c.lending.requested, withPeer)
	maps.DeleteFunc(c.lending.received, withPeer)
	c.pool.LenderUnreachable(p)
	for _, id := range slices.Sorted(maps.Keys(c.lending.granted)) {
		if c.lending.granted[id].borrower == p {
			c.after(lostBorrowerGrace, func() { c.endLoan(id) })
		}
	}
}
