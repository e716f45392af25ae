package dispatch

import (
	"testing"
	"time"

	. "github.com/onsi/gomega"

	pb "sapphirepoint.example/sapphirepoint/gen/sapphirepointv1"
)

// lendingWorld has entries 0 and 2 in one failure domain and 1 in the other, each domain
// with two upstreams of three slots.
func lendingWorld(t *testing.T) *world {
	return newWorld(7, 3, false, func(format string, args ...any) {
		t.Helper()
		t.Fatalf(format, args...)
	})
}

// submitBurst submits a job of many tasks to an entry.
func (w *world) submitBurst(e *fakeEntry, tasks int) *fakeJob {
	block := e.core.IssueIDs(e.clock(), 1)
	wire := &pb.SubmissionId{Kind: &pb.SubmissionId_Issued{Issued: &pb.IssuedId{Holder: block.GetHolder(), Number: block.GetFirst()}}}
	j := w.oracle.newJob(wire, "labels", tasks)
	w.oracle.submit(e, j, j.request)
	return j
}

func borrowedSlots(e *fakeEntry) int {
	n := 0
	for _, other := range e.w.entries {
		n += e.core.pool.Borrowed(other.self())
	}
	return n
}

func allReturned(w *world) bool {
	for _, e := range w.entries {
		if e.core.pool.IdleOwn(inst) != e.core.pool.Owned() {
			return false
		}
	}
	return true
}

func TestIdleSlotsAreLentAndReturned(t *testing.T) {
	g := NewWithT(t)
	w := lendingWorld(t)
	w.submitBurst(w.entries[1], 12)
	w.advance(20 * ms)
	g.Expect(borrowedSlots(w.entries[1])).To(Equal(6), "the other domain's slots")
	g.Expect(len(w.entries[1].core.starts)).To(Equal(12))
	w.advance(5 * time.Second)
	g.Expect(allReturned(w)).To(BeTrue())
}

// A VM crashes while it holds borrowed slots. If they stayed lent, the lenders' failure domain
// could use fewer slots than it has, and its callers would wait.
func TestSlotsOfADeadBorrowerComeBack(t *testing.T) {
	g := NewWithT(t)
	w := lendingWorld(t)
	w.submitBurst(w.entries[1], 12)
	w.advance(20 * ms)
	g.Expect(borrowedSlots(w.entries[1])).To(Equal(6))
	w.crash(w.entries[1])
	w.advance(lostBorrowerGrace / 2)
	g.Expect(allReturned(w)).To(BeFalse(), "tasks of the crashed borrower may still run")
	w.advance(lostBorrowerGrace)
	for _, i := range []int{0, 2} {
		c := w.entries[i].core
		g.Expect(c.pool.IdleOwn(inst)).To(Equal(c.pool.Owned()))
	}
}

// A VM that has lent slots crashes. The borrower's tasks on them keep running and their job
// must still complete, but no further task may be started on them: the next list assigns the
// slots to another VM.
func TestLoansOfADeadLenderEnd(t *testing.T) {
	g := NewWithT(t)
	w := lendingWorld(t)
	w.submitBurst(w.entries[1], 12)
	w.advance(20 * ms)
	g.Expect(borrowedSlots(w.entries[1])).To(Equal(6))
	w.crash(w.entries[0])
	w.crash(w.entries[2])
	w.advance(200 * ms)
	g.Expect(borrowedSlots(w.entries[1])).To(BeZero())
	w.advance(5 * time.Second)
	g.Expect(w.entries[1].core.stats.Starts).To(Equal(uint64(12)))
	g.Expect(w.entries[1].core.jobs).To(BeEmpty())
}

// Two failure domains are partitioned while one uses slots of the other. Each must keep
// serving: at once with its own slots, and with the lent ones after lostBorrowerGrace.
func TestCutDomainsServeWithTheirOwnSlots(t *testing.T) {
	g := NewWithT(t)
	w := lendingWorld(t)
	w.submitBurst(w.entries[1], 12)
	w.advance(20 * ms)
	for _, i := range []int{0, 2} {
		l, _ := w.link(1, i)
		l.cut = true
		w.disconnect(1, i, 100*ms)
	}
	w.advance(lostBorrowerGrace + time.Second)
	g.Expect(allReturned(w)).To(BeTrue())
	for _, e := range w.entries {
		w.submitBurst(e, 4)
	}
	w.advance(2 * time.Second)
	for _, e := range w.entries {
		g.Expect(e.core.jobs).To(BeEmpty(), e.name)
	}
}

// Two VMs get the list at different times, and for a while both own a slot. The upstream
// refuses the second use. If the slot were reused at once, refusals would continue until both
// have the same list.
func TestRefusedSlotIsNotReusedAtOnce(t *testing.T) {
	g := NewWithT(t)
	w := lendingWorld(t)
	for _, r := range w.runners {
		r.mode = "refuse"
	}
	w.submitBurst(w.entries[1], 12)
	w.advance(refusedSlotCooldown - 20*ms)
	starts := w.entries[1].core.stats.Starts
	g.Expect(starts).To(BeNumerically(">=", 6))
	g.Expect(starts).To(BeNumerically("<=", 12), "each slot once")
}
