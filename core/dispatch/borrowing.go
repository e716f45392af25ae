package dispatch

import (
	"cmp"
	"slices"
	"time"

	"sapphirepoint.example/sapphirepoint/core/queue"
	"sapphirepoint.example/sapphirepoint/core/task"
	pb "sapphirepoint.example/sapphirepoint/gen/sapphirepointv1"
)

func (c *Core) lendingTerms(inst *pb.Institution) LendingLimits {
	return c.cfg.Lending.Limits(time.Duration(inst.GetBorrowToleranceMs()) * time.Millisecond)
}

// borrow asks peers for slots if tasks would wait longer than tolerated.
func (c *Core) borrow(inst *pb.Institution) {
	name := inst.GetName()
	if c.cfg.Lending.Off || c.now < c.lending.quiet || c.queue.Tasks(name) == 0 || len(c.lending.seen) == 0 {
		return
	}
	terms := c.lendingTerms(inst)
	need := c.queue.CountLate(c.now, name, queue.LatenessCriteria{
		StartInterval:  c.pace(name),
		Tolerance:      terms.Tolerance,
		TypicalRunTime: c.meanRun(name),
		MaxSlack:       terms.Slack,
	})
	need -= c.pending(name)
	if need > 0 {
		need = c.askIdle(name, need, terms)
	}
	if need > 0 && c.expectedWait(name) >= terms.MinSpeculativeWait {
		c.askBlind(name, need)
	}
	c.lookAgain()
}

// lookAgain sets a timer, because tasks become late and requests go without an
// answer when nothing happens, too.
func (c *Core) lookAgain() {
	if c.lending.looking {
		return
	}
	c.lending.looking = true
	c.after(patience, func() { c.lending.looking = false })
}

// pending is the number of slots asked for that may be granted any moment.
func (c *Core) pending(institution string) int {
	n := 0
	for k, r := range c.lending.asked {
		if k.institution == institution && c.now-r.at < patience {
			n += r.count
		}
	}
	return n
}

// askIdle asks the peers that are thought to have idle slots, the one with the
// most first, and returns the need that is left.
func (c *Core) askIdle(institution string, need int, terms LendingLimits) int {
	var list []task.Incarnation
	for p, s := range c.lending.seen {
		if s.idle[institution] > 0 {
			list = append(list, p)
		}
	}
	slices.SortFunc(list, func(a, b task.Incarnation) int {
		seen := c.lending.seen
		return cmp.Or(cmp.Compare(seen[b].idle[institution], seen[a].idle[institution]), compareIncarnations(a, b))
	})
	for _, p := range list {
		if need <= 0 {
			break
		}
		idle := c.lending.seen[p].idle[institution]
		n := min(need, idle)
		c.ask(counterpart{p, institution}, n+(idle-n)*terms.SurplusPercent/100)
		need -= n
	}
	return need
}

// askBlind asks one peer that isn't known to have idle slots: of those that
// didn't just say that tasks wait there too, and that aren't asked already, the
// one last heard of longest ago. If there is none, nobody is asked for a while.
func (c *Core) askBlind(institution string, need int) {
	var best counterpart
	var bestAt task.Time
	for p, s := range c.lending.seen {
		k := counterpart{p, institution}
		if s.queued && c.now-s.at < queueTrust {
			continue
		}
		if r := c.lending.asked[k]; r != nil && c.now-r.at < r.stands() {
			continue
		}
		if best.peer.Node == "" || s.at < bestAt || s.at == bestAt && compareIncarnations(p, best.peer) < 0 {
			best, bestAt = k, s.at
		}
	}
	if best.peer.Node == "" {
		c.lending.quiet = c.now + leastStanding
		return
	}
	c.ask(best, need)
}

func (c *Core) ask(k counterpart, count int) {
	c.lending.lastRequest++
	r := &request{id: c.lending.lastRequest, count: count, at: c.now, wait: c.expectedWait(k.institution)}
	c.lending.asked[k] = r
	c.after(max(r.stands(), patience), func() { forgetRequest(c.lending.asked, k, r) })
	s := c.lending.seen[k.peer]
	s.idle[k.institution] = max(0, s.idle[k.institution]-count)
	c.send(k.peer, &pb.PeerMessage{Body: &pb.PeerMessage_BorrowRequest{BorrowRequest: &pb.BorrowRequest{
		Request:     r.id,
		Institution: k.institution,
		Count:       uint32(count),
		QueuedTasks: uint32(c.queue.Tasks(k.institution)),
		WaitMs:      uint32(r.wait.Milliseconds()),
	}}})
}

// granted takes over the slots of a grant. They may be used for half of the
// time that the lender gives, so that tasks started on them have ended by then.
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

// addReturns lets spare borrowed slots ride home on a message to their lender.
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

// returnLater sends borrowed slots home that are spare for a while.
func (c *Core) returnLater(inst *pb.Institution) {
	name := inst.GetName()
	if c.lending.returning || c.pool.Idle(name) == c.pool.IdleOwn(name) {
		return
	}
	terms := c.lendingTerms(inst)
	c.lending.returning = true
	c.pool.SpareBorrowed(name, true)
	c.after(terms.ReturnDelay, func() {
		c.lending.returning = false
		c.sendHome(name, terms.MinReturnBatch)
	})
}

// sendHome returns spare borrowed slots, most of them in few messages.
func (c *Core) sendHome(institution string, least int) {
	c.lending.spare[institution] = c.pool.SpareBorrowed(institution, false)
	list := c.sortedPeers()
	slices.SortStableFunc(list, func(a, b task.Incarnation) int {
		return cmp.Compare(c.pool.IdleBorrowed(b), c.pool.IdleBorrowed(a))
	})
	for _, p := range list {
		if min(c.lending.spare[institution], c.pool.IdleBorrowed(p)) < least {
			return
		}
		c.send(p, &pb.PeerMessage{Body: &pb.PeerMessage_LendReturn{LendReturn: &pb.LendReturn{}}})
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
	c.lending.seen[from] = &sight{idle: idle, queued: st.GetQueuedTasks() > 0, at: c.now}
	if len(idle) > 0 {
		c.lending.quiet = 0
	}
}
