package admission

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"sapphirepoint.example/sapphirepoint/core/task"
	pb "sapphirepoint.example/sapphirepoint/gen/sapphirepointv1"
)

// PeerUp records a connection with a process. It replaces a former run of the same node, whose
// delayed messages are ignored from now on.
func (q *Quotas) PeerUp(p task.Incarnation) {
	for old := range q.peers {
		if old.Node == p.Node {
			delete(q.peers, old)
		}
	}
	q.peers[p] = &quotaPeer{statusSentAt: -StatusInterval}
}

// PeerDown records the loss of the connection with a process. Loans remain valid until they expire.
func (q *Quotas) PeerDown(p task.Incarnation) {
	delete(q.peers, p)
}

// Tick is to be called once per StatusInterval. It updates the demand sent to peers, returns unused
// borrowed units, and reclaims expired loans once the tasks that may run on them must have ended.
func (q *Quotas) Tick(now task.Time) {
	q.demand = nil
	for _, l := range q.sortedLimits {
		q.reclaimExpired(l, now)
		q.updateRequest(l)
		q.returnSurplus(l, now)
		l.peak = l.held
		l.blocked = false
		if l.requested > 0 {
			q.demand = append(q.demand, &pb.HeldSlots{
				Institution: l.key.Institution,
				Team:        l.key.Team,
				Slots:       uint32(l.held),
				Wanted:      uint32(l.requested),
			})
		}
	}
}

func (q *Quotas) reclaimExpired(l *limit, now task.Time) {
	for p, out := range l.lentTo {
		if now >= out.until+q.maxTaskOverrun {
			l.lent -= out.units
			delete(l.lentTo, p)
		}
	}
}

// updateRequest doubles the number of requested units at each tick while task starts are refused,
// from 1 and a quarter of the units in use to the whole limit.
func (q *Quotas) updateRequest(l *limit) {
	if !l.blocked {
		l.requested = 0
		return
	}
	l.requested = min(max(2*l.requested, 1+l.held/4), l.total)
}

// returnSurplus returns the borrowed units that weren't needed at the peak since the last tick.
func (q *Quotas) returnSurplus(l *limit, now task.Time) {
	if l.requested > 0 {
		return
	}
	surplus := l.ownUnits(q, now) - l.lent + l.usableBorrowed(now) - l.peak
	for _, p := range sortedLoans(l.borrowed) {
		b := l.borrowed[p]
		n := min(surplus, b.units)
		if n > 0 {
			b.units -= n
			surplus -= n
		}
		if now >= b.until+q.maxTaskOverrun {
			delete(l.borrowed, p)
		}
	}
}

// Status returns the status to be sent to a peer, at most one per StatusInterval, to be carried by
// any message. It is nil if none is due.
func (q *Quotas) Status(now task.Time, to task.Incarnation) *pb.QuotaStatus {
	p := q.peers[to]
	if p == nil || len(q.sortedLimits) == 0 || now-p.statusSentAt < StatusInterval {
		return nil
	}
	p.statusSentAt = now
	st := &pb.QuotaStatus{
		ClockMs:        uint64(now.Milliseconds()),
		MembersVersion: q.list.version,
		NodesHash:      q.list.hash,
		Settled:        q.withinLimits(now),
		Demand:         q.demand,
	}
	for _, l := range q.sortedLimits {
		if out := l.lentTo[to]; out != nil && p.statusReceived {
			st.Loans = append(st.Loans, q.renew(l, out, now, p.clockMs))
		}
		for _, lender := range sortedLoans(l.borrowed) {
			if lender.Node == to.Node {
				st.Borrowed = append(st.Borrowed, l.borrowedReport(lender))
			}
		}
	}
	return st
}

// SharesWith reports whether units are on loan between this process and a peer, or are requested of
// all peers. The peer's next status is then urgent.
func (q *Quotas) SharesWith(with task.Incarnation) bool {
	if len(q.demand) > 0 {
		return true
	}
	for _, l := range q.sortedLimits {
		if l.lentTo[with] != nil || l.borrowed[with] != nil {
			return true
		}
	}
	return false
}

// nextSerial returns a number that is never reused, so that a loan that ended isn't confused with a
// later one.
func (q *Quotas) nextSerial() uint64 {
	q.serial++
	return q.serial
}

// renew reports a loan to its borrower. It extends the loan unless this process needs the units or
// doesn't own them any more. clock is the borrower's latest clock reading, which the report echoes.
func (q *Quotas) renew(l *limit, out *loan, now task.Time, clock uint64) *pb.QuotaLoan {
	w := &pb.QuotaLoan{
		Institution: l.key.Institution,
		Team:        l.key.Team,
		Units:       uint32(out.units),
		Serial:      out.serial,
		ClockMs:     clock,
	}
	if l.requested == 0 && l.lent <= l.ownUnits(q, now) {
		w.ValidMs = uint32(LoanValidity.Milliseconds())
		out.until = max(out.until, now+LoanValidity+LoanValidity/clockDriftDivisor)
	}
	return w
}

func (l *limit) borrowedReport(lender task.Incarnation) *pb.QuotaLoan {
	b := l.borrowed[lender]
	return &pb.QuotaLoan{
		Institution: l.key.Institution,
		Team:        l.key.Team,
		Units:       uint32(b.units),
		Serial:      b.serial,
		LenderRun:   lender.Run,
	}
}

// Receive handles the status of a peer.
func (q *Quotas) Receive(now task.Time, from task.Incarnation, st *pb.QuotaStatus) {
	p := q.peers[from]
	if p == nil || st == nil {
		return
	}
	p.statusReceived = true
	p.clockMs = max(p.clockMs, st.GetClockMs())
	p.listVersion = st.GetMembersVersion()
	p.nodesHash = st.GetNodesHash()
	p.withinLimits = st.GetSettled()
	q.applyReports(from, p, st.GetBorrowed())
	for _, w := range st.GetLoans() {
		q.borrow(from, w)
	}
	q.endWaitsEarly(now)
	q.lend(now, from, st.GetDemand())
}

// applyReports reclaims units that the borrower reports as returned.
func (q *Quotas) applyReports(from task.Incarnation, p *quotaPeer, list []*pb.QuotaLoan) {
	p.holdsPredecessorLoans = false
	for _, r := range list {
		if r.GetLenderRun() != q.self.Run {
			p.holdsPredecessorLoans = true
			continue
		}
		l := q.limits[keyOf(r)]
		if l == nil || l.lentTo[from] == nil {
			continue
		}
		out := l.lentTo[from]
		// The report must refer to the present state of the loan. One that refers to an
		// earlier state would reclaim units that are in flight to the borrower.
		if r.GetSerial() == out.serial && int(r.GetUnits()) < out.units {
			l.lent -= out.units - int(r.GetUnits())
			out.units = int(r.GetUnits())
			out.serial = q.nextSerial()
		}
	}
}

func keyOf(w *pb.QuotaLoan) Key {
	return Key{w.GetInstitution(), w.GetTeam()}
}

// borrow records a loan. Its validity counts from this process's own clock reading, which the
// lender echoes. A delayed message therefore yields a loan that has already expired, instead of one
// that is valid here after the lender has reclaimed it.
func (q *Quotas) borrow(from task.Incarnation, w *pb.QuotaLoan) {
	l := q.limits[keyOf(w)]
	if l == nil {
		return
	}
	b := l.borrowed[from]
	if b == nil {
		b = &loan{}
		l.borrowed[from] = b
	}
	if w.GetSerial() < b.serial {
		return
	}
	if w.GetSerial() > b.serial {
		b.serial = w.GetSerial()
		b.units = int(w.GetUnits())
	}
	until := time.Duration(w.GetClockMs()+uint64(w.GetValidMs())) * time.Millisecond
	if w.GetValidMs() > 0 {
		b.until = max(b.until, until)
	}
}

// lend gives units that aren't needed here to a peer that requests some. It retains as many as were
// in use at the peak since the last tick, and a quarter of those in use now. The peer requests units
// of all processes, so it gets at most its request divided by the number of peers.
func (q *Quotas) lend(now task.Time, to task.Incarnation, wanted []*pb.HeldSlots) {
	for _, w := range wanted {
		l := q.limits[Key{w.GetInstitution(), w.GetTeam()}]
		if l == nil || l.blocked || l.requested > 0 {
			continue
		}
		spare := l.ownUnits(q, now) - l.lent - max(l.peak, l.held) - l.held/4
		part := (int(w.GetWanted()) + len(q.peers) - 1) / len(q.peers)
		n := min(spare, part)
		if n <= 0 {
			continue
		}
		out := l.lentTo[to]
		if out == nil {
			out = &loan{}
			l.lentTo[to] = out
		}
		out.units += n
		out.serial = q.nextSerial()
		out.until = now + LoanValidity + LoanValidity/clockDriftDivisor
		l.lent += n
	}
}

func sortedLoans(m map[task.Incarnation]*loan) []task.Incarnation {
	if len(m) == 0 {
		return nil
	}
	return slices.SortedFunc(maps.Keys(m), func(a, b task.Incarnation) int {
		return cmp.Or(cmp.Compare(a.Node, b.Node), cmp.Compare(a.Run, b.Run))
	})
}
