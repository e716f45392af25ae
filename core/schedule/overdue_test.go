package schedule

import (
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"sapphirepoint.example/sapphirepoint/core/workload"
)

// Guards against a task that waits ever longer until its next run counts as stuck, since stops of an overdue run stay
// unanswered and are repeated.
func TestAnOverdueRunCountsOnce(t *testing.T) {
	b := leading(t, testRunner("r1"), testRunner("r2"))
	_, c := b.runningJob(time.Second)
	u := b.s.runners[c.Runner].runs[c.Run]
	task := u.task
	u.overdueAt = b.now
	for range 3 {
		b.tick(20 * ms)
		b.stopped(one[Stop](b), Unanswered)
		for _, h := range take[Hold](b) {
			b.answerHold(h, Accepted, c.Run)
		}
	}
	b.g.Expect(task.overstays).To(Equal(1))
	b.g.Expect(task.failedOn).To(HaveLen(1))
	b.g.Expect(b.s.Counters().Overstayed).To(Equal(uint64(1)))
}

// Guards against a second run beside one that was rejected as outdated, on a runner that is starved since.
func TestAnOutdatedRunOnAStarvedRunnerCounts(t *testing.T) {
	b := leading(t, testRunner("r1"), testRunner("r2"))
	again := b.unansweredOnce(testJob(1, 400*ms))
	b.s.jobs[again.Run.Task.Job].deadline += 20 * time.Second
	b.started(again, Outdated)
	for begin := b.now; b.now-begin < MaxLateEnd; {
		b.leaveUnanswered(again.Runner, ConnectionMade)
		b.g.Expect(take[Start](b)).To(BeEmpty(), "%v after the answer", b.now-begin)
		b.tick(20 * ms)
	}
}

// Guards against a run that counts as never begun since a stop of it, which isn't answered yet, was carried out.
func TestARunWhoseStopIsUnderWayIsNotTakenForNeverBegun(t *testing.T) {
	b, c := tokenRaised(t)
	u := b.s.runners["r1"].runs[c.Run]
	b.wait(120 * ms)
	u.overdueAt = b.now
	b.tick(20 * ms)
	b.g.Expect(take[Stop](b)).NotTo(BeEmpty())
	for sent := b.now; b.now-sent < 40*ms; {
		b.wait(20 * ms)
		b.g.Expect(b.s.runners["r1"].runs).To(HaveKey(c.Run), "%v after the stop was sent", b.now-sent)
	}
}

// Guards against a run that is dropped, adopted again and done beside its task's next run without a line in the log.
func TestAnAdoptedDroppedRunIsReported(t *testing.T) {
	b := leading(t, testRunner("r1"), testRunner("r2"))
	c := b.runningTask()
	for b.s.runners[c.Runner].runs[c.Run] != nil {
		b.leaveUnanswered(c.Runner, ConnectionMade)
		b.tick(20 * ms)
	}
	second := one[Start](b)
	b.started(second, Accepted)
	b.wait(100 * ms)
	take[Decision](b)
	b.s.runners["r1"].evacuated, b.s.runners["r2"].evacuated = true, true
	b.end(second.Runner, 1, second.Run, workload.Failed)
	b.now += 10 * ms
	b.lists(c.Runner, b.now, c.Run)
	b.g.Expect(b.s.runners[c.Runner].runs[c.Run].task).NotTo(BeNil())
	b.now += 10 * ms
	b.end(c.Runner, 1, c.Run, workload.Done)
	b.g.Expect(take[Decision](b)).To(ContainElement(logged("dropped-run-done", c.Run, ContainSubstring(string(second.Runner)))))
}

// Guards against an order to stop an overdue run on a silent runner every few tens of milliseconds, each on a new connection,
// for as long as the run counts.
func TestStopsOfAnOverdueRunOnASilentRunnerAreSpaced(t *testing.T) {
	b := leading(t, testRunner("r1"))
	c := b.runningStoredTask()
	b.s.runners[c.Runner].runs[c.Run].overdueAt = b.now + 100*ms
	stops := 0
	for begin := b.now; b.now-begin < 4*time.Second; {
		b.passAndSave(c.Runner, ConnectionTimedOut)
		for _, stop := range take[Stop](b) {
			stops++
			b.s.Stopped(b.now, StopResult{
				Runner: stop.Runner, Token: stop.Token, Run: stop.Run, Outcome: Unanswered, Connection: ConnectionTimedOut,
				Clock: ClockReading{ReceivedAt: b.now, SentAt: b.now},
			})
		}
	}
	b.g.Expect(stops).To(BeNumerically(">", 4))
	b.g.Expect(stops).To(BeNumerically("<=", 40))
}
