package schedule

import (
	"fmt"
	"testing"
	"time"

	. "github.com/onsi/gomega"
	"github.com/onsi/gomega/types"

	"sapphirepoint.example/sapphirepoint/core/workload"
)

// lists has a runner list runs as running, in answer to a request sent at a time.
func (b *harness) lists(id workload.RunnerID, requestedAt Time, running ...workload.RunKey) {
	clock := b.clock()
	clock.SentAt = requestedAt
	b.s.Held(b.now, HoldResult{Runner: id, Token: b.s.runners[id].token, ListOnly: true, Outcome: Accepted, Running: running, Clock: clock})
}

// listsFenced has a runner answer that it has accepted a higher token.
func (b *harness) listsFenced(id workload.RunnerID) {
	b.s.Held(b.now, HoldResult{Runner: id, Token: b.s.runners[id].token, Outcome: Fenced, Clock: b.clock()})
}

// logged matches a line of the log about a run.
func logged(event string, k workload.RunKey, reason any) types.GomegaMatcher {
	return And(HaveField("Event", event), HaveField("Run", k), HaveField("Reason", reason))
}

// warnings takes the lines of the log and returns those that are warnings.
func (b *harness) warnings() []Decision {
	var list []Decision
	for _, d := range take[Decision](b) {
		if d.Warning {
			list = append(list, d)
		}
	}
	return list
}

// runningTask starts the only task of a job, and returns its confirmed run.
func (b *harness) runningTask() Start {
	b.submit(testJob(1, 400*ms), 9*time.Second)
	c := one[Start](b)
	b.started(c, Accepted)
	return c
}

// runningStoredTask starts the only task of a stored job.
func (b *harness) runningStoredTask() Start {
	c := b.storedStart()
	b.started(c, Accepted)
	return c
}

// passAndSave lets a moment pass while a runner leaves its Holds unanswered, and saves all records.
func (b *harness) passAndSave(silent workload.RunnerID, c Connection) {
	b.leaveUnanswered(silent, c)
	b.s.RowOwnershipVerified(b.now, b.now)
	b.tick(20 * ms)
	b.saved(take[Save](b)...)
	b.saved(take[Save](b)...)
}

// restartAfterRejection has a runner reject the order to start a task, and returns both runs of the task.
func restartAfterRejection(t *testing.T) (b *harness, first, second Start) {
	b = leading(t, testRunner("r1"), testRunner("r2"))
	b.submit(testJob(1, 400*ms), 4*time.Second)
	first = one[Start](b)
	b.started(first, Unhealthy)
	b.g.Expect(take[Decision](b)).To(ContainElement(logged("start-rejected", first.Run, "unhealthy, order 1")))
	second = one[Start](b)
	b.started(second, Accepted)
	b.now += 10 * ms
	return b, first, second
}

// Guards against a runner that carries out a start that it rejects: the task runs twice, and the log
// doesn't say so.
func TestRejectedRunThatIsListedIsReported(t *testing.T) {
	b, first, second := restartAfterRejection(t)
	b.lists(first.Runner, b.now, first.Run)
	list := b.warnings()
	b.g.Expect(list).To(ConsistOf(logged("task-ran-twice", first.Run, And(
		ContainSubstring("running, other run "+second.Run.String()), ContainSubstring("start-rejected unhealthy, order 1"),
	))))
	b.g.Expect(list[0].Age).To(Equal(10 * ms))
	b.lists(first.Runner, b.now, first.Run)
	b.end(first.Runner, 1, first.Run, workload.Done)
	b.g.Expect(b.warnings()).To(BeEmpty(), "one line a run")
	c := b.s.Counters()
	b.g.Expect([]uint64{c.RanTwice, c.Dropped[StartRejected]}).To(HaveEach(uint64(1)))
	b.g.Expect(c.RepeatsRejected).To(BeZero())
}

// Guards against the same if the first sign of the run is its end, and the job has ended before.
func TestRejectedRunThatIsListedAsDoneIsReported(t *testing.T) {
	b, first, second := restartAfterRejection(t)
	b.end(second.Runner, 1, second.Run, workload.Done)
	b.g.Expect(one[Answer](b).Outcome).To(Equal(workload.Completed))
	b.end(first.Runner, 1, first.Run, workload.Done)
	b.g.Expect(b.warnings()).To(ConsistOf(logged("task-ran-twice", first.Run, ContainSubstring("done, other run "+second.Run.String()))))
}

// Guards against a false warning after a start of a run that had ended before: the task is started again,
// but both runs don't overlap.
func TestOutdatedStartIsNoSignOfASecondRun(t *testing.T) {
	b := leading(t, testRunner("r1"), testRunner("r2"))
	b.submit(testJob(1, 400*ms), 4*time.Second)
	first := one[Start](b)
	b.started(first, Outdated)
	b.g.Expect(take[Start](b)).To(BeEmpty(), "the run that outdated it may still be stopping")
	b.started(b.expectStartAfter(b.longestStop()), Accepted)
	b.end(first.Runner, 1, first.Run, workload.Done)
	lines := take[Decision](b)
	b.g.Expect(lines).To(ContainElement(logged("dropped-run-done", first.Run, ContainSubstring("start-rejected outdated, order 1"))))
	b.g.Expect(lines).NotTo(ContainElement(HaveField("Warning", true)))
	b.g.Expect(b.s.Counters().Dropped[StartOutdated]).To(BeEquivalentTo(1))
}

// Guards against a start in doubt that leaves no line, and against a warning of a second run where there
// is none.
func TestRejectionOfARepeatedStartIsLogged(t *testing.T) {
	b := leading(t, testRunner("r1"), testRunner("r2"))
	again := b.unansweredOnce(testJob(1, 400*ms))
	b.started(again, Unhealthy)
	b.g.Expect(take[Decision](b)).To(ContainElements(
		HaveField("Event", "start-unanswered"), logged("start-rejected", again.Run, "unhealthy, order 2"),
	))
	b.now += 10 * ms
	b.lists(again.Runner, b.now, again.Run)
	b.g.Expect(b.warnings()).To(BeEmpty())
	c := b.s.Counters()
	b.g.Expect([]uint64{c.StartsRepeated, c.RepeatsRejected}).To(HaveEach(uint64(1)))
	b.g.Expect([]uint64{c.RanTwice, c.Dropped[StartRejected]}).To(HaveEach(uint64(0)))
}

// Guards against a false warning by a list that was on its way when the other run was started.
func TestOlderListIsNoSignOfASecondRun(t *testing.T) {
	b, first, second := restartAfterRejection(t)
	b.lists(first.Runner, b.s.runners[second.Runner].runs[second.Run].started-1, first.Run)
	b.g.Expect(b.warnings()).To(BeEmpty())
	b.lists(first.Runner, b.now, first.Run)
	b.g.Expect(b.warnings()).To(HaveLen(1))
}

// Guards against a run that vanishes without a line when its runner is replaced, restarts or is fenced.
func TestRunsOfALostRunnerAreLogged(t *testing.T) {
	for reason, lose := range map[string]func(b *harness, c Start){
		"runner-replaced": func(b *harness, c Start) { b.started(c, Replaced) },
		"runner-fenced":   func(b *harness, c Start) { b.listsFenced(c.Runner) },
		"runner-restarted": func(b *harness, c Start) {
			b.s.runners[c.Runner].incarnationStart = firstIncarnation
			b.s.Held(b.now, HoldResult{Runner: c.Runner, Token: c.Token, Outcome: Accepted, Clock: b.incarnationClock(secondIncarnation, b.now)})
		},
	} {
		b := leading(t, testRunner("r1"))
		c := b.runningTask()
		take[Decision](b)
		lose(b, c)
		b.g.Expect(take[Decision](b)).To(ContainElement(logged("run-dropped", c.Run, reason)))
	}
}

// Guards against a run that goes on after its lease was counted as over, while its task runs elsewhere,
// without a warning. An end as done isn't reported as a second run: the run may have ended before its lease
// did.
func TestRunFoundAfterItsLeaseWasOver(t *testing.T) {
	for _, running := range []bool{true, false} {
		b := leading(t, testRunner("r1"), testRunner("r2"))
		c := b.runningTask()
		for _, h := range take[Hold](b) {
			if h.Runner == c.Runner {
				b.answerHold(h, Unanswered)
			}
		}
		b.silence(c.Runner, silentLife+40*ms, b.tick)
		b.g.Expect(take[Decision](b)).To(ContainElement(logged("run-lapsed", c.Run, "runner is silent")))
		b.started(one[Start](b), Accepted)
		if running {
			b.lists(c.Runner, b.now, c.Run)
			b.g.Expect(b.warnings()).To(ConsistOf(
				logged("task-ran-twice", c.Run, ContainSubstring("run-lapsed")), logged("lease-overrun", c.Run, "1 runs alive"),
			))
			continue
		}
		b.end(c.Runner, 1, c.Run, workload.Done)
		b.g.Expect(b.warnings()).To(ConsistOf(logged("dropped-run-done", c.Run, ContainSubstring("run-lapsed"))))
	}
}

// Guards against a run that its runner, which got no processor time, ended later than its lease and beside
// another run of its task, without a warning; and against a warning for each run behind a cut.
func TestRunThatExpiredOnAStarvedRunnerIsReported(t *testing.T) {
	for connection, warns := range map[Connection]bool{ConnectionMade: true, ConnectionFailed: true, ConnectionTimedOut: false} {
		b := leading(t, testRunner("r1"), testRunner("r2"))
		c := b.runningStoredTask()
		for b.s.runners[c.Runner].runs[c.Run] != nil {
			b.passAndSave(c.Runner, connection)
		}
		b.passAndSave(c.Runner, connection)
		b.started(one[Start](b), Accepted)
		take[Decision](b)
		b.end(c.Runner, 1, c.Run, workload.LeaseExpired)
		b.g.Expect(take[Decision](b)).To(ContainElement(And(
			logged("dropped-run-expired", c.Run, ContainSubstring("run-lapsed")), HaveField("Warning", warns),
		)))
	}
}

// Guards against a warning of a second run that doesn't say when both were started, for whom, and whether
// the job was handed in again between them.
func TestWarningsHaveTheOriginsOfBothRuns(t *testing.T) {
	b, first, second := restartAfterRejection(t)
	b.lists(first.Runner, b.now, first.Run)
	d := b.warnings()[0]
	b.g.Expect(d.Detail).To(Equal(fmt.Sprintf(
		"started 10ms ago under token %d, for %s, 0 schedulers before; other run started 10ms ago under token %d, for %s, 0 schedulers before",
		first.Token, entryA, second.Token, entryA,
	)))
	b.g.Expect(d.Entry).To(Equal(entryA))
	b.g.Expect(d.Token).To(Equal(second.Token))
}

// Guards against the same where the job was sent again by way of another entry process, or the runner has
// restarted.
func TestWarningsSayWhatHappenedBetweenTheRuns(t *testing.T) {
	b, first, _ := restartAfterRejection(t)
	d := b.s.drops.find(first.Run, b.s.runners[first.Runner])
	d.nextOrigin.arrivedAt += ms
	b.s.runners[first.Runner].incarnationStart++
	b.lists(first.Runner, b.now, first.Run)
	b.g.Expect(b.warnings()[0].Detail).To(HaveSuffix("; the job was handed in again between them; the runner has restarted since"))
}

// Guards against a task that was done beside another run of it, without a line: the new leader had no list
// of the runner, and the first list that it gets has the end of the run.
func TestEndOfAnUnknownRunBesideAnotherIsReported(t *testing.T) {
	b := leading(t, testRunner("r1"), testRunner("r2"))
	c := b.runningTask()
	earlier := workload.RunKey{Task: c.Run.Task, Number: c.Run.Number + 1}
	other := workload.RunnerID("r1")
	if c.Runner == other {
		other = "r2"
	}
	b.now += 10 * ms
	b.end(other, 1, earlier, workload.Done)
	b.g.Expect(b.warnings()).To(ConsistOf(logged("dropped-run-done", earlier, ContainSubstring("not known when"))))
}

// Guards against a start before all runs of earlier schedulers are known, without a line in the log.
func TestUnknownRunBesideAnotherIsReported(t *testing.T) {
	b := leading(t, testRunner("r1"), testRunner("r2"))
	c := b.runningTask()
	earlier := workload.RunKey{Task: c.Run.Task, Number: c.Run.Number + 1}
	other := workload.RunnerID("r1")
	if c.Runner == other {
		other = "r2"
	}
	b.now += 10 * ms
	b.lists(other, b.now, earlier)
	b.lists(other, b.now, earlier)
	b.g.Expect(b.warnings()).To(ConsistOf(logged("task-ran-twice", earlier, ContainSubstring("not known when"))))
}

// Guards against a stopped run that counts as over without a line that says why, or before its runner has
// listed its runs. It may have become an orphan before.
func TestStoppedRunsAreLogged(t *testing.T) {
	b := leading(t, testRunner("r1"))
	c := b.runningTask()
	b.s.Abandon(b.now, entryA, c.Run.Task.Job)
	stop := one[Stop](b)
	b.stopped(stop, Accepted)
	take[Decision](b)
	b.tick(b.s.cfg.StopTimeout + lateEndMargin + 20*ms)
	b.g.Expect(b.s.runners[c.Runner].runs).NotTo(BeEmpty())
	b.lists(c.Runner, b.now)
	b.g.Expect(take[Decision](b)).To(ContainElement(logged("run-dropped", c.Run, "stopped-unlisted")))
	b.g.Expect(b.s.runners[c.Runner].runs).To(BeEmpty())
}

// Guards against the same for a run whose start was rejected as outdated, and whose end isn't listed.
func TestOutdatedRunsAreLogged(t *testing.T) {
	b := leading(t, testRunner("r1"))
	again := b.unansweredOnce(testJob(1, 400*ms))
	b.started(again, Outdated)
	full := func() {
		b.s.Held(b.now, HoldResult{
			Runner: again.Runner, Token: again.Token, ListOnly: true, Outcome: Accepted, Clock: b.clock(), Ends: manyEnds(again.Run)[:maxEndsPerList],
		})
	}
	b.tick(maxRunLife(b.s.cfg.Lease) - 40*ms)
	full()
	b.g.Expect(b.s.runners[again.Runner].runs).NotTo(BeEmpty(), "it may be alive")
	b.tick(80 * ms)
	b.g.Expect(take[Decision](b)).To(ContainElement(logged("run-dropped", again.Run, "stop-timed-out")))
}

// Guards against a run that counts as over by the time that has passed alone: its runner has listed nothing since.
func TestAnOutdatedRunIsntOverWithoutAList(t *testing.T) {
	b := leading(t, testRunner("r1"))
	again := b.unansweredOnce(testJob(1, 400*ms))
	b.started(again, Outdated)
	b.tick(2 * maxRunLife(b.s.cfg.Lease))
	b.g.Expect(b.s.runners[again.Runner].runs).To(HaveKey(again.Run))
}

// Guards against a memory of dropped runs that grows without bound.
func TestMemoryOfDroppedRunsIsBounded(t *testing.T) {
	g := NewWithT(t)
	m := newDropMemory()
	for n := range maxDropsRemembered + 10 {
		k := workload.RunKey{Task: workload.TaskName{Job: "j", Index: n / 2}, Number: 1 + n%2}
		m.add(&droppedRun{key: k, at: Time(n)})
	}
	g.Expect(m.order).To(HaveLen(maxDropsRemembered))
	g.Expect(m.byTask).To(HaveLen(maxDropsRemembered / 2))
	m.expire(maxDropsRemembered + 9)
	g.Expect(m.order).To(HaveLen(1))
	g.Expect(m.byTask).To(HaveLen(1))
	m.expire(never)
	g.Expect(m.order).To(BeEmpty())
	g.Expect(m.byTask).To(BeEmpty())
}

// Guards against a warning about runs that were over in time: a run ends, and its task is started again.
func TestRestartAfterAListedEndIsNotReported(t *testing.T) {
	b := leading(t, testRunner("r1"), testRunner("r2"))
	c := b.runningTask()
	b.end(c.Runner, 1, c.Run, workload.Failed)
	b.started(one[Start](b), Accepted)
	b.wait(100 * ms)
	b.g.Expect(b.warnings()).To(BeEmpty())
	b.g.Expect(b.s.Counters().Dropped).To(Equal(DropCounts{}))
}

// Guards against a second run without a warning: the job was handed in again, and its runs are numbered
// from one again.
func TestRunsOfAJobSentAgainAreReported(t *testing.T) {
	b := leading(t, testRunner("r1"), testRunner("r2"))
	j := testJob(1, 300*ms)
	b.submit(j, 2*time.Second)
	first := one[Start](b)
	b.started(first, Accepted)
	b.s.Abandon(b.now, entryA, j.ID)
	b.stopped(one[Stop](b), Accepted)
	take[Hold](b)
	b.now += 2 * ms
	b.lists(first.Runner, b.now)
	b.g.Expect(b.s.runners[first.Runner].runs).To(HaveKey(first.Run), "it may still be stopping")
	b.passUnlisted(b.longestStop() + 40*ms)
	b.g.Expect(b.s.runners[first.Runner].runs).To(BeEmpty())
	b.s.runners[first.Runner].evacuated = true
	b.submit(j, 2*time.Second)
	second := one[Start](b)
	b.g.Expect(second.Run).To(Equal(first.Run))
	b.started(second, Accepted)
	b.now += 5 * ms
	b.lists(first.Runner, b.now, first.Run)
	b.g.Expect(b.warnings()).To(ConsistOf(logged("task-ran-twice", first.Run, ContainSubstring(string(second.Runner)))))
}

// Guards against a run that ends after it was dropped as stopped, beside its task's next run, without a warning.
func TestALateEndOfAStoppedRunIsReported(t *testing.T) {
	for _, kind := range []workload.EndKind{workload.Stopped, workload.Failed, workload.Done, workload.LeaseExpired} {
		t.Run(kind.String(), func(t *testing.T) {
			b := leading(t, testRunner("r1"), testRunner("r2"))
			c := b.runningTask()
			u := b.s.runners[c.Runner].runs[c.Run]
			b.s.stopRun(u, StopOverdue)
			b.stopped(one[Stop](b), Accepted)
			b.s.dropRun(u, StoppedUnlisted)
			b.s.requeue(u.task)
			b.s.dispatch()
			b.started(one[Start](b), Accepted)
			b.now += 10 * ms
			b.end(c.Runner, 1, c.Run, kind)
			b.g.Expect(b.warnings()).To(HaveLen(1))
		})
	}
}

// Guards against a stop whose reason isn't logged or counted.
func TestStopsAreLogged(t *testing.T) {
	b := leading(t, testRunner("r1"))
	c := b.runningTask()
	b.s.Abandon(b.now, entryA, c.Run.Task.Job)
	one[Stop](b)
	b.g.Expect(take[Decision](b)).To(ContainElement(logged("run-stop-ordered", c.Run, "job-ended")))
	b.g.Expect(b.s.Counters().Stops[StopJobEnded]).To(Equal(uint64(1)))
}

// Guards against a warning about a run of a job that was sent again, whose number is that of a run which was rejected
// there before.
func TestARunWithTheNumberOfADroppedOneIsNotReported(t *testing.T) {
	b, first, second := restartAfterRejection(t)
	b.s.Abandon(b.now, entryA, first.Run.Task.Job)
	b.stopped(one[Stop](b), Accepted)
	b.end(second.Runner, 1, second.Run, workload.Stopped)
	b.wait(2 * time.Second)
	j := testJob(1, 400*ms)
	j.ID = first.Run.Task.Job
	b.s.runners[second.Runner].evacuated = true
	b.submit(j, 4*time.Second)
	again := one[Start](b)
	b.g.Expect(again.Run).To(Equal(first.Run))
	b.g.Expect(again.Runner).To(Equal(first.Runner))
	b.started(again, Accepted)
	b.now += 300 * ms
	b.end(again.Runner, 1, again.Run, workload.Done)
	b.g.Expect(b.warnings()).To(BeEmpty())
}
