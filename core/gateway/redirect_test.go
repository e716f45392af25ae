package gateway

import (
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"sapphirepoint.example/sapphirepoint/core/leader"
	"sapphirepoint.example/sapphirepoint/core/schedule"
	"sapphirepoint.example/sapphirepoint/core/workload"
)

// gatewayInCell returns a gateway in a cell of shards 0 and 1, beside a cell of shards 2 and 3
// of which only 2 has a reachable leader.
func gatewayInCell() *Gateway {
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

// A burst comes to one failure domain whose runners have no room. Its callers are served in a
// shard without waiting jobs; no job is redirected a second time.
func TestRefusedJobGoesToShardWithRoom(t *testing.T) {
	g := NewWithT(t)
	gw := gatewayInCell()
	gw.SetExpectedWait(1, 300*ms)
	gw.Submit(0, 1, 0, testJob("j"), time.Second)
	g.Expect(handIns(gw.Ready())).To(HaveLen(1))
	gw.HandleVerdict(5*ms, noRoom("a", "j", workload.NotRun))
	again := handIns(gw.Ready())
	g.Expect(again).To(HaveLen(1))
	g.Expect(again[0].Shard).To(Equal(2), "shard 1 has waiting jobs, shard 3 has no leader")
	g.Expect(again[0].PriorSubmissions).To(BeZero(), "nothing has run")
	g.Expect(again[0].RemainingTimeout).To(Equal(995 * ms))
	gw.HandleVerdict(10*ms, noRoom("c", "j", workload.NotRun))
	answers := replies(gw.Ready())
	g.Expect(answers).To(HaveLen(1))
	g.Expect(answers[0].Outcome).To(Equal(workload.NotRun))
}

// All domains are equally full. The job is refused at once; handing it in elsewhere would add
// load and not find room.
func TestRefusedIfNoShardHasRoom(t *testing.T) {
	g := NewWithT(t)
	gw := gatewayInCell()
	gw.SetExpectedWait(1, 10*ms)
	gw.SetExpectedWait(2, 10*ms)
	gw.Submit(0, 1, 0, testJob("j"), time.Second)
	gw.HandleVerdict(5*ms, noRoom("a", "j", workload.NotRun))
	g.Expect(replies(gw.Ready())).To(HaveLen(1))
}

// The first scheduler couldn't rule out that an earlier copy of the job has run. A refusal by
// another scheduler doesn't prove it either, so the answer isn't "not run".
func TestSecondRefusalDoesNotProveNotRun(t *testing.T) {
	g := NewWithT(t)
	gw := gatewayInCell()
	gw.Submit(0, 1, 0, testJob("j"), time.Second)
	gw.HandleVerdict(5*ms, noRoom("a", "j", workload.GaveUp))
	g.Expect(handIns(gw.Ready())).To(HaveLen(2))
	gw.HandleVerdict(10*ms, noRoom("b", "j", workload.NotRun))
	answers := replies(gw.Ready())
	g.Expect(answers).To(HaveLen(1))
	g.Expect(answers[0].Outcome).To(Equal(workload.GaveUp))
}

// A domain has lost its schedulers. New jobs go to another domain at once. Runs of a job that
// the lost scheduler had may continue, and only the runners of its shard know of them, so that
// job goes elsewhere when they must have ended, and not before.
func TestJobsOfLostSchedulerMoveAfterOrphanRuns(t *testing.T) {
	g := NewWithT(t)
	gw := gatewayInCell()
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
	gw.Tick(100*ms + orphanRunLifetime - ms)
	g.Expect(handIns(gw.Ready())).To(BeEmpty())
	gw.Tick(100*ms + orphanRunLifetime)
	list = handIns(gw.Ready())
	g.Expect(list).To(HaveLen(1))
	g.Expect(list[0].Shard).To(Equal(2))
	g.Expect(list[0].PriorRunsTTL).To(BeZero())
}

// A stored job belongs to one shard, and only the owner of its rows may accept it.
func TestStoredJobsStayWithTheirShard(t *testing.T) {
	g := NewWithT(t)
	gw := gatewayInCell()
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

// Guards against a second run in another shard beside one on a runner that is cut off and ends the run late: the runners there
// don't show it, and its shard's next leader, which would wait for that runner, isn't asked.
func TestJobsOfALostSchedulerStayWhileTheirRunsMayEndLate(t *testing.T) {
	for lateness, stopsAt := range map[time.Duration]Time{1500 * ms: 0, 500 * ms: 450 * ms} {
		g := NewWithT(t)
		gw := gatewayInCell()
		gw.SetLeader(0, 1, leader.Choice{})
		gw.Submit(0, 1, 0, testJob("had"), 9*time.Second)
		g.Expect(handIns(gw.Ready())).To(HaveLen(1))
		gw.SetLeader(0, 0, leader.Choice{})
		gw.Tick(stopsAt + schedule.DefaultConfig().Lease + lateness)
		g.Expect(handIns(gw.Ready())).To(BeEmpty(), "runs end %v late, and the lost scheduler granted leases until %v", lateness, stopsAt)
	}
}
