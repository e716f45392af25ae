package fleet_test

import (
	"slices"
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

// Seeds in which one process ordered both runs of a task: it lost its runners to another process for a
// while, and led again.
var orphanRegressions = []uint64{351, 507, 627}

// Guards against two runs of a task at the same time: runners reject stops, an entry process ends, and the
// leader is parted, restarts or is frozen before the callers send their jobs again.
func TestOrphansAndChangesOfLeaders(t *testing.T) {
	t.Parallel()
	list := slices.Clone(orphanRegressions)
	for _, seed := range randomSeeds() {
		list = append(list, seed)
	}
	for _, seed := range list {
		w := deployment(seed, 1+int(seed%2))
		w.run(2 * time.Second)
		l := w.leader()
		n := w.otherNode(l)
		for range 6 {
			w.sendTo(n, w.newJob(n.domain, 1, w.randomDuration(1500, 3000), 5*time.Second))
		}
		w.run(100 * time.Millisecond)
		for _, r := range w.runners {
			r.rejects.stops = 1
		}
		w.kill(n, 500*time.Millisecond)
		at := w.randomDuration(300, 1300)
		w.loseLeader(l, at, seed%3)
		if seed%4 > 1 {
			w.after(at+w.randomDuration(0, 600), func() { w.muteRunners(0.5, w.randomDuration(200, 900)) })
		}
		w.run(6 * time.Second)
		if len(w.checker.violations) > 0 {
			t.Errorf("seed %d: %v\n%s", seed, w.checker.violations, w.describeDoubles())
		}
	}
}

// loseLeader parts a leader from the other processes, restarts or freezes it at a time.
func (w *world) loseLeader(l *fakeNode, at time.Duration, how uint64) {
	switch how {
	case 0:
		w.after(at, func() { w.partFromAll(l, w.randomDuration(100, 1500)) })
	case 1:
		w.after(at, func() { w.kill(l, w.randomDuration(10, 300)) })
	default:
		w.after(at, func() { w.freeze(l, w.randomDuration(300, 900)) })
	}
}

// muteRunners has all runners leave a share of the orders unanswered for a while.
func (w *world) muteRunners(share float64, d time.Duration) {
	for _, r := range w.runners {
		r.unansweredShare = share
	}
	w.after(d, func() {
		for _, r := range w.runners {
			r.unansweredShare = 0
		}
	})
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
