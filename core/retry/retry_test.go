package retry_test

import (
	"flag"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/onsi/gomega"
	"pgregory.net/rapid"

	"sapphirepoint.example/sapphirepoint/core/retry"
	"sapphirepoint.example/sapphirepoint/core/task"
	pb "sapphirepoint.example/sapphirepoint/gen/sapphirepointv1"
)

func init() {
	_ = flag.Set("rapid.seed", "20261202")
	_ = flag.Set("rapid.nofailfile", "true")
}

func budgets(percent uint32) *retry.Budgets {
	b := retry.NewBudgets(rand.New(rand.NewPCG(1, 2)))
	b.ApplySettings(&pb.Settings{Institutions: []*pb.Institution{{Name: "kandy", RetryPercent: percent}}})
	return b
}

// Upstreams refuse every start, and thousands of tasks are retried again and again. Without a limit,
// the retries would displace the tasks of upstreams that still work. In any order of starts and
// refusals, the number of retries made until any time is at most the declared fraction of the first
// starts, plus Burst, plus Rate per second.
func TestRetriesStayWithinTheBudget(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		percent := rapid.Uint32Range(0, 50).Draw(rt, "percent")
		b := budgets(percent)
		var now task.Time
		var starts float64
		var made []task.Time
		for range rapid.IntRange(100, 600).Draw(rt, "steps") {
			now += time.Duration(rapid.IntRange(0, 20).Draw(rt, "ms")) * time.Millisecond
			if rapid.Bool().Draw(rt, "start") {
				b.Started("kandy", "u")
				starts++
				continue
			}
			deadline := now + time.Duration(rapid.IntRange(1, 5000).Draw(rt, "left"))*time.Millisecond
			r := b.Next(now, deadline, "kandy", "u", rapid.IntRange(0, 10).Draw(rt, "attempt"))
			if r.OK != (now+r.Delay < deadline) {
				rt.Fatalf("retry %+v at %v beyond the deadline %v", r, now, deadline)
			}
			if r.OK {
				made = append(made, now+r.Delay)
			}
		}
		for _, at := range made {
			n := 0
			for _, other := range made {
				if other <= at {
					n++
				}
			}
			if limit := retry.Burst + starts*float64(percent)/100 + retry.Rate*at.Seconds() + 1; float64(n) > limit {
				rt.Fatalf("%d retries by %v, %.1f allowed", n, at, limit)
			}
		}
	})
}

// One upstream refuses every start. Its own budget must be used up long before the institution's, so
// that this upstream gets no more tasks, and other upstreams' tasks can still be retried.
func TestUpstreamThatCausesRetriesIsSpentFirst(t *testing.T) {
	g := gomega.NewWithT(t)
	b := budgets(10)
	n := 0
	for !b.Next(0, time.Minute, "kandy", "refusing", 0).UpstreamExhausted {
		n++
	}
	g.Expect(n).To(gomega.BeNumerically("<=", 8))
	other := b.Next(0, time.Minute, "kandy", "other", 0)
	g.Expect(other.UpstreamExhausted).To(gomega.BeFalse())
	g.Expect(other.Delay).To(gomega.BeNumerically("<=", retry.BaseDelay))
}

// An outage has used up the budget, and no task has started since. When the upstreams work again,
// the waiting tasks must be retried although no first start has credited the budget.
func TestSpentBudgetRecoversWithoutStarts(t *testing.T) {
	g := gomega.NewWithT(t)
	b := budgets(0)
	for range 100 {
		b.Next(0, time.Second, "kandy", "u", 0)
	}
	g.Expect(b.Next(30*time.Second, time.Minute, "kandy", "u", 0).Delay).To(gomega.BeNumerically("<=", retry.BaseDelay))
}

func BenchmarkNext(b *testing.B) {
	s := budgets(10)
	b.ReportAllocs()
	now := task.Time(0)
	for b.Loop() {
		now += time.Millisecond
		s.Started("kandy", "u")
		s.Next(now, now+time.Minute, "kandy", "u", 1)
	}
}
