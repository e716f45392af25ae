package schedule

import (
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"sapphirepoint.example/sapphirepoint/core/ledger"
	"sapphirepoint.example/sapphirepoint/core/workload"
)

// stalledHarness returns a harness whose only runner has left with a job half done, and the record that
// the job moves to shard 3.
func stalledHarness(t *testing.T) (*harness, *workload.Job, Save) {
	b := leading(t, testRunner("r1"))
	b.s.SetAlternate(3, time.Second)
	j := storedJob(2, 200*ms)
	b.accepted(j)
	for _, c := range take[Start](b) {
		b.started(c, Accepted)
	}
	b.end("r1", 1, runOf(j, 0, 1), workload.Done)
	b.saved(take[Save](b)...)
	b.s.SetRunners(b.now, nil)
	b.s.runners["r1"].markUnresponsive(b.now)
	b.silence("r1", silentLife+moveAfter, b.tick)
	b.saved(take[Save](b)...)
	b.tick(100 * ms)
	saves := take[Save](b)
	b.g.ExpectWithOffset(1, saves).To(HaveLen(1))
	return b, j, saves[0]
}

// Guards against accepted jobs that stay stalled while their shard has no runners and others have
// room.
func TestStalledJobMovesToAnotherShard(t *testing.T) {
	b, j, save := stalledHarness(t)
	b.g.Expect(save.Record.State).To(Equal(ledger.Moving))
	b.g.Expect(save.Record.To).To(Equal(3))
	b.g.Expect(take[MoveJob](b)).To(BeEmpty(), "it isn't in the store yet that no task is started here")
	b.saved(save)
	b.tick(20 * ms)
	given := one[MoveJob](b)
	b.g.Expect(given.To).To(Equal(3))
	b.g.Expect(given.Job).To(Equal(j))
	b.g.Expect(given.Done[0].Has(0)).To(BeTrue())
	b.g.Expect(given.Done[0].Has(1)).To(BeFalse())
	b.g.Expect(given.Unseen).To(BeTrue())
	b.g.Expect(b.s.State(j.ID, b.now).Known).To(BeTrue())
	b.tick(moveRetryInterval)
	b.g.Expect(take[MoveJob](b)).To(HaveLen(1), "repeated until it has arrived")
	b.s.MoveAcknowledged(b.now, j.ID)
	b.tick(2 * moveRetryInterval)
	b.g.Expect(take[MoveJob](b)).To(BeEmpty())
	b.g.Expect(one[Save](b).Record.State).To(Equal(ledger.Moved))
	to, arrived, moved := b.s.MovedTo(j.ID)
	b.g.Expect([]any{to, arrived, moved}).To(Equal([]any{3, true, true}))
}

// Guards against a job that runs twice: in its shard when the runners are back, and in the shard
// that it was sent to.
func TestMovingJobIsntStartedWhenRunnersAreBack(t *testing.T) {
	b, _, save := stalledHarness(t)
	b.saved(save)
	b.s.SetRunners(b.now, []workload.Runner{testRunner("r2")})
	b.wait(5 * time.Second)
	b.g.Expect(take[Start](b)).To(BeEmpty())
}

// Guards against a move that stops with the owner that began it: the next owner continues it.
func TestMoveOutlivesItsOwner(t *testing.T) {
	b := newHarness(t, testRunner("r1"))
	j := storedJob(2, 200*ms)
	record := openRecord(j, 1, 0)
	record.State, record.To, record.Hand = ledger.Moving, 3, 2
	b.s.Lead(b.now)
	b.held(one[Hold](b))
	b.ownRows(2, record)
	b.tick(20 * ms)
	given := one[MoveJob](b)
	b.g.Expect(given.To).To(Equal(3))
	b.g.Expect(given.Hand).To(Equal(2))
	b.g.Expect(given.Job).To(Equal(j))
	b.wait(maxPriorRunLife)
	b.g.Expect(take[Start](b)).To(BeEmpty())
}

// Guards against jobs that are moved although they would wait elsewhere too.
func TestJobsAreNotMovedToShardsThatWaitToo(t *testing.T) {
	b := leading(t, testRunner("r1"))
	j := storedJob(1, 200*ms)
	b.accepted(j)
	b.started(one[Start](b), Accepted)
	b.s.SetAlternate(3, time.Second)
	waits := storedJob(8, 200*ms)
	b.accepted(waits)
	b.s.runners["r1"].health.failed(b.now, strikesToClose)
	b.wait(2 * moveAfter)
	for _, save := range take[Save](b) {
		b.g.Expect(save.Record.State).NotTo(Equal(ledger.Moving))
	}
}

// movedJobOfShard2 returns a job of shard 2, one of whose two tasks is done.
func movedJobOfShard2(hand int) MovedJob {
	j := storedJob(2, 200*ms)
	return MovedJob{From: 2, Job: j, Hand: hand, Age: time.Second, Done: openRecord(j, 1, 0).Done}
}

// Guards against a job that is lost or runs twice when the messages of a move are repeated.
func TestMovedJobIsAcceptedOnce(t *testing.T) {
	b := leading(t, testRunner("r1"))
	m := movedJobOfShard2(2)
	b.s.AcceptMovedJob(b.now, entryA, m)
	save := one[Save](b)
	b.g.Expect(save.Record.Definition).To(Equal(m.Job))
	b.g.Expect(take[MoveAck](b)).To(BeEmpty(), "it isn't in the store")
	b.g.Expect(take[Start](b)).To(BeEmpty())
	b.saved(save)
	b.g.Expect(one[MoveAck](b)).To(Equal(MoveAck{At: b.now, To: entryA, Shard: 2, Job: m.Job.ID}))
	start := one[Start](b)
	b.g.Expect(start.Run).To(Equal(runOf(m.Job, 1, 2*runsPerScheduler+1)), "the task that isn't done, above all run numbers of previous owners")
	b.s.AcceptMovedJob(b.now, entryA, m)
	b.g.Expect(one[MoveAck](b).Job).To(Equal(m.Job.ID))
	b.started(start, Accepted)
	b.end("r1", 1, start.Run, workload.Done)
	b.saved(take[Save](b)...)
	b.s.AcceptMovedJob(b.now, entryA, m)
	b.g.Expect(one[MoveAck](b).Job).To(Equal(m.Job.ID), "it has ended")
	b.g.Expect(take[Start](b)).To(BeEmpty())
	b.g.Expect(b.s.State(m.Job.ID, b.now).Outcome).To(Equal(workload.Completed))
}

// Guards against a job that returns by way of other shards to a shard that it had left, and is
// taken for a repetition of the earlier move.
func TestMovedJobComesBack(t *testing.T) {
	b, j, save := stalledHarness(t)
	b.saved(save)
	b.s.MoveAcknowledged(b.now, j.ID)
	b.saved(take[Save](b)...)
	m := MovedJob{From: 5, Job: j, Hand: save.Record.Hand, Done: save.Record.Done}
	b.s.AcceptMovedJob(b.now, entryA, m)
	b.g.Expect(one[MoveAck](b).Job).To(Equal(j.ID), "a repetition of the earlier move")
	b.g.Expect(take[Save](b)).To(BeEmpty())
	m.Hand += 2
	b.s.AcceptMovedJob(b.now, entryA, m)
	b.saved(one[Save](b))
	_, _, gone := b.s.MovedTo(j.ID)
	b.g.Expect(gone).To(BeFalse())
	b.s.SetRunners(b.now, []workload.Runner{testRunner("r2")})
	b.wait(100 * ms)
	b.g.Expect(one[Start](b).Run.Task.Index).To(Equal(1))
}

// Guards against a caller who is told that a job is cancelled while another shard is about to run
// it.
func TestMovingJobIsntCancelledHere(t *testing.T) {
	b, j, save := stalledHarness(t)
	state, done := b.s.Cancel(b.now, j.ID)
	b.g.Expect([]any{state.Uncertain, done}).To(Equal([]any{true, true}))
	b.saved(save)
	state, done = b.s.Cancel(b.now, j.ID)
	b.g.Expect([]any{state.Uncertain, done}).To(Equal([]any{true, true}))
}

// Guards against an end on a runner that was unreachable which counts as final although the job
// has moved and the task runs again.
func TestEndOfAMovedJobIsAcknowledgedAfterLeaseExpiry(t *testing.T) {
	for _, kind := range []workload.EndKind{workload.Done, workload.Failed} {
		b, j, save := stalledHarness(t)
		b.saved(save)
		b.s.SetRunners(b.now, []workload.Runner{testRunner("r1")})
		b.wait(100 * ms)
		r := b.s.runners["r1"]
		r.noteLease(b.now, b.s.cfg.Lease)
		b.end("r1", 2, runOf(j, 1, 1), kind)
		leaseExpiry := r.aliveUntil
		b.g.Expect(r.noLeaseUntil).To(Equal(leaseExpiry))
		b.wait(leaseExpiry - b.now - 40*ms)
		b.g.Expect(r.acknowledged).To(BeZero())
		b.wait(200 * ms)
		b.g.Expect(r.acknowledged).To(BeEquivalentTo(2))
	}
}

// Guards against a job that came back being forgotten while it is open, when the retention of its
// earlier move ends.
func TestMovedJobThatCameBackIsntForgotten(t *testing.T) {
	b, j, save := stalledHarness(t)
	b.saved(save)
	b.s.MoveAcknowledged(b.now, j.ID)
	b.saved(take[Save](b)...)
	b.s.AcceptMovedJob(b.now, entryA, MovedJob{From: 5, Job: j, Hand: save.Record.Hand + 2, Done: save.Record.Done})
	b.saved(one[Save](b))
	b.s.SetAlternate(-1, 0)
	b.now += b.s.cfg.Retention + extraRetention + time.Second
	b.s.RowOwnershipVerified(b.now, b.now)
	b.tick(100 * ms)
	for _, s := range take[Save](b) {
		b.g.Expect(s.Record.State).NotTo(Equal(ledger.Forgotten))
	}
}

// Guards against a scheduler that ends when a copy of a job comes that another shard is just moving here.
func TestCopyOfAMovedJobBeingSaved(t *testing.T) {
	b := leading(t, testRunner("r1"))
	m := movedJobOfShard2(2)
	b.s.AcceptMovedJob(b.now, entryA, m)
	save := one[Save](b)
	b.submit(m.Job, 2*time.Second)
	b.g.Expect(take[Answer](b)).To(BeEmpty(), "it isn't in the store")
	b.saved(save)
	b.g.Expect(one[Answer](b).Outcome).To(Equal(workload.Accepted))
}

// Guards against the same while the move is being written to the store.
func TestEndOfAMovingJobIsAcknowledgedAfterLeaseExpiry(t *testing.T) {
	for _, kind := range []workload.EndKind{workload.Done, workload.Failed} {
		b, j, save := stalledHarness(t)
		b.s.SetRunners(b.now, []workload.Runner{testRunner("r1")})
		b.wait(100 * ms)
		r := b.s.runners["r1"]
		r.noteLease(b.now, b.s.cfg.Lease) // as by another scheduler
		b.end("r1", 2, runOf(j, 1, 1), kind)
		leaseExpiry := r.aliveUntil
		b.g.Expect(r.noLeaseUntil).To(Equal(leaseExpiry))
		b.saved(append(take[Save](b), save)...)
		b.wait(leaseExpiry - b.now - 40*ms)
		b.g.Expect(r.acknowledged).To(BeZero())
		b.wait(200 * ms)
		b.g.Expect(r.acknowledged).To(BeEquivalentTo(2))
	}
}
