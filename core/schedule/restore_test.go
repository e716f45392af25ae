package schedule

import (
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"sapphirepoint.example/sapphirepoint/core/ledger"
	"sapphirepoint.example/sapphirepoint/core/workload"
)

// Stored jobs under a scheduler that takes them over, or is about to lose them.

// runsOnOneOfTwo returns a bench with a stored job of one task, and the start of that on
// one of two runners.
func runsOnOneOfTwo(t *testing.T) (*bench, Start) {
	b := leading(t, testRunner("r1"), testRunner("r2"))
	j := storedJob(1, 2*time.Second)
	b.accepted(j)
	first := one[Start](b)
	b.started(first, Accepted)
	return b, first
}

// A scheduler is killed. The next one reads its jobs, finds one task done and one
// running, and starts only the third, when nothing can run any more on runners
// that it doesn't know of.
func TestRestoredJob(t *testing.T) {
	b := newBench(t, testRunner("r1"), testRunner("r2"))
	j := storedJob(3, 500*ms)
	b.s.Lead(b.now)
	for _, h := range take[Hold](b) {
		if h.Runner == "r1" {
			b.answerHold(h, Accepted, runOf(j, 1, 1))
			continue
		}
		b.held(h)
	}
	b.own(3, openRecord(j, 2, 0))
	claimed := b.now
	for b.now < claimed+storedUnknown-40*ms {
		b.wait(20 * ms)
		b.g.Expect(take[Start](b)).To(BeEmpty())
	}
	b.wait(80 * ms)
	start := one[Start](b)
	b.g.Expect(start.Run).To(Equal(runOf(j, 2, 101)), "above all that the owner before may have used")
	b.g.Expect(b.s.State(j.ID, b.now).Known).To(BeTrue())
}

// A scheduler retires in a planned stop and says so. Its jobs go on at once.
func TestRestoredJobOfARetiredScheduler(t *testing.T) {
	b := newBench(t, testRunner("r1"))
	j := storedJob(1, 500*ms)
	b.s.Lead(b.now)
	b.held(one[Hold](b))
	b.own(3, openRecord(j, 2))
	b.s.ApplyProgress(b.now, Progress{Epoch: 2})
	for _, h := range take[Hold](b) {
		b.held(h)
	}
	b.g.Expect(take[Start](b)).To(HaveLen(1))
}

// The same, but the owner after it isn't the one that has retired: a third one
// had the shard between the two, and may live on.
func TestRestoredJobWithAnOwnerBetween(t *testing.T) {
	b := newBench(t, testRunner("r1"))
	j := storedJob(1, 500*ms)
	b.s.Lead(b.now)
	b.held(one[Hold](b))
	b.own(4, openRecord(j, 2))
	b.s.ApplyProgress(b.now, Progress{Epoch: 2})
	b.wait(storedUnknown / 2)
	b.g.Expect(take[Start](b)).To(BeEmpty())
}

// The store can't be reached and a process isn't heard any more: it may have taken
// the jobs. What runs is stopped before that one starts it again, nothing new is
// started, and no caller is told that its job is unknown or refused.
func TestUnsureOfTheJobs(t *testing.T) {
	b := leading(t, testRunner("r1"))
	j := storedJob(1, 2*time.Second)
	b.accepted(j)
	b.started(one[Start](b), Accepted)
	b.s.SetAllReachable(false, b.now)
	b.tick(custodyAge + 40*ms)
	b.g.Expect(one[Stop](b).Run).To(Equal(runOf(j, 0, 1)))
	b.g.Expect(b.s.State("00000000000000ff", b.now).Unsure).To(BeTrue())
	other := storedJob(1, 100*ms)
	b.submit(other, 2*time.Second)
	b.g.Expect(one[Answer](b).Outcome).To(Equal(workload.GaveUp))
	_, done := b.s.Cancel(b.now, other.ID)
	b.g.Expect(done).To(BeTrue())
	b.g.Expect(take[Save](b)).To(BeEmpty())
	b.s.SetAllReachable(true, b.now)
	b.g.Expect(b.s.sure()).To(BeFalse(), "those that are heard again may have taken the jobs meanwhile")
	b.s.RowOwnershipVerified(b.now, b.now)
	b.g.Expect(b.s.sure()).To(BeTrue())
}

// Another process has taken the jobs. Their ends are its to acknowledge, and
// callers whose jobs weren't saved yet are told nothing definite.
func TestJobsTakenByAnotherProcess(t *testing.T) {
	b := leading(t, testRunner("r1"))
	j, waits := storedJob(1, 2*time.Second), storedJob(1, 100*ms)
	b.accepted(j)
	b.started(one[Start](b), Accepted)
	b.end("r1", 1, runOf(j, 0, 1), workload.Done)
	b.submit(waits, 2*time.Second)
	take[Save](b)
	b.s.RowOwnershipLost(b.now)
	b.g.Expect(one[Answer](b).Outcome).To(Equal(workload.GaveUp))
	b.tick(300 * ms)
	for _, h := range take[Hold](b) {
		b.g.Expect(h.Acknowledged).To(BeZero())
		b.held(h, workload.End{Sequence: 1, Run: runOf(j, 0, 1), Kind: workload.Done})
	}
	b.g.Expect(b.s.State(j.ID, b.now).Unsure).To(BeTrue())
	b.own(2, openRecord(j, 1))
	b.g.Expect(one[Save](b).Record.State).To(Equal(ledger.Completed), "the runner still lists the end")
}

// A runner was behind a cut while a task that it had done was started elsewhere.
// If its end were acknowledged as it is, the task would have been run again after
// an end that counts. The runner's lease is let lapse first: then it doesn't.
func TestEndOfATaskThatWasStartedAgain(t *testing.T) {
	b, first := runsOnOneOfTwo(t)
	b.s.lose(b.s.runners[first.Runner])
	b.s.runners[first.Runner].info.Draining = true
	b.wait(b.s.cfg.Resend + 100*ms)
	b.g.Expect(take[Start](b)).To(BeEmpty(), "the store doesn't know yet")
	b.saved(one[Save](b))
	second := one[Start](b)
	b.g.Expect(second.Runner).NotTo(Equal(first.Runner))
	b.started(second, Accepted)
	r := b.s.runners[first.Runner]
	r.grant(b.now, b.s.cfg.Lease) // for something else that runs there
	b.end(first.Runner, 1, first.Run, workload.Done)
	lapse := r.aliveUntil
	b.g.Expect(r.withheldUntil).To(Equal(lapse))
	b.saved(take[Save](b)...)
	b.g.Expect(r.acknowledged).To(BeZero())
	b.wait(lapse - b.now + 60*ms)
	b.g.Expect(r.aliveUntil).To(Equal(lapse), "no lease meanwhile")
	b.g.Expect(r.acknowledged).To(BeEquivalentTo(1))
}

// Guards against an owner that starts a task again unknown to the next one, which then
// acknowledges the good end of the first run.
func TestTaskOutOfSightIsStartedAgainWhenTheStoreKnows(t *testing.T) {
	b, first := runsOnOneOfTwo(t)
	b.s.SetContested(true)
	b.s.runners[first.Runner].doubt(b.now)
	for range 50 {
		b.s.RowOwnershipVerified(b.now, b.now)
		b.tick(20 * ms)
	}
	b.g.Expect(take[Start](b)).To(BeEmpty())
	save := one[Save](b)
	b.g.Expect(save.Record.Unseen).To(BeTrue())
	b.g.Expect(save.Record.Restarted).To(BeTrue(), "also when the job has ended")
	b.saved(save)
	b.g.Expect(one[Start](b).Runner).NotTo(Equal(first.Runner))
}

// Guards against jobs that stand still for as long as the store is away for all, in
// which time nobody can take the shard.
func TestTaskOutOfSightIsStartedAgainWithoutTheStore(t *testing.T) {
	b, first := runsOnOneOfTwo(t)
	b.s.runners[first.Runner].doubt(b.now)
	b.tick(time.Second)
	b.g.Expect(take[Start](b)).To(BeEmpty())
	b.s.SetStoreFailingFor(storeTrouble + ms)
	b.tick(20 * ms)
	b.g.Expect(one[Start](b).Runner).NotTo(Equal(first.Runner))
}

// Guards against a new owner that acknowledges the good end of a run whose task the
// owner before has started again: the runner lists it, with a lease that the new owner
// has renewed.
func TestEndOfATaskThatTheOwnerBeforeStartedAgain(t *testing.T) {
	for _, unseen := range []bool{false, true} {
		b := newBench(t, testRunner("r1"))
		j := storedJob(2, 2*time.Second)
		record := openRecord(j, 1)
		record.Unseen = unseen
		b.s.Lead(b.now)
		b.held(one[Hold](b), workload.End{Sequence: 1, Run: runOf(j, 0, 1), Kind: workload.Done})
		b.own(2, record)
		b.saved(take[Save](b)...)
		r := b.s.runners["r1"]
		b.wait(storedUnknown)
		b.g.Expect(r.withheldUntil > 0).To(Equal(unseen))
		b.saved(take[Save](b)...)
		b.wait(longestLife(leaseLimit))
		b.g.Expect(r.acknowledged).To(BeEquivalentTo(1))
	}
}

// Guards against a task that the owner before starts after the new one has shown its job
// as completed: it may believe for a moment more that it owns the shard.
func TestCompletedIsShownWhenTheOwnerBeforeIsQuiet(t *testing.T) {
	for _, retired := range []bool{false, true} {
		b := newBench(t, testRunner("r1"))
		j := storedJob(1, 100*ms)
		b.s.Lead(b.now)
		b.held(one[Hold](b), workload.End{Sequence: 1, Run: runOf(j, 0, 1), Kind: workload.Done})
		if retired {
			b.s.ApplyProgress(b.now, Progress{Epoch: 1})
		}
		claimed := b.now
		b.own(2, openRecord(j, 1))
		saves := take[Save](b)
		b.saved(saves[len(saves)-1])
		if retired {
			b.g.Expect(one[OutcomeSaved](b).State.Outcome).To(Equal(workload.Completed))
			continue
		}
		for b.now < claimed+custodyAge {
			b.g.Expect(take[OutcomeSaved](b)).To(BeEmpty())
			b.g.Expect(b.s.State(j.ID, b.now).Ended).To(BeFalse())
			b.wait(20 * ms)
		}
		b.wait(ownerSlack + 20*ms)
		b.g.Expect(one[OutcomeSaved](b).State.Outcome).To(Equal(workload.Completed))
	}
}

// A task fails under two schedulers. The attempts of both count, each once, also
// if the second finds the first one's end still listed.
func TestFailuresUnderTwoSchedulers(t *testing.T) {
	b := newBench(t, testRunner("r1"))
	j := storedJob(1, 100*ms)
	j.MaxAttempts = 3
	record := openRecord(j, 1)
	record.Failures = []ledger.Failure{{Run: 1}}
	b.s.Lead(b.now)
	b.held(one[Hold](b),
		workload.End{Sequence: 1, Run: runOf(j, 0, 1), Kind: workload.Failed},
		workload.End{Sequence: 2, Run: runOf(j, 0, 2), Kind: workload.Failed})
	b.own(2, record)
	b.g.Expect(b.s.jobs[j.ID].steps[0][0].failures).To(Equal(2))
	b.wait(storedUnknown + 100*ms)
	start := one[Start](b)
	b.started(start, Accepted)
	b.end("r1", 3, start.Run, workload.Failed)
	saves := take[Save](b)
	b.g.Expect(saves[len(saves)-1].Record.State).To(Equal(ledger.Failed))
	b.g.Expect(take[Start](b)).To(BeEmpty())
}

// A scheduler that can't prove its ownership any more must have ended its runs of
// stored jobs before the next owner starts them again: its doubt, a tick, an order
// to stop that isn't answered, and a lease on a slow clock.
func TestCustodyEndsBeforeTheNextOwnerStarts(t *testing.T) {
	const tick = 20 * ms
	g := NewWithT(t)
	g.Expect(custodyAge + tick + longestLife(DefaultConfig().Lease)).To(BeNumerically("<", storedUnknown))
}
