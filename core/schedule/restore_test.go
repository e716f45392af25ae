package schedule

import (
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"sapphirepoint.example/sapphirepoint/core/ledger"
	"sapphirepoint.example/sapphirepoint/core/workload"
)

// Stored jobs under a scheduler that takes them over, or is about to lose them.

// runsOnOneOfTwo returns a harness with a stored job of one task, and the start of that task on one
// of two runners.
func runsOnOneOfTwo(t *testing.T) (*harness, Start) {
	b := leading(t, testRunner("r1"), testRunner("r2"))
	j := storedJob(1, 2*time.Second)
	b.accepted(j)
	first := one[Start](b)
	b.started(first, Accepted)
	return b, first
}

// A scheduler is killed. The next one loads its jobs, finds one task done and one running, and
// starts only the third, once no run can be alive any more on runners that it doesn't know.
func TestRestoredJob(t *testing.T) {
	b := newHarness(t, testRunner("r1"), testRunner("r2"))
	j := storedJob(3, 500*ms)
	b.s.Lead(b.now)
	for _, h := range take[Hold](b) {
		if h.Runner == "r1" {
			b.answerHold(h, Accepted, runOf(j, 1, 1))
			continue
		}
		b.held(h)
	}
	b.ownRows(3, openRecord(j, 2, 0))
	claimed := b.now
	for b.now < claimed+maxPriorRunLife-40*ms {
		b.wait(20 * ms)
		b.g.Expect(take[Start](b)).To(BeEmpty())
	}
	b.wait(80 * ms)
	start := one[Start](b)
	b.g.Expect(start.Run).To(Equal(runOf(j, 2, runsPerScheduler+1)), "above all numbers that the previous owner may have used")
	b.g.Expect(b.s.State(j.ID, b.now).Known).To(BeTrue())
}

// A scheduler retires in a planned stop and reports its progress. Its jobs continue once its last stops must be over.
func TestRestoredJobOfARetiredScheduler(t *testing.T) {
	b := newHarness(t, testRunner("r1"))
	j := storedJob(1, 500*ms)
	b.s.Lead(b.now)
	b.held(one[Hold](b))
	b.ownRows(3, openRecord(j, 2))
	b.s.ApplyProgress(b.now, entryB, Progress{Epoch: 2})
	for _, h := range take[Hold](b) {
		b.held(h)
	}
	b.g.Expect(take[Start](b)).To(BeEmpty(), "a run that the other scheduler has stopped need not be listed")
	b.expectStartAfter(b.longestStop())
}

// The same, but this scheduler owned the shard before the one that has retired, and learns of the loss
// by that report.
func TestRestoredJobOfARetiredSchedulerThatTookTheRows(t *testing.T) {
	b := newHarness(t, testRunner("r1"))
	j := storedJob(1, 500*ms)
	b.s.Lead(b.now)
	b.held(one[Hold](b))
	b.ownRows(1, openRecord(j, 1))
	b.s.ApplyProgress(b.now, entryB, Progress{Epoch: 2})
	b.s.RowOwnershipLost(b.now)
	b.ownRows(3, openRecord(j, 1))
	for _, h := range take[Hold](b) {
		b.held(h)
	}
	b.g.Expect(take[Start](b)).To(BeEmpty(), "a run that the other scheduler has stopped need not be listed")
	b.expectStartAfter(b.longestStop())
}

// The same, but the owner before this one isn't the one that has retired: a third process owned the
// shard between the two, and may be alive.
func TestRestoredJobWithAnOwnerBetween(t *testing.T) {
	b := newHarness(t, testRunner("r1"))
	j := storedJob(1, 500*ms)
	b.s.Lead(b.now)
	b.held(one[Hold](b))
	b.ownRows(4, openRecord(j, 2))
	b.s.ApplyProgress(b.now, entryB, Progress{Epoch: 2})
	b.wait(maxPriorRunLife / 2)
	b.g.Expect(take[Start](b)).To(BeEmpty())
}

// The store is unavailable and a process is unreachable: it may have taken the jobs. Runs are
// stopped before that process restarts their tasks, nothing new is started, and no caller is told
// that its job is unknown or refused.
func TestOwnershipUncertain(t *testing.T) {
	b := leading(t, testRunner("r1"))
	j := storedJob(1, 2*time.Second)
	b.accepted(j)
	b.started(one[Start](b), Accepted)
	b.s.SetAllReachable(false, b.now)
	b.tick(maxProofAge + 40*ms)
	b.g.Expect(one[Stop](b).Run).To(Equal(runOf(j, 0, 1)))
	b.g.Expect(b.s.State("00000000000000ff", b.now).Uncertain).To(BeTrue())
	other := storedJob(1, 100*ms)
	b.submit(other, 2*time.Second)
	b.g.Expect(one[Answer](b).Outcome).To(Equal(workload.GaveUp))
	_, done := b.s.Cancel(b.now, other.ID)
	b.g.Expect(done).To(BeTrue())
	b.g.Expect(take[Save](b)).To(BeEmpty())
	b.s.SetAllReachable(true, b.now)
	b.g.Expect(b.s.ownsRows()).To(BeFalse(), "a process that is reachable again may have taken the jobs meanwhile")
	b.s.RowOwnershipVerified(b.now, b.now)
	b.g.Expect(b.s.ownsRows()).To(BeTrue())
}

// Another process has taken the jobs. Only that process may acknowledge their ends, and callers
// whose jobs weren't saved yet get no definite answer.
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
	b.g.Expect(b.s.State(j.ID, b.now).Uncertain).To(BeTrue())
	b.ownRows(2, openRecord(j, 1))
	b.g.Expect(one[Save](b).Record.State).To(Equal(ledger.Completed), "the runner still lists the end")
}

// A runner was cut off while a task that it had done was started elsewhere. If the end of the first
// run were acknowledged immediately, the task would have run again after an end that counts. So the
// runner's lease must expire first: then the end doesn't count.
func TestEndOfATaskThatWasStartedAgain(t *testing.T) {
	b, first := runsOnOneOfTwo(t)
	b.s.runnerFenced(b.s.runners[first.Runner])
	b.s.runners[first.Runner].info.Draining = true
	b.wait(b.s.cfg.Resend + 100*ms)
	b.g.Expect(take[Start](b)).To(BeEmpty(), "the restart isn't in the store yet")
	b.saved(one[Save](b))
	second := one[Start](b)
	b.g.Expect(second.Runner).NotTo(Equal(first.Runner))
	b.started(second, Accepted)
	r := b.s.runners[first.Runner]
	r.noteLease(b.now, b.s.cfg.Lease) // as for another run there
	b.end(first.Runner, 1, first.Run, workload.Done)
	leaseExpiry := r.aliveUntil
	b.g.Expect(r.noLeaseUntil).To(Equal(leaseExpiry))
	b.saved(take[Save](b)...)
	b.g.Expect(r.acknowledged).To(BeZero())
	b.wait(leaseExpiry - b.now + 60*ms)
	b.g.Expect(r.aliveUntil).To(Equal(leaseExpiry), "no lease meanwhile")
	b.g.Expect(r.acknowledged).To(BeEquivalentTo(1))
}

// Guards against an owner that restarts a task without the knowledge of the next owner, which then
// acknowledges the successful end of the first run.
func TestUnseenTaskRestartsOnceThatIsStored(t *testing.T) {
	b, first := runsOnOneOfTwo(t)
	b.s.SetContested(true)
	b.s.runners[first.Runner].markUnresponsive(b.now)
	for end := b.now + silentLife + 100*ms; b.now < end; {
		b.s.RowOwnershipVerified(b.now, b.now)
		b.silence(first.Runner, 20*ms, b.tick)
	}
	b.g.Expect(take[Start](b)).To(BeEmpty())
	saves := take[Save](b)
	b.g.Expect(saves).To(HaveLen(2), "the silent runner, and the task that is to be started again")
	b.saved(saves[0])
	b.g.Expect(take[Start](b)).To(BeEmpty())
	b.g.Expect(saves[1].Record.Unseen).To(BeTrue())
	b.g.Expect(saves[1].Record.Restarted).To(BeTrue(), "also when the job has ended")
	b.saved(saves[1])
	b.g.Expect(take[Start](b)).To(BeEmpty())
	next := one[Save](b)
	b.g.Expect(next.Record.Losses).To(HaveLen(2), "the silent runner, and the next one")
	b.saved(next)
	second := one[Start](b)
	b.g.Expect(second.Runner).NotTo(Equal(first.Runner))
	b.g.Expect(second.Runner).To(Equal(next.Record.Losses[1].Runner))
}

// Guards against jobs that stay stalled while the store is unavailable to all processes, in which
// time no process can take the shard.
func TestUnseenTaskRestartsWithoutTheStore(t *testing.T) {
	b, first := runsOnOneOfTwo(t)
	b.s.runners[first.Runner].markUnresponsive(b.now)
	b.silence(first.Runner, silentLife+100*ms, b.tick)
	b.g.Expect(take[Start](b)).To(BeEmpty())
	b.s.SetStoreFailingFor(storeFailureThreshold + ms)
	b.tick(20 * ms)
	b.g.Expect(one[Start](b).Runner).NotTo(Equal(first.Runner))
}

// Guards against a new owner that acknowledges the successful end of a run whose task the previous
// owner has restarted: the runner lists that end under a lease that the new owner has renewed.
func TestEndOfATaskRestartedByThePreviousOwner(t *testing.T) {
	for _, unseen := range []bool{false, true} {
		b := newHarness(t, testRunner("r1"))
		j := storedJob(2, 2*time.Second)
		record := openRecord(j, 1)
		record.Unseen = unseen
		b.s.Lead(b.now)
		b.held(one[Hold](b), workload.End{Sequence: 1, Run: runOf(j, 0, 1), Kind: workload.Done})
		b.ownRows(2, record)
		b.saved(take[Save](b)...)
		r := b.s.runners["r1"]
		b.wait(maxPriorRunLife)
		b.g.Expect(r.noLeaseUntil > 0).To(Equal(unseen))
		b.saved(take[Save](b)...)
		b.wait(maxRunLife(maxLease))
		b.g.Expect(r.acknowledged).To(BeEquivalentTo(1))
	}
}

// Guards against a record of a completed job that doesn't say that an owner between has restarted
// a task: the next owner would acknowledge the successful end of the first run at once.
func TestRecordOfACompletedJobTellsOfAnotherOwnersRestart(t *testing.T) {
	for _, c := range []struct {
		name      string
		number    int
		epoch     uint64
		listed    bool
		restarted bool
	}{
		{"the second run, listed before the jobs are loaded", runsPerScheduler + 1, 2, true, true},
		{"the second run, listed after", runsPerScheduler + 1, 2, false, true},
		{"the first run, with an owner between, listed before", 1, 3, true, true},
		{"the first run, with an owner between, listed after", 1, 3, false, true},
		{"the first run, without one", 1, 2, true, false},
	} {
		b := newHarness(t, testRunner("r1"))
		j := storedJob(1, 2*time.Second)
		end := workload.End{Sequence: 1, Run: runOf(j, 0, c.number), Kind: workload.Done}
		b.s.Lead(b.now)
		hold := one[Hold](b)
		if c.listed {
			b.held(hold, end)
		}
		b.ownRows(c.epoch, openRecord(j, 1))
		if !c.listed {
			b.held(hold, end)
		}
		saves := take[Save](b)
		b.g.Expect(saves).NotTo(BeEmpty(), c.name)
		last := saves[len(saves)-1].Record
		b.g.Expect(last.State).To(Equal(ledger.Completed), c.name)
		b.g.Expect(last.Restarted).To(Equal(c.restarted), c.name)
	}
}

// Guards against the same when the previous owner has retired before its records were in the store:
// the new owner completes the job by that owner's progress.
func TestRecordOfACompletedJobTellsOfRestartsInTheProgress(t *testing.T) {
	for _, loadedFirst := range []bool{false, true} {
		former, first := runsOnOneOfTwo(t)
		j := former.s.jobs[first.Run.Task.Job].work
		former.s.runnerFenced(former.s.runners[first.Runner])
		former.s.runners[first.Runner].info.Draining = true
		former.wait(former.s.cfg.Resend + 100*ms)
		former.saved(one[Save](former))
		second := one[Start](former)
		former.started(second, Accepted)
		former.end(second.Runner, 1, second.Run, workload.Done)
		progress := former.s.Progress(former.now)

		b := newHarness(t, testRunner("r1"), testRunner("r2"))
		b.s.Lead(b.now)
		if loadedFirst {
			b.ownRows(2, openRecord(j, 1))
		}
		b.s.ApplyProgress(b.now, entryB, progress)
		if !loadedFirst {
			b.ownRows(2, openRecord(j, 1))
		}
		saves := take[Save](b)
		b.g.Expect(saves).NotTo(BeEmpty())
		b.g.Expect(saves[len(saves)-1].Record.State).To(Equal(ledger.Completed))
		b.g.Expect(saves[len(saves)-1].Record.Restarted).To(BeTrue())
	}
}

// Guards against a task that the previous owner starts after the new one has published its job as
// completed: the previous owner may not know yet that it lost the shard.
func TestCompletionIsPublishedWhenThePreviousOwnerIsInactive(t *testing.T) {
	for _, retired := range []bool{false, true} {
		b := newHarness(t, testRunner("r1"))
		j := storedJob(1, 100*ms)
		b.s.Lead(b.now)
		b.held(one[Hold](b), workload.End{Sequence: 1, Run: runOf(j, 0, 1), Kind: workload.Done})
		if retired {
			b.s.ApplyProgress(b.now, entryB, Progress{Epoch: 1})
		}
		claimed := b.now
		b.ownRows(2, openRecord(j, 1))
		saves := take[Save](b)
		b.saved(saves[len(saves)-1])
		if retired {
			b.g.Expect(one[OutcomeSaved](b).State.Outcome).To(Equal(workload.Completed))
			continue
		}
		for b.now < claimed+maxProofAge {
			b.g.Expect(take[OutcomeSaved](b)).To(BeEmpty())
			b.g.Expect(b.s.State(j.ID, b.now).Ended).To(BeFalse())
			b.wait(20 * ms)
		}
		b.wait(priorOwnerSlack + 20*ms)
		b.g.Expect(one[OutcomeSaved](b).State.Outcome).To(Equal(workload.Completed))
	}
}

// A task fails under two schedulers. The attempts of both count, each once, even if the second
// finds the first one's end still listed.
func TestFailuresUnderTwoSchedulers(t *testing.T) {
	b := newHarness(t, testRunner("r1"))
	j := storedJob(1, 100*ms)
	j.MaxAttempts = 3
	record := openRecord(j, 1)
	record.Failures = []ledger.Failure{{Run: 1}}
	b.s.Lead(b.now)
	b.held(one[Hold](b),
		workload.End{Sequence: 1, Run: runOf(j, 0, 1), Kind: workload.Failed},
		workload.End{Sequence: 2, Run: runOf(j, 0, 2), Kind: workload.Failed})
	b.ownRows(2, record)
	b.g.Expect(b.s.jobs[j.ID].steps[0][0].failures).To(Equal(2))
	b.wait(maxPriorRunLife + 100*ms)
	start := one[Start](b)
	b.started(start, Accepted)
	b.end("r1", 3, start.Run, workload.Failed)
	saves := take[Save](b)
	b.g.Expect(saves[len(saves)-1].Record.State).To(Equal(ledger.Failed))
	b.g.Expect(take[Start](b)).To(BeEmpty())
}

// A scheduler that can't prove its ownership any more must have ended its runs of stored jobs before
// the next owner restarts them: within maxProofAge, a tick, an order to stop that isn't answered,
// and a lease on a slow clock.
func TestRowOwnershipEndsBeforeTheNextOwnerStarts(t *testing.T) {
	const tick = 20 * ms
	g := NewWithT(t)
	g.Expect(maxProofAge + tick + maxRunLife(DefaultConfig().Lease)).To(BeNumerically("<", maxPriorRunLife))
}

// Guards against a task that runs more often than its queue allows: it was started again while a failed run's runner
// was out of reach, and the failure counts though the runner has shown it only since.
func TestAFailureOfATaskThatWasStartedAgainIsAcknowledgedAfterLeaseExpiry(t *testing.T) {
	b, first := runsOnOneOfTwo(t)
	b.s.runnerFenced(b.s.runners[first.Runner])
	b.s.runners[first.Runner].info.Draining = true
	b.wait(b.s.cfg.Resend + 100*ms)
	b.saved(take[Save](b)...)
	second := one[Start](b)
	b.g.Expect(second.Runner).NotTo(Equal(first.Runner))
	b.started(second, Accepted)
	r := b.s.runners[first.Runner]
	r.noteLease(b.now, b.s.cfg.Lease) // as for another run there
	b.end(first.Runner, 1, first.Run, workload.Failed)
	leaseExpiry := r.aliveUntil
	b.saved(take[Save](b)...)
	b.g.Expect(r.noLeaseUntil).To(Equal(leaseExpiry))
	b.g.Expect(r.acknowledged).To(BeZero())
	b.wait(leaseExpiry - b.now + 60*ms)
	b.g.Expect(r.acknowledged).To(BeEquivalentTo(1))
}
