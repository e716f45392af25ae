package fleet_test

import (
	"math"
	"strings"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"sapphirepoint.example/sapphirepoint/core/fleet"
	"sapphirepoint.example/sapphirepoint/core/layout"
	"sapphirepoint.example/sapphirepoint/core/leader"
	"sapphirepoint.example/sapphirepoint/core/pace"
	"sapphirepoint.example/sapphirepoint/core/schedule"
)

// learnedRuns is the number of runs that a process's scheduler of shard 0 knows of its queues.
func learnedRuns(w *world, n *fakeNode) uint32 {
	runs := uint32(0)
	for _, q := range n.node.DumpShards(w.now)[0].Scheduler.Queues {
		runs += q.Runs
	}
	return runs
}

// withLearned lists the processes besides the leader that have a copy.
func (w *world) withLearned() []*fakeNode {
	var list []*fakeNode
	for _, n := range w.nodes {
		if n != w.leader() && learnedRuns(w, n) > 0 {
			list = append(list, n)
		}
	}
	return list
}

// Guards against a leader that is lost, alone or with its failure domain, and leaves no copy of
// what it has learned.
func TestSuccessorsHaveWhatWasLearned(t *testing.T) {
	t.Parallel()
	g := NewWithT(t)
	w := deployment(1, 1)
	sent := 0
	w.onSend = func(_ *fakeNode, c fleet.Send) {
		if _, ok := c.Message.(fleet.LearnedPaces); ok {
			sent++
		}
	}
	old := w.leader()
	w.load(60, 10*time.Second)
	w.run(12 * time.Second)
	copies := w.withLearned()
	g.Expect(copies).To(HaveLen(2))
	g.Expect((copies[0].domain == old.domain) != (copies[1].domain == old.domain)).To(BeTrue())
	before := sent
	w.run(20 * time.Second)
	g.Expect(sent).To(BeNumerically("<=", before+2), "only what is new is sent")
	w.kill(old, time.Minute)
	w.run(2 * time.Second)
	g.Expect([]string{copies[0].name, copies[1].name}).To(ContainElement(w.leader().name))
	g.Expect(learnedRuns(w, w.leader())).To(BeNumerically(">", 20))
}

// A planned change loses nothing of what was learned.
func TestAPlannedStopHandsOverWhatWasLearned(t *testing.T) {
	t.Parallel()
	g := NewWithT(t)
	w := deployment(2, 1)
	w.load(60, 2*time.Second)
	w.run(3 * time.Second)
	old := w.leader()
	runs := learnedRuns(w, old)
	g.Expect(runs).To(BeNumerically(">", 20))
	w.stop(old)
	w.run(time.Second)
	g.Expect(w.leader().name).NotTo(Equal(old.name))
	g.Expect(learnedRuns(w, w.leader())).To(BeNumerically(">=", runs))
}

// Guards against a copy that is older than the one before, that has absurd numbers, or that is of a
// shard that doesn't exist. Logs are bounded.
func TestUselessCopies(t *testing.T) {
	t.Parallel()
	g := NewWithT(t)
	n := fleet.New(schedule.DefaultConfig(), grace, 400, 0)
	n.ApplyLayout(0, layout.Pooled(1))
	n.Ready()
	var notices []string
	receive := func(from leader.ID, l pace.Ratio, shard int) {
		n.Receive(2*time.Second, from, fleet.LearnedPaces{Shard: shard, Learned: schedule.Learned{Queues: []pace.Ratio{l}}})
		for _, c := range n.Ready() {
			if c, ok := c.(fleet.Notice); ok && strings.HasPrefix(c.Event, "learned-") {
				notices = append(notices, c.Event)
			}
		}
	}
	receive("b#2", pace.Ratio{Name: queue, Value: 2, Runs: 9}, 0)
	receive("b#2", pace.Ratio{Name: queue, Value: 2, Runs: 9}, 0)
	g.Expect(notices).To(Equal([]string{"learned-paces-received"}))
	for range 3 {
		receive("b#2", pace.Ratio{Name: queue, Value: math.NaN(), Runs: 9}, 0)
	}
	g.Expect(notices).To(Equal([]string{"learned-paces-received", "learned-paces-invalid"}))
	receive("b#2", pace.Ratio{Name: queue, Value: 3, Runs: 9, Age: time.Second}, 0)
	receive("b#2", pace.Ratio{Name: queue, Value: 3, Runs: 9}, 7)
	queues := n.DumpShards(2 * time.Second)[0].Scheduler.Queues
	g.Expect(queues).To(HaveLen(1))
	g.Expect(queues[0].Ratio).To(BeNumerically("~", 2, 0.01))
}

// Guards against a lost message with what was learned: the successor begins without, and learns.
func TestALostCopy(t *testing.T) {
	t.Parallel()
	g := NewWithT(t)
	w := deployment(3, 1)
	w.load(60, 7*time.Second)
	w.run(2 * time.Second)
	g.Expect(w.withLearned()).To(BeEmpty(), "none was sent yet")
	w.kill(w.leader(), time.Minute)
	w.run(time.Second)
	w.run(3 * time.Second)
	g.Expect(learnedRuns(w, w.leader())).To(BeNumerically(">", 0))
	g.Expect(w.checker.violations).To(BeEmpty())
}
