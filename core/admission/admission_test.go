package admission_test

import (
	"testing"
	"time"

	"github.com/onsi/gomega"

	"sapphirepoint.example/sapphirepoint/core/admission"
	pb "sapphirepoint.example/sapphirepoint/gen/sapphirepointv1"
)

// Tasks declared with 100 ms take 300 ms. An estimate by the declaration would accept three times
// the work that can be done in time.
func TestEstimateFollowsWhatTasksTake(t *testing.T) {
	g := gomega.NewWithT(t)
	e := admission.NewEstimator()
	g.Expect(e.ExpectedRunTime("hollowell", "label", time.Second)).To(gomega.Equal(time.Second))
	for i := range 400 {
		declared := time.Duration(50+i%2*100) * time.Millisecond
		e.Observe("hollowell", "label", declared, 300*time.Millisecond)
	}
	g.Expect(e.Factor("hollowell", "label")).To(gomega.BeNumerically("~", 3, 0.2))
	g.Expect(e.Factor("hollowell", "other")).To(gomega.Equal(1.0))
}

// A job of hundreds of tasks reaches an entry VM that can use two slots while its peers have no idle
// ones. No task is waiting, but the job can't be done within its time limit. If it were accepted,
// half of its tasks would run for a job that fails.
func TestJobTooLargeForPresentSlotsIsRefused(t *testing.T) {
	g := gomega.NewWithT(t)
	j := admission.Job{Work: time.Minute, Longest: 200 * time.Millisecond, TimeLimit: 5 * time.Second}
	r := admission.Decide(j, admission.Capacity{Slots: 2, MaxSlots: 100, WaitPercent: 50})
	g.Expect(r).NotTo(gomega.BeNil())
	g.Expect(r.Reason).To(gomega.Equal(pb.Reason_REASON_OVERLOADED))
	g.Expect(r.Excess).To(gomega.Equal(25 * time.Second))
	g.Expect(admission.Decide(j, admission.Capacity{Slots: 20, MaxSlots: 100, WaitPercent: 50})).To(gomega.BeNil())
}

// A hundred callers are refused at the same moment. Their retry times must be spread over the time
// that their work takes, and start from the minimum again when that time has passed.
func TestRefusedCallersAreSpread(t *testing.T) {
	g := gomega.NewWithT(t)
	var b admission.RetrySpreader
	j := admission.Job{Work: time.Second, Longest: 200 * time.Millisecond, TimeLimit: time.Second}
	c := admission.Capacity{Slots: 10, Queued: 100 * time.Second}
	r := admission.Decide(j, c)
	g.Expect(r).NotTo(gomega.BeNil())
	first := b.RetryAfter(0, r, j, c)
	last := first
	for range 99 {
		last = b.RetryAfter(0, r, j, c)
	}
	g.Expect(first).To(gomega.BeNumerically(">=", r.Excess))
	g.Expect(last - first).To(gomega.Equal(99 * j.Work / 10))
	g.Expect(b.RetryAfter(time.Hour, r, j, c)).To(gomega.Equal(first))
}

func BenchmarkDecide(b *testing.B) {
	j := admission.Job{Work: time.Second, Longest: 200 * time.Millisecond, TimeLimit: time.Second}
	c := admission.Capacity{Slots: 10, Queued: time.Second, MaxSlots: 384}
	b.ReportAllocs()
	for b.Loop() {
		if admission.Decide(j, c) != nil {
			b.Fatal("refused")
		}
	}
}

func BenchmarkEstimate(b *testing.B) {
	e := admission.NewEstimator()
	b.ReportAllocs()
	for b.Loop() {
		e.Observe("hollowell", "label", e.ExpectedRunTime("hollowell", "label", time.Second), time.Second)
	}
}
