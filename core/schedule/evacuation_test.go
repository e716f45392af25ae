package schedule

import (
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"sapphirepoint.example/sapphirepoint/core/workload"
)

func runnerIn(id, domain string) workload.Runner {
	r := testRunner(id)
	r.Domain = domain
	return r
}

// Guards against a start that is repeated on an evacuated runner because the first order stayed
// unanswered.
func TestNoSecondOrderToAnEvacuatedRunner(t *testing.T) {
	b := leading(t, runnerIn("r1", "a"), runnerIn("r2", "b"))
	b.s.SetEvacuated(b.now, []string{"b"})
	b.submit(testJob(1, 60*ms), 3*time.Second)
	first := one[Start](b)
	b.g.Expect(first.Runner).To(BeEquivalentTo("r1"))
	b.s.SetEvacuated(b.now, []string{"a"})
	b.started(first, Unanswered)
	b.g.Expect(take[Start](b)).To(BeEmpty())
	b.stopped(one[Stop](b), Accepted)
	for _, h := range take[Hold](b) {
		b.held(h)
	}
	b.wait(200 * ms)
	b.g.Expect(one[Start](b).Runner).To(BeEquivalentTo("r2"))
}

// Guards against a new runner of an evacuated domain that gets tasks.
func TestNewRunnerOfAnEvacuatedDomainGetsNoTasks(t *testing.T) {
	b := leading(t, runnerIn("r1", "a"))
	b.s.SetEvacuated(b.now, []string{"b"})
	b.s.SetRunners(b.now, []workload.Runner{runnerIn("r1", "a"), runnerIn("r2", "b")})
	b.wait(100 * ms)
	b.submit(testJob(4, 60*ms), 3*time.Second)
	for _, c := range take[Start](b) {
		b.g.Expect(c.Runner).To(BeEquivalentTo("r1"))
	}
}

// Guards against callers who wait in vain when the last domain is evacuated: if their jobs haven't
// started they are told at once that they weren't run, while running tasks go on to their end.
func TestWaitingJobsAreRefusedAsTheLastDomainIsEvacuated(t *testing.T) {
	b := leading(t, runnerIn("r1", "a"))
	runs, waits := testJob(2, 400*ms), testJob(2, 400*ms)
	b.submit(runs, 3*time.Second)
	for _, c := range take[Start](b) {
		b.started(c, Accepted)
	}
	b.submit(waits, 3*time.Second)
	b.s.SetEvacuated(b.now, []string{"a"})
	refused := one[Answer](b)
	b.g.Expect(refused.Job).To(Equal(waits.ID))
	b.g.Expect(refused.Outcome).To(Equal(workload.NotRun))
	b.g.Expect(refused.RetryAfter).To(BeNumerically(">=", time.Second))
	b.g.Expect(take[Stop](b)).To(BeEmpty())
	b.submit(testJob(1, 60*ms), 3*time.Second)
	b.g.Expect(one[Answer](b).Outcome).To(Equal(workload.NotRun))
}

// Guards against a handed over job being given up while all domains are evacuated, because the
// runs that the new leader is to find there aren't listed yet.
func TestHandedOverJobSurvivesTheEvacuation(t *testing.T) {
	b := leading(t, runnerIn("r1", "a"))
	b.s.SetEvacuated(b.now, []string{"a"})
	b.now += ms
	job := testJob(1, 400*ms)
	b.s.Submit(b.now, Submission{Job: job, Entry: entryA, RemainingObjective: job.Objective, RemainingTimeout: 3 * time.Second, PriorSubmissions: 1, PriorRunsTTL: 1300 * ms})
	b.tick(40 * ms)
	b.g.Expect(take[Answer](b)).To(BeEmpty())
	run := workload.RunKey{Task: workload.TaskName{Job: job.ID}, Number: 1}
	for _, h := range take[Hold](b) {
		b.answerHold(h, Accepted, run)
	}
	b.tick(40 * ms)
	b.g.Expect(take[Answer](b)).To(BeEmpty())
	b.end("r1", 1, run, workload.Done)
	b.g.Expect(one[Answer](b).Outcome).To(Equal(workload.Completed))
}
