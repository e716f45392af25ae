package schedule

import (
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"sapphirepoint.example/sapphirepoint/core/ledger"
	"sapphirepoint.example/sapphirepoint/core/workload"
)

func storedJob(tasks int, estimate time.Duration) *workload.Job {
	j := testJob(tasks, estimate)
	j.Stored = true
	return j
}

// saved reports to the scheduler that records are in the store.
func (b *harness) saved(list ...Save) {
	for _, c := range list {
		b.s.Saved(b.now, []ledger.SavedRecord{{Job: c.Record.Job, Sequence: c.Sequence}})
	}
}

// accepted submits a stored job and saves it.
func (b *harness) accepted(j *workload.Job) {
	b.submit(j, 2*time.Second)
	b.saved(one[Save](b))
	b.g.ExpectWithOffset(1, one[Answer](b).Outcome).To(Equal(workload.Accepted))
}

// openRecord returns the store's record of a job that another scheduler had accepted.
func openRecord(j *workload.Job, epoch uint64, done ...int) ledger.Record {
	bits := ledger.NewBits(j.Steps[0].Tasks)
	for _, n := range done {
		bits.Set(n)
	}
	return ledger.Record{Job: j.ID, Definition: j, Epoch: epoch, Done: []ledger.Bits{bits}}
}

func runOf(j *workload.Job, index, number int) workload.RunKey {
	return workload.RunKey{Task: workload.TaskName{Job: j.ID, Index: index}, Number: number}
}

// A caller is told that its job is accepted, and all processes lose power at that moment. So the
// job must be in the store before the answer, and before any task is started: it may still be
// refused until then.
func TestAcceptedMeansSaved(t *testing.T) {
	b := leading(t, testRunner("r1"))
	j := storedJob(1, 100*ms)
	b.submit(j, 2*time.Second)
	save := one[Save](b)
	b.g.Expect(save.Record.Definition).To(Equal(j))
	b.g.Expect(take[Answer](b)).To(BeEmpty())
	b.g.Expect(take[Start](b)).To(BeEmpty())
	b.g.Expect(b.s.State(j.ID, b.now).Uncertain).To(BeTrue())
	b.saved(save)
	b.g.Expect(one[Answer](b).Outcome).To(Equal(workload.Accepted))
	b.g.Expect(take[Start](b)).To(HaveLen(1))
	b.submit(j, 2*time.Second)
	b.g.Expect(one[Answer](b).Outcome).To(Equal(workload.Accepted), "a copy")
	b.g.Expect(take[Save](b)).To(BeEmpty())
}

// A runner forgets an end that is acknowledged. If the store doesn't have it and the scheduler is
// lost, the next one starts the task a second time.
func TestEndIsSavedBeforeItIsAcknowledged(t *testing.T) {
	b := leading(t, testRunner("r1"))
	j := storedJob(2, 100*ms)
	b.accepted(j)
	for _, c := range take[Start](b) {
		b.started(c, Accepted)
	}
	take[Hold](b)
	b.end("r1", 1, runOf(j, 0, 1), workload.Done)
	save := one[Save](b)
	b.g.Expect(save.Record.Done[0].Has(0)).To(BeTrue())
	b.g.Expect(save.Record.Definition).To(BeNil(), "it is in the store already")
	b.tick(60 * ms)
	for _, h := range take[Hold](b) {
		b.g.Expect(h.Acknowledged).To(BeZero())
		b.g.Expect(h.LeaseEnd).NotTo(BeZero(), "the other task is still running")
		b.g.Expect(h.Wait).To(BeZero(), "the runner lists the end again, and answers at once")
		b.end("r1", 1, runOf(j, 0, 1), workload.Done)
	}
	b.g.Expect(take[Save](b)).To(BeEmpty(), "an end that is listed again changes nothing")
	b.saved(save)
	b.tick(unsavedEndsInterval + 20*ms)
	held := take[Hold](b)
	b.g.Expect(held).NotTo(BeEmpty())
	b.g.Expect(held[len(held)-1].Acknowledged).To(BeEquivalentTo(1))
}

// The last task ends. The job is shown as completed only when its completion is in the store:
// otherwise the job would run once more after a power loss.
func TestCompletedMeansSaved(t *testing.T) {
	b := leading(t, testRunner("r1"))
	j := storedJob(1, 100*ms)
	b.accepted(j)
	b.started(one[Start](b), Accepted)
	b.end("r1", 1, runOf(j, 0, 1), workload.Done)
	save := one[Save](b)
	b.g.Expect(save.Record.State).To(Equal(ledger.Completed))
	b.g.Expect(b.s.State(j.ID, b.now)).To(Equal(JobState{Known: true, Begun: true, Ending: true, Running: true}))
	b.g.Expect(take[OutcomeSaved](b)).To(BeEmpty())
	b.saved(save)
	b.g.Expect(one[OutcomeSaved](b).State.Outcome).To(Equal(workload.Completed))
	b.g.Expect(b.s.State(j.ID, b.now)).To(Equal(JobState{Known: true, Ended: true, Outcome: workload.Completed}))
}

// A job is cancelled. The cancellation is in the store before the caller is told, and the job's
// runs are stopped.
func TestCancelledStoredJob(t *testing.T) {
	b := leading(t, testRunner("r1"))
	j := storedJob(1, 2*time.Second)
	b.accepted(j)
	b.started(one[Start](b), Accepted)
	_, done := b.s.Cancel(b.now, j.ID)
	b.g.Expect(done).To(BeFalse())
	b.g.Expect(take[Stop](b)).To(HaveLen(1))
	save := one[Save](b)
	b.g.Expect(save.Record.State).To(Equal(ledger.Cancelled))
	b.saved(save)
	b.g.Expect(one[OutcomeSaved](b).State.Outcome).To(Equal(workload.Cancelled))
	state, done := b.s.Cancel(b.now, j.ID)
	b.g.Expect(done).To(BeTrue())
	b.g.Expect(state.Known).To(BeTrue())
}

// A job is cancelled before it arrives, and its caller is told so. The job that arrives later is
// accepted and never runs; until it arrives, queries don't find it.
func TestCancelledBeforeItArrives(t *testing.T) {
	b := leading(t, testRunner("r1"))
	j := storedJob(1, 100*ms)
	b.s.Cancel(b.now, j.ID)
	b.saved(one[Save](b))
	b.g.Expect(one[OutcomeSaved](b).State.Known).To(BeFalse())
	b.g.Expect(b.s.State(j.ID, b.now).Known).To(BeFalse())
	b.submit(j, 2*time.Second)
	b.g.Expect(one[Answer](b).Outcome).To(Equal(workload.Accepted))
	b.saved(one[Save](b))
	b.g.Expect(b.s.State(j.ID, b.now)).To(Equal(JobState{Known: true, Ended: true, Outcome: workload.Cancelled}))
	b.g.Expect(take[Start](b)).To(BeEmpty())
}

// The store has been unavailable for some time. A new job is refused on arrival, which is safe; one
// that waits for its record isn't refused, since the record may still be written.
func TestStoreUnavailable(t *testing.T) {
	b := leading(t, testRunner("r1"))
	waits, late := storedJob(1, 100*ms), storedJob(1, 100*ms)
	b.submit(waits, 500*ms)
	save := one[Save](b)
	b.s.SetStoreFailingFor(storeFailureThreshold + ms)
	b.submit(late, 2*time.Second)
	refused := one[Answer](b)
	b.g.Expect(refused.Outcome).To(Equal(workload.NotRun))
	b.g.Expect(refused.RetryAfter).To(BeNumerically(">", 0))
	b.tick(540 * ms)
	b.g.Expect(one[Answer](b).Outcome).To(Equal(workload.GaveUp))
	b.saved(save)
	b.g.Expect(take[Start](b)).To(HaveLen(1), "it is in the store, so it runs")
	b.g.Expect(b.s.State(waits.ID, b.now).Known).To(BeTrue())
}

// A burst has left stored jobs that are late already. They run when no other job waits, so they are
// no reason to refuse a new job that can be in time.
func TestLateStoredJobsDontBlockNewOnes(t *testing.T) {
	b := leading(t, testRunner("r1"))
	for range 4 {
		b.submit(storedJob(2, 200*ms), 2*time.Second)
		b.saved(take[Save](b)...)
	}
	b.g.Expect(b.s.queue).NotTo(BeEmpty())
	take[Answer](b)
	b.tick(3 * time.Second)
	for _, c := range take[Start](b) {
		b.started(c, Accepted)
	}
	fresh := storedJob(2, 100*ms)
	b.submit(fresh, 2*time.Second)
	b.g.Expect(take[Answer](b)).To(BeEmpty())
	b.g.Expect(take[Save](b)).NotTo(BeEmpty())
}

// Callers may not query an outcome any more. It is dropped here and in the store.
func TestOutcomesAreForgotten(t *testing.T) {
	b := leading(t, testRunner("r1"))
	j := storedJob(1, 100*ms)
	b.accepted(j)
	b.s.Cancel(b.now, j.ID)
	b.saved(take[Save](b)...)
	b.now += b.s.cfg.Retention + extraRetention
	b.s.RowOwnershipVerified(b.now, b.now)
	b.s.Tick(b.now)
	b.g.Expect(one[Save](b).Record.State).To(Equal(ledger.Forgotten))
	b.g.Expect(b.s.State(j.ID, b.now).Known).To(BeFalse())
}

// A start stays unanswered, so the run is stopped in order to start the task elsewhere. The run had
// begun and ended successfully before the stop arrived; the runner answers both orders and lists
// the end. The task is started again only after that list was read.
func TestStoppedRunThatHadEnded(t *testing.T) {
	b := leading(t, testRunner("r1"), testRunner("r2"))
	j := storedJob(1, 20*ms)
	b.accepted(j)
	first := one[Start](b)
	b.started(first, Unanswered)
	b.started(one[Start](b), Unanswered)
	b.stopped(one[Stop](b), Accepted)
	b.tick(b.s.cfg.StopTimeout + lateEndMargin + 200*ms)
	b.g.Expect(take[Start](b)).To(BeEmpty())
	b.end(first.Runner, 1, first.Run, workload.Done)
	b.g.Expect(one[Save](b).Record.State).To(Equal(ledger.Completed))
	b.g.Expect(take[Start](b)).To(BeEmpty())
}

// For ten seconds jobs arrive at three times the rate that the runners can do. Without a bound the
// accepted work would pile up, since it can't be dropped.
func TestAcceptedWorkIsBounded(t *testing.T) {
	b := leading(t, testRunner("r1"))
	accepted := 0
	for range 100 {
		b.submit(storedJob(2, 300*ms), 2*time.Second)
		list := take[Save](b)
		accepted += len(list)
		b.saved(list...)
		b.now += 100 * ms
		b.s.Tick(b.now)
	}
	b.g.Expect(accepted).To(BeNumerically(">", 2))
	b.g.Expect(b.s.queue).To(HaveLen(accepted - 1))
	b.g.Expect(len(b.s.queue)).To(BeNumerically("<", 8))
}

// The answer to a start is lost, and the start is repeated. Meanwhile the run has ended
// successfully, so the runner refuses the second order as outdated. The start must not count as
// never carried out; the runner's list shows how the run has ended.
func TestSecondOrderForARunThatHasEnded(t *testing.T) {
	b := leading(t, testRunner("r1"), testRunner("r2"))
	j := storedJob(1, 20*ms)
	b.accepted(j)
	first := one[Start](b)
	b.started(first, Unanswered)
	b.started(one[Start](b), Outdated)
	b.tick(200 * ms)
	b.g.Expect(take[Start](b)).To(BeEmpty())
	b.end(first.Runner, 1, first.Run, workload.Done)
	b.g.Expect(one[Save](b).Record.State).To(Equal(ledger.Completed))
}

// The same, but the runner has no room for the second order: the first one may occupy the room, or
// may arrive late. The run is stopped for good before the task is started elsewhere.
func TestSecondOrderThatIsRefused(t *testing.T) {
	b := leading(t, testRunner("r1"), testRunner("r2"))
	j := storedJob(1, 20*ms)
	b.accepted(j)
	b.started(one[Start](b), Unanswered)
	b.started(one[Start](b), NoRoom)
	b.g.Expect(take[Start](b)).To(BeEmpty())
	b.stopped(one[Stop](b), Accepted)
	b.expectStartAfter(b.longestStop())
}

// A runner drains or becomes unreachable with a long task on it. The task resumes elsewhere from
// its last checkpoint instead of starting from the beginning.
func TestTaskGoesOnFromItsCheckpoint(t *testing.T) {
	b := leading(t, testRunner("r1"))
	j := storedJob(1, 2*time.Second)
	b.accepted(j)
	first := one[Start](b)
	b.g.Expect(first.Checkpoint).To(BeEmpty())
	b.started(first, Accepted)
	h := take[Hold](b)[0]
	b.s.Held(b.now, HoldResult{
		Runner: h.Runner, Token: h.Token, Outcome: Accepted, Clock: b.clock(),
		Running: []workload.RunKey{first.Run}, Checkpoints: map[workload.RunKey]string{first.Run: "half"},
	})
	b.end("r1", 1, first.Run, workload.LeaseExpired)
	second := one[Start](b)
	b.g.Expect(second.Checkpoint).To(Equal("half"))
	b.started(second, Accepted)
	b.s.Held(b.now, HoldResult{
		Runner: "r1", Token: b.s.runners["r1"].token, Outcome: Accepted, Clock: b.clock(),
		Ends: []workload.End{{Sequence: 2, Run: second.Run, Kind: workload.Stopped, Checkpoint: "more"}},
	})
	b.g.Expect(one[Start](b).Checkpoint).To(Equal("more"))
}

// Another process is about to become leader, since this one has reported that its VM is slow. The
// other process may have taken the shard and accepted a job, and a caller may ask this process for
// that job before this process learns of the change. That all processes are reachable doesn't
// prove any more that none of them has accepted the job.
func TestUnknownJobIsNotDeniedWhileContested(t *testing.T) {
	b := leading(t, testRunner("r1"))
	asked := b.now
	b.s.RowOwnershipVerified(asked, asked)
	b.g.Expect(b.s.State("00000000000000ff", asked).Uncertain).To(BeFalse())
	b.g.Expect(b.s.State("00000000000000ff", asked+ms).Uncertain).To(BeTrue(), "that all are reachable proves nothing")
	b.s.SetContested(true)
	b.g.Expect(b.s.State("00000000000000ff", asked+ms).Uncertain).To(BeTrue())
	b.s.RowOwnershipVerified(asked+10*ms, asked+5*ms)
	b.g.Expect(b.s.State("00000000000000ff", asked+ms).Uncertain).To(BeFalse(), "the store has proved the ownership since")
}

// A process was suspended and resumes. Its buffers hold a stored job that was handed in long ago by
// an entry VM whose connection has ended since. That VM has given the job to another scheduler,
// which refused it; so it must not be accepted here when this process leads.
func TestSubmissionsFromBeforeADisconnectAreDropped(t *testing.T) {
	b := newHarness(t, testRunner("r1"))
	b.submit(storedJob(1, 100*ms), 2*time.Second)
	b.submit(testJob(1, 100*ms), 2*time.Second)
	b.s.EntryDisconnected(b.now, entryA)
	b.s.Lead(b.now)
	b.ownRows(1)
	b.held(take[Hold](b)[0])
	b.g.Expect(take[Save](b)).To(BeEmpty())
	b.g.Expect(take[Start](b)).To(BeEmpty())
}
