package schedule

import (
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"sapphirepoint.example/sapphirepoint/core/leader"
	"sapphirepoint.example/sapphirepoint/core/workload"
)

// When a failure domain is cut off, the scheduler there continues the runs that it finds, and this
// one drops the domain's jobs once it counts the entry VMs as lost. If a lease could expire
// before that, this scheduler would start a task of such a job a second time in between.
func TestLeaseOutlastsDetection(t *testing.T) {
	g := NewWithT(t)
	cfg := DefaultConfig()
	const tick, network = 20 * ms, 10 * ms
	dropped := leader.HeartbeatTimeout + 2*tick
	leaseExpiry := maxRunLife(cfg.Lease) - cfg.HoldWait - network
	g.Expect(leaseExpiry).To(BeNumerically(">", dropped))
	g.Expect(cfg.Lease).To(BeNumerically(">", cfg.HoldWait+CallTimeout+network), "a renewal fits before the lease ends")
	g.Expect(abandonedGrace + tick + cfg.StopTimeout + network).To(BeNumerically("<", cfg.Resend))
	g.Expect(network+abandonedGrace+tick+maxRunLife(cfg.Lease)).To(BeNumerically("<", cfg.Resend), "runs of an ended entry process, or of a withdrawn job, are over before the job is started by another scheduler")
	g.Expect(dropped+maxRunLife(cfg.Lease)).To(BeNumerically("<", cfg.Resend), "runs of an unreachable entry VM are over before its callers send their jobs again")
}

// A start stays unanswered, so it is unknown whether the task runs. The start is repeated under the
// same run number, which starts it at most once, then the run is stopped; the task starts
// elsewhere only once the runner has answered and the stop must be over.
func TestUnansweredStart(t *testing.T) {
	b := leading(t, testRunner("r1"), testRunner("r2"))
	b.submit(testJob(1, 100*ms), 2*time.Second)
	first := one[Start](b)
	b.started(first, Unanswered)
	again := one[Start](b)
	b.g.Expect(again.Run).To(Equal(first.Run))
	b.g.Expect(again.Runner).To(Equal(first.Runner))
	b.g.Expect(again.LeaseEnd).To(Equal(first.LeaseEnd))
	b.started(again, Unanswered)
	b.g.Expect(take[Start](b)).To(BeEmpty())
	stop := one[Stop](b)
	b.g.Expect(stop.Run).To(Equal(first.Run))
	take[Hold](b)
	b.now += 2 * ms
	b.stopped(stop, Accepted)
	b.g.Expect(take[Start](b)).To(BeEmpty(), "a run that is being stopped may live on briefly")
	look := one[Hold](b)
	b.g.Expect(look.ListOnly).To(BeTrue())
	b.now += 2 * ms
	b.held(look)
	b.g.Expect(take[Start](b)).To(BeEmpty(), "a run that is being stopped need not be listed")
	elsewhere := b.expectStartAfter(b.longestStop() - 2*ms)
	b.g.Expect(elsewhere.Run.Number).To(BeNumerically(">", first.Run.Number))
}

// A runner becomes unreachable with a run on it. The task starts on another runner no sooner than
// the run must be over after its lease on the slowest clock, and the probes of the silent runner in the
// meantime renew no lease.
func TestSilentRunner(t *testing.T) {
	b := leading(t, testRunner("r1"), testRunner("r2"))
	j := testJob(1, 300*ms)
	b.submit(j, 9*time.Second)
	start := one[Start](b)
	b.started(start, Accepted)
	last := b.now
	for elapsed := time.Duration(0); elapsed < 8*time.Second; elapsed += 20 * ms {
		for _, h := range take[Hold](b) {
			if h.Runner != start.Runner {
				b.held(h)
				continue
			}
			if h.LeaseEnd > 0 {
				last = b.now
			}
			b.answerHold(h, Unanswered)
		}
		b.tick(20 * ms)
		if again := take[Start](b); len(again) > 0 {
			b.g.Expect(again[0].Runner).NotTo(Equal(start.Runner))
			b.g.Expect(b.now - last).To(BeNumerically(">=", silentLife))
			return
		}
	}
	t.Fatal("the task was never started again")
}

// A failure domain is cut off with the entry VM of a job and a runner on which it runs. The
// scheduler on that side may continue the run, so the task isn't restarted here while the entry
// VM is unreachable.
func TestLeaseExpiryWithASilentEntryVM(t *testing.T) {
	b := leading(t, testRunner("r1"), testRunner("r2"))
	b.submit(testJob(1, 300*ms), 9*time.Second)
	start := one[Start](b)
	b.started(start, Accepted)
	for range 22 {
		for _, h := range take[Hold](b) {
			if h.Runner == start.Runner {
				b.answerHold(h, Unanswered)
			} else {
				b.held(h)
			}
		}
		b.waitWithoutEntry(20 * ms)
	}
	b.silence(start.Runner, silentLife-22*20*ms+40*ms, b.waitWithoutEntry)
	b.g.Expect(take[Decision](b)).To(ContainElement(HaveField("Event", "run-lapsed")))
	b.g.Expect(take[Start](b)).To(BeEmpty())
	b.s.EntryLost(b.now, entryA, false)
	b.waitWithoutEntry(entryRecoveryDelay + 40*ms)
	b.g.Expect(take[Start](b)).To(BeEmpty())
}

// The link between a scheduler and an entry VM fails while one of its jobs waits for room. The entry
// VM counts the scheduler as lost first, and gives the job to another one, which sees no run of
// it. So this scheduler starts nothing for an entry VM without a recent message.
func TestNothingStartsForASilentEntryVM(t *testing.T) {
	b := leading(t, testRunner("r1"))
	b.submit(testJob(2, 300*ms), 3*time.Second)
	running := take[Start](b)
	b.g.Expect(running).To(HaveLen(2))
	for _, c := range running {
		b.started(c, Accepted)
	}
	waits := testJob(1, 300*ms)
	b.submit(waits, 3*time.Second)
	b.waitWithoutEntry(maxHeartbeatAge + 20*ms)
	b.end("r1", 1, running[0].Run, workload.Done)
	b.g.Expect(take[Start](b)).To(BeEmpty())
	b.s.EntryAlive(b.now, entryA)
	b.waitWithoutEntry(20 * ms)
	b.g.Expect(one[Start](b).Run.Task.Job).To(Equal(waits.ID))
}

// Guards against tasks that run twice when the entry VM still reaches this scheduler, but doesn't hear it any more: it
// counts the scheduler as lost first, and gives the job to another one, which sees no run of it.
func TestNothingStartsForAnEntryVMThatHearsNothing(t *testing.T) {
	b := leading(t, testRunner("r1"))
	b.submit(testJob(2, 600*ms), 3*time.Second)
	running := take[Start](b)
	b.g.Expect(running).To(HaveLen(2))
	for _, c := range running {
		b.started(c, Accepted)
	}
	b.s.EntryHears(b.now, entryA)
	waits := testJob(2, 300*ms)
	b.submit(waits, 3*time.Second)
	b.wait(maxEchoAge)
	b.end("r1", 1, running[0].Run, workload.Done)
	b.g.Expect(one[Start](b).Run.Task.Job).To(Equal(waits.ID), "it can't count the scheduler as lost yet")
	b.wait(20 * ms)
	b.end("r1", 2, running[1].Run, workload.Done)
	b.g.Expect(take[Start](b)).To(BeEmpty())
	b.s.EntryHears(b.now, entryA)
	b.wait(20 * ms)
	b.g.Expect(one[Start](b).Run.Task.Job).To(Equal(waits.ID))
}

// A runner has crashed and answers under another incarnation. All its runs are over, so their tasks
// start elsewhere at once.
func TestReplacedRunner(t *testing.T) {
	b := leading(t, testRunner("r1"), testRunner("r2"))
	b.submit(testJob(1, 300*ms), 3*time.Second)
	start := one[Start](b)
	b.started(start, Accepted)
	for _, h := range take[Hold](b) {
		if h.Runner == start.Runner {
			b.answerHold(h, Replaced)
		}
	}
	b.g.Expect(one[Start](b).Runner).NotTo(Equal(start.Runner))
}

// A new scheduler finds a run that it hasn't started. Its job is handed in shortly afterwards and
// continues with the run; until then no lease is granted there, since a scheduler on the other
// side of a partition may rely on the end of the run.
func TestAdoption(t *testing.T) {
	b := newHarness(t, testRunner("r1"))
	j := testJob(1, 500*ms)
	key := workload.RunKey{Task: workload.TaskName{Job: j.ID}, Number: 3}
	b.s.Lead(b.now)
	b.answerHold(one[Hold](b), Accepted, key)
	for _, h := range take[Hold](b) {
		b.g.Expect(h.LeaseEnd).To(BeZero())
	}
	b.submit(testJob(1, 50*ms), 2*time.Second)
	b.g.Expect(take[Start](b)).To(BeEmpty(), "a start would renew the lease of all runs there")
	b.s.Submit(b.now, Submission{Job: j, Entry: entryA, RemainingObjective: time.Second, RemainingTimeout: 2 * time.Second, PriorSubmissions: 1, PriorRunsTTL: time.Second})
	b.g.Expect(take[Stop](b)).To(BeEmpty())
	for _, c := range take[Start](b) {
		b.g.Expect(c.Run.Task.Job).NotTo(Equal(j.ID))
	}
	b.end("r1", 1, key, workload.Done)
	answers := take[Answer](b)
	b.g.Expect(answers).To(HaveLen(1))
	b.g.Expect(answers[0].Outcome).To(Equal(workload.Completed))
}

// The job of a run that a new scheduler has found isn't handed in, since its entry VM is lost too.
// The run is stopped well before the caller sends the job again.
func TestForeignOrphanIsStopped(t *testing.T) {
	b := newHarness(t, testRunner("r1"))
	key := workload.RunKey{Task: workload.TaskName{Job: "00000000000000aa"}, Number: 1}
	b.s.Lead(b.now)
	b.answerHold(one[Hold](b), Accepted, key)
	take[Hold](b)
	b.ownRows(1)
	b.tick(orphanGrace + 40*ms)
	b.g.Expect(one[Stop](b).Run).To(Equal(key))
}

// The store can't be read when a scheduler takes over, and it finds a run whose job isn't known.
// The job may be a stored one, so the run isn't stopped; and no lease is granted, so that the run
// ends by itself before its task is started elsewhere.
func TestForeignOrphanWithoutTheStoreIsNotStopped(t *testing.T) {
	b := newHarness(t, testRunner("r1"))
	key := workload.RunKey{Task: workload.TaskName{Job: "00000000000000aa"}, Number: 1}
	b.s.Lead(b.now)
	b.answerHold(one[Hold](b), Accepted, key)
	b.tick(time.Second)
	b.g.Expect(take[Stop](b)).To(BeEmpty())
	for _, h := range take[Hold](b) {
		b.g.Expect(h.LeaseEnd).To(BeZero())
	}
}

// A job arrives from another scheduler while one runner is unreachable. The job may run there, so
// none of its tasks is started until such a run must be over.
func TestJobFromAnotherScheduler(t *testing.T) {
	b := newHarness(t, testRunner("r1"), testRunner("r2"))
	b.s.Lead(b.now)
	for _, h := range take[Hold](b) {
		if h.Runner == "r1" {
			b.held(h)
		} else {
			b.answerHold(h, Unanswered)
		}
	}
	handed := b.now
	b.s.Submit(b.now, Submission{Job: testJob(1, 50*ms), Entry: entryA, RemainingObjective: time.Second, RemainingTimeout: 9 * time.Second, PriorSubmissions: 1, PriorRunsTTL: 1300 * ms})
	for range 400 {
		b.tick(20 * ms)
		for _, h := range take[Hold](b) {
			if h.Runner == "r1" {
				b.held(h)
			} else {
				b.answerHold(h, Unanswered)
			}
		}
		if len(take[Start](b)) > 0 {
			b.g.Expect(b.now - handed).To(BeNumerically(">=", 1300*ms+MaxLateEnd))
			return
		}
	}
	t.Fatal("the job was never started")
}

// A partition heals, and a job arrives from the scheduler of the other side. That scheduler has just
// reacquired a runner under a term that this one doesn't know, and runs the job there. Lists
// from before the job's arrival can't show that run.
func TestListsFromBeforeTheJob(t *testing.T) {
	b := leading(t, testRunner("r1"), testRunner("r2"))
	b.now += ms
	b.s.Submit(b.now, Submission{Job: testJob(1, 50*ms), Entry: entryA, RemainingObjective: time.Second, RemainingTimeout: 3 * time.Second, PriorSubmissions: 1, PriorRunsTTL: 1300 * ms})
	b.g.Expect(take[Start](b)).To(BeEmpty())
	looks := take[Hold](b)
	b.g.Expect(looks).To(HaveLen(2))
	b.now += 2 * ms
	b.held(looks[0])
	b.g.Expect(take[Start](b)).To(BeEmpty())
	b.held(looks[1])
	b.g.Expect(take[Start](b)).To(BeEmpty(), "a run that the other scheduler has stopped need not be listed")
	b.expectStartAfter(b.longestStop() - 2*ms)
}

// Two schedulers act as leaders. The runner accepts the higher token; the other scheduler must not
// restart the tasks that it had there before their runs are certainly over.
func TestFenced(t *testing.T) {
	b := leading(t, testRunner("r1"), testRunner("r2"))
	b.submit(testJob(1, 300*ms), 3*time.Second)
	start := one[Start](b)
	b.started(start, Accepted)
	for _, h := range take[Hold](b) {
		if h.Runner == start.Runner {
			b.answerHold(h, Fenced)
		}
	}
	b.g.Expect(take[Start](b)).To(BeEmpty())
	before := b.s.Term()
	b.tick(reacquireDelay + 40*ms)
	var taken Hold
	for _, h := range take[Hold](b) {
		if h.Runner == start.Runner {
			taken = h
		}
	}
	b.g.Expect(taken.Token>>numberBits).To(BeNumerically(">", before), "it is reacquired under a higher term")
}

// Two processes start at the same time, and each leads until they connect. The younger one yields,
// but it was the last to acquire the runners. If they were left to it for the usual time, every
// caller in that time would be refused.
func TestRunnersLeftToNobody(t *testing.T) {
	b := newHarness(t, testRunner("r1"))
	b.s.Lead(b.now)
	b.held(one[Hold](b))
	b.tick(100 * ms)
	b.s.requestLists(service)
	b.answerHold(one[Hold](b), Fenced)
	b.tick(100 * ms)
	b.g.Expect(take[Hold](b)).To(BeEmpty())
	b.s.ReacquireRunners(b.now)
	b.g.Expect(one[Hold](b).Token).To(BeNumerically(">", 0))
}

// A job that another scheduler had is handed in to a process that doesn't lead, by an entry VM with
// an outdated view. If this process acquired runners for it, it would take them from the leader,
// and all callers would wait.
func TestHandInToAFollower(t *testing.T) {
	b := newHarness(t, testRunner("r1"))
	b.s.Submit(b.now, Submission{Job: testJob(1, 50*ms), Entry: entryA, RemainingObjective: time.Second, RemainingTimeout: 3 * time.Second, PriorSubmissions: 1, PriorRunsTTL: 1300 * ms})
	b.tick(200 * ms)
	b.g.Expect(take[Hold](b)).To(BeEmpty())
}

// The entry VM of a job is unreachable: it may be cut off and hand the job to a scheduler on its
// side. The runs here are stopped at once. If the process has announced its end, its caller sends
// the job again and the runs go on for some time.
func TestLostEntryVM(t *testing.T) {
	for name, ended := range map[string]bool{"silent": false, "ended": true} {
		t.Run(name, func(t *testing.T) {
			b := leading(t, testRunner("r1"))
			b.submit(testJob(1, 3*time.Second), 5*time.Second)
			b.started(one[Start](b), Accepted)
			b.s.EntryLost(b.now, entryA, ended)
			b.g.Expect(len(take[Stop](b)) == 0).To(Equal(ended))
			b.wait(abandonedGrace + 40*ms)
			b.g.Expect(len(take[Stop](b)) == 1).To(Equal(ended))
		})
	}
}

// A caller sends its job again after its entry VM has died. Its tasks ran under a scheduler that has
// died too, so nothing is known of them. The caller must not be told that nothing was run.
func TestRefusalSoonAfterATakeover(t *testing.T) {
	b := newHarness(t, testRunner("r1"))
	b.s.Lead(b.now)
	b.held(one[Hold](b))
	b.submit(testJob(1, 10*time.Second), 500*ms)
	b.g.Expect(one[Answer](b).Outcome).To(Equal(workload.GaveUp))
	b.wait(takeoverWindow)
	b.submit(testJob(1, 10*time.Second), 500*ms)
	refusal := one[Answer](b)
	b.g.Expect(refusal.Outcome).To(Equal(workload.NotRun))
	b.g.Expect(refusal.RetryAfter).To(BeNumerically(">=", time.Second))
}

// The VM was suspended, and the process's clock doesn't include that time. The first orders after
// it resumes name a lease that has expired on the runner's clock, so that a task that another
// scheduler has taken over isn't started.
func TestOrdersAfterASuspension(t *testing.T) {
	const missed = 3500 * ms
	b := leading(t, testRunner("r1"))
	b.submit(testJob(1, 100*ms), 5*time.Second)
	runnersClock := clockAtZero + (b.now + missed).Milliseconds()
	b.g.Expect(one[Start](b).LeaseEnd).To(BeNumerically("<", runnersClock))
}

// A task has ended successfully under one scheduler and was started again under the next, which
// didn't know of that. A third one finds the end on one runner and the run on another, and is
// handed the job. The task is done: when the second run's runner is lost the job must not wait
// for it, nor count the task as done twice and be answered while another task still runs.
func TestDoneAndRunningElsewhere(t *testing.T) {
	b := newHarness(t, testRunner("r1"), testRunner("r2"))
	j := testJob(2, 500*ms)
	done := workload.RunKey{Task: workload.TaskName{Job: j.ID}, Number: 1}
	again := workload.RunKey{Task: workload.TaskName{Job: j.ID}, Number: runsPerScheduler + 1}
	other := workload.RunKey{Task: workload.TaskName{Job: j.ID, Index: 1}, Number: 1}
	b.s.Lead(b.now)
	b.ownRows(1)
	for _, h := range take[Hold](b) {
		if h.Runner == "r1" {
			b.held(h, workload.End{Sequence: 1, Run: done, Kind: workload.Done})
			continue
		}
		b.answerHold(h, Accepted, again, other)
	}
	b.s.Submit(b.now, Submission{Job: j, Entry: entryA, RemainingObjective: time.Second, RemainingTimeout: 2 * time.Second, PriorSubmissions: 2, PriorRunsTTL: time.Second})
	b.s.runnerFenced(b.s.runners["r2"])
	b.g.Expect(b.s.jobs[j.ID].open).To(Equal([]int{1}))
	b.g.Expect(b.s.jobs[j.ID].waiting).To(Equal(1))
	b.g.Expect(take[Answer](b)).To(BeEmpty())
}

// A job has found no room in its own shard, and runs in another one. Its entry process ends, or
// withdraws the job. Its caller sends it again, and the copy goes to the job's own shard, which
// can't see the runs here; so they are stopped at once.
func TestRunsOfAForeignJobAreStoppedAtOnce(t *testing.T) {
	for _, gone := range []func(*harness, *workload.Job){
		func(b *harness, _ *workload.Job) { b.s.EntryLost(b.now, entryA, true) },
		func(b *harness, _ *workload.Job) { b.s.EntryLost(b.now, entryA, false) },
		func(b *harness, j *workload.Job) { b.s.Withdraw(b.now, entryA, j.ID) },
	} {
		b := leading(t, testRunner("r1"))
		j := testJob(1, 500*ms)
		b.s.Submit(b.now, Submission{Job: j, Entry: entryA, RemainingObjective: j.Objective, RemainingTimeout: 2 * time.Second, Foreign: true})
		b.collect()
		b.started(one[Start](b), Accepted)
		gone(b, j)
		b.collect()
		b.g.Expect(one[Stop](b).Run).To(Equal(runOf(j, 0, 1)))
	}
}

// A job was refused here for lack of room, and ran in another shard. Its entry VM dies, and its
// caller sends it again: the refusal here doesn't mean that it wasn't run. While all VMs are
// reachable the refusal stands.
func TestRefusedJobMayHaveRunElsewhere(t *testing.T) {
	b := leading(t, testRunner("r1"))
	b.wait(takeoverWindow)
	j := testJob(1, 10*time.Second)
	b.submit(j, 500*ms)
	b.g.Expect(one[Answer](b).Outcome).To(Equal(workload.NotRun))
	b.submit(j, 500*ms)
	b.g.Expect(one[Answer](b).Outcome).To(Equal(workload.NotRun))
	b.s.EntryLost(b.now, entryA, false)
	b.s.Submit(b.now, Submission{Job: j, Entry: "front-2#2", RemainingObjective: j.Objective, RemainingTimeout: 500 * ms})
	b.g.Expect(one[Answer](b).Outcome).To(Equal(workload.GaveUp))
}
