package schedule

import (
	"maps"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"sapphirepoint.example/sapphirepoint/core/workload"
)

// Runs on runners that nothing reaches and that end them later than their lease. They cease to count in other ways than by
// silence, which silence_test.go has.

// startWhileSilent returns when a task is started again while a runner leaves all Holds unanswered, or 0 if it isn't. Records
// are saved at once.
func (b *harness) startWhileSilent(k workload.TaskName, silent workload.RunnerID, d time.Duration) Time {
	for end := b.now + d; b.now < end; {
		b.passAndSave(silent, ConnectionTimedOut)
		take[Stop](b)
		for _, c := range take[Start](b) {
			if c.Run.Task == k {
				return b.now
			}
			b.started(c, Accepted)
		}
	}
	return 0
}

// expectWait checks that a task isn't started before a time while a runner is silent, and that it is soon after it.
func (b *harness) expectWait(k workload.TaskName, silent workload.RunnerID, until Time) {
	b.t.Helper()
	at := b.startWhileSilent(k, silent, until-b.now+200*ms)
	b.g.ExpectWithOffset(1, at).To(BeNumerically(">=", until), "started %v too early", until-at)
}

// Guards against a second run beside one on a runner that another scheduler has taken: it is cut off then, and ends the run
// late.
func TestARunOnAFencedRunnerThatIsSilentSinceCounts(t *testing.T) {
	b := leading(t, testRunner("r1"), testRunner("r2"))
	c := b.runningStoredTask()
	over := b.s.runners[c.Runner].runsOverAt()
	b.listsFenced(c.Runner)
	b.expectWait(c.Run.Task, c.Runner, over)
}

// Guards against a task that waits longer than before though the runner, taken back, has shown that the run is over.
func TestARunOnAFencedRunnerThatListsItsRunsIsOver(t *testing.T) {
	b := leading(t, testRunner("r1"), testRunner("r2"))
	c := b.runningTask()
	b.wait(contestedReacquireDelay)
	for _, h := range take[Hold](b) {
		b.answerHold(h, Accepted, c.Run)
	}
	b.listsFenced(c.Runner)
	fenced := b.now
	took, starts := b.passUnlisted(b.s.cfg.Resend + 40*ms)
	b.g.Expect(starts).To(HaveLen(1))
	b.g.Expect(b.now - fenced).To(Equal(took))
	b.g.Expect(took).To(BeNumerically(">=", b.s.cfg.Resend))
}

// Guards against a second run of a job that its caller sends again: the wait for its first run was lost with the job.
func TestTheWaitForARunOnAFencedRunnerOutlivesItsJob(t *testing.T) {
	b := leading(t, testRunner("r1"), testRunner("r2"))
	j, c := b.runningJob(400 * ms)
	over := b.s.runners[c.Runner].runsOverAt()
	b.listsFenced(c.Runner)
	b.s.Abandon(b.now, entryA, j.ID)
	for begin := b.now; b.now-begin < 4*time.Second; {
		b.tick(20 * ms)
		b.leaveUnanswered(c.Runner, ConnectionMade)
	}
	b.submit(j, 9*time.Second)
	for b.now < over {
		b.g.Expect(take[Start](b)).To(BeEmpty(), "%v too early", over-b.now)
		b.tick(20 * ms)
		b.leaveUnanswered(c.Runner, ConnectionMade)
	}
	b.tick(20 * ms)
	b.g.Expect(take[Start](b)).To(HaveLen(1))
}

// Guards against a second run beside an orphan on a runner that was lost and is silent since.
func TestALostOrphanOnASilentRunnerCounts(t *testing.T) {
	for name, lose := range maps.Clone(losses) {
		t.Run(name, func(t *testing.T) {
			b, j, c := unstoppableOrphan(t)
			over := b.s.runners[c.Runner].runsOverAt()
			lose(b, c)
			b.submit(j, 20*time.Second)
			b.g.Expect(b.startsBeside(c, 2*MaxLateEnd)).To(BeNumerically(">=", over))
		})
	}
}

// Guards against callers that wait in vain for a run on a fenced runner which nothing reaches.
func TestAJobIsGivenUpWhoseRunOnAFencedRunnerCantBeShownToBeOver(t *testing.T) {
	b := leading(t, testRunner("r1"), testRunner("r2"))
	j, c := b.runningJob(400 * ms)
	b.s.jobs[j.ID].deadline = b.now + 2*time.Second
	b.listsFenced(c.Runner)
	fenced := b.now
	var answers []Answer
	for len(answers) == 0 && b.now-fenced < 3*time.Second {
		b.tick(20 * ms)
		b.leaveUnanswered(c.Runner, ConnectionTimedOut)
		answers = take[Answer](b)
	}
	b.g.Expect(answers).To(ConsistOf(And(HaveField("Outcome", workload.GaveUp), HaveField("Cause", workload.RunnerSilent))))
	b.g.Expect(b.now - fenced).To(BeNumerically("<", contestedReacquireDelay+longSilence))
	b.g.Expect(take[Start](b)).To(BeEmpty())
}

// Guards against a second run beside one whose start reaches the runner's next incarnation, which is cut off then and ends it
// late: that incarnation's clock doesn't refuse the start, and grants it the longest lease.
func TestAStartThatMayReachTheNextIncarnationCountsWhileThatIsSilent(t *testing.T) {
	for _, stored := range []bool{true, false} {
		b := leading(t, testRunner("r1"), testRunner("r2"))
		for _, r := range b.s.runnerList {
			r.incarnationStart = firstIncarnation
		}
		var c Start
		if stored {
			c = b.storedStart()
		} else {
			b.submit(testJob(1, 400*ms), 20*time.Second)
			c = one[Start](b)
		}
		b.now += 20 * ms
		b.s.Held(b.now, HoldResult{Runner: c.Runner, Token: c.Token, Outcome: Accepted, Clock: b.incarnationClock(secondIncarnation, b.now)})
		b.g.Expect(b.s.runners[c.Runner].runs).To(BeEmpty())
		b.expectWait(c.Run.Task, c.Runner, b.now+longestLateLife)
	}
}

// Guards against a second run beside one of the job's life before that is being stopped: its runner rejects the next start
// as outdated, and is silent since.
func TestAnOutdatedStartOnARunnerThatIsSilentSinceWaits(t *testing.T) {
	b := leading(t, testRunner("r1"), testRunner("r2"))
	b.submit(testJob(1, 400*ms), 20*time.Second)
	c := one[Start](b)
	over := b.s.runners[c.Runner].runsOverAt()
	b.started(c, Outdated)
	b.expectWait(c.Run.Task, c.Runner, over)
}

// Guards against a second run beside one that its runner goes on listing: a stop takes longer than it may, and the time after
// which a run that was rejected as outdated counts as over has passed.
func TestAnOutdatedRunThatIsListedCounts(t *testing.T) {
	b := leading(t, testRunner("r1"), testRunner("r2"))
	again := b.unansweredOnce(testJob(1, 400*ms))
	b.s.jobs[again.Run.Task.Job].deadline += 20 * time.Second
	b.started(again, Outdated)
	for begin := b.now; b.now-begin < 3*maxRunLife(b.s.cfg.Lease); b.tick(10 * ms) {
		for _, c := range take[Stop](b) {
			b.stopped(c, Accepted)
		}
		for _, h := range take[Hold](b) {
			if h.Runner == again.Runner {
				b.answerHold(h, Accepted, again.Run)
				continue
			}
			b.held(h)
		}
		b.g.Expect(take[Start](b)).To(BeEmpty(), "%v after the answer", b.now-begin)
	}
}

// Guards against a second run beside a prior one on a runner that left the platform's list long before: another scheduler used
// it until now, beyond a cut, and names it as it hands the job over.
func TestAPriorRunOnARunnerThatLeftTheListLongBeforeCounts(t *testing.T) {
	b := leading(t, testRunner("r1"), testRunner("silent"))
	b.s.SetRunners(b.now, []workload.Runner{testRunner("r1")})
	b.s.runners["silent"].retainUntil = b.now + 10*time.Second
	b.passSilently(2*unlistedGrace, "silent", ConnectionTimedOut)
	b.s.AddUnlistedRunners(b.now, []workload.Runner{testRunner("silent")})
	b.handOver(testJob(1, 400*ms), 20*time.Second)
	b.s.runners["silent"].markUnresponsive(b.now)
	b.g.Expect(b.passSilently(unlistedGrace-40*ms, "silent", ConnectionMade)).To(BeEmpty())
}

// Guards against a second run beside one whose start reaches the runner's next incarnation after the runner has answered a
// stop and listed nothing: the next incarnation is cut off, and ends the run late.
func TestAStoppedRunsStartMayReachASilentIncarnation(t *testing.T) {
	b, j := stoppedInDoubt(t, firstIncarnation, false)
	k := workload.TaskName{Job: j.ID}
	b.s.jobs[j.ID].deadline += 20 * time.Second
	ordered := b.now
	var silent workload.RunnerID
	for id, r := range b.s.runners {
		if len(r.runs) > 0 {
			silent = id
		}
	}
	b.g.Expect(silent).NotTo(BeEmpty())
	b.now += b.longestStop()
	b.s.requestList(b.s.runners[silent])
	b.held(b.listOf(silent))
	b.g.Expect(b.s.runners[silent].runs).To(BeEmpty())
	b.expectWait(k, silent, ordered+longestLateLife)
}

// Guards against a second run of a job that its caller sends again by another entry process: the scheduler ceased to lead
// meanwhile and leads again, and the run's runner is silent since.
func TestARunOfATermBeforeCountsAsItsJobIsSentAgain(t *testing.T) {
	b := leading(t, testRunner("r1"), testRunner("r2"))
	j, c := b.runningJob(400 * ms)
	over := b.s.runners[c.Runner].runsOverAt()
	b.s.Retire(b.now)
	b.tick(100 * ms)
	b.s.EntryLost(b.now, entryA, true)
	b.s.Lead(b.now)
	for begin := b.now; b.now-begin < b.s.cfg.Resend; b.tick(20 * ms) {
		b.leaveUnanswered(c.Runner, ConnectionMade)
	}
	b.submitCopy(j, entryB)
	b.s.jobs[j.ID].deadline = b.now + 20*time.Second
	// Another scheduler may have started tasks of the job in between.
	over = max(over, b.s.allSilentRunsOverAt)
	for b.now < over {
		b.g.Expect(take[Start](b)).To(BeEmpty(), "%v too early", over-b.now)
		b.s.EntryAlive(b.now, entryB)
		b.tick(20 * ms)
		b.leaveUnanswered(c.Runner, ConnectionMade)
	}
	b.s.EntryAlive(b.now, entryB)
	b.tick(20 * ms)
	b.g.Expect(take[Start](b)).To(HaveLen(1))
}

// Guards against a second run beside one whose start reaches the next incarnation of a runner that answers nothing any more:
// that incarnation grants it the longest lease, which ends later than the one that was ordered.
func TestAStartThatASilentRunnersNextIncarnationMayHaveCounts(t *testing.T) {
	for _, resent := range []bool{false, true} {
		b := leading(t, bornRunner("r1", 1000), bornRunner("r2", 1000))
		for _, h := range take[Hold](b) {
			b.heldBy(h, 1000)
		}
		j := testJob(1, 400*ms)
		b.submit(j, 30*time.Second)
		c := one[Start](b)
		ordered := b.now
		pass := func(until Time) []Start {
			var starts []Start
			for b.now < until {
				b.tick(20 * ms)
				take[Stop](b)
				for _, h := range take[Hold](b) {
					if h.Runner == c.Runner {
						b.leaveHoldUnanswered(h, ConnectionTimedOut)
						continue
					}
					b.heldBy(h, 1000)
				}
				starts = append(starts, take[Start](b)...)
			}
			return starts
		}
		if resent {
			b.g.Expect(pass(ordered + MaxLateEnd)).To(BeEmpty())
			b.s.Abandon(b.now, entryA, j.ID)
			b.g.Expect(pass(ordered + silentLife + 40*ms)).To(BeEmpty())
			b.submit(j, 30*time.Second)
		}
		b.g.Expect(pass(ordered+longestLateLife-20*ms)).To(BeEmpty(), "the start may have been carried out")
		b.g.Expect(pass(ordered + longestLateLife + 400*ms)).To(HaveLen(1))
	}
}
