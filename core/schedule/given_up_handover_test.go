package schedule

import (
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"sapphirepoint.example/sapphirepoint/core/workload"
)

// givenUpEarly returns a harness with a job that was given up since its runner is silent, and that runner.
func givenUpEarly(t *testing.T) (*harness, *workload.Job, workload.RunnerID) {
	b := leading(t, testRunner("r1"), testRunner("r2"))
	j := testJob(1, 600*ms)
	b.submit(j, 1500*ms)
	c := one[Start](b)
	b.started(c, Accepted)
	var answers []Answer
	for begin := b.now; len(answers) == 0 && b.now-begin < 1500*ms; {
		b.tick(20 * ms)
		b.leaveUnanswered(c.Runner, ConnectionTimedOut)
		answers = take[Answer](b)
	}
	b.g.Expect(answers).To(ConsistOf(HaveField("Cause", workload.RunnerSilent)))
	return b, j, c.Runner
}

// succeed makes the scheduler of another harness the leader after that of b, which retires at the same time.
func (b *harness) succeed(next *harness) {
	next.tick(b.now - next.now)
	p := b.s.Progress(b.now)
	b.s.Retire(b.now)
	next.s.Lead(next.now)
	next.s.ApplyProgress(next.now, entryB, p)
}

// Guards against a second run of a job that was given up while its run may live, and is sent again as a new one: its scheduler
// has retired meanwhile, and the next one can't see the run, since its runner is silent.
func TestTheNextLeaderWaitsForTheRunsOfAJobThatWasGivenUp(t *testing.T) {
	for _, changes := range []int{1, 2} {
		b, j, silent := givenUpEarly(t)
		over := b.s.runners[silent].runsOverAt()
		for range changes {
			next := newHarness(t, testRunner("r1"), testRunner("r2"))
			next.ownRows(1)
			b.succeed(next)
			b = next
			b.leaveUnanswered(silent, ConnectionTimedOut)
		}
		b.submit(j, 10*time.Second)
		for b.now < over {
			b.g.Expect(take[Start](b)).To(BeEmpty(), "%v too early", over-b.now)
			b.tick(20 * ms)
			b.leaveUnanswered(silent, ConnectionTimedOut)
		}
		b.tick(over + MaxLateEnd - b.now)
		b.g.Expect(take[Start](b)).To(HaveLen(1))
	}
}

// Guards against a caller who is told that nothing was run, though the job has run in part before a planned change of the leader.
func TestTheNextLeaderDoesntSayThatNothingWasRunOfAJobThatWasGivenUp(t *testing.T) {
	b, j, silent := givenUpEarly(t)
	next := newHarness(t, testRunner("r1"), testRunner("r2"))
	next.ownRows(1)
	b.succeed(next)
	for end := next.now + takeoverWindow + 20*ms; next.now < end; {
		next.tick(20 * ms)
		next.leaveUnanswered(silent, ConnectionTimedOut)
	}
	next.g.Expect(next.s.uncertain()).To(BeFalse())
	next.submit(j, 100*ms)
	next.tick(200 * ms)
	next.g.Expect(one[Answer](next).Outcome).To(Equal(workload.GaveUp))
}

// Guards against jobs of a retiring scheduler that wait at the next one though all their runs are over.
func TestOnlyJobsWithRunsThatMayLiveAreReportedToTheNextLeader(t *testing.T) {
	b := leading(t, testRunner("r1"), testRunner("r2"))
	b.wait(maxPriorRunLife + MaxLateEnd)
	j, c := b.runningJob(400 * ms)
	b.g.Expect(b.s.Progress(b.now).MayRun).To(BeEmpty(), "its entry process hands it over")
	b.s.Abandon(b.now, entryA, j.ID)
	b.g.Expect(b.s.Progress(b.now).MayRun).To(ConsistOf(j.ID))
	b.end(c.Runner, 1, c.Run, workload.Stopped)
	b.g.Expect(b.s.Progress(b.now).MayRun).To(BeEmpty())
}

// Guards against a second run beside one that is being stopped, and isn't listed: its job was dropped just before a planned change
// of the leader, and is sent again at once as a new one.
func TestTheNextLeaderWaitsForStoppedRunsOfAJobThatIsSentAgain(t *testing.T) {
	b := leading(t, testRunner("r1"), testRunner("r2"))
	j, _ := b.runningJob(400 * ms)
	b.s.Abandon(b.now, entryA, j.ID)
	b.stopped(one[Stop](b), Accepted)
	next := newHarness(t, testRunner("r1"), testRunner("r2"))
	next.ownRows(1)
	b.succeed(next)
	for _, h := range take[Hold](next) {
		next.held(h)
	}
	next.submit(j, 3*time.Second)
	begin := next.now
	next.wait(next.longestStop() - 10*ms)
	next.g.Expect(take[Start](next)).To(BeEmpty(), "started within %v of a stop", next.now-begin)
	next.wait(60 * ms)
	next.g.Expect(take[Start](next)).To(HaveLen(1))
}

// Guards against the second run of a job that was given up early if its leader is killed just after: its entry process lives, so
// its caller sends it again sooner than after the loss of an entry process, and the next leader takes it for a new one.
func TestAJobThatWasGivenUpBeforeItsLeaderWasKilledWaits(t *testing.T) {
	b, j, silent := givenUpEarly(t)
	over := b.s.runners[silent].leaseEndsAt() + 1500*ms
	next := newHarness(t, testRunner("r1"), testRunner("r2"))
	next.ownRows(1)
	next.tick(b.now - next.now)
	next.s.EntryAlive(next.now, entryLost)
	next.tick(maxSilence)
	next.s.EntryLost(next.now, entryLost, false)
	next.s.Lead(next.now)
	next.leaveUnanswered(silent, ConnectionTimedOut)
	next.submit(j, 4*time.Second)
	for next.now < over {
		next.g.Expect(take[Start](next)).To(BeEmpty(), "%v too early", over-next.now)
		next.tick(20 * ms)
		next.leaveUnanswered(silent, ConnectionTimedOut)
	}
}
