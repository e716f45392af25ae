package gateway

import (
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"sapphirepoint.example/sapphirepoint/core/leader"
	"sapphirepoint.example/sapphirepoint/core/workload"
)

// cells returns a gateway in a cell of shards 0 and 1, beside one of shards 2 and 3
// of which only 2 has a leader in reach.
func cells() *Gateway {
	g := New()
	g.SetFallbackShards(FallbackShards{SameCell: []int{0, 1}, OtherCells: []int{2, 3}})
	for shard, id := range map[int]leader.ID{0: "a", 1: "b", 2: "c"} {
		g.SetLeader(0, shard, leader.Choice{Leader: id, Reachable: true})
	}
	return g
}

func noRoom(from leader.ID, id workload.JobID, o workload.Outcome) Verdict {
	return Verdict{From: from, Job: id, Outcome: o, NoRoom: true, Reason: "wait of 2s expected"}
}

// A burst comes to one failure domain, whose runners have no room. Its callers are
// served where nothing waits; none is sent round after that.
func TestBurstGoesWhereRoomIs(t *testing.T) {
	g := NewWithT(t)
	gw := cells()
	gw.SetExpectedWait(1, 300*ms)
	gw.Submit(0, 1, 0, testJob("j"), time.Second)
	g.Expect(handIns(gw.Ready())).To(HaveLen(1))
	gw.HandleVerdict(5*ms, noRoom("a", "j", workload.NotRun))
	again := handIns(gw.Ready())
	g.Expect(again).To(HaveLen(1))
	g.Expect(again[0].Shard).To(Equal(2), "in shard 1 others wait, and 3 has no leader")
	g.Expect(again[0].Handed).To(BeZero(), "nothing has run")
	g.Expect(again[0].Patience).To(Equal(995 * ms))
	gw.HandleVerdict(10*ms, noRoom("c", "j", workload.NotRun))
	answers := replies(gw.Ready())
	g.Expect(answers).To(HaveLen(1))
	g.Expect(answers[0].Outcome).To(Equal(workload.NotRun))
}

// All domains are as full. The refusal is given at once, and handing the job on would
// only add load.
func TestNobodyHasRoom(t *testing.T) {
	g := NewWithT(t)
	gw := cells()
	gw.SetExpectedWait(1, 10*ms)
	gw.SetExpectedWait(2, 10*ms)
	gw.Submit(0, 1, 0, testJob("j"), time.Second)
	gw.HandleVerdict(5*ms, noRoom("a", "j", workload.NotRun))
	g.Expect(replies(gw.Ready())).To(HaveLen(1))
}

// The first scheduler couldn't tell whether an earlier copy of the job has run. That
// another one refuses it too doesn't make "not run" true.
func TestRefusalElsewhereIsNoMoreThanWasKnown(t *testing.T) {
	g := NewWithT(t)
	gw := cells()
	gw.Submit(0, 1, 0, testJob("j"), time.Second)
	gw.HandleVerdict(5*ms, noRoom("a", "j", workload.GaveUp))
	g.Expect(handIns(gw.Ready())).To(HaveLen(2))
	gw.HandleVerdict(10*ms, noRoom("b", "j", workload.NotRun))
	answers := replies(gw.Ready())
	g.Expect(answers).To(HaveLen(1))
	g.Expect(answers[0].Outcome).To(Equal(workload.GaveUp))
}

// A domain has lost its schedulers. New jobs go to another one at once. A job that
// the lost scheduler had may run on: only the runners of its shard could tell, so it
// goes elsewhere when that must be over, and not before.
func TestJobsOfALostScheduler(t *testing.T) {
	g := NewWithT(t)
	gw := cells()
	gw.SetLeader(0, 1, leader.Choice{})
	gw.Submit(0, 1, 0, testJob("had"), 3*time.Second)
	g.Expect(handIns(gw.Ready())).To(HaveLen(1))
	gw.SetLeader(100*ms, 0, leader.Choice{})
	gw.Submit(100*ms, 2, 0, testJob("new"), 3*time.Second)
	g.Expect(gw.HasReachableScheduler()).To(BeTrue())
	list := handIns(gw.Ready())
	g.Expect(list).To(HaveLen(1))
	g.Expect(list[0].Job.ID).To(BeEquivalentTo("new"))
	g.Expect(list[0].Shard).To(Equal(2))
	gw.Tick(100*ms + unknownLife - ms)
	g.Expect(handIns(gw.Ready())).To(BeEmpty())
	gw.Tick(100*ms + unknownLife)
	list = handIns(gw.Ready())
	g.Expect(list).To(HaveLen(1))
	g.Expect(list[0].Shard).To(Equal(2))
	g.Expect(list[0].Unknown).To(BeZero())
}

// A stored job belongs to one shard, whose owner alone may accept it.
func TestStoredJobsStayWithTheirShard(t *testing.T) {
	g := NewWithT(t)
	gw := cells()
	gw.SetLeader(0, 0, leader.Choice{})
	job := testJob("j")
	job.Stored = true
	gw.Submit(0, 1, 0, job, time.Second)
	g.Expect(gw.Ready()).To(BeEmpty())
	gw.SetLeader(10*ms, 0, leader.Choice{Leader: "a", Reachable: true})
	g.Expect(handIns(gw.Ready())).To(HaveLen(1))
	gw.HandleVerdict(20*ms, noRoom("a", "j", workload.NotRun))
	g.Expect(replies(gw.Ready())).To(HaveLen(1))
}
