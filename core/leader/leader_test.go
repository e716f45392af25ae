package leader

import (
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"sapphirepoint.example/sapphirepoint/core/layout"
)

const ms = time.Millisecond

// settledView returns the view of process b, number 2, after the settle period.
func settledView() (*View, Time) {
	v := unsettledView()
	v.PeersDiscovered(0)
	return v, time.Second
}

// unsettledView returns the view of process b, number 2, that has just registered and
// doesn't know yet which other processes exist.
func unsettledView() *View {
	v := NewView("", 0)
	v.Register(0, "b", 2)
	v.SetLayout(0, layout.Pooled(1), "")
	v.SetAble(true, false)
	return v
}

func candidateReport(number uint64, leader ID) *Report {
	return &Report{Number: number, Able: true, Follows: []Follow{{Leader: leader}}}
}

func choose(v *View, now Time, leading bool) Choice { return v.Choose(now, 0, leading) }

func TestOldestLeads(t *testing.T) {
	g := NewWithT(t)
	v, now := settledView()
	g.Expect(choose(v, now, false)).To(Equal(Choice{Leader: "b", Reachable: true}))
	v.RecordContact(now, "c", candidateReport(3, "c"))
	g.Expect(choose(v, now, true)).To(Equal(Choice{Leader: "b", Reachable: true}))
	v.RecordContact(now, "a", candidateReport(1, "a"))
	g.Expect(choose(v, now, false)).To(Equal(Choice{Leader: "a", Reachable: true}))
	v.RecordContact(now, "d", &Report{Number: 0, Able: false})
	g.Expect(choose(v, now, false).Leader).To(Equal(ID("a")))
}

// Guards against a process that leads before the older ones have connected, a moment after
// its start: every restart would change the leader twice.
func TestNewProcessSettlesFirst(t *testing.T) {
	g := NewWithT(t)
	v := unsettledView()
	v.PeersDiscovered(0)
	g.Expect(choose(v, settlePeriod-ms, false)).To(Equal(Choice{}))
	g.Expect(choose(v, settlePeriod, false).Leader).To(Equal(ID("b")))
}

// Guards against a process that starts while the store is in trouble and leads before it
// knows which other processes exist: one of them may lead already.
func TestNewProcessWaitsForPeerDiscovery(t *testing.T) {
	g := NewWithT(t)
	v := unsettledView()
	g.Expect(choose(v, settlePeriod, false)).To(Equal(Choice{}))
	v.PeersDiscovered(settlePeriod)
	g.Expect(choose(v, 2*settlePeriod-ms, false)).To(Equal(Choice{}))
	g.Expect(choose(v, 2*settlePeriod, false).Leader).To(Equal(ID("b")))

	v = unsettledView()
	g.Expect(choose(v, maxSettlePeriod, false).Leader).To(Equal(ID("b")), "it leads even if the peers stay unknown")
}

// After a power loss all processes of a deployment start at once. As soon as each has
// reported that it can lead, the oldest does so; callers wait for it.
func TestLeadsAtOnceWhenAllHaveReported(t *testing.T) {
	g := NewWithT(t)
	v := unsettledView()
	v.PeersDiscovered(0)
	v.RecordContact(ms, "c", candidateReport(3, ""))
	g.Expect(choose(v, 2*ms, false)).To(Equal(Choice{}), "others may still connect")
	v.SetAllVMsReachable(true)
	g.Expect(choose(v, 2*ms, false).Leader).To(Equal(ID("b")))
	v.RecordContact(3*ms, "a", &Report{Number: 1})
	g.Expect(choose(v, 4*ms, false)).To(Equal(Choice{}), "an older one doesn't know the shards yet")
	v.RecordContact(5*ms, "a", candidateReport(1, "a"))
	g.Expect(choose(v, 6*ms, false).Leader).To(Equal(ID("a")))
}

// Guards against a leader that was frozen and leads again when it wakes up: its reports of
// all others date from before the pause, and another process leads by now.
func TestProcessSettlesAgainAfterStall(t *testing.T) {
	g := NewWithT(t)
	v := unsettledView()
	v.PeersDiscovered(0)
	v.RecordContact(ms, "c", candidateReport(3, "b"))
	v.SetAllVMsReachable(true)
	g.Expect(choose(v, 2*ms, false).Leader).To(Equal(ID("b")))
	v.RecordStall(1000*ms, true)
	g.Expect(choose(v, 1000*ms, false)).To(Equal(Choice{}))
	v.RecordContact(1001*ms, "c", candidateReport(3, "c"))
	g.Expect(choose(v, 1001*ms, false).Leader).To(Equal(ID("c")))
}

// The oldest process has connected but doesn't know yet that it should lead. A job handed in
// there would wait, and if the present leader stopped now, there would be none.
func TestNoneFollowsProcessThatDoesNotLeadYet(t *testing.T) {
	g := NewWithT(t)
	v, now := settledView()
	v.RecordContact(now, "a", candidateReport(1, ""))
	g.Expect(choose(v, now, false)).To(Equal(Choice{}))
	g.Expect(choose(v, now, true).Leader).To(Equal(ID("b")), "b continues until a leads")
	v.RecordContact(now, "a", candidateReport(1, "a"))
	g.Expect(choose(v, now, true).Leader).To(Equal(ID("a")))
}

// Only the link between this process and the leader is cut, and the others follow the leader.
// If this process led too, the two would take the runners from each other in turns.
func TestUnreachableLeaderFollowedByPeers(t *testing.T) {
	g := NewWithT(t)
	v, now := settledView()
	v.RecordContact(now, "c", &Report{Number: 3, Able: true, Follows: []Follow{{"a", 50 * ms}}})
	g.Expect(choose(v, now, false)).To(Equal(Choice{Leader: "a"}))
	later := now + HeartbeatTimeout
	v.RecordContact(later, "c", &Report{Number: 3, Able: true, Follows: []Follow{{"a", 50*ms + HeartbeatTimeout}}})
	g.Expect(choose(v, later, false)).To(Equal(Choice{Leader: "b", Reachable: true}))
}

// The leader was frozen and wakes up. Its data about the others is old, and by age alone it
// would take the lead back, only to freeze again.
func TestFrozenLeader(t *testing.T) {
	g := NewWithT(t)
	v, now := settledView()
	v.RecordContact(now, "c", candidateReport(3, "b"))
	g.Expect(choose(v, now, true).Leader).To(Equal(ID("b")))
	now += 3 * time.Second
	v.RecordStall(now, true)
	g.Expect(v.ExpirePeers(now)).To(BeEmpty())
	g.Expect(choose(v, now, false).Leader).NotTo(Equal(ID("b")))
	v.RecordContact(now, "c", candidateReport(3, "c"))
	g.Expect(choose(v, now+settlePeriod, false)).To(Equal(Choice{Leader: "c", Reachable: true}))
}

// The leader is about to stop as planned. It hands over while it still works, and takes the
// lead back only if no other process is there.
func TestStoppingLeader(t *testing.T) {
	g := NewWithT(t)
	v, now := settledView()
	v.RecordContact(now, "c", candidateReport(3, "b"))
	v.SetStopping()
	g.Expect(choose(v, now, true).Leader).To(Equal(ID("b")))
	v.RecordContact(now, "c", candidateReport(3, "c"))
	g.Expect(choose(v, now, true).Leader).To(Equal(ID("c")))
	v.RemovePeer("c")
	g.Expect(choose(v, now, false).Leader).To(Equal(ID("b")))
}

func TestSilentProcessesExpire(t *testing.T) {
	g := NewWithT(t)
	v, now := settledView()
	v.RecordContact(now, "a", candidateReport(1, "a"))
	g.Expect(v.ExpirePeers(now + HeartbeatTimeout)).To(BeEmpty())
	g.Expect(v.ExpirePeers(now + HeartbeatTimeout + ms)).To(Equal([]ID{"a"}))
	g.Expect(choose(v, now+HeartbeatTimeout+ms, false).Leader).To(Equal(ID("b")))
}

// Entry VMs differ in size. The small ones serve callers; a scheduler on one of them would
// fall behind at the first burst.
func TestLargeVMsLead(t *testing.T) {
	g := NewWithT(t)
	v, now := settledView()
	v.SetMilliCPU(192)
	large := candidateReport(9, "z")
	large.MilliCPU = 800
	v.RecordContact(now, "z", large)
	g.Expect(choose(v, now, true)).To(Equal(Choice{Leader: "z", Reachable: true}))
}

// A large deployment has several shards. Each process leads as many as the others, and the
// loss of one process moves few shards of the others.
func TestShardsSpread(t *testing.T) {
	g := NewWithT(t)
	const shards = 12
	preferred := func(lost ID) map[int]ID {
		v := NewView("", 0)
		v.Register(0, "b", 2)
		v.PeersDiscovered(0)
		v.SetLayout(0, layout.Pooled(shards), "")
		v.SetAble(true, false)
		for i, id := range []ID{"a", "c", "d"} {
			if id != lost {
				v.RecordContact(time.Second, id, &Report{Number: uint64(i + 5), Able: true})
			}
		}
		owners := make(map[int]ID)
		for s := range shards {
			owners[s] = v.preferred(time.Second, s)
		}
		return owners
	}
	all, without := preferred(""), preferred("c")
	owners, stayed := make(map[ID]int), 0
	for s, id := range all {
		owners[id]++
		if id != "c" && without[s] == id {
			stayed++
		}
	}
	g.Expect(stayed).To(BeNumerically(">=", shards/2))
	for id, n := range owners {
		g.Expect(n).To(Equal(shards/4), string(id))
	}
}

// A failure domain is cut off and its processes are unreachable. Processes of other cells
// must not lead its shards: processes within the domain lead them, and when the partition
// heals each side would take the runners from the other.
func TestShardsOfOtherCellsAreFollowed(t *testing.T) {
	g := NewWithT(t)
	v := NewView("", 0)
	v.Register(0, "b", 2)
	v.PeersDiscovered(0)
	v.SetLayout(0, layout.Layout{"east", "west"}, "east")
	v.SetAble(true, false)
	g.Expect(v.Choose(time.Second, 0, false)).To(Equal(Choice{Leader: "b", Reachable: true}))
	g.Expect(v.Choose(time.Second, 1, false)).To(Equal(Choice{}))
	west := &Report{Number: 1, Able: true, Cell: "west", Shards: 2, Follows: []Follow{{}, {Leader: "w"}}}
	v.RecordContact(time.Second, "w", west)
	g.Expect(v.Choose(time.Second, 1, false)).To(Equal(Choice{Leader: "w", Reachable: true}))
	g.Expect(v.Choose(time.Second, 0, true).Leader).To(Equal(ID("b")), "though w is older")
	own := v.OwnReport(time.Second, []Choice{{Leader: "b", Reachable: true}, {Leader: "w", Reachable: true}})
	g.Expect(own.Follows).To(Equal([]Follow{{Leader: "b"}, {}}), "only processes of a cell report its leaders")
	g.Expect(v.ExpirePeers(3 * time.Second)).To(Equal([]ID{"w"}))
	g.Expect(v.Choose(3*time.Second, 1, false)).To(Equal(Choice{}))
}

// Small VMs are able to lead and leave it to the large ones. A restart of all processes
// doesn't wait for them to report that they could lead.
func TestStandbyProcessesDontLead(t *testing.T) {
	g := NewWithT(t)
	v := unsettledView()
	v.PeersDiscovered(0)
	v.SetAble(true, true)
	g.Expect(v.own.Standby).To(BeTrue())
	g.Expect(choose(v, time.Second, false)).To(Equal(Choice{}))
	v = unsettledView()
	v.PeersDiscovered(0)
	v.SetAllVMsReachable(true)
	v.RecordContact(ms, "c", &Report{Number: 3, Standby: true})
	g.Expect(choose(v, 2*ms, false).Leader).To(Equal(ID("b")))
}

// Four shards are divided among three VMs. If one VM had none, another would have the load of
// two.
func TestShardsAreDistributedEqually(t *testing.T) {
	g := NewWithT(t)
	for i := range 50 {
		ids := []ID{ID(rune('a' + i)), ID(rune('b' + i)), ID(rune('c' + i))}
		counts := make(map[ID]int)
		for _, id := range distribute(ids, []int{4, 5, 6, 7}) {
			counts[id]++
		}
		g.Expect(counts).To(HaveLen(3))
	}
}
