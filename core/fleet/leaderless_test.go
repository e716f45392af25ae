package fleet_test

import (
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"sapphirepoint.example/sapphirepoint/core/fleet"
)

// copyOfJobAtHome kills, one at a time, leaders of shards that have just got a long job, and sends a copy
// of the job by way of another process, copyAfter later, if the job runs. copies counts these.
func (w *world) copyOfJobAtHome(copies *int, copyAfter time.Duration) {
	const (
		longJob  = 800 * time.Millisecond
		settling = 50 * time.Millisecond
	)
	busy := false
	w.onSend = func(n *fakeNode, c fleet.Send) {
		h, ok := c.Message.(fleet.HandIn)
		if !ok || h.Shard != h.Home || busy || w.jobs[h.Job.ID].duration < longJob {
			return
		}
		home := w.byID(c.To)
		other := w.otherThan(n, home)
		if home == nil || other == nil {
			return
		}
		busy = true
		j := w.jobs[h.Job.ID]
		w.after(settling, func() { w.kill(home, 2*time.Second) })
		w.after(settling+copyAfter, func() {
			busy = false
			if j.answered || !w.checker.runs(j) || other.node == nil {
				return
			}
			*copies++
			w.submitBy(other, j)
		})
	}
}

// Guards against two runs of a task in two shards: the leader that started it is lost, and a copy of the
// job arrives by way of another process before the shard has its next leader.
func TestCopiesOfAJobWhoseLeaderIsLost(t *testing.T) {
	t.Parallel()
	g := NewWithT(t)
	const copyAfter = 440 * time.Millisecond
	for _, seed := range []uint64{11, 23, 35, 47} {
		copies := 0
		w := crowdedDeployment(seed, false)
		w.copyOfJobAtHome(&copies, copyAfter)
		w.load(lendingLoad, 12*time.Second)
		w.run(15 * time.Second)
		g.Expect(w.checker.violations).To(BeEmpty(), "seed %d", seed)
		g.Expect(copies).To(BeNumerically(">", 0), "seed %d", seed)
	}
}
