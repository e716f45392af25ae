package dispatch

import (
	"testing"
	"time"

	. "github.com/onsi/gomega"

	pb "sapphirepoint.example/sapphirepoint/gen/sapphirepointv1"
)

// lendingWorld has entries 0 and 2 in one domain and 1 in the other, each
// domain with two upstreams of three slots.
func lendingWorld(t *testing.T) *world {
	return newWorld(7, 3, false, func(format string, args ...any) {
		t.Helper()
		t.Fatalf(format, args...)
	})
}

// rush submits a job of many tasks to an entry.
func (w *world) rush(e *fakeEntry, tasks int) *fakeJob {
	block := e.core.IssueIDs(e.clock(), 1)
	wire := &pb.SubmissionId{Kind: &pb.SubmissionId_Issued{Issued: &pb.IssuedId{Holder: block.GetHolder(), Number: block.GetFirst()}}}
	j := w.truth.newJob(wire, "labels", tasks)
	w.truth.submit(e, j, j.request)
	return j
}

func borrowed(e *fakeEntry) int {
	n := 0
	for _, other := range e.w.entries {
		n += e.core.pool.Borrowed(other.self())
	}
	return n
}

func allHome(w *world) bool {
	for _, e := range w.entries {
		if e.core.pool.IdleOwn(inst) != e.core.pool.Owned() {
			return false
		}
	}
	return true
}

func TestIdleSlotsAreLentAndComeHome(t *testing.T) {
	g := NewWithT(t)
	w := lendingWorld(t)
	w.rush(w.entries[1], 12)
	w.advance(20 * ms)
	g.Expect(borrowed(w.entries[1])).To(Equal(6), "the other domain's slots")
	g.Expect(len(w.entries[1].core.starts)).To(Equal(12))
	w.advance(5 * time.Second)
	g.Expect(allHome(w)).To(BeTrue())
}

// A VM dies with slots that it borrowed. If they stayed lent, the lenders' domain
// would go on with fewer slots than it has, and its callers would wait.
func TestSlotsOfADeadBorrowerComeBack(t *testing.T) {
	g := NewWithT(t)
	w := lendingWorld(t)
	w.rush(w.entries[1], 12)
	w.advance(20 * ms)
	g.Expect(borrowed(w.entries[1])).To(Equal(6))
	w.crash(w.entries[1])
	w.advance(lenderGrace / 2)
	g.Expect(allHome(w)).To(BeFalse(), "tasks of the dead borrower may still run")
	w.advance(lenderGrace)
	for _, i := range []int{0, 2} {
		c := w.entries[i].core
		g.Expect(c.pool.IdleOwn(inst)).To(Equal(c.pool.Owned()))
	}
}

// A VM dies that has lent slots. The borrower's tasks on them run on, and their
// job must still be answered whole, but no further task may be started there:
// the slots are some other VM's by the next list.
func TestLoansOfADeadLenderEnd(t *testing.T) {
	g := NewWithT(t)
	w := lendingWorld(t)
	w.rush(w.entries[1], 12)
	w.advance(20 * ms)
	g.Expect(borrowed(w.entries[1])).To(Equal(6))
	w.crash(w.entries[0])
	w.crash(w.entries[2])
	w.advance(200 * ms)
	g.Expect(borrowed(w.entries[1])).To(BeZero())
	w.advance(5 * time.Second)
	g.Expect(w.entries[1].core.stats.Starts).To(Equal(uint64(12)))
	g.Expect(w.entries[1].core.jobs).To(BeEmpty())
}

// Two domains lose each other while one uses slots of the other. Each has to
// serve what it can: with its own slots at once, and with those it had lent as
// soon as the loan can't be in use any more.
func TestCutDomainsServeWithTheirOwnSlots(t *testing.T) {
	g := NewWithT(t)
	w := lendingWorld(t)
	w.rush(w.entries[1], 12)
	w.advance(20 * ms)
	for _, i := range []int{0, 2} {
		l, _ := w.link(1, i)
		l.cut = true
		w.disconnect(1, i, 100*ms)
	}
	w.advance(lenderGrace + time.Second)
	g.Expect(allHome(w)).To(BeTrue())
	for _, e := range w.entries {
		w.rush(e, 4)
	}
	w.advance(2 * time.Second)
	for _, e := range w.entries {
		g.Expect(e.core.jobs).To(BeEmpty(), e.name)
	}
}

// The list reaches two VMs at different times and for a while both own a slot.
// The upstream refuses the second use; started on again at once, the slot would
// give a stream of refusals until the lists agree.
func TestRefusedSlotRests(t *testing.T) {
	g := NewWithT(t)
	w := lendingWorld(t)
	for _, r := range w.runners {
		r.mode = "refuse"
	}
	w.rush(w.entries[1], 12)
	w.advance(refusedHold - 20*ms)
	starts := w.entries[1].core.stats.Starts
	g.Expect(starts).To(BeNumerically(">=", 6))
	g.Expect(starts).To(BeNumerically("<=", 12), "each slot once")
}
