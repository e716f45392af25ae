package schedule

import (
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"sapphirepoint.example/sapphirepoint/core/workload"
)

// entryLost is the entry process that is lost before a scheduler takes over.
const entryLost = EntryID("front-b#2")

// takingOver returns a harness whose scheduler leads since the loss of another process was noticed. r1 has
// listed its runs, and a Hold of r2 has stayed unanswered.
func takingOver(t *testing.T, connection Connection) *harness {
	b := newHarness(t, testRunner("r1"), testRunner("r2"))
	b.ownRows(1)
	b.tick(resentPeriod + 40*ms)
	b.s.EntryAlive(b.now, entryLost)
	b.tick(maxSilence)
	b.s.EntryLost(b.now, entryLost, false)
	b.s.Lead(b.now)
	b.leaveUnanswered("r2", connection)
	return b
}

// startedWithin reports whether a task is started within a time, while r2 leaves all Holds unanswered.
func (b *harness) startedWithin(d time.Duration, connection Connection) bool {
	for end := b.now + d; b.now < end; {
		if len(take[Start](b)) > 0 {
			return true
		}
		b.tick(20 * ms)
		b.leaveUnanswered("r2", connection)
	}
	return len(take[Start](b)) > 0
}

// passUntilResent lets time pass until callers of the lost process may have sent their jobs again.
func (b *harness) passUntilResent(connection Connection) {
	for b.now < b.s.resent.from {
		b.tick(20 * ms)
		b.leaveUnanswered("r2", connection)
	}
}

// Guards against a second run of a job that its caller sends again after its entry process and its scheduler
// were lost, while a starved runner, which hasn't listed its runs yet, still has a run of it.
func TestAResentJobWaitsForARunnerThatMayBeStarved(t *testing.T) {
	for _, c := range []Connection{ConnectionMade, ConnectionFailed, ConnectionTimedOut} {
		b := takingOver(t, c)
		b.passUntilResent(c)
		b.submit(testJob(1, 400*ms), 4*time.Second)
		b.g.Expect(b.startedWithin(b.s.leadingSince+resentWait-b.now-20*ms, c)).To(BeFalse())
		b.g.Expect(b.startedWithin(60*ms, c)).To(BeTrue(), "the runner must have ended its runs")
	}
}

// Guards against a job that goes on waiting when the runner has answered.
func TestAResentJobStartsOnceTheRunnerHasListedItsRuns(t *testing.T) {
	b := takingOver(t, ConnectionMade)
	b.passUntilResent(ConnectionMade)
	b.submit(testJob(1, 400*ms), 4*time.Second)
	b.g.Expect(b.startedWithin(40*ms, ConnectionMade)).To(BeFalse())
	b.answerHold(Hold{Runner: "r2", Token: b.s.runners["r2"].token}, Accepted)
	b.g.Expect(b.startedWithin(20*ms, ConnectionMade)).To(BeTrue())
}

// Guards against a second run of a job that is sent again: a task of it has ended on a runner that has listed that, and
// another one may run on a runner that hasn't listed its runs.
func TestAJobThatIsKnownToHaveRunWaitsForUnlistedRuns(t *testing.T) {
	for _, c := range []Connection{ConnectionMade, ConnectionFailed, ConnectionUnknown} {
		b := takingOver(t, c)
		j := testJob(2, 400*ms)
		b.end("r1", 1, runOf(j, 0, 1), workload.Done)
		b.submit(j, 9*time.Second)
		b.g.Expect(b.startedWithin(b.s.leadingSince+maxPriorRunLife+MaxLateEnd-b.now-20*ms, c)).To(BeFalse())
		b.g.Expect(b.startedWithin(60*ms, c)).To(BeTrue())
	}
}

// Guards against a wait of new jobs for a runner that hangs, though their callers can't have sent them before.
func TestANewJobDoesntWaitForARunnerThatMayBeStarved(t *testing.T) {
	b := takingOver(t, ConnectionMade)
	b.submit(testJob(1, 400*ms), 4*time.Second)
	b.g.Expect(take[Start](b)).To(HaveLen(1))
}

// Guards against the same second run where the scheduler's process has just started, so that it doesn't know
// which processes were lost before.
func TestAProcessThatHasJustStartedCountsAllJobsAsResent(t *testing.T) {
	b := newHarness(t, testRunner("r1"), testRunner("r2"))
	b.ownRows(1)
	b.s.Lead(b.now)
	b.leaveUnanswered("r2", ConnectionMade)
	b.s.EntryAlive(b.now, entryA)
	b.submit(testJob(1, 400*ms), 4*time.Second)
	b.g.Expect(b.startedWithin(resentWait-20*ms, ConnectionMade)).To(BeFalse())
	b.g.Expect(b.startedWithin(60*ms, ConnectionMade)).To(BeTrue())
}

// Guards against jobs that wait for ever, or longer than the losses matter.
func TestLossesCeaseToMatter(t *testing.T) {
	b := takingOver(t, ConnectionMade)
	b.g.Expect(b.s.resent.from).To(BeNumerically("<", never))
	b.tick(resentPeriod)
	b.g.Expect(b.s.resent.from).To(BeEquivalentTo(never))
}

// Guards against the same second run beside one that ends 1,500 ms later than its lease: the lease may have been granted until
// the scheduler before was lost. Jobs wait for a second only.
func TestAResentJobWaitsForARunnerThatEndsItsRunsLate(t *testing.T) {
	b := takingOver(t, ConnectionTimedOut)
	lost := b.s.leadingSince - maxSilence
	b.passUntilResent(ConnectionTimedOut)
	b.submit(testJob(1, 400*ms), 4*time.Second)
	over := lost + maxRunLife(b.s.cfg.Lease) - lateEndMargin + 1500*ms
	b.g.Expect(b.startedWithin(over-b.now, ConnectionTimedOut)).To(BeFalse())
}
