package bench

import (
	"testing"
	"time"

	. "github.com/onsi/gomega"
)

// A short run with a fixed seed that detects changes of policy by which jobs are lost, or response
// times or the number of messages increase. The same seed must give the same run.
func TestLendingKeepsResponseNearTheIdealQueue(t *testing.T) {
	g := NewWithT(t)
	workload := Workload{Load: 0.8, Stragglers: DefaultStragglers, Length: 8 * time.Second, Warmup: time.Second, Seed: 3}
	jobs := workload.Stream(Hollowell)
	ideal := IdealQueue(Hollowell, workload, time.Minute, jobs)
	random := RandomChoice(Hollowell, workload, time.Minute, jobs)
	first := SimulateDispatch(Policy{Name: "response first"}, Hollowell, workload, time.Minute, jobs)
	few := SimulateDispatch(Policy{Name: "messages first", Tolerance: 25 * time.Millisecond}, Hollowell, workload, time.Minute, jobs)
	again := SimulateDispatch(Policy{Name: "response first"}, Hollowell, workload, time.Minute, jobs)
	for _, r := range []*Result{ideal, random, first, few} {
		g.Expect(r.Complete).To(Equal(r.Jobs), r.Policy)
	}
	g.Expect(first.Row()).To(Equal(again.Row()))
	g.Expect(first.Mean()).To(BeNumerically("<", ideal.Mean()*1.02))
	g.Expect(first.Mean()).To(BeNumerically("<", random.Mean()))
	g.Expect(first.Wasted()).To(BeNumerically("<", 0.3))
	g.Expect(few.Wasted()).To(BeNumerically("<", 0.1))
	g.Expect(few.Mean()).To(BeNumerically("<", ideal.Mean()*1.05))
	g.Expect(first.Waste.Refusals).To(BeZero())
}
