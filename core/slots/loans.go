package slots

import (
	"math"
	"slices"

	"sapphirepoint.example/sapphirepoint/core/heap"
	"sapphirepoint.example/sapphirepoint/core/task"
)

// All as a number of slots means no limit.
const All = math.MaxInt

// Return is a set of slots of one loan that are returned to their lender.
type Return struct {
	// Loan is the lender's number for the loan.
	Loan  uint64
	Slots []task.Slot
}

// lenderAccount holds the slots borrowed from one peer, and the returns that are due to it.
type lenderAccount struct {
	slots []*slotRecord
	// returns are those that Returns hasn't returned yet. Their slots aren't in slots.
	returns []Return
}

func (p *Pool) lenderAccount(lender task.Incarnation) *lenderAccount {
	d := p.borrowed[lender]
	if d == nil {
		d = &lenderAccount{}
		p.borrowed[lender] = d
	}
	return d
}

// remove removes a slot from the borrowed ones, and moves the last one to its index.
func (d *lenderAccount) remove(r *slotRecord) {
	last := len(d.slots) - 1
	d.slots[r.borrowedIndex] = d.slots[last]
	d.slots[r.borrowedIndex].borrowedIndex = r.borrowedIndex
	d.slots = d.slots[:last]
}

// queueReturn adds a slot to the return of a loan.
func (d *lenderAccount) queueReturn(loan uint64, s task.Slot) {
	for i := range d.returns {
		if d.returns[i].Loan == loan {
			d.returns[i].Slots = append(d.returns[i].Slots, s)
			return
		}
	}
	d.returns = append(d.returns, Return{loan, []task.Slot{s}})
}

// Lend lends up to n idle owned slots to a peer, under a loan with the given number.
func (p *Pool) Lend(institution string, n int, to task.Incarnation, loan uint64) []task.Slot {
	l := p.institutions[institution]
	if l == nil {
		return nil
	}
	n = min(n, l.owned.count)
	var list []task.Slot
	for range n {
		g := l.owned.groups[0]
		r := g.popIdle()
		g.total--
		l.held--
		l.lent++
		r.state, r.peer, r.loan = lent, to, loan
		g.update()
		list = append(list, r.slot())
	}
	return list
}

// TakeBack ends the loan of a slot when the borrower returns it or the lender reclaims it. It
// reports false if the slot isn't lent under that loan: it was returned or reclaimed before, or
// isn't owned any more.
func (p *Pool) TakeBack(s task.Slot, loan uint64) bool {
	r := p.find(s)
	if r == nil || r.state != lent || r.loan != loan {
		return false
	}
	r.state = idle
	p.institutionSlots(r.upstream.institution).lent--
	r.grantRight(rightOwned)
	return true
}

// Borrow records slots lent by a peer. Slots that this process can't use are returned at once: those
// of an upstream that it doesn't have on its list, and those that it already owns, has borrowed or
// still runs a task on.
func (p *Pool) Borrow(lender task.Incarnation, loan uint64, list []task.Slot) {
	d := p.lenderAccount(lender)
	for _, s := range list {
		r := p.find(s)
		if r == nil || !r.upstream.listed || r.right != rightNone || r.state != idle {
			d.queueReturn(loan, s)
			continue
		}
		r.peer, r.loan, r.recalled = lender, loan, false
		r.borrowedIndex = len(d.slots)
		d.slots = append(d.slots, r)
		r.grantRight(rightBorrowed)
	}
}

// returnSlot ends the use of a borrowed slot and queues its return to the lender.
func (p *Pool) returnSlot(r *slotRecord) {
	d := p.lenderAccount(r.peer)
	p.dropBorrowed(r)
	d.queueReturn(r.loan, r.slot())
}

// dropBorrowed ends the use of a borrowed slot without returning it to the lender.
func (p *Pool) dropBorrowed(r *slotRecord) {
	p.lenderAccount(r.peer).remove(r)
	r.revokeRight()
	r.recalled = false
	if r.state == coolingDown {
		p.coolingDown = heap.Drop(p.coolingDown, r)
		r.state = idle
	}
}

// ReturnIdle queues the return of up to n idle slots to their lender. The result is the number of
// these slots.
func (p *Pool) ReturnIdle(lender task.Incarnation, n int) int {
	d := p.borrowed[lender]
	if d == nil {
		return 0
	}
	returned := 0
	for _, r := range slices.Clone(d.slots) {
		if returned == n {
			break
		}
		if r.state == idle {
			p.returnSlot(r)
			returned++
		}
	}
	return returned
}

// IdleBorrowed returns the number of idle slots borrowed from a lender.
func (p *Pool) IdleBorrowed(lender task.Incarnation) int {
	n := 0
	if d := p.borrowed[lender]; d != nil {
		for _, r := range d.slots {
			if r.state == idle {
				n++
			}
		}
	}
	return n
}

// EndLoan ends the use of a loan's slots. Idle ones are returned now, busy ones when their tasks
// have ended, and those in cooldown at its end.
func (p *Pool) EndLoan(lender task.Incarnation, loan uint64) {
	d := p.borrowed[lender]
	if d == nil {
		return
	}
	for _, r := range slices.Clone(d.slots) {
		if r.loan == loan {
			p.recall(r)
		}
	}
}

// recall returns a borrowed slot as soon as it is idle. A task may still run on a slot in cooldown.
// If such a slot were returned early, the lender would start another task on it, which the upstream
// would refuse.
func (p *Pool) recall(r *slotRecord) {
	if r.state == idle {
		p.returnSlot(r)
		return
	}
	r.recalled = true
}

// LenderUnreachable ends the use of all slots borrowed from a peer that can't be reached, without
// returning them. Tasks that run on them go on.
func (p *Pool) LenderUnreachable(lender task.Incarnation) {
	d := p.borrowed[lender]
	if d == nil {
		return
	}
	for _, r := range slices.Clone(d.slots) {
		p.dropBorrowed(r)
	}
	delete(p.borrowed, lender)
}

// Returns takes the queued returns of slots to a lender, for the caller to send.
func (p *Pool) Returns(lender task.Incarnation) []Return {
	d := p.borrowed[lender]
	if d == nil {
		return nil
	}
	list := d.returns
	d.returns = nil
	return list
}

// Borrowed returns the number of slots borrowed from a lender.
func (p *Pool) Borrowed(lender task.Incarnation) int {
	if d := p.borrowed[lender]; d != nil {
		return len(d.slots)
	}
	return 0
}

// SpareBorrowed returns the least number of usable borrowed slots that an institution has had since
// the last call with reset set: that many weren't needed in this period.
func (p *Pool) SpareBorrowed(institution string, reset bool) int {
	l := p.institutions[institution]
	if l == nil {
		return 0
	}
	minCount := l.borrowed.minCount
	if reset {
		l.borrowed.minCount = l.borrowed.count
	}
	return minCount
}
