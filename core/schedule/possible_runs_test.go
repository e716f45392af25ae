package schedule

import (
	"fmt"
	"slices"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"sapphirepoint.example/sapphirepoint/core/workload"
)

// onSilentRunner returns a harness with a job that is still in flight on a runner that has left an order unanswered.
func onSilentRunner(t *testing.T) (*harness, *workload.Job, workload.RunnerID) {
	b := leading(t, testRunner("r1"), testRunner("r2"))
	j := testJob(1, 600*ms)
	b.submit(j, 1500*ms)
	c := one[Start](b)
	b.started(c, Accepted)
	for begin := b.now; !b.s.runners[c.Runner].unresponsive && b.now-begin < time.Second; {
		b.tick(20 * ms)
		b.leaveUnanswered(c.Runner, ConnectionTimedOut)
	}
	return b, j, c.Runner
}

// replaceKilled makes the scheduler of another harness the leader after that of b, which is killed.
func (b *harness) replaceKilled(silent workload.RunnerID) *harness {
	next := newHarness(b.t, testRunner("r1"), testRunner("r2"))
	next.ownRows(1)
	next.tick(b.now - next.now)
	named, _ := b.s.PossibleRuns(b.now)
	next.s.NotePossibleRuns(next.now, named)
	next.tick(maxSilence)
	next.s.Lead(next.now)
	next.leaveUnanswered(silent, ConnectionTimedOut)
	return next
}

// submitByOther submits a job as a new one by way of another entry process.
func (b *harness) submitByOther(j *workload.Job, timeout time.Duration) {
	b.s.EntryAlive(b.now, entryB)
	b.s.Submit(b.now, Submission{Job: j, Entry: entryB, RemainingObjective: timeout, RemainingTimeout: timeout})
}

// passBeside lets a tick pass while a runner leaves all Holds unanswered.
func (b *harness) passBeside(silent workload.RunnerID) {
	b.s.EntryAlive(b.now, entryB)
	b.tick(20 * ms)
	b.leaveUnanswered(silent, ConnectionTimedOut)
}

// Guards against a second run of a job whose scheduler is killed, and that is sent again as a new one by way of another entry
// process: the next scheduler can't see the run on a silent runner.
func TestTheSuccessorOfAKilledLeaderWaitsForRunsOnSilentRunners(t *testing.T) {
	ways := map[string]func(*testing.T) (*harness, *workload.Job, workload.RunnerID){
		"given up": givenUpEarly, "in flight": onSilentRunner,
	}
	for way, begin := range ways {
		for _, kills := range []int{1, 2} {
			b, j, silent := begin(t)
			over := b.s.runners[silent].runsOverAt()
			for range kills {
				b = b.replaceKilled(silent)
			}
			b.submitByOther(j, 20*time.Second)
			for b.now < over {
				b.g.Expect(take[Start](b)).To(BeEmpty(), "%s, %d kills: %v too early", way, kills, over-b.now)
				b.passBeside(silent)
			}
			for end := b.s.leadingSince + maxPriorRunLife + MaxLateEnd; b.now <= end+20*ms; {
				b.passBeside(silent)
			}
			b.g.Expect(take[Start](b)).To(HaveLen(1), "%s, %d kills", way, kills)
		}
	}
}

// Guards against a second run of such a job whose runner has left the platform's list, as one does that is cut off and can't
// renew its entry, before its scheduler is killed or after that.
func TestANamedJobWaitsForARunnerThatLeftTheList(t *testing.T) {
	for _, leftBefore := range []time.Duration{0, 2 * time.Second} {
		b, j, silent := givenUpEarly(t)
		over := b.s.runners[silent].runsOverAt()
		next := newHarness(t, testRunner("r1"), testRunner("r2"))
		next.ownRows(1)
		next.tick(b.now - next.now)
		named, _ := b.s.PossibleRuns(b.now)
		next.s.NotePossibleRuns(next.now, named)
		others := []workload.Runner{testRunner("r1"), testRunner("r2")}
		others = slices.DeleteFunc(others, func(r workload.Runner) bool { return r.ID == silent })
		next.s.SetRunners(next.now, others)
		next.tick(leftBefore)
		next.s.Lead(next.now)
		next.leaveUnanswered(silent, ConnectionTimedOut)
		next.submitByOther(j, 20*time.Second)
		for next.now < over {
			next.g.Expect(take[Start](next)).To(BeEmpty(), "left %v before: %v too early", leftBefore, over-next.now)
			next.passBeside(silent)
		}
		for next.now < over+maxPriorRunLife+MaxLateEnd {
			next.passBeside(silent)
		}
		next.g.Expect(take[Start](next)).To(HaveLen(1))
	}
}

// Guards against jobs that wait for a silent runner to the end of MaxLateEnd though its list has shown that no run is there.
func TestAListEndsTheWaitOfANamedJob(t *testing.T) {
	b, j, silent := givenUpEarly(t)
	next := b.replaceKilled(silent)
	next.submitByOther(j, 20*time.Second)
	next.passBeside(silent)
	next.g.Expect(take[Start](next)).To(BeEmpty())
	for end := next.now + 2*time.Second; next.now < end; {
		next.s.EntryAlive(next.now, entryB)
		next.wait(20 * ms)
	}
	next.g.Expect(take[Start](next)).To(HaveLen(1))
}

// Guards against a caller who is told that nothing was run of a job that has run in part under a leader that was killed.
func TestTheSuccessorOfAKilledLeaderDoesntSayThatNothingWasRun(t *testing.T) {
	b, j, silent := givenUpEarly(t)
	next := b.replaceKilled(silent)
	for end := next.now + takeoverWindow + 20*ms; next.now < end; {
		next.passBeside(silent)
	}
	next.g.Expect(next.s.uncertain()).To(BeFalse())
	next.submitByOther(j, 100*ms)
	next.tick(200 * ms)
	next.g.Expect(one[Answer](next).Outcome).To(Equal(workload.GaveUp))
}

// Guards against leaders that name jobs while no runner is silent, and against new jobs that wait since others were named.
func TestOnlyJobsOnSilentRunnersAreNamed(t *testing.T) {
	b := leading(t, testRunner("r1"), testRunner("r2"))
	b.runningJob(400 * ms)
	for b.now < 12*time.Second {
		named, _ := b.s.PossibleRuns(b.now)
		b.g.Expect(named).To(BeEmpty())
		b.wait(20 * ms)
	}

	b, j, silent := onSilentRunner(t)
	named, _ := b.s.PossibleRuns(b.now)
	b.g.Expect(named).To(ConsistOf(HaveField("Job", j.ID)))
	next := b.replaceKilled(silent)
	next.submitByOther(testJob(1, 400*ms), 4*time.Second)
	for end := next.s.leadingSince + resentWait + 40*ms; next.now < end; {
		next.passBeside(silent)
	}
	next.g.Expect(take[Start](next)).To(HaveLen(1))
}

// Guards against stored jobs that wait for runners off the list since they were named: their own rule bounds their wait.
func TestStoredJobsAreNotNamed(t *testing.T) {
	b := leading(t, testRunner("r1"))
	b.runningStoredTask()
	r := b.s.runners["r1"]
	r.unresponsive = true
	named, _ := b.s.PossibleRuns(b.now)
	b.g.Expect(named).To(BeEmpty())
	b.s.noteLostRuns(r)
	named, _ = b.s.PossibleRuns(b.now)
	b.g.Expect(named).To(BeEmpty(), "lost runs")
}

// Guards against a list of jobs that grows without a bound, or loses the runs that live longest.
func TestNamedJobsAreBounded(t *testing.T) {
	b := leading(t, testRunner("r1"))
	b.runningJob(10 * time.Second)
	r := b.s.runners["r1"]
	r.unresponsive = true
	for i := range MaxPossibleRuns + 10 {
		k := workload.RunKey{Task: workload.TaskName{Job: workload.JobID(fmt.Sprintf("%016x", 1<<40+i))}, Number: 1}
		r.add(&run{key: k, runner: r})
	}
	named, leftOut := b.s.PossibleRuns(b.now)
	b.g.Expect(named).To(HaveLen(MaxPossibleRuns))
	b.g.Expect(leftOut).To(Equal(11))

	next := newHarness(t, testRunner("r1"))
	next.s.NotePossibleRuns(next.now, named)
	next.s.NotePossibleRuns(next.now, []PossibleRun{{Job: "late", Rest: time.Hour}})
	next.g.Expect(next.s.possibleRuns).To(HaveKey(workload.JobID("late")))
	next.g.Expect(len(next.s.possibleRuns)).To(BeNumerically("<=", MaxPossibleRuns))
	next.tick(maxPriorRunLife + MaxLateEnd + expireInterval + 20*ms)
	next.g.Expect(next.s.possibleRuns).To(BeEmpty())
}
