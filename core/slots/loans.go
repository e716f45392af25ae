package slots

import (
	"math"
	"slices"

	"sapphirepoint.example/sapphirepoint/core/heap"
	"sapphirepoint.example/sapphirepoint/core/task"
)

// All asks for everything.
const All = math.MaxInt

// Return is slots that go back to their lender.
type Return struct {
	Loan  uint64
	Slots []task.Slot
}

// lenderAccount are the slots borrowed from one peer, and those to be given back.
type lenderAccount struct {
	slots   []*slotRecord
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

func (d *lenderAccount) remove(r *slotRecord) {
	last := len(d.slots) - 1
	d.slots[r.borrowedIndex] = d.slots[last]
	d.slots[r.borrowedIndex].borrowedIndex = r.borrowedIndex
	d.slots = d.slots[:last]
}

func (d *lenderAccount) queueReturn(loan uint64, s task.Slot) {
	for i := range d.returns {
		if d.returns[i].Loan == loan {
			d.returns[i].Slots = append(d.returns[i].Slots, s)
			return
		}
	}
	d.returns = append(d.returns, Return{loan, []task.Slot{s}})
}

// Lend gives a peer the use of up to n idle own slots under a loan.
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

// TakeBack ends the loan of a slot, at its return or when the lender reclaims
// it. It reports false if the slot isn't lent under that loan: returned twice,
// reclaimed before, or not owned any more.
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

// Borrow takes over slots from a lender. Those that can't be used here go
// straight back.
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

// returnSlot gives a borrowed slot back.
func (p *Pool) returnSlot(r *slotRecord) {
	d := p.lenderAccount(r.peer)
	p.dropBorrowed(r)
	d.queueReturn(r.loan, r.slot())
}

// dropBorrowed ends the use of a borrowed slot without a word to the lender.
func (p *Pool) dropBorrowed(r *slotRecord) {
	p.lenderAccount(r.peer).remove(r)
	r.revokeRight()
	r.recalled = false
	if r.state == coolingDown {
		p.coolingDown = heap.Drop(p.coolingDown, r)
		r.state = idle
	}
}

// ReturnIdle ends the use of up to n idle slots borrowed from a lender and
// says of how many.
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

// IdleBorrowed is the number of idle slots borrowed from a lender.
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

// EndLoan ends the use of a loan's slots: idle ones are given back now, busy
// ones when their tasks end.
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

// recall gives a slot back as soon as it is idle. On a closed slot a task may
// still run: given back early, the lender would start another beside it, which
// shows as a refusal, so it stays here until it opens.
func (p *Pool) recall(r *slotRecord) {
	if r.state == idle {
		p.returnSlot(r)
		return
	}
	r.recalled = true
}

// LenderUnreachable ends the use of all slots borrowed from a peer that can't be
// reached. Tasks that run on them are left alone.
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

// Returns takes the slots that go back to a lender now.
func (p *Pool) Returns(lender task.Incarnation) []Return {
	d := p.borrowed[lender]
	if d == nil {
		return nil
	}
	list := d.returns
	d.returns = nil
	return list
}

// Borrowed is the number of slots held from a lender.
func (p *Pool) Borrowed(lender task.Incarnation) int {
	if d := p.borrowed[lender]; d != nil {
		return len(d.slots)
	}
	return 0
}

// SpareBorrowed is the number of borrowed slots of an institution that were
// idle all the time since the last call with reset set.
func (p *Pool) SpareBorrowed(institution string, reset bool) int {
	l := p.institutions[institution]
	if l == nil {
		return 0
	}
	low := l.borrowed.minCount
	if reset {
		l.borrowed.minCount = l.borrowed.count
	}
	return low
}
