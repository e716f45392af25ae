package fleet_test

import (
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"sapphirepoint.example/sapphirepoint/core/fleet"
	"sapphirepoint.example/sapphirepoint/core/workload"
)

// The leader's VM becomes short of CPU, and the leader notices it. Another process must lead
// at once, receive the progress and stay the leader; no job may fail.
func TestASlowLeaderGivesUpTheLead(t *testing.T) {
	t.Parallel()
	g := NewWithT(t)
	for seed := range uint64(10) {
		w := deployment(seed, 1)
		w.load(60, 3*time.Second)
		w.run(1500 * time.Millisecond)
		slow := w.leader()
		w.sendDelay[slow.name] = 100 * time.Millisecond
		w.do(slow, func() { slow.node.RecordCPUWait(w.now, 20*time.Millisecond) })
		w.run(10 * time.Millisecond)
		g.Expect(w.leader()).To(Equal(slow), "after a short wait")
		w.do(slow, func() { slow.node.RecordCPUWait(w.now, 40*time.Millisecond) })
		w.do(slow, func() { slow.node.RecordCPUWait(w.now, 20*time.Millisecond) })
		w.do(slow, func() { slow.node.RecordCPUWait(w.now, 40*time.Millisecond) })
		w.run(10 * time.Millisecond)
		g.Expect(w.leader()).To(Equal(slow), "after a burst")
		w.do(slow, func() { slow.node.RecordCPUWait(w.now, 80*time.Millisecond) })
		w.run(300 * time.Millisecond)
		next := w.leader()
		g.Expect(next).NotTo(Equal(slow))
		w.run(6 * time.Second)
		g.Expect(w.leader()).To(Equal(next))
		g.Expect(w.checker.violations).To(BeEmpty())
		w.expectNoTaskStartedTwice(g, seed)
		for id, j := range w.jobs {
			g.Expect(j.outcome).To(Equal(workload.Completed), "seed %d: job %s", seed, id)
		}
	}
}

// All VMs are short of CPU. Each process may give up the lead once, and then it must stay for
// a while: each change of leader delays all callers.
func TestLeadershipDoesNotCycle(t *testing.T) {
	t.Parallel()
	g := NewWithT(t)
	w := deployment(1, 1)
	w.run(time.Second)
	changes, leader := 0, w.leader()
	for range 40 {
		for _, n := range w.nodes {
			w.do(n, func() { n.node.RecordCPUWait(w.now, 80*time.Millisecond) })
		}
		w.run(100 * time.Millisecond)
		if l := w.leader(); l != nil && l != leader {
			changes++
			leader = l
		}
	}
	g.Expect(changes).To(BeNumerically("<=", len(w.nodes)))
}

// A deployment with several shards, in which each process leads one. All VMs are short of CPU
// in a burst. No process may give up its shard: the process that got it as its second would
// fall behind for good, and then the next one.
func TestNobodyGivesUpAShardThatNoneCanTake(t *testing.T) {
	t.Parallel()
	g := NewWithT(t)
	w := deployment(1, 6)
	w.run(3 * time.Second)
	leaders := func() (list []string) {
		for _, n := range w.nodes {
			if n.node.Leads() {
				list = append(list, n.name)
			}
		}
		return list
	}
	g.Expect(leaders()).To(HaveLen(6))
	changed := false
	w.onSend = func(_ *fakeNode, c fleet.Send) {
		if h, ok := c.Message.(fleet.Heartbeat); ok && h.Report.Starvations > 0 {
			changed = true
		}
	}
	for range 10 {
		for _, n := range w.nodes {
			w.do(n, func() { n.node.RecordCPUWait(w.now, 80*time.Millisecond) })
		}
		w.run(200 * time.Millisecond)
	}
	g.Expect(changed).To(BeFalse())
	g.Expect(leaders()).To(HaveLen(6))
}

// A process that has just become the leader is busy for a moment, and must not give up the
// lead for that.
func TestTakeoverIsNotTreatedAsCPUStarvation(t *testing.T) {
	t.Parallel()
	g := NewWithT(t)
	w := deployment(1, 1)
	n := w.leader()
	w.do(n, func() { n.node.RecordCPUWait(w.now, 80*time.Millisecond) })
	w.run(100 * time.Millisecond)
	g.Expect(w.leader()).To(Equal(n))
}
