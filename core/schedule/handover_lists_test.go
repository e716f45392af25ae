package schedule

import (
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"sapphirepoint.example/sapphirepoint/core/workload"
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
	b.s.ApplyProgress(b.now, entryB, progress)
	begin := b.now
	b.wait(b.longestStop() - 10*ms)
	b.g.Expect(take[Start](b)).To(BeEmpty(), "started within %v of a stop", b.now-begin)
	b.wait(60 * ms)
	b.g.Expect(take[Start](b)).To(HaveLen(1))
}

// Guards against jobs that start without what their last leader knows: the Progress of another process, which had led beyond a
// cut, would end the wait for that of the last leader.
func TestTheProgressOfAnotherProcessDoesntEndTheWait(t *testing.T) {
	b := newHarness(t, testRunner("r1"))
	b.s.Lead(b.now)
	b.s.AwaitProgress(b.now, entryB)
	b.handOver(testJob(1, 400*ms), 9*time.Second)
	b.s.ApplyProgress(b.now, "front-c#1", Progress{})
	b.wait(progressTimeout - 40*ms)
	b.g.Expect(take[Start](b)).To(BeEmpty())
	b.s.ApplyProgress(b.now, entryB, Progress{})
	b.wait(40 * ms)
	b.g.Expect(take[Start](b)).To(HaveLen(1))
}

// Guards against a second run of a handed-over job whose runner was silent at the handover: it carries out the former leader's
// start just before it obeys the new leader, and its first list is without that run.
func TestTheFirstListOfARunnerThatWasSilentAtTheHandoverIsWithoutARun(t *testing.T) {
	for _, silence := range []time.Duration{200 * ms, maxPriorRunLife + 100*ms} {
		t.Run(silence.String(), func(t *testing.T) {
			b := newHarness(t, testRunner("r1"), testRunner("silent"))
			b.s.Lead(b.now)
			j := testJob(1, 400*ms)
			b.handOver(j, 9*time.Second)
			b.g.Expect(b.passSilently(silence, "silent", ConnectionMade)).To(BeEmpty())
			b.answerHold(Hold{Runner: "silent", Token: b.s.runners["silent"].token}, Accepted)
			b.s.Tick(b.now)
			b.g.Expect(take[Start](b)).To(BeEmpty(), "the run may be there")
			b.now += 20 * ms
			run := workload.RunKey{Task: workload.TaskName{Job: j.ID}, Number: 1}
			b.answerHold(Hold{Runner: "silent", Token: b.s.runners["silent"].token}, Accepted, run)
			b.tick(100 * ms)
			b.g.Expect(take[Start](b)).To(BeEmpty())
			b.g.Expect(take[Stop](b)).To(BeEmpty(), "the run is the job's own")
		})
	}
}

// Guards against a handed-over job that goes on waiting once such a runner has shown all its runs.
func TestAJobStartsOnceARunnerThatWasSilentAtTheHandoverHasShownItsRuns(t *testing.T) {
	b := newHarness(t, testRunner("r1"), testRunner("silent"))
	b.s.Lead(b.now)
	b.handOver(testJob(1, 400*ms), 9*time.Second)
	b.passSilently(200*ms, "silent", ConnectionMade)
	b.answerHold(Hold{Runner: "silent", Token: b.s.runners["silent"].token}, Accepted)
	b.expectStartAfter(b.longestStop())
}
