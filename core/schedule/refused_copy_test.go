package schedule

import (
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"sapphirepoint.example/sapphirepoint/core/workload"
)

// refusedJobOfB returns a harness that has refused a job of another entry process, and whose runner has
// become responsive again since.
func refusedJobOfB(t *testing.T, stored bool) (*harness, *workload.Job) {
	b := leading(t, testRunner("r1"))
	b.s.runners["r1"].markUnresponsive(b.now)
	j := testJob(1, 100*ms)
	j.Stored = stored
	b.submitCopy(j, "front-b#2")
	b.g.ExpectWithOffset(1, one[Answer](b).Outcome).To(Equal(workload.NotRun))
	b.s.runners["r1"].unresponsive = false
	b.now += 20 * ms
	return b, j
}

// Guards against a job that runs after a refusal, as a copy of it was held up in another entry process.
func TestEarlierCopyOfARefusedJob(t *testing.T) {
	for name, stored := range map[string]bool{"best effort": false, "stored": true} {
		t.Run(name, func(t *testing.T) {
			b, j := refusedJobOfB(t, stored)
			b.submit(j, 2*time.Second)
			b.saved(take[Save](b)...)
			b.g.Expect(take[Start](b)).To(BeEmpty())
			a := one[Answer](b)
			b.g.Expect([]any{a.Outcome, a.Cause}).To(Equal([]any{workload.NotRun, workload.CopyRefused}))
		})
	}
}
