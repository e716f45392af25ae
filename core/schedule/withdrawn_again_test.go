package schedule

import (
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"sapphirepoint.example/sapphirepoint/core/workload"
)

// Guards against a job that stands still until its caller leaves: it was handed over to another
// scheduler while it waited, or lost its runner meanwhile, and came back soon.
func TestAWithdrawnJobThatComesBackIsStarted(t *testing.T) {
	for _, fenced := range []bool{false, true} {
		b := leading(t, testRunner("r1"), testRunner("r2"))
		b.s.runners["r2"].evacuated = true
		b.submit(testJob(1, 300*ms), 5*time.Second)
		first := one[Start](b)
		b.started(first, Accepted)
		j := testJob(1, 300*ms)
		if !fenced {
			j.Steps[0].Need.MilliCPU = 60000
		}
		b.submit(j, 5*time.Second)
		for _, c := range take[Start](b) {
			b.started(c, Accepted)
		}
		b.s.Withdraw(b.now, entryA, j.ID)
		if fenced {
			b.listsFenced("r1")
		}
		b.wait(20 * ms)
		b.s.Submit(b.now, Submission{Job: j, Entry: entryA, RemainingObjective: j.Objective, RemainingTimeout: 4 * time.Second, PriorSubmissions: 2, PriorRunsTTL: 1300 * ms})
		b.s.runners["r2"].evacuated = false
		if !fenced {
			b.end("r1", 1, first.Run, workload.Done)
		}
		b.wait(b.s.cfg.Resend + 40*ms)
		var jobs []workload.JobID
		for _, c := range take[Start](b) {
			jobs = append(jobs, c.Run.Task.Job)
		}
		b.g.Expect(jobs).To(ContainElement(j.ID), "fenced: %v", fenced)
	}
}
