package fleet_test

import (
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"sapphirepoint.example/sapphirepoint/core/fleet"
	"sapphirepoint.example/sapphirepoint/core/layout"
	"sapphirepoint.example/sapphirepoint/core/leader"
	"sapphirepoint.example/sapphirepoint/core/routing"
	"sapphirepoint.example/sapphirepoint/core/schedule"
	"sapphirepoint.example/sapphirepoint/core/workload"
)

const s = time.Second

func listOf(revision uint64, ids ...workload.RunnerID) fleet.RunnerList {
	l := fleet.RunnerList{Revision: revision}
	for _, id := range ids {
		l.Runners = append(l.Runners, workload.Runner{ID: id, Service: service, Capacity: workload.Resources{MilliCPU: 64000, MemoryMB: 1000}})
	}
	return l
}

// runnerListNode is a node and the time up to which it has ticked.
type runnerListNode struct {
	*fleet.Node
	now time.Duration
}

// advanceTo ticks up to a time.
func (n *runnerListNode) advanceTo(now time.Duration) *runnerListNode {
	for n.now < now {
		n.now += fleet.TickInterval
		n.Tick(n.now)
	}
	return n
}

// newRunnerListNode returns a leader that has read a list of runners a, b and c, of which c
// is draining.
func newRunnerListNode() *runnerListNode {
	n := &runnerListNode{Node: fleet.New(schedule.DefaultConfig(), grace, 400, 0)}
	n.Registered(0, "a#1", 1)
	n.ApplyLayout(0, layout.Pooled(1))
	n.ApplyDeclaration(0, &routing.Declaration{Version: 1}, "store")
	n.ApplyEvacuations(0, routing.Evacuations{Version: 1}, "store")
	l := listOf(1, "a", "b", "c")
	l.Runners[2].Draining = true
	n.RunnersRead(0, l)
	return n.advanceTo(s)
}

// sentList is the list that is sent to another process on a new connection, with the runners'
// EntryExpired fields.
func (n *runnerListNode) sentList() map[workload.RunnerID]bool {
	n.Ready()
	n.PeerUp(n.now, "b#2")
	n.Receive(n.now, "b#2", fleet.Heartbeat{Report: leader.Report{Number: 2, Shards: 1}})
	expired := make(map[workload.RunnerID]bool)
	for _, c := range n.Ready() {
		send, ok := c.(fleet.Send)
		if !ok {
			continue
		}
		if l, ok := send.Message.(fleet.RunnerList); ok {
			for _, r := range l.Runners {
				expired[r.ID] = r.EntryExpired
			}
		}
	}
	return expired
}

// Entries expire during a store outage. Those of runners that weren't draining must be
// retained for a while, and be sent to other processes as expired.
func TestEntriesThatExpireDuringAStoreOutageAreRetained(t *testing.T) {
	t.Parallel()
	g := NewWithT(t)
	n := newRunnerListNode()
	n.advanceTo(5 * s).StoreFailed(5 * s)
	n.advanceTo(6*s).RunnersRead(6*s, listOf(2, "a"))
	g.Expect(n.sentList()).To(Equal(map[workload.RunnerID]bool{"a": false, "b": true}))
	n.advanceTo(8*s).RunnersRead(8*s, listOf(3, "a"))
	g.Expect(n.sentList()).To(HaveKey(workload.RunnerID("b")), "within expiredRetention")
	n.advanceTo(9*s).RunnersRead(9*s, listOf(4, "a"))
	g.Expect(n.sentList()).NotTo(HaveKey(workload.RunnerID("b")))
}

// An entry that reappears becomes a normal entry, which may be removed again.
func TestAnEntryComesBack(t *testing.T) {
	t.Parallel()
	g := NewWithT(t)
	n := newRunnerListNode()
	n.advanceTo(5 * s).StoreFailed(5 * s)
	n.advanceTo(6*s).RunnersRead(6*s, listOf(2, "a"))
	n.advanceTo(7*s).RunnersRead(7*s, listOf(3, "a", "b"))
	g.Expect(n.sentList()).To(Equal(map[workload.RunnerID]bool{"a": false, "b": false}))
	n.advanceTo(20*s).RunnersRead(20*s, listOf(4, "a"))
	g.Expect(n.sentList()).To(HaveLen(1))
}

// An entry that is removed while the store is available, or that names no usable runner any
// more, must not be retained.
func TestEntriesRemovedWithoutAStoreOutageAreNotRetained(t *testing.T) {
	t.Parallel()
	g := NewWithT(t)
	n := newRunnerListNode()
	n.advanceTo(6*s).RunnersRead(6*s, listOf(2, "a"))
	g.Expect(n.sentList()).To(HaveLen(1))

	n = newRunnerListNode()
	n.advanceTo(5 * s).StoreFailed(5 * s)
	l := listOf(2, "a")
	l.Unreadable = []workload.RunnerID{"b"}
	n.advanceTo(6*s).RunnersRead(6*s, l)
	g.Expect(n.sentList()).To(HaveLen(1))
}

// A process has retained an expired entry and is lost. Its successor received the entry and
// must retain it for as long.
func TestNextLeaderRetainsExpiredEntries(t *testing.T) {
	t.Parallel()
	g := NewWithT(t)
	n := newRunnerListNode()
	l := listOf(2, "a", "b")
	l.Runners[1].EntryExpired = true
	n.advanceTo(6*s).PeerUp(6*s, "b#2")
	n.Receive(6*s, "b#2", l)
	n.advanceTo(7*s).RunnersRead(7*s, listOf(3, "a"))
	g.Expect(n.sentList()).To(Equal(map[workload.RunnerID]bool{"a": false, "b": true}))
}

// Guards against leaders of other shards that go on starting tasks on a runner whose capacity
// has shrunk, since only the process that reads the list for the cell knows it.
func TestCapacityChangesAreSentToOtherLeaders(t *testing.T) {
	t.Parallel()
	g := NewWithT(t)
	n := newRunnerListNode()
	n.advanceTo(5 * s).sentList()
	room := func() int {
		for _, c := range n.Ready() {
			send, ok := c.(fleet.Send)
			if !ok {
				continue
			}
			if l, ok := send.Message.(fleet.RunnerList); ok {
				return l.Runners[0].Capacity.MilliCPU
			}
		}
		return 0
	}
	l := listOf(2, "a", "b", "c")
	l.Runners[2].Draining = true
	l.Runners[0].Capacity.MilliCPU = 32000
	n.RunnersRead(5*s, l)
	g.Expect(room()).To(Equal(32000))
}
