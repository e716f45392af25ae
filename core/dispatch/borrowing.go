package dispatch

import (
	"cmp"
	"slices"
	"time"

	"sapphirepoint.example/sapphirepoint/core/queue"
	"sapphirepoint.example/sapphirepoint/core/task"
	pb "sapphirepoint.example/sapphirepoint/gen/sapphirepointv1"
)

func (c *Core) lendingLimits(inst *pb.Institution) LendingLimits {
	return c.cfg.Lending.Limits(time.Duration(inst.GetBorrowToleranceMs()) * time.Millisecond)
}

// borrow requests slots from peers if tasks would wait longer than tolerated.
func (c *Core) borrow(inst *pb.Institution) {
	name := inst.GetName()
	if c.cfg.Lending.Off || c.now < c.lending.quietUntil || c.queue.Tasks(name) == 0 || len(c.lending.reports) == 0 {
		return
	}
	limits := c.lendingLimits(inst)
	need := c.queue.CountLate(c.now, name, queue.LatenessCriteria{
		StartInterval:  c.slotInterval(name),
		Tolerance:      limits.Tolerance,
		TypicalRunTime: c.meanRunTime(name),
		MaxSlack:       limits.Slack,
	})
	need -= c.pendingSlots(name)
	if need > 0 {
		need = c.requestIdle(name, need, limits)
	}
	if need > 0 && c.expectedWait(name) >= limits.MinSpeculativeWait {
		c.requestSpeculatively(name, need)
	}
	c.scheduleRecheck()
}

// scheduleRecheck sets a timer that leads to another placement pass: tasks become late, and
// requests pass grantTimeout, without any event.
func (c *Core) scheduleRecheck() {
	if c.lending.recheckPending {
		return
	}
	c.lending.recheckPending = true
	c.after(grantTimeout, func() { c.lending.recheckPending = false })
}

// pendingSlots is the number of requested slots that may still be granted.
func (c *Core) pendingSlots(institution string) int {
	n := 0
	for k, r := range c.lending.requested {
		if k.institution == institution && c.now-r.at < grantTimeout {
			n += r.count
		}
	}
	return n
}

// requestIdle requests slots from the peers whose last report leaves idle ones, the peer
// with the most first, and returns the number of slots still needed.
func (c *Core) requestIdle(institution string, need int, limits LendingLimits) int {
	var candidates []task.Incarnation
	for p, s := range c.lending.reports {
		if s.idle[institution] > 0 {
			candidates = append(candidates, p)
		}
	}
	slices.SortFunc(candidates, func(a, b task.Incarnation) int {
		reports := c.lending.reports
		return cmp.Or(cmp.Compare(reports[b].idle[institution], reports[a].idle[institution]), compareIncarnations(a, b))
	})
	for _, p := range candidates {
		if need <= 0 {
			break
		}
		idle := c.lending.reports[p].idle[institution]
		n := min(need, idle)
		c.sendBorrowRequest(requestKey{p, institution}, n+(idle-n)*limits.SurplusPercent/100)
		need -= n
	}
	return need
}

// requestSpeculatively requests slots from one peer that is not known to have idle ones.
// Peers that recently reported waiting tasks or whose request is still being served are
// excluded; of the others it picks the one with the oldest report. If all are excluded, no
// slots are requested for minRequestLifetime.
func (c *Core) requestSpeculatively(institution string, need int) {
	var best requestKey
	var bestAt task.Time
	for p, s := range c.lending.reports {
		k := requestKey{p, institution}
		if s.queued && c.now-s.at < queuedPeerBackoff {
			continue
		}
		if r := c.lending.requested[k]; r != nil && c.now-r.at < r.lifetime() {
			continue
		}
		if best.peer.Node == "" || s.at < bestAt || s.at == bestAt && compareIncarnations(p, best.peer) < 0 {
			best, bestAt = k, s.at
		}
	}
	if best.peer.Node == "" {
		c.lending.quietUntil = c.now + minRequestLifetime
		return
	}
	c.sendBorrowRequest(best, need)
}

func (c *Core) sendBorrowRequest(k requestKey, count int) {
	c.lending.lastRequest++
	r := &slotRequest{id: c.lending.lastRequest, count: count, at: c.now, wait: c.expectedWait(k.institution)}
	c.lending.requested[k] = r
	c.after(max(r.lifetime(), grantTimeout), func() { removeRequest(c.lending.requested, k, r) })
	s := c.lending.reports[k.peer]
	s.idle[k.institution] = max(0, s.idle[k.institution]-count)
	c.send(k.peer, &pb.PeerMessage{Body: &pb.PeerMessage_BorrowRequest{BorrowRequest: &pb.BorrowRequest{
		Request:     r.id,
		Institution: k.institution,
		Count:       uint32(count),
		QueuedTasks: uint32(c.queue.Tasks(k.institution)),
		WaitMs:      uint32(r.wait.Milliseconds()),
	}}})
}

// receiveGrant takes over granted slots. Tasks are started on them for half of the loan
// duration, so that these have ended when the loan expires at the lender. returned is the
// number of slots of this process that the peer returned with the grant; they count as
// granted, too.
func (c *Core) receiveGrant(from task.Incarnation, g *pb.LendGrant, returned int) {
	for k, r := range c.lending.requested {
		if k.peer != from || r.id != g.GetRequest() {
			continue
		}
		r.count -= len(g.GetSlots()) + returned
		if r.count <= 0 {
			delete(c.lending.requested, k)
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
	usable := time.Duration(g.GetValidMs()) * time.Millisecond / 2
	c.after(usable, func() { c.pool.EndLoan(from, g.GetLoan()) })
}

// addReturns adds the slots to be returned to a lender, among them spare ones, to a message
// to it. A slot that has been used since returnSpare counted the spare ones is not returned.
func (c *Core) addReturns(to task.Incarnation, m *pb.PeerMessage) {
	for _, inst := range c.settings.Current().GetInstitutions() {
		name := inst.GetName()
		spare := min(c.lending.spare[name], c.pool.SpareBorrowed(name, false))
		if spare > 0 {
			c.lending.spare[name] -= c.pool.ReturnIdle(to, spare)
		}
	}
	for _, r := range c.pool.Returns(to) {
		back := &pb.LendReturn{Loan: r.Loan}
		for _, s := range r.Slots {
			back.Slots = append(back.Slots, &pb.Slot{Upstream: s.Upstream, Index: s.Index})
		}
		m.Returns = append(m.Returns, back)
	}
}

// scheduleReturn sets a timer that returns the borrowed slots that stay unused until then.
func (c *Core) scheduleReturn(inst *pb.Institution) {
	name := inst.GetName()
	if c.lending.returnPending || c.pool.Idle(name) == c.pool.IdleOwn(name) {
		return
	}
	limits := c.lendingLimits(inst)
	c.lending.returnPending = true
	c.pool.SpareBorrowed(name, true)
	c.after(limits.ReturnDelay, func() {
		c.lending.returnPending = false
		c.returnSpare(name, limits.MinReturnBatch)
	})
}

// returnSpare sends messages to return spare borrowed slots, first to the lenders with the
// most idle ones to save messages. send adds the slots to each message.
func (c *Core) returnSpare(institution string, minBatch int) {
	c.lending.spare[institution] = c.pool.SpareBorrowed(institution, false)
	list := c.sortedPeers()
	slices.SortStableFunc(list, func(a, b task.Incarnation) int {
		return cmp.Compare(c.pool.IdleBorrowed(b), c.pool.IdleBorrowed(a))
	})
	for _, p := range list {
		if min(c.lending.spare[institution], c.pool.IdleBorrowed(p)) < minBatch {
			return
		}
		c.send(p, &pb.PeerMessage{Body: &pb.PeerMessage_LendReturn{LendReturn: &pb.LendReturn{}}})
	}
}

// recordIdle records the idle slots that a peer reports.
func (c *Core) recordIdle(from task.Incarnation, st *pb.PeerStatus) {
	if st.GetStopping() {
		delete(c.lending.reports, from)
		return
	}
	idle := make(map[string]int, len(st.GetIdle()))
	for _, i := range st.GetIdle() {
		idle[i.GetInstitution()] = int(i.GetSlots())
	}
	c.lending.reports[from] = &slotReport{idle: idle, queued: st.GetQueuedTasks() > 0, at: c.now}
	if len(idle) > 0 {
		c.lending.quietUntil = 0
	}
}
