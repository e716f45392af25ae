package schedule

import (
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"sapphirepoint.example/sapphirepoint/core/workload"
)

// Guards against two runs of a task: another scheduler has started it on a runner that was out of reach here, under a token
// that is lower than the present one, so the runner refuses nothing, and seems to have no lease but those of before.
func TestRunFoundOnAnOwnedRunnerMayHaveALease(t *testing.T) {
	b := leading(t, testRunner("r1"), testRunner("r2"))
	b.wait(2 * maxRunLife(maxLease))
	j := testJob(1, 500*ms)
	j.Objective = 10 * time.Second
	r := b.s.runners["r1"]
	r.markUnresponsive(b.now)
	b.s.refuseEarlierOrders(r)
	b.s.Submit(b.now, Submission{
		Job: j, Entry: entryA, RemainingObjective: j.Objective, RemainingTimeout: 10 * time.Second,
		PriorSubmissions: 1, PriorRunsTTL: 20 * ms,
	})
	b.tick(20 * ms)
	list := HoldResult{
		Runner: "r1", Token: r.token, Outcome: Accepted, ListOnly: true,
		Running: []workload.RunKey{runOf(j, 0, 1)}, Clock: b.clock(),
	}
	for _, h := range take[Hold](b) {
		if h.Runner != "r1" {
			b.held(h)
		}
	}
	b.tick(20 * ms)
	r.markUnresponsive(b.now)
	list.Clock.ReceivedAt = b.now
	b.s.Held(b.now, list)
	listedAt := b.now
	b.g.Expect(b.s.jobs[j.ID].steps[0][0].run.runner).To(Equal(r), "adopted")
	for b.now < listedAt+maxRunLife(maxLease)-20*ms {
		b.tick(10 * ms)
		for _, h := range take[Hold](b) {
			if h.Runner == "r1" {
				b.answerHold(h, Unanswered)
				continue
			}
			b.held(h)
		}
		b.g.Expect(take[Start](b)).To(BeEmpty(), "%v after the list", b.now-listedAt)
	}
}
