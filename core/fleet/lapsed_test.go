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

// lister is a node and the time up to which it has ticked.
type lister struct {
	*fleet.Node
	now time.Duration
}

// at lets time pass up to a moment.
func (n *lister) at(now time.Duration) *lister {
	for n.now < now {
		n.now += fleet.TickInterval
		n.Tick(n.now)
	}
	return n
}

// newLister returns one that leads and has read of runners a, b and c, the last of
// which drains.
func newLister() *lister {
	n := &lister{Node: fleet.New(schedule.DefaultConfig(), grace, 400, 0)}
	n.Registered(0, "a#1", 1)
	n.ApplyLayout(0, layout.Pooled(1))
	n.ApplyDeclaration(0, &routing.Declaration{Version: 1}, "store")
	n.ApplyEvacuations(0, routing.Evacuations{Version: 1}, "store")
	l := listOf(1, "a", "b", "c")
	l.Runners[2].Draining = true
	n.RunnersRead(0, l)
	return n.at(s)
}

// told is what another process is told of the list as it connects.
func (n *lister) told() map[workload.RunnerID]bool {
	n.Ready()
	n.PeerUp(n.now, "b#2")
	n.Receive(n.now, "b#2", fleet.Heartbeat{Report: leader.Report{Number: 2, Shards: 1}})
	lapsed := make(map[workload.RunnerID]bool)
	for _, c := range n.Ready() {
		send, ok := c.(fleet.Send)
		if !ok {
			continue
		}
		if l, ok := send.Message.(fleet.RunnerList); ok {
			for _, r := range l.Runners {
				lapsed[r.ID] = r.Lapsed
			}
		}
	}
	return lapsed
}

// The store was away, and entries have lapsed. Those of runners that hadn't said
// that they drain are kept for a while, and other processes are told so.
func TestEntriesThatLapseWithTheStoreAreKept(t *testing.T) {
	g := NewWithT(t)
	n := newLister()
	n.at(5 * s).StoreFailed(5 * s)
	n.at(6*s).RunnersRead(6*s, listOf(2, "a"))
	g.Expect(n.told()).To(Equal(map[workload.RunnerID]bool{"a": false, "b": true}))
	n.at(8*s).RunnersRead(8*s, listOf(3, "a"))
	g.Expect(n.told()).To(HaveKey(workload.RunnerID("b")), "its time isn't over")
	n.at(9*s).RunnersRead(9*s, listOf(4, "a"))
	g.Expect(n.told()).NotTo(HaveKey(workload.RunnerID("b")))
}

// An entry that comes back is one like any other, and may go again.
func TestAnEntryComesBack(t *testing.T) {
	g := NewWithT(t)
	n := newLister()
	n.at(5 * s).StoreFailed(5 * s)
	n.at(6*s).RunnersRead(6*s, listOf(2, "a"))
	n.at(7*s).RunnersRead(7*s, listOf(3, "a", "b"))
	g.Expect(n.told()).To(Equal(map[workload.RunnerID]bool{"a": false, "b": false}))
	n.at(20*s).RunnersRead(20*s, listOf(4, "a"))
	g.Expect(n.told()).To(HaveLen(1))
}

// An entry goes while the store is well, or names no runner to use any more: what
// it stood for isn't used.
func TestEntriesThatGoAreNotKept(t *testing.T) {
	g := NewWithT(t)
	n := newLister()
	n.at(6*s).RunnersRead(6*s, listOf(2, "a"))
	g.Expect(n.told()).To(HaveLen(1))

	n = newLister()
	n.at(5 * s).StoreFailed(5 * s)
	l := listOf(2, "a")
	l.Unreadable = []workload.RunnerID{"b"}
	n.at(6*s).RunnersRead(6*s, l)
	g.Expect(n.told()).To(HaveLen(1))
}

// Another process has kept such an entry and is lost. Its successor was told, and
// keeps it for as long.
func TestTheNextLeaderKeepsThemToo(t *testing.T) {
	g := NewWithT(t)
	n := newLister()
	l := listOf(2, "a", "b")
	l.Runners[1].Lapsed = true
	n.at(6*s).PeerUp(6*s, "b#2")
	n.Receive(6*s, "b#2", l)
	n.at(7*s).RunnersRead(7*s, listOf(3, "a"))
	g.Expect(n.told()).To(Equal(map[workload.RunnerID]bool{"a": false, "b": true}))
}

// Guards against leaders of other shards that go on starting tasks on a runner whose room
// has shrunk: only the process that reads the list for all would know.
func TestOthersAreToldOfARunnersRoom(t *testing.T) {
	g := NewWithT(t)
	n := newLister()
	n.at(5 * s).told()
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
