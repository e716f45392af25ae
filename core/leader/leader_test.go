package leader

import (
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"sapphirepoint.example/sapphirepoint/core/layout"
)

const ms = time.Millisecond

// view returns that of process b, number 2, after it has settled.
func view() (*View, Time) {
	v := started()
	v.PeersDiscovered(0)
	return v, time.Second
}

// started returns the view of process b, number 2, that has just registered and
// doesn't know yet which others there are.
func started() *View {
	v := NewView("", 0)
	v.Register(0, "b", 2)
	v.SetLayout(0, layout.Pooled(1), "")
	v.SetAble(true, false)
	return v
}

func able(number uint64, leader ID) *Report {
	return &Report{Number: number, Able: true, Follows: []Follow{{Leader: leader}}}
}

func choose(v *View, now Time, leading bool) Choice { return v.Choose(now, 0, leading) }

func TestOldestLeads(t *testing.T) {
	g := NewWithT(t)
	v, now := view()
	g.Expect(choose(v, now, false)).To(Equal(Choice{Leader: "b", Reachable: true}))
	v.RecordContact(now, "c", able(3, "c"))
	g.Expect(choose(v, now, true)).To(Equal(Choice{Leader: "b", Reachable: true}))
	v.RecordContact(now, "a", able(1, "a"))
	g.Expect(choose(v, now, false)).To(Equal(Choice{Leader: "a", Reachable: true}))
	v.RecordContact(now, "d", &Report{Number: 0, Able: false})
	g.Expect(choose(v, now, false).Leader).To(Equal(ID("a")))
}

// A process has just started. The older ones connect within moments; if it led
// until then, every restart would change the leader twice.
func TestNewProcessListensFirst(t *testing.T) {
	g := NewWithT(t)
	v := started()
	v.PeersDiscovered(0)
	g.Expect(choose(v, settle-ms, false)).To(Equal(Choice{}))
	g.Expect(choose(v, settle, false).Leader).To(Equal(ID("b")))
}

// A process has just started beside a store in trouble, and doesn't know yet which
// others there are. It leads nothing for as long: one of them may.
func TestNewProcessFindsTheOthersFirst(t *testing.T) {
	g := NewWithT(t)
	v := started()
	g.Expect(choose(v, settle, false)).To(Equal(Choice{}))
	v.PeersDiscovered(settle)
	g.Expect(choose(v, 2*settle-ms, false)).To(Equal(Choice{}))
	g.Expect(choose(v, 2*settle, false).Leader).To(Equal(ID("b")))

	v = started()
	g.Expect(choose(v, settleMost, false).Leader).To(Equal(ID("b")), "somebody must")
}

// All processes of a deployment start at once, after a loss of power. As soon as
// each has said that it could lead, the oldest does: callers wait for it.
func TestLeadsAtOnceWhenAllAreHeard(t *testing.T) {
	g := NewWithT(t)
	v := started()
	v.PeersDiscovered(0)
	v.RecordContact(ms, "c", able(3, ""))
	g.Expect(choose(v, 2*ms, false)).To(Equal(Choice{}), "others may be to come")
	v.SetAllVMsReachable(true)
	g.Expect(choose(v, 2*ms, false).Leader).To(Equal(ID("b")))
	v.RecordContact(3*ms, "a", &Report{Number: 1})
	g.Expect(choose(v, 4*ms, false)).To(Equal(Choice{}), "an older one doesn't know the shards yet")
	v.RecordContact(5*ms, "a", able(1, "a"))
	g.Expect(choose(v, 6*ms, false).Leader).To(Equal(ID("a")))
}

// The leader was frozen, and wakes. It has heard all others, but before the pause:
// another one leads by now.
func TestAWokenProcessListensAgain(t *testing.T) {
	g := NewWithT(t)
	v := started()
	v.PeersDiscovered(0)
	v.RecordContact(ms, "c", able(3, "b"))
	v.SetAllVMsReachable(true)
	g.Expect(choose(v, 2*ms, false).Leader).To(Equal(ID("b")))
	v.RecordStall(1000*ms, true)
	g.Expect(choose(v, 1000*ms, false)).To(Equal(Choice{}))
	v.RecordContact(1001*ms, "c", able(3, "c"))
	g.Expect(choose(v, 1001*ms, false).Leader).To(Equal(ID("c")))
}

// The oldest process has connected but doesn't know yet that it should lead. A
// job handed to it would wait; and a leader that stopped now would leave a gap.
func TestNobodyFollowsAProcessThatDoesntLeadYet(t *testing.T) {
	g := NewWithT(t)
	v, now := view()
	v.RecordContact(now, "a", able(1, ""))
	g.Expect(choose(v, now, false)).To(Equal(Choice{}))
	g.Expect(choose(v, now, true).Leader).To(Equal(ID("b")), "it leads on until a does")
	v.RecordContact(now, "a", able(1, "a"))
	g.Expect(choose(v, now, true).Leader).To(Equal(ID("a")))
}

// Only the link between this process and the leader is cut; the others follow
// it. If this one led beside it, they would take the runners from each other by
// turns.
func TestLeaderThatOthersHear(t *testing.T) {
	g := NewWithT(t)
	v, now := view()
	v.RecordContact(now, "c", &Report{Number: 3, Able: true, Follows: []Follow{{"a", 50 * ms}}})
	g.Expect(choose(v, now, false)).To(Equal(Choice{Leader: "a"}))
	later := now + HeartbeatTimeout
	v.RecordContact(later, "c", &Report{Number: 3, Able: true, Follows: []Follow{{"a", 50*ms + HeartbeatTimeout}}})
	g.Expect(choose(v, later, false)).To(Equal(Choice{Leader: "b", Reachable: true}))
}

// The leader was frozen and wakes. What it knows of the others is old, and it
// would come back as the oldest just to be slow again.
func TestFrozenLeader(t *testing.T) {
	g := NewWithT(t)
	v, now := view()
	v.RecordContact(now, "c", able(3, "b"))
	g.Expect(choose(v, now, true).Leader).To(Equal(ID("b")))
	now += 3 * time.Second
	v.RecordStall(now, true)
	g.Expect(v.ExpirePeers(now)).To(BeEmpty())
	g.Expect(choose(v, now, false).Leader).NotTo(Equal(ID("b")))
	v.RecordContact(now, "c", able(3, "c"))
	g.Expect(choose(v, now+settle, false)).To(Equal(Choice{Leader: "c", Reachable: true}))
}

// The leader is about to be stopped as planned. It hands over while it still
// works, and takes the lead back only if nobody else is there.
func TestStoppingLeader(t *testing.T) {
	g := NewWithT(t)
	v, now := view()
	v.RecordContact(now, "c", able(3, "b"))
	v.SetStopping()
	g.Expect(choose(v, now, true).Leader).To(Equal(ID("b")))
	v.RecordContact(now, "c", able(3, "c"))
	g.Expect(choose(v, now, true).Leader).To(Equal(ID("c")))
	v.RemovePeer("c")
	g.Expect(choose(v, now, false).Leader).To(Equal(ID("b")))
}

func TestSilentProcesses(t *testing.T) {
	g := NewWithT(t)
	v, now := view()
	v.RecordContact(now, "a", able(1, "a"))
	g.Expect(v.ExpirePeers(now + HeartbeatTimeout)).To(BeEmpty())
	g.Expect(v.ExpirePeers(now + HeartbeatTimeout + ms)).To(Equal([]ID{"a"}))
	g.Expect(choose(v, now+HeartbeatTimeout+ms, false).Leader).To(Equal(ID("b")))
}

// Entry VMs differ in size. The small ones answer for callers; a scheduler on
// one of them would fall behind at the first burst.
func TestLargeVMsLead(t *testing.T) {
	g := NewWithT(t)
	v, now := view()
	v.SetMilliCPU(192)
	large := able(9, "z")
	large.MilliCPU = 800
	v.RecordContact(now, "z", large)
	g.Expect(choose(v, now, true)).To(Equal(Choice{Leader: "z", Reachable: true}))
}

// A large deployment has several shards. Each process has as many as the others,
// and the loss of one leaves most of the others' where they are.
func TestShardsSpread(t *testing.T) {
	g := NewWithT(t)
	const shards = 12
	first := func(lost ID) map[int]ID {
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
			owners[s] = v.first(time.Second, s)
		}
		return owners
	}
	all, without := first(""), first("c")
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

// A failure domain is cut off, and its processes aren't heard. Nobody outside leads
// its shards: they are led in there, and as the cut heals each side would take the
// runners from the other.
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
	g.Expect(own.Follows).To(Equal([]Follow{{Leader: "b"}, {}}), "others hear of a cell from the cell")
	g.Expect(v.ExpirePeers(3 * time.Second)).To(Equal([]ID{"w"}))
	g.Expect(v.Choose(3*time.Second, 1, false)).To(Equal(Choice{}))
}

// Small VMs know all that it takes to lead and leave it to the large ones. A restart
// of all needn't wait for them to say that they could.
func TestStandbyProcessesDontLead(t *testing.T) {
	g := NewWithT(t)
	v := started()
	v.PeersDiscovered(0)
	v.SetAble(true, true)
	g.Expect(v.CanSchedule()).To(BeTrue())
	g.Expect(choose(v, time.Second, false)).To(Equal(Choice{}))
	v = started()
	v.PeersDiscovered(0)
	v.SetAllVMsReachable(true)
	v.RecordContact(ms, "c", &Report{Number: 3, Standby: true})
	g.Expect(choose(v, 2*ms, false).Leader).To(Equal(ID("b")))
}

// Four shards are divided among three VMs. One that had none would leave the load of
// two to another.
func TestSharesAreEqual(t *testing.T) {
	g := NewWithT(t)
	for i := range 50 {
		ids := []ID{ID(rune('a' + i)), ID(rune('b' + i)), ID(rune('c' + i))}
		counts := make(map[ID]int)
		for _, id := range share(ids, []int{4, 5, 6, 7}) {
			counts[id]++
		}
		g.Expect(counts).To(HaveLen(3))
	}
}
