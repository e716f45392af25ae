package schedule

import (
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"sapphirepoint.example/sapphirepoint/core/workload"
)

// Dropped runs, and runs of another scheduler with their keys.

// takenAndReturned has another scheduler take a runner, which then lists runs to this one again.
func (b *harness) takenAndReturned(id workload.RunnerID, running ...workload.RunKey) {
	b.listsFenced(id)
	b.now += 270 * ms
	b.s.ReacquireRunners(b.now)
	b.now += 2 * ms
	b.lists(id, b.now, running...)
}

// Guards against a false warning of a second run: another scheduler has started a run of a job that was sent again, with
// the number of a run that was dropped on the same runner long before and isn't on its lists since.
func TestAnotherSchedulersRunIsNotTakenForADroppedOne(t *testing.T) {
	for _, listed := range []string{"running", "done"} {
		b, first, second := restartAfterRejection(t)
		b.end(second.Runner, 1, second.Run, workload.Done)
		b.wait(4700 * ms)
		if listed == "done" {
			b.takenAndReturned(first.Runner)
			b.end(first.Runner, 1, first.Run, workload.Done)
		} else {
			b.takenAndReturned(first.Runner, first.Run)
		}
		b.g.Expect(b.warnings()).To(BeEmpty(), listed)
		b.g.Expect(b.s.Counters().RanTwice).To(BeZero())
	}
}

// Guards against a second run without a warning: a rejected run is listed after another scheduler has had the runner, and no
// list since the rejection has shown that it is over.
func TestADroppedRunThatIsListedAfterATakeoverIsReported(t *testing.T) {
	b, first, second := restartAfterRejection(t)
	b.takenAndReturned(first.Runner, first.Run)
	b.g.Expect(b.warnings()).To(ConsistOf(logged("task-ran-twice", first.Run, ContainSubstring("other run "+second.Run.String()))))
}

// Guards against the same where the run that is listed is another scheduler's, and the task has a run here.
func TestAnotherSchedulersRunBesideAPresentOneIsReported(t *testing.T) {
	b := leading(t, testRunner("r1"), testRunner("r2"))
	b.submit(testJob(1, 8*time.Second), 20*time.Second)
	first := one[Start](b)
	b.started(first, Unhealthy)
	second := one[Start](b)
	b.started(second, Accepted)
	for range 50 {
		b.tick(20 * ms)
		take[Hold](b)
		b.lists(first.Runner, b.now)
		b.lists(second.Runner, b.now, second.Run)
	}
	b.g.Expect(b.s.runners[second.Runner].runs).To(HaveKey(second.Run))
	b.warnings()
	b.takenAndReturned(first.Runner, first.Run)
	b.g.Expect(b.warnings()).To(ConsistOf(logged("task-ran-twice", first.Run, ContainSubstring("other run "+second.Run.String()))))
}
