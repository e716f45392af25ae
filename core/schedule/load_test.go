package schedule

import (
	"fmt"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"sapphirepoint.example/sapphirepoint/core/ledger"
	"sapphirepoint.example/sapphirepoint/core/workload"
)

// Short and long jobs wait for the same room. They are served by their latest start, so that an
// earlier long job isn't overtaken until it is late, and a short one isn't delayed by the length
// of a long one.
func TestOrderOfService(t *testing.T) {
	b := leading(t, testRunner("r1"))
	b.submit(testJob(2, 400*ms), 3*time.Second)
	for _, c := range take[Start](b) {
		b.started(c, Accepted)
	}
	long, short := testJob(1, 900*ms), testJob(1, 60*ms)
	b.submit(long, 3*time.Second)
	b.submit(short, 3*time.Second)
	b.g.Expect(b.s.waitingIDs()).To(Equal([]workload.JobID{short.ID, long.ID}))
}

// A burst fills the queue. Jobs whose turn would come when their answer has no value are refused
// on arrival, with a retry delay that grows with the queue and differs between callers.
func TestBurst(t *testing.T) {
	b := leading(t, testRunner("r1"), testRunner("r2"))
	var refused []Answer
	for range 60 {
		b.submit(testJob(4, 200*ms), 2*time.Second)
		refused = append(refused, take[Answer](b)...)
	}
	b.g.Expect(len(refused)).To(BeNumerically(">", 20))
	b.g.Expect(len(refused)).To(BeNumerically("<", 58))
	waits := make(map[time.Duration]bool)
	for _, a := range refused {
		b.g.Expect(a.Outcome).To(Equal(workload.NotRun))
		b.g.Expect(a.RetryAfter).To(BeNumerically(">=", time.Second))
		waits[a.RetryAfter] = true
	}
	b.g.Expect(len(waits)).To(BeNumerically(">", len(refused)/2))
}

// Tasks of two fifths of a runner arrive one by one. Spread out, each would leave a gap that no
// other task fits into, and jobs with many tasks would wait for a whole runner.
func TestBestFit(t *testing.T) {
	b := leading(t, testRunner("r1"), testRunner("r2"), testRunner("r3"))
	used := make(map[workload.RunnerID]int)
	for range 4 {
		b.submit(testJob(1, 200*ms), 3*time.Second)
		c := one[Start](b)
		b.started(c, Accepted)
		used[c.Runner]++
	}
	b.g.Expect(used).To(HaveLen(2))
}

// Runners differ in speed. A long task whose caller leaves soon gets a fast runner, and short
// tasks leave the fast runners free.
func TestLongTasksOnFastRunners(t *testing.T) {
	b := leading(t, testRunner("r1"), testRunner("r2"), testRunner("r3"))
	for id, pace := range map[workload.RunnerID]float64{"r1": 1.25, "r2": 0.8, "r3": 1} {
		b.s.runners[id].health.usual = pace
		b.s.runners[id].health.recent = pace
	}
	b.submit(testJob(1, 60*ms), 2*time.Second)
	b.g.Expect(one[Start](b).Runner).NotTo(BeEquivalentTo("r2"))
	b.submit(testJob(1, 1200*ms), 1500*ms)
	b.g.Expect(one[Start](b).Runner).To(BeEquivalentTo("r2"))
}

// Tasks hang on a runner that answers all orders. A run that takes far longer than estimated is
// stopped and its task started on another runner, and the first runner gets no new tasks for
// some time.
func TestStuckRun(t *testing.T) {
	b := leading(t, testRunner("r1"), testRunner("r2"))
	b.submit(testJob(1, 60*ms), 2*time.Second)
	start := one[Start](b)
	b.started(start, Accepted)
	b.tick(60*ms*overdueFactor + overdueSlack + 40*ms)
	stop := one[Stop](b)
	b.g.Expect(stop.Run).To(Equal(start.Run))
	b.stopped(stop, Accepted)
	take[Hold](b)
	b.end(start.Runner, 1, start.Run, workload.Stopped)
	again := one[Start](b)
	b.g.Expect(again.Runner).NotTo(Equal(start.Runner))
	b.submit(testJob(1, 60*ms), 2*time.Second)
	b.g.Expect(one[Start](b).Runner).NotTo(Equal(start.Runner))
}

// A runner fails every task at once, and so appears idle and fast. It is closed after two
// failures, while a job that fails everywhere doesn't close the runners that it was started on.
func TestFailingRunner(t *testing.T) {
	b := leading(t, testRunner("r1"), testRunner("r2"))
	seq := map[workload.RunnerID]uint64{}
	fails := map[workload.RunnerID]int{}
	for range 6 {
		b.submit(testJob(1, 60*ms), 2*time.Second)
		for starts := take[Start](b); len(starts) > 0; starts = take[Start](b) {
			for _, c := range starts {
				b.started(c, Accepted)
				seq[c.Runner]++
				kind := workload.Done
				if c.Runner == "r1" {
					kind = workload.Failed
					fails["r1"]++
				}
				b.now += 60 * ms
				b.end(c.Runner, seq[c.Runner], c.Run, kind)
			}
		}
	}
	b.g.Expect(fails["r1"]).To(BeNumerically("<=", strikesToClose))
}

func TestJobThatFailsEverywhereClosesNoRunner(t *testing.T) {
	b := leading(t, testRunner("r1"), testRunner("r2"))
	seq := map[workload.RunnerID]uint64{}
	for range 4 {
		b.submit(testJob(1, 60*ms), 2*time.Second)
		for range 2 {
			c := one[Start](b)
			b.started(c, Accepted)
			seq[c.Runner]++
			b.now += 5 * ms
			b.end(c.Runner, seq[c.Runner], c.Run, workload.Failed)
		}
		answers := take[Answer](b)
		b.g.Expect(answers).To(HaveLen(1))
		b.g.Expect(answers[0].Outcome).To(Equal(workload.JobFailed))
	}
	for _, id := range []workload.RunnerID{"r1", "r2"} {
		b.g.Expect(b.s.runners[id].usable(b.now)).To(BeTrue(), string(id))
	}
}

// A runner reports that it drains, or is removed from the list. It gets no new tasks.
func TestLeavingRunner(t *testing.T) {
	for name, leave := range map[string]func(*harness){
		"draining": func(b *harness) {
			r := testRunner("r1")
			r.Draining = true
			b.s.SetRunners(b.now, []workload.Runner{r, testRunner("r2")})
		},
		"unlisted": func(b *harness) { b.s.SetRunners(b.now, []workload.Runner{testRunner("r2")}) },
	} {
		t.Run(name, func(t *testing.T) {
			b := leading(t, testRunner("r1"), testRunner("r2"))
			leave(b)
			for range 2 {
				b.submit(testJob(1, 60*ms), 2*time.Second)
				b.g.Expect(one[Start](b).Runner).To(BeEquivalentTo("r2"))
			}
		})
	}
}

// Steps wait for the steps that they depend on, and tasks get the label, the rack and the spread
// that they require.
func TestStepConstraints(t *testing.T) {
	gpu := testRunner("r2")
	gpu.Labels = []string{"b", "r2"}
	gpu.Rack = "r2"
	b := leading(t, testRunner("r1"), gpu)
	j := testJob(1, 50*ms)
	need := workload.Resources{MilliCPU: 10000}
	j.Steps = []workload.Step{
		{Tasks: 1, Need: need, Estimate: 50 * ms, Requires: "b"},
		{Tasks: 2, Need: need, Estimate: 50 * ms, DependsOn: []int{0}, MaxPerRunner: 1},
		{Tasks: 1, Need: need, Estimate: 50 * ms, DependsOn: []int{0}, PreferredRack: "r1"},
	}
	b.submit(j, 3*time.Second)
	first := one[Start](b)
	b.g.Expect(first.Runner).To(BeEquivalentTo("r2"))
	b.started(first, Accepted)
	b.end("r2", 1, first.Run, workload.Done)
	rest := take[Start](b)
	b.g.Expect(rest).To(HaveLen(3))
	b.g.Expect(rest[0].Runner).NotTo(Equal(rest[1].Runner))
	b.g.Expect(rest[2].Runner).To(BeEquivalentTo("r1"))
}

// A cancelled job's tasks are stopped, its caller is answered, and a later copy doesn't run; nor
// does a job that was cancelled before it arrived.
func TestCancelledJobs(t *testing.T) {
	b := leading(t, testRunner("r1"))
	j, later := testJob(1, 200*ms), testJob(1, 200*ms)
	b.submit(j, 2*time.Second)
	b.started(one[Start](b), Accepted)
	state, done := b.s.Cancel(b.now, j.ID)
	b.g.Expect(state.Known).To(BeTrue())
	b.g.Expect(done).To(BeTrue())
	b.g.Expect(one[Answer](b).Outcome).To(Equal(workload.Cancelled))
	b.g.Expect(take[Stop](b)).To(HaveLen(1))
	_, done = b.s.Cancel(b.now, later.ID)
	b.g.Expect(done).To(BeFalse(), "it may be a stored job, which must never run")
	saved := one[Save](b)
	b.s.Saved(b.now, []ledger.SavedRecord{{Job: later.ID, Sequence: saved.Sequence}})
	b.g.Expect(one[OutcomeSaved](b).State.Known).To(BeFalse())
	b.submit(j, 2*time.Second)
	b.submit(later, 2*time.Second)
	b.g.Expect(take[Start](b)).To(BeEmpty())
	for _, a := range take[Answer](b) {
		b.g.Expect(a.Outcome).To(Equal(workload.Cancelled))
	}
}

// The process has more work than its processor can do, so it reads answers late that were received
// in time. If its timeouts stayed fixed, it would repeat starts that were carried out, and never
// catch up.
func TestTimeoutsGrowWithDelays(t *testing.T) {
	b := leading(t, testRunner("r1"), testRunner("r2"))
	b.g.Expect(b.s.callTimeout()).To(Equal(CallTimeout))
	for seq := range uint64(60) {
		b.submit(testJob(1, 60*ms), 2*time.Second)
		c := one[Start](b)
		sent := b.clock()
		b.now += 45 * ms
		sent.ReceivedAt = b.now
		b.s.Started(b.now, StartResult{Runner: c.Runner, Token: c.Token, Run: c.Run, Outcome: Accepted, Clock: sent})
		b.end(c.Runner, seq+1, c.Run, workload.Done)
	}
	b.g.Expect(b.s.callTimeout()).To(BeNumerically(">", 150*ms))
	b.g.Expect(b.s.callTimeout()).To(BeNumerically("<=", maxTimeout))
}

// All processes were killed and restart. The runners have accepted a term far above that of the
// new scheduler, and refuse it. It exceeds that term for all of them within a few rounds, while
// callers wait.
func TestUnknownHigherTermIsExceededInFewRounds(t *testing.T) {
	var runners []workload.Runner
	for i := range 48 {
		runners = append(runners, testRunner(fmt.Sprintf("r%02d", i)))
	}
	b := newHarness(t, runners...)
	b.s.Lead(b.now)
	const forgotten = uint64(1500) << numberBits
	rounds := 0
	for ; ; rounds++ {
		refused := 0
		for _, h := range take[Hold](b) {
			if h.Token < forgotten {
				refused++
				b.answerHold(h, Fenced)
				continue
			}
			b.answerHold(h, Accepted)
		}
		if refused == 0 {
			break
		}
	}
	b.g.Expect(rounds).To(BeNumerically("<=", 8))
	b.g.Expect(b.s.Term()).To(BeNumerically("<", 2*1500), "the term doesn't grow without need")
}

// A failure domain is cut off, and its new scheduler is handed the jobs of the previous one. They
// are held back until runs that the previous one has started must be over. New jobs don't wait
// behind them: the runners have room, so no caller may be refused because of their work.
func TestHeldBackJobsDontDelayOthers(t *testing.T) {
	b := leading(t, testRunner("near"))
	b.s.SetUnreachable(true)
	b.s.AddUnlistedRunners(b.now, []workload.Runner{testRunner("far")})
	for range 30 {
		b.s.Submit(b.now, Submission{Job: testJob(8, 60*ms), Entry: entryA, RemainingObjective: 150 * ms, RemainingTimeout: 1500 * ms, PriorSubmissions: 1, PriorRunsTTL: 1300 * ms})
	}
	b.tick(200 * ms)
	b.g.Expect(take[Start](b)).To(BeEmpty())
	b.submit(testJob(2, 60*ms), 1500*ms)
	b.g.Expect(take[Answer](b)).To(BeEmpty())
	b.g.Expect(take[Start](b)).To(HaveLen(2))
}

// Runners of all failure domains have room. A job runs in the domain of its caller's entry VM, so
// that the loss of a connection between domains doesn't affect it; tasks that find no room there
// run elsewhere.
func TestTasksStayInTheDomainOfTheirCaller(t *testing.T) {
	var runners []workload.Runner
	for _, id := range []string{"r1", "r2", "r3"} {
		r := testRunner(id)
		r.Domain = map[string]string{"r1": "a", "r2": "b", "r3": "a"}[id]
		runners = append(runners, r)
	}
	b := leading(t, runners...)
	b.s.Submit(b.now, Submission{Job: testJob(2, 60*ms), Entry: entryA, RemainingObjective: 150 * ms, RemainingTimeout: 1500 * ms, Domain: "b"})
	for _, c := range take[Start](b) {
		b.g.Expect(c.Runner).To(BeEquivalentTo("r2"))
	}
	b.s.Submit(b.now, Submission{Job: testJob(2, 60*ms), Entry: entryA, RemainingObjective: 150 * ms, RemainingTimeout: 1500 * ms, Domain: "b"})
	b.g.Expect(take[Start](b)).To(HaveLen(2))
}

// Jobs are handed over at full load after some time without a leader. One of them can't be
// answered any more while its answer has value; although it is older, it doesn't take the room of
// another that can. It runs when room is left.
func TestWorthlessJobsComeLast(t *testing.T) {
	b := leading(t, testRunner("r1"))
	b.submit(testJob(2, 200*ms), 1500*ms)
	running := take[Start](b)
	b.g.Expect(running).To(HaveLen(2))
	old, young := testJob(1, 100*ms), testJob(1, 100*ms)
	b.s.Submit(b.now, Submission{Job: old, Entry: entryA, RemainingObjective: -600 * ms, RemainingTimeout: 1000 * ms})
	b.s.Submit(b.now, Submission{Job: young, Entry: entryA, RemainingObjective: -50 * ms, RemainingTimeout: 1500 * ms})
	b.end("r1", 1, running[0].Run, workload.Done)
	b.g.Expect(one[Start](b).Run.Task.Job).To(Equal(young.ID))
	b.end("r1", 2, running[1].Run, workload.Done)
	b.g.Expect(one[Start](b).Run.Task.Job).To(Equal(old.ID))
}

// A failure domain is cut off, and a job is handed over that its new scheduler may start only when
// the caller is about to leave. The caller is told as soon as that is known, not at the deadline;
// another job has enough time, and waits.
func TestHopelessHandedOverJobsAreGivenUpAtOnce(t *testing.T) {
	b := leading(t, testRunner("near"))
	b.s.SetUnreachable(true)
	b.s.AddUnlistedRunners(b.now, []workload.Runner{testRunner("far")})
	hopeless, waits := testJob(1, 200*ms), testJob(1, 200*ms)
	b.s.Submit(b.now, Submission{Job: hopeless, Entry: entryA, RemainingObjective: 100 * ms, RemainingTimeout: 1350 * ms, PriorSubmissions: 1, PriorRunsTTL: 1300 * ms})
	b.s.Submit(b.now, Submission{Job: waits, Entry: entryA, RemainingObjective: 100 * ms, RemainingTimeout: 2500 * ms, PriorSubmissions: 1, PriorRunsTTL: 1300 * ms})
	b.tick(b.longestStop() + listTimeout)
	b.g.Expect(take[Answer](b)).To(BeEmpty(), "the runner may still list its runs")
	b.tick(20 * ms)
	a := one[Answer](b)
	b.g.Expect(a.Job).To(Equal(hopeless.ID))
	b.g.Expect(a.Outcome).To(Equal(workload.GaveUp))
}

// Guards against a job with many tasks that is left partly done when it turns late, while new jobs
// take each place that becomes free.
func TestALateJobThatHasBegunKeepsItsPlace(t *testing.T) {
	b := leading(t, testRunner("r1"))
	wide := testJob(3, 200*ms)
	b.submit(wide, 3*time.Second)
	starts := take[Start](b)
	b.g.Expect(starts).To(HaveLen(2))
	for _, c := range starts {
		b.started(c, Accepted)
	}
	b.tick(wide.Objective - 200*ms)
	b.submit(testJob(1, 250*ms), 3*time.Second)
	b.g.Expect(take[Start](b)).To(BeEmpty(), "there is no room")
	b.end("r1", 1, starts[0].Run, workload.Done)
	b.g.Expect(one[Start](b).Run.Task.Job).To(Equal(wide.ID))
}
