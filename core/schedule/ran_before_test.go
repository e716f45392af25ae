package schedule

import (
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"sapphirepoint.example/sapphirepoint/core/workload"
)

// Guards against a second run beside one that a scheduler in between has started: the end of a run of the term before, listed
// now, doesn't show that this scheduler knows all runs of the job.
func TestAnEndOfATermBeforeDoesntShowAllRunsOfItsJob(t *testing.T) {
	b := leading(t, testRunner("r1"), testRunner("r2"))
	j, c := b.runningJob(400 * ms)
	silent := workload.RunnerID("r1")
	if c.Runner == silent {
		silent = "r2"
	}
	b.s.Abandon(b.now, entryA, j.ID)
	take[Stop](b)
	b.s.Retire(b.now)
	b.tick(3 * time.Second)
	b.s.Lead(b.now)
	b.leaveUnanswered(silent, ConnectionTimedOut)
	b.end(c.Runner, 1, c.Run, workload.LeaseExpired)
	b.submitCopy(j, entryB)
	b.s.jobs[j.ID].deadline = b.now + 20*time.Second
	for over := b.s.allSilentRunsOverAt - 20*ms; b.now < over; {
		b.s.EntryAlive(b.now, entryB)
		b.g.Expect(take[Start](b)).To(BeEmpty(), "%v too early", over-b.now)
		b.tick(20 * ms)
		b.leaveUnanswered(silent, ConnectionTimedOut)
	}
	b.s.EntryAlive(b.now, entryB)
	b.tick(60 * ms)
	b.g.Expect(take[Start](b)).To(HaveLen(1))
}
