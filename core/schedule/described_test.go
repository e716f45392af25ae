package schedule

import (
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"sapphirepoint.example/sapphirepoint/core/workload"
)

// bornRunner is a test runner whose entry says when its incarnation began.
func bornRunner(id string, start int64) workload.Runner {
	info := testRunner(id)
	info.IncarnationStart = start
	return info
}

// heldBy answers a Hold by the incarnation with the given start.
func (b *harness) heldBy(h Hold, start int64) {
	clock := b.clock()
	clock.IncarnationStart = start
	b.s.Held(b.now, HoldResult{Runner: h.Runner, Token: h.Token, ListOnly: h.ListOnly, Outcome: Accepted, Clock: clock})
}

// restarted returns a harness whose runner answers as a later incarnation than that of its entry.
func restarted(t *testing.T) *harness {
	b := leading(t, bornRunner("r1", 1000))
	b.tick(idleCheckInterval)
	for _, h := range take[Hold](b) {
		b.heldBy(h, 2000)
	}
	for _, h := range take[Hold](b) {
		b.heldBy(h, 2000)
	}
	b.g.Expect(b.s.runners["r1"].owned).To(BeTrue())
	return b
}

// Guards against a task that is started by the labels, the service or the capacity of a runner's incarnation before.
func TestRestartedRunnerIsNotUsedByItsEarlierEntry(t *testing.T) {
	b := restarted(t)
	b.g.Expect(take[RefreshEntries](b)).To(HaveLen(1))
	labelled := func() *workload.Job {
		j := testJob(2, 100*ms)
		j.Steps[0].Requires = "a"
		return j
	}
	b.submit(labelled(), 2*time.Second)
	b.g.Expect(take[Start](b)).To(BeEmpty())

	b.s.SetRunners(b.now, []workload.Runner{bornRunner("r1", 1000)})
	b.g.Expect(take[Start](b)).To(BeEmpty(), "the list hasn't changed yet")

	smaller := bornRunner("r1", 2000)
	smaller.Capacity.MilliCPU = 30000
	b.s.SetRunners(b.now, []workload.Runner{smaller})
	b.submit(labelled(), 2*time.Second)
	b.g.Expect(take[Start](b)).To(HaveLen(1), "there is room for one task of the two")
}

// Guards against the platform's list being read at each tick, while a runner that has restarted hasn't written its entry.
func TestEntriesOfRestartedRunnersAreReadAtIntervals(t *testing.T) {
	b := restarted(t)
	b.tick(time.Second)
	reads := len(take[RefreshEntries](b))
	b.g.Expect(reads).To(BeNumerically("<=", 1+int(time.Second/entryRefreshInterval)))
	b.g.Expect(reads).To(BeNumerically(">", 1))
}

// Guards against runners that aren't used any more where neither entries nor answers say when an incarnation began.
func TestRunnersWithoutIncarnationsAreUsed(t *testing.T) {
	b := leading(t, testRunner("r1"))
	b.submit(testJob(1, 100*ms), 2*time.Second)
	b.g.Expect(take[Start](b)).To(HaveLen(1))
}

// Guards against tasks in an evacuated failure domain: a runner restarts there under the id that it had elsewhere.
func TestRestartInAnEvacuatedDomain(t *testing.T) {
	b := leading(t, bornRunner("r1", 1000))
	b.s.SetEvacuated(b.now, []string{"north"})
	moved := bornRunner("r1", 2000)
	moved.Domain = "north"
	b.s.SetRunners(b.now, []workload.Runner{moved})
	for _, h := range take[Hold](b) {
		b.heldBy(h, 2000)
	}
	b.g.Expect(b.s.runners["r1"].usable(b.now)).To(BeFalse())
}
