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
	gw.Submit(0, 1, 0, testJob("had"), silentRunTTL+3*time.Second)
	g.Expect(handIns(gw.Ready())).To(HaveLen(1))
	gw.SetLeader(100*ms, 0, leader.Choice{})
	gw.Submit(100*ms, 2, 0, testJob("new"), 3*time.Second)
	g.Expect(gw.HasReachableScheduler()).To(BeTrue())
	list := handIns(gw.Ready())
	g.Expect(list).To(HaveLen(1))
	g.Expect(list[0].Job.ID).To(BeEquivalentTo("new"))
	g.Expect(list[0].Shard).To(Equal(2))
	gw.Tick(100*ms + silentRunTTL - ms)
	g.Expect(handIns(gw.Ready())).To(BeEmpty())
	gw.Tick(100*ms + silentRunTTL)
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

// jobOfALostLeader returns a gateway in a cell that has lost the leader of a job's shard, with the job in its hands.
func jobOfALostLeader(g *WithT, lost Time, timeout time.Duration) *Gateway {
	gw := gatewayInCell()
	gw.SetLeader(0, 1, leader.Choice{})
	gw.Submit(0, 1, 0, testJob("had"), timeout)
	g.Expect(handIns(gw.Ready())).To(HaveLen(1))
	gw.SetLeader(lost, 0, leader.Choice{})
	gw.Ready()
	return gw
}

// Guards against a caller who is kept waiting for what can't be done any more: the job may not go to another shard in
// time, and its own is to have no leader.
func TestAJobThatCanNeitherStayNorGoElsewhereInTimeIsGivenUp(t *testing.T) {
	g := NewWithT(t)
	gw := jobOfALostLeader(g, 100*ms, 3*time.Second)
	gw.Tick(100*ms + orphanRunTTL - ms)
	g.Expect(gw.Ready()).To(BeEmpty())
	gw.Tick(100*ms + orphanRunTTL)
	commands := gw.Ready()
	g.Expect(commands).To(HaveLen(1))
	answer := replies(commands)[0]
	g.Expect(answer.Outcome).To(Equal(workload.GaveUp))
	g.Expect(answer.Cause).To(Equal(workload.NoScheduler))
	g.Expect(answer.RetryAfter).To(Equal(schedule.MaxLateEnd))
}

// Guards against a job that is given up though its shard is to have a leader, or has one again.
func TestAJobWhoseShardWillHaveALeaderIsNotGivenUp(t *testing.T) {
	g := NewWithT(t)
	gw := jobOfALostLeader(g, 100*ms, 3*time.Second)
	gw.SetLeaderExpected(0, true)
	gw.Tick(2 * time.Second)
	g.Expect(gw.Ready()).To(BeEmpty())
	gw.SetLeader(2100*ms, 0, leader.Choice{Leader: "d", Reachable: true})
	list := handIns(gw.Ready())
	g.Expect(list).To(HaveLen(1))
	g.Expect(list[0].Shard).To(Equal(0))
	g.Expect(list[0].PriorSubmissions).To(Equal(1))
}

// Guards against the same second run when the caller, told that the job was given up, sends it again: no other shard gets it
// while its run may be alive.
func TestAJobThatWasGivenUpStaysInItsShardWhileItsRunsMayEndLate(t *testing.T) {
	g := NewWithT(t)
	gw := jobOfALostLeader(g, 100*ms, 3*time.Second)
	gw.Tick(100*ms + orphanRunTTL)
	g.Expect(replies(gw.Ready())).To(HaveLen(1))
	for request, now := uint64(2), 100*ms+orphanRunTTL+time.Second; now < 100*ms+silentRunTTL-20*ms; request, now = request+1, now+time.Second {
		gw.Submit(now, request, 0, testJob("had"), 3*time.Second)
		gw.Tick(now + 20*ms)
		g.Expect(handIns(gw.Ready())).To(BeEmpty(), "at %v", now)
		gw.CallerLeft(now+30*ms, request)
	}
	gw.Submit(100*ms+silentRunTTL, 99, 0, testJob("had"), 3*time.Second)
	list := handIns(gw.Ready())
	g.Expect(list).To(HaveLen(1))
	g.Expect(list[0].Shard).To(Equal(2))
}

// Guards against the same while the job's shard has a leader again, which has to look for its runs.
func TestAJobThatWasGivenUpGoesToTheNextLeaderOfItsShard(t *testing.T) {
	g := NewWithT(t)
	gw := jobOfALostLeader(g, 100*ms, 3*time.Second)
	gw.Tick(100*ms + orphanRunTTL)
	gw.Submit(3*time.Second, 2, 0, testJob("had"), 6*time.Second)
	gw.Ready()
	gw.SetLeader(3100*ms, 0, leader.Choice{Leader: "d", Reachable: true})
	list := handIns(gw.Ready())
	g.Expect(list).To(HaveLen(1))
	g.Expect(list[0].Shard).To(Equal(0))
	g.Expect(list[0].PriorSubmissions).To(Equal(1))
}
