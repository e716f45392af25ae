package fleet_test

import (
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"sapphirepoint.example/sapphirepoint/core/fleet"
	"sapphirepoint.example/sapphirepoint/core/workload"
)

// The VM of the leader turns slow, and it notices. Another process leads at
// once, is told what has been done, and keeps the lead; callers notice little.
func TestASlowLeaderGivesUpTheLead(t *testing.T) {
	g := NewWithT(t)
	for seed := range uint64(10) {
		w := deployment(seed, 1)
		w.load(60, 3*time.Second)
		w.run(1500 * time.Millisecond)
		slow := w.leader()
		w.lag[slow.name] = 100 * time.Millisecond
		w.do(slow, func() { slow.node.RecordCPUWait(w.now, 20*time.Millisecond) })
		w.run(10 * time.Millisecond)
		g.Expect(w.leader()).To(Equal(slow), "a short wait is no reason")
		w.do(slow, func() { slow.node.RecordCPUWait(w.now, 40*time.Millisecond) })
		w.do(slow, func() { slow.node.RecordCPUWait(w.now, 20*time.Millisecond) })
		w.do(slow, func() { slow.node.RecordCPUWait(w.now, 40*time.Millisecond) })
		w.run(10 * time.Millisecond)
		g.Expect(w.leader()).To(Equal(slow), "neither is a burst")
		w.do(slow, func() { slow.node.RecordCPUWait(w.now, 80*time.Millisecond) })
		w.run(300 * time.Millisecond)
		next := w.leader()
		g.Expect(next).NotTo(Equal(slow))
		w.run(6 * time.Second)
		g.Expect(w.leader()).To(Equal(next))
		g.Expect(w.truth.broken).To(BeEmpty())
		w.expectNothingAgain(g, seed)
		for id, j := range w.jobs {
			g.Expect(j.outcome).To(Equal(workload.Completed), "seed %d: job %s", seed, id)
		}
	}
}

// All VMs are short of processor. The lead goes round once, and then stays for
// a while: each change costs all callers some time.
func TestTheLeadDoesntGoRoundAndRound(t *testing.T) {
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

// A deployment of several shards, in which each process as good leads one. All are
// short of processor in a burst. Nobody gives up a shard: whoever got it as the
// second would fall behind for good, and after that the next.
func TestNobodyGivesUpAShardThatNoneCanTake(t *testing.T) {
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

// A process that has just come to lead is busy for a moment. That is no strain.
func TestATakeoverIsNoStrain(t *testing.T) {
	g := NewWithT(t)
	w := deployment(1, 1)
	n := w.leader()
	w.do(n, func() { n.node.RecordCPUWait(w.now, 80*time.Millisecond) })
	w.run(100 * time.Millisecond)
	g.Expect(w.leader()).To(Equal(n))
}
