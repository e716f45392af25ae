package schedule

import (
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"sapphirepoint.example/sapphirepoint/core/workload"
)

// startedAgain takes the lines of the log and returns those of tasks that were started again.
func (b *harness) startedAgain() []Decision {
	var list []Decision
	for _, d := range take[Decision](b) {
		if d.Event == "task-started-again" {
			list = append(list, d)
		}
	}
	return list
}

// Guards against a task that runs twice without a line that tells on what evidence its first run ceased to count.
func TestASecondStartIsLoggedWithTheEvidence(t *testing.T) {
	b := leading(t, testRunner("r1"), testRunner("r2"))
	c := b.runningTask()
	b.g.Expect(b.startedAgain()).To(BeEmpty(), "the first start is none again")
	var lines []Decision
	for end := b.now + silentLife + time.Second; b.now < end && len(lines) == 0; {
		b.leaveUnanswered(c.Runner, ConnectionMade)
		b.tick(20 * ms)
		lines = b.startedAgain()
	}
	b.g.Expect(lines).To(HaveLen(1))
	again := lines[0]
	b.g.Expect(again.Run.Task).To(Equal(c.Run.Task))
	b.g.Expect(again.Run.Number).To(BeNumerically(">", c.Run.Number))
	b.g.Expect(again.Runner).NotTo(Equal(c.Runner))
	b.g.Expect(again.Warning).To(BeTrue(), "the runner has listed no end")
	b.g.Expect(again.Reason).To(And(HavePrefix("run-lapsed runner is silent"), ContainSubstring("asked ")))
	b.g.Expect(again.Detail).To(And(ContainSubstring(c.Run.String()), ContainSubstring(string(c.Runner))))
}

// Guards against warnings for second starts that are certain: the runner has listed the end of the first run.
func TestASecondStartAfterAListedEndIsNoWarning(t *testing.T) {
	b := leading(t, testRunner("r1"))
	c := b.runningTask()
	b.end(c.Runner, 1, c.Run, workload.Failed)
	lines := b.startedAgain()
	b.g.Expect(lines).To(HaveLen(1))
	b.g.Expect(lines[0].Reason).To(Equal("run-ended failed"))
	b.g.Expect(lines[0].Warning).To(BeFalse())
}

// passUntilAgain lets time pass while a runner leaves all Holds unanswered, until a task is started again.
func (b *harness) passUntilAgain(d time.Duration, silent workload.RunnerID) []Decision {
	for end := b.now + d; b.now < end; {
		b.leaveUnanswered(silent, ConnectionMade)
		b.s.RowOwnershipVerified(b.now, b.now)
		b.tick(20 * ms)
		if lines := b.startedAgain(); len(lines) > 0 {
			return lines
		}
	}
	return nil
}

// expectAgain checks the only line on a task that was started again.
func (b *harness) expectAgain(lines []Decision, reason string, warning bool, detail ...string) {
	b.t.Helper()
	b.g.ExpectWithOffset(1, lines).To(HaveLen(1))
	b.g.ExpectWithOffset(1, lines[0].Reason).To(HavePrefix(reason))
	b.g.ExpectWithOffset(1, lines[0].Warning).To(Equal(warning), "%+v", lines[0])
	for _, text := range detail {
		b.g.ExpectWithOffset(1, lines[0].Detail).To(ContainSubstring(text))
	}
}

const (
	ranHere      = "tasks of its job have run here"
	oneScheduler = "its job has had 1 schedulers before"
)

// abandonedRun returns a job that was given up while its only run is on a runner that falls silent.
func abandonedRun(t *testing.T) (*harness, *workload.Job, Start) {
	b := leading(t, testRunner("r1"), testRunner("r2"))
	j, c := b.runningJob(400 * ms)
	b.s.Abandon(b.now, entryA, j.ID)
	return b, j, c
}

// Guards against a second start without a warning of a job that came again after its run was counted as over by time only.
func TestAResentJobWhoseRunLapsedIsAWarning(t *testing.T) {
	b, j, c := abandonedRun(t)
	b.silence(c.Runner, silentLife+time.Second, b.tick)
	b.g.Expect(b.s.runners[c.Runner].runs).To(BeEmpty())
	b.submit(j, 2*time.Second)
	b.expectAgain(b.startedAgain(), ranHere, true, "earlier run "+c.Run.String(), string(c.Runner), "lease-over")
}

// Guards against a warning of such a job after the runner has listed its runs, or the end of the run.
func TestAResentJobIsNoWarningOnceTheRunnerShowsThatTheRunIsOver(t *testing.T) {
	for name, show := range map[string]func(b *harness, c Start){
		"lists": func(b *harness, c Start) { b.wait(b.longestStop() + time.Second) },
		"end":   func(b *harness, c Start) { b.end(c.Runner, 1, c.Run, workload.LeaseExpired) },
		"replaced": func(b *harness, c Start) {
			b.answerHold(Hold{Runner: c.Runner, Address: c.Address, Token: b.s.runners[c.Runner].token}, Replaced)
		},
	} {
		t.Run(name, func(t *testing.T) {
			b, j, c := abandonedRun(t)
			b.silence(c.Runner, silentLife+time.Second, b.tick)
			show(b, c)
			b.submit(j, 2*time.Second)
			b.expectAgain(b.startedAgain(), ranHere, false)
		})
	}
}

// Guards against a warning for each job that is sent again: its run was stopped, and its runner has listed the end.
func TestAResentJobWhoseRunEndedIsNoWarning(t *testing.T) {
	b, j, c := abandonedRun(t)
	b.stopped(one[Stop](b), Accepted)
	b.end(c.Runner, 1, c.Run, workload.Stopped)
	b.wait(time.Second)
	b.submit(j, 2*time.Second)
	b.expectAgain(b.startedAgain(), ranHere, false)
}

// Guards against a warning for each job that is sent again while a runner is silent which has no run of it.
func TestAResentJobThatRanOnlyHereIsNoWarningBesideASilentRunner(t *testing.T) {
	b := newHarness(t, testRunner("r1"), testRunner("silent"))
	b.tick(resentPeriod + 40*ms)
	b.s.Lead(b.now)
	b.ownRows(1)
	b.leaveUnanswered("silent", ConnectionMade)
	b.passSilently(resentWait+takeoverWindow, "silent", ConnectionMade)
	j, c := b.runningJob(400 * ms)
	b.s.Abandon(b.now, entryA, j.ID)
	b.stopped(one[Stop](b), Accepted)
	b.end(c.Runner, 1, c.Run, workload.Stopped)
	b.submit(j, 2*time.Second)
	b.expectAgain(b.startedAgain(), ranHere, false)
}

// Guards against a second start of a job of another scheduler without a warning, though a runner that may have its run has
// listed nothing since.
func TestAJobOfAnotherSchedulerIsAWarningWhileListsAreMissing(t *testing.T) {
	small := testRunner("silent")
	small.Capacity.MilliCPU = 1000
	for _, silent := range []workload.Runner{testRunner("silent"), small} {
		b := newHarness(t, testRunner("r1"), silent)
		b.s.Lead(b.now)
		b.ownRows(1)
		b.handOver(testJob(1, 400*ms), 30*time.Second)
		lines := b.passUntilAgain(maxPriorRunLife+MaxLateEnd+time.Second, "silent")
		mayHaveRun := silent.Capacity != small.Capacity
		b.expectAgain(lines, oneScheduler, mayHaveRun)
		if mayHaveRun {
			b.g.Expect(lines[0].Detail).To(HavePrefix("no lists of silent; "))
		}
	}
}

// Guards against a warning for each job that changes its scheduler: all runners have listed their runs.
func TestAJobOfAnotherSchedulerIsNoWarningAfterAllLists(t *testing.T) {
	b := leading(t, testRunner("r1"), testRunner("r2"))
	b.handOver(testJob(1, 400*ms), 4*time.Second)
	var lines []Decision
	for end := b.now + 2*time.Second; b.now < end && len(lines) == 0; lines = b.startedAgain() {
		b.wait(20 * ms)
	}
	b.expectAgain(lines, oneScheduler, false)
}

// Guards against the same of a job whose run this process has left to another scheduler, when it leads again.
func TestAJobFromBeforeThisProcessLedAgainIsAWarningWhileListsAreMissing(t *testing.T) {
	for _, lists := range []bool{false, true} {
		b := leading(t, testRunner("r1"), testRunner("r2"))
		j, c := b.runningJob(400 * ms)
		b.s.Retire(b.now)
		take[Hold](b)
		b.wait(3 * time.Second)
		b.s.Lead(b.now)
		for _, h := range take[Hold](b) {
			if lists || h.Runner != c.Runner {
				b.held(h)
				continue
			}
			b.leaveHoldUnanswered(h, ConnectionMade)
		}
		b.submit(j, 9*time.Second)
		lines := b.startedAgain()
		if len(lines) == 0 {
			lines = b.passUntilAgain(maxPriorRunLife+MaxLateEnd+time.Second, c.Runner)
		}
		b.expectAgain(lines, ranHere, !lists)
		b.g.Expect(lines[0].Detail).To(HavePrefix(map[bool]string{true: "job arrived", false: "no lists of " + string(c.Runner)}[lists]))
	}
}

// Guards against a stopped run that counts as over by time only, without a warning.
func TestASecondStartAfterAStopThatTimedOutIsAWarning(t *testing.T) {
	b := leading(t, testRunner("r1"), testRunner("r2"))
	c := b.runningTask()
	u := b.s.runners[c.Runner].runs[c.Run]
	b.s.dropRun(u, StopTimedOut)
	b.s.requeue(u.task)
	b.s.dispatch()
	b.expectAgain(b.startedAgain(), "run-dropped stop-timed-out", true, c.Run.String())
}

// Guards against a warning after a restart that has ended the run, and against none where its start may reach the runner
// after the restart.
func TestASecondStartAfterARestartIsAWarningIfTheFirstMayStillArrive(t *testing.T) {
	for _, confirmed := range []bool{true, false} {
		b, c, since := restartedHarness(t, confirmed)
		b.s.jobs[c.Run.Task.Job].deadline += longestLateLife
		b.s.SetRunners(b.now, []workload.Runner{testRunner("r1"), testRunner("r2")})
		b.s.Held(b.now, HoldResult{Runner: "r1", Token: c.Token, Outcome: Accepted, Clock: b.incarnationClock(secondIncarnation, since)})
		b.expectAgain(b.passUntilAgain(longestLateLife+time.Second, "r1"), "run-dropped runner-restarted", !confirmed, c.Run.String())
	}
}

// Guards against a warning of a run that lapsed and whose runner has listed its end before the task is started again.
func TestASecondStartAfterALateEndIsNoWarning(t *testing.T) {
	b := leading(t, testRunner("r1"))
	c := b.runningStoredTask()
	u := b.s.runners[c.Runner].runs[c.Run]
	b.s.dropRun(u, LeaseOver)
	b.end(c.Runner, 1, c.Run, workload.LeaseExpired)
	b.s.requeue(u.task)
	b.s.dispatch()
	b.expectAgain(b.startedAgain(), "run-dropped lease-over", false)
}
