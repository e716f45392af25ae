package fleet_test

import (
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"sapphirepoint.example/sapphirepoint/core/fleet"
)

// copyWhileElsewhere follows, one at a time, long jobs that are handed in to another shard than their
// home: change is applied to the leader of the home, and copyAfter later, if the job runs, a copy of it
// arrives by way of another process. copies counts these.
func (w *world) copyWhileElsewhere(copies *int, copyAfter time.Duration, change func(*fakeNode)) {
	const (
		longJob  = 800 * time.Millisecond
		settling = 50 * time.Millisecond
	)
	busy := false
	w.onSend = func(n *fakeNode, c fleet.Send) {
		h, ok := c.Message.(fleet.HandIn)
		if !ok || h.Shard == h.Home || busy || h.Job.Stored || w.jobs[h.Job.ID].duration < longJob {
			return
		}
		home := w.leaderOf(h.Home)
		other := w.otherThan(n, home, w.byID(c.To))
		if home == nil || home == n || home == w.byID(c.To) || other == nil {
			return
		}
		busy = true
		j := w.jobs[h.Job.ID]
		w.after(settling, func() { change(home) })
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

// runs reports whether a task of a job is running.
func (t *checker) runs(j *fakeJob) bool {
	for task, live := range t.running {
		if task.Job == j.work.ID && len(live) > 0 {
			return true
		}
	}
	return false
}

// leaderOf returns the process that leads a shard; nil if there is none.
func (w *world) leaderOf(shard int) *fakeNode {
	for _, n := range w.nodes {
		if n.node == nil {
			continue
		}
		if s := n.node.DumpShards(w.now); shard < len(s) && s[shard].Leader != "" && s[shard].Leader == string(n.id) {
			return n
		}
	}
	return nil
}

// otherThan returns a process that is none of the given ones.
func (w *world) otherThan(list ...*fakeNode) *fakeNode {
	for _, n := range w.nodes {
		used := n.node == nil
		for _, o := range list {
			used = used || n == o
		}
		if !used {
			return n
		}
	}
	return nil
}

// submitBy sends a job to a process.
func (w *world) submitBy(n *fakeNode, j *fakeJob) {
	n.lastID++
	request := n.lastID
	n.requests[request] = j
	w.do(n, func() { n.node.Submit(w.now, request, j.work, j.sent+j.timeout-w.now) })
}

// Guards against two runs of a task at the same time: a job runs in another shard than its home, the
// home's leader is replaced, and a copy of the job arrives there by way of another process.
func TestCopiesOfJobsInOtherShards(t *testing.T) {
	t.Parallel()
	g := NewWithT(t)
	const copyAfter = 600 * time.Millisecond
	for _, c := range []struct {
		name   string
		change func(w *world, n *fakeNode)
	}{
		{"home's leader stays", func(*world, *fakeNode) {}},
		{"home's leader is killed", func(w *world, n *fakeNode) { w.kill(n, 2*time.Second) }},
		{"home's leader stops", func(w *world, n *fakeNode) { w.stop(n) }},
	} {
		copies := 0
		for seed := range uint64(5) {
			w := crowdedDeployment(seed, false)
			w.copyWhileElsewhere(&copies, copyAfter, func(n *fakeNode) { c.change(w, n) })
			w.load(lendingLoad, 12*time.Second)
			w.run(15 * time.Second)
			g.Expect(w.checker.violations).To(BeEmpty(), "%s, seed %d", c.name, seed)
		}
		t.Logf("%s: %d copies", c.name, copies)
		g.Expect(copies).To(BeNumerically(">", 5), c.name)
	}
}

// Guards against the same where the copy arrives while the home has no leader: the entry process that gets
// it hands it to a third shard.
func TestCopiesWhileTheHomeHasNoLeader(t *testing.T) {
	t.Parallel()
	g := NewWithT(t)
	const copyAfter = 440 * time.Millisecond
	for _, seed := range []uint64{11, 23, 35, 47, 5025, 5112, 5133} {
		copies := 0
		w := crowdedDeployment(seed, false)
		w.copyWhileElsewhere(&copies, copyAfter, func(n *fakeNode) { w.kill(n, 2*time.Second) })
		w.load(lendingLoad, 12*time.Second)
		w.run(15 * time.Second)
		g.Expect(w.checker.violations).To(BeEmpty(), "seed %d", seed)
		g.Expect(copies).To(BeNumerically(">", 0), "seed %d", seed)
	}
}
