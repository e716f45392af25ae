package schedule

import (
	"math"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"sapphirepoint.example/sapphirepoint/core/pace"
	"sapphirepoint.example/sapphirepoint/core/workload"
)

// runOn lets a runner complete a job of one task in a multiple of its estimate.
func (b *harness) runOn(r workload.RunnerID, sequence *uint64, ratio float64) {
	j := testJob(1, 100*ms)
	b.submit(j, 3*time.Second)
	c := one[Start](b)
	b.g.Expect(c.Runner).To(Equal(r))
	b.started(c, Accepted)
	b.now += time.Duration(ratio * float64(100*ms))
	*sequence++
	b.end(r, *sequence, c.Run, workload.Done)
	take[Answer](b)
	take[Hold](b)
}

func decisions(b *harness, event string) int {
	n := 0
	for _, d := range take[Decision](b) {
		if d.Event == event {
			n++
		}
	}
	return n
}

// Guards against a runner that turns slow and still counts as fast, and against one that counts as
// slow after it has recovered.
func TestARunnerTurnsSlowAndRecovers(t *testing.T) {
	b := leading(t, testRunner("r1"))
	var sequence uint64
	for range 20 {
		b.runOn("r1", &sequence, 1)
	}
	h := &b.s.runners["r1"].health
	usual := h.pace()
	runs := 0
	for ; !h.turned && !h.closed(b.now) && runs < 10; runs++ {
		b.runOn("r1", &sequence, 4.5)
	}
	b.g.Expect(runs).To(BeNumerically("<=", 2), "runs until it is noticed")
	b.g.Expect(decisions(b, "runner-pace-turned")).To(Equal(1))
	b.wait(initialClosure + 20*ms)
	for runs = 0; (h.turned || h.suspect()) && runs < 10; runs++ {
		b.runOn("r1", &sequence, 1)
	}
	b.g.Expect(runs).To(BeNumerically("<=", 2), "runs until it is used again")
	b.g.Expect(decisions(b, "runner-pace-recovered")).To(Equal(1))
	b.g.Expect(h.pace()).To(BeNumerically("<", 1.4*usual))
}

// Guards against a turned runner that gets no tasks, and so can't show that it has recovered.
func TestATurnedRunnerIsTriedAgain(t *testing.T) {
	b := leading(t, testRunner("r1"))
	h := &b.s.runners["r1"].health
	for _, id := range []workload.JobID{"1", "2", "3"} {
		h.noteRatio(b.now, id, 8)
	}
	b.g.Expect(h.turned).To(BeTrue())
	b.wait(2 * time.Second)
	b.g.Expect(h.turned).To(BeFalse())
	b.g.Expect(h.noteRatio(b.now, "4", 8)).To(BeTrue(), "it turns at once if it is still slow")
}

// Guards against one slow job of several tasks that is taken for a slow runner.
func TestOneSlowJobIsNoSlowRunner(t *testing.T) {
	h := newHealth()
	for range 8 {
		h.noteRatio(0, "1", 7)
	}
	NewWithT(t).Expect(h.turned).To(BeFalse())
}

// A runner that is slower than estimated isn't closed for its usual run times.
func TestASlowRunnerIsNotAFailingOne(t *testing.T) {
	h := newHealth()
	h.setUsual(2)
	h.succeeded(0, 500*ms, 100*ms)
	NewWithT(t).Expect(h.suspect()).To(BeFalse())
}

// Guards against a successor that begins without what its predecessor had learned, and against one
// that gives a restarted runner of another kind the old runner's pace.
func TestASuccessorBeginsWithWhatWasLearned(t *testing.T) {
	b := leading(t, testRunner("r1"))
	var sequence uint64
	for range 30 {
		b.runOn("r1", &sequence, 2)
	}
	other := testRunner("r1")
	other.Capacity.MilliCPU = 96000
	next := leading(t, testRunner("r1"), testRunner("r2"))
	changed := leading(t, other)
	for _, n := range []*harness{next, changed} {
		n.s.ApplyLearned(n.now, b.s.Learned(b.now))
	}
	g := NewWithT(t)
	learned := b.s.runners["r1"].health.pace() * b.s.queueRatio(&job{work: &workload.Job{Queue: "q"}})
	got := next.s.runners["r1"].health.pace() * next.s.queueRatio(&job{work: &workload.Job{Queue: "q"}})
	g.Expect(got).To(BeNumerically("~", learned, 0.05))
	g.Expect(next.s.runners["r2"].health.pace()).To(BeNumerically(">", 1.2), "by its kind")
	g.Expect(changed.s.runners["r1"].health.pace()).To(Equal(changed.s.learned.Runner(changed.now, "new", changed.s.runners["r1"].kind())))
	d := next.s.Dump(next.now)
	g.Expect(d.Kinds[0].Runs).To(BeNumerically(">=", 30))
	g.Expect(d.Queues[0].Name).To(Equal("q"))
}

// Guards against a runner that seems fast after a takeover, since only the rest of a run was seen.
func TestNothingIsLearnedFromRunsOfAnotherScheduler(t *testing.T) {
	b := leading(t, testRunner("r1"))
	j := testJob(1, 400*ms)
	key := workload.RunKey{Task: workload.TaskName{Job: j.ID}, Number: 1}
	b.s.requestList(b.s.runners["r1"])
	b.answerHold(one[Hold](b), Accepted, key)
	b.submit(j, 3*time.Second)
	b.now += 10 * ms
	b.end("r1", 1, key, workload.Done)
	b.g.Expect(one[Answer](b).Outcome).To(Equal(workload.Completed))
	b.g.Expect(b.s.Learned(b.now).Count()).To(BeZero())
}

// Guards against ratios out of bounds, from another version, that change where tasks run.
func TestAbsurdLearnedPacesChangeNothing(t *testing.T) {
	b := leading(t, testRunner("r1"))
	bad := []pace.Ratio{{Name: "r1", Value: math.NaN(), Runs: 3}, {Name: "r1", Value: -2, Runs: 3}, {Name: "r1", Value: 1e300, Runs: 3}}
	m := b.s.ApplyLearned(b.now, Learned{Runners: bad, Kinds: bad, Queues: bad})
	b.g.Expect(m.Invalid).To(Equal(9))
	b.g.Expect(b.s.runners["r1"].health.pace()).To(Equal(1.0))
}

// A long task whose objective a slow runner can't keep waits for the fast one, and the slow one
// is left to a short task.
func TestALongTaskWaitsForAFastRunner(t *testing.T) {
	b := leading(t, testRunner("fast"), testRunner("slow"))
	b.s.runners["fast"].health.usual, b.s.runners["slow"].health.usual = 0.5, 2
	b.submit(testJob(2, 400*ms), 3*time.Second)
	first := take[Start](b)
	b.g.Expect(first).To(HaveLen(2))
	long, short := testJob(1, 600*ms), testJob(1, 20*ms)
	b.submit(long, 4*time.Second)
	b.g.Expect(take[Start](b)).To(BeEmpty())
	b.submit(short, 3*time.Second)
	b.g.Expect(one[Start](b).Runner).To(BeEquivalentTo("slow"))
	b.now += 200 * ms
	b.end("fast", 1, first[0].Run, workload.Done)
	b.g.Expect(one[Start](b).Runner).To(BeEquivalentTo("fast"))
}

// Guards against a task that waits for a fast runner which has room but isn't chosen, since the task
// has failed there: it would never start.
func TestATaskDoesNotWaitForARunnerWithRoom(t *testing.T) {
	b := leading(t, testRunner("fast"), testRunner("slow"))
	b.s.runners["fast"].health.usual, b.s.runners["slow"].health.usual = 0.5, 2
	b.submit(testJob(1, 400*ms), 3*time.Second)
	first := one[Start](b)
	b.g.Expect(first.Runner).To(BeEquivalentTo("fast"))
	b.started(first, Accepted)
	b.s.runners["fast"].health.strikes = -1 // so that the failure leaves it unsuspected
	b.end("fast", 1, first.Run, workload.Failed)
	b.g.Expect(one[Start](b).Runner).To(BeEquivalentTo("slow"))
}
