package fleet_test

import (
	"testing"
	"time"

	. "github.com/onsi/gomega"
)

// Runs whose jobs are dropped and that can't be stopped, while the runners change hands.

func init() {
	faults["runners reject stops"] = func(w *world) {
		w.rejectOrders(func() rejections { return rejections{stops: 1} })
	}
}

func unstoppableFaults() []string {
	return []string{"runners reject stops", "runners reject stops", "runners reject stops", "kill", "kill", "restart", "part leader", "part leader", "leader restarts"}
}

// Guards against two runs of a task at the same time: a runner rejects the stop of a run whose entry
// process has ended, and has accepted a higher token when the caller sends the job again.
func TestJobSentAgainBesideAnUnstoppableRun(t *testing.T) {
	t.Parallel()
	for seed := range uint64(20) {
		g := NewWithT(t)
		w := deployment(seed, 1)
		w.run(2 * time.Second)
		leader := w.leader()
		n := w.otherNode(leader)
		j := w.newJob(n.domain, 1, 2500*time.Millisecond, 5*time.Second)
		w.sendTo(n, j)
		w.run(100 * time.Millisecond)
		g.Expect(j.starts).To(Equal(1), "seed %d", seed)
		for _, r := range w.runners {
			r.rejects.stops = 1
		}
		w.kill(n, 500*time.Millisecond)
		w.run(resendInterval - 20*time.Millisecond)
		for _, r := range w.runners {
			if len(r.runs) > 0 {
				r.token++
			}
		}
		w.run(4 * time.Second)
		g.Expect(w.checker.violations).To(BeEmpty(), "seed %d", seed)
		g.Expect(w.leader()).To(Equal(leader))
	}
}

// otherNode returns a process that isn't the given one.
func (w *world) otherNode(not *fakeNode) *fakeNode {
	for _, n := range w.nodes {
		if n != not {
			return n
		}
	}
	return nil
}

// Guards against the same in random runs, with leaders that restart on their VM, or retire and lead
// again.
func TestRandomUnstoppableRuns(t *testing.T) {
	t.Parallel()
	playFaultyRuns(t, unstoppableFaults()...)
}
