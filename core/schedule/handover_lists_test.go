package schedule

import (
	"testing"
	"time"

	. "github.com/onsi/gomega"
)

// Guards against a second run of a task after a planned change of the leader: the leader before has ordered its run
// to stop, and a run that still ends isn't on its runner's list.
func TestANewLeaderWaitsForRunsThatAreBeingStopped(t *testing.T) {
	former := leading(t, testRunner("r1"), testRunner("r2"))
	j, c := former.runningJob(400 * ms)
	former.s.stopRun(former.s.runners[c.Runner].runs[c.Run], StopOverdue)
	former.stopped(one[Stop](former), Accepted)
	progress := former.s.Progress(former.now)

	b := newHarness(t, testRunner("r1"), testRunner("r2"))
	b.now = former.now
	b.s.Lead(b.now)
	b.s.AwaitProgress(b.now, entryB)
	b.s.Submit(b.now, Submission{Job: j, Entry: entryA, RemainingObjective: j.Objective, RemainingTimeout: 9 * time.Second, PriorSubmissions: 1, PriorRunsTTL: priorRunsTTL})
	b.s.ApplyProgress(b.now, progress)
	begin := b.now
	b.wait(b.longestStop() - 10*ms)
	b.g.Expect(take[Start](b)).To(BeEmpty(), "started within %v of a stop", b.now-begin)
	b.wait(60 * ms)
	b.g.Expect(take[Start](b)).To(HaveLen(1))
}
