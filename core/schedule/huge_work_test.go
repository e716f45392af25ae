package schedule

import (
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"sapphirepoint.example/sapphirepoint/core/workload"
)

// Guards against a bound on accepted work that doesn't hold: the work of a large job, its tasks times their processors times
// their estimate, exceeds what a number can hold, and the sum is negative.
func TestTheWorkOfLargeJobsIsCounted(t *testing.T) {
	for _, estimate := range []time.Duration{time.Minute, 100 * time.Second, 3 * time.Minute, time.Hour, workload.MaxEstimate} {
		b := leading(t, testRunner("r1"))
		b.submit(storedJob(workload.MaxTasks, estimate), 10*estimate)
		b.saved(one[Save](b))
		b.g.Expect(one[Answer](b).Outcome).To(Equal(workload.Accepted), "%v", estimate)
		b.submit(storedJob(1, 100*ms), time.Minute)
		a := take[Answer](b)
		b.g.Expect(a).To(HaveLen(1), "%v", estimate)
		b.g.Expect(a[0].Outcome).To(Equal(workload.NotRun), "%v", estimate)
		b.g.Expect(a[0].RetryAfter).To(And(BeNumerically(">=", minRetryAfter), BeNumerically("<=", maxRetryAfter)))
		b.g.Expect(b.s.ExpectedWait()).To(BeNumerically(">", time.Minute), "%v", estimate)
		b.g.Expect(b.s.Load().ExpectedWait).To(BeNumerically(">", time.Minute), "%v", estimate)
	}
}

// Guards against callers that return sooner than they should: how long they wait is spread by a product that exceeds what a
// number can hold.
func TestRetryAfterALongBacklogIsLong(t *testing.T) {
	b := leading(t, testRunner("r1"))
	b.submit(storedJob(22, time.Second), time.Hour)
	b.saved(one[Save](b))
	one[Answer](b)
	for range 200 {
		b.submit(storedJob(1, time.Second), time.Minute)
		b.g.Expect(one[Answer](b).RetryAfter).To(Equal(maxRetryAfter))
	}
}
