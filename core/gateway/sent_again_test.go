package gateway

import (
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"sapphirepoint.example/sapphirepoint/core/leader"
	"sapphirepoint.example/sapphirepoint/core/workload"
)

// leftBeside returns a gateway in a cell whose caller has left, and that has lost the leader of the
// job's home since.
func leftBeside(left, lost Time) *Gateway {
	gw := gatewayInCell()
	gw.Submit(0, 1, 0, testJob("j"), time.Second)
	gw.CallerLeft(left, 1)
	gw.SetLeader(lost, 0, leader.Choice{Leader: "a"})
	gw.Ready()
	return gw
}

// Guards against two runs of a task in two shards: its caller leaves and sends it again at once, and the
// leader of its home is lost meanwhile, whose run may be alive.
func TestAJobSentAgainStaysInItsHomeWhileItsRunMayLive(t *testing.T) {
	g := NewWithT(t)
	gw := leftBeside(10*ms, 300*ms)
	gw.Submit(400*ms, 2, 0, testJob("j"), 2*time.Second)
	for now := 400 * ms; now < 10*ms+silentRunTTL; now += 20 * ms {
		gw.Tick(now)
		g.Expect(handIns(gw.Ready())).To(BeEmpty(), "at %v", now)
	}
	gw.Submit(20*ms+orphanRunTTL, 3, 0, testJob("j"), 2*time.Second)
	g.Expect(handIns(gw.Ready())).To(HaveLen(1))
}

// Guards against the same in the home: its next leader must know that a run may be alive.
func TestTheNextLeaderLearnsOfADroppedHandIn(t *testing.T) {
	g := NewWithT(t)
	gw := leftBeside(10*ms, 300*ms)
	gw.SetLeader(600*ms, 0, leader.Choice{Leader: "d", Reachable: true})
	gw.Submit(700*ms, 2, 0, testJob("j"), 2*time.Second)
	list := handIns(gw.Ready())
	g.Expect(list).To(HaveLen(1))
	g.Expect(list[0].PriorSubmissions).To(BeNumerically(">", 0))
	g.Expect(list[0].PriorRunsTTL).To(Equal(10*ms + orphanRunTTL - 700*ms))
}

// Guards against callers who come back as late as they should, and wait for runs that are over.
func TestAJobSentAgainInTimeIsANewOne(t *testing.T) {
	g := NewWithT(t)
	gw := leftBeside(10*ms, 300*ms)
	gw.Submit(10*ms+orphanRunTTL, 2, 0, testJob("j"), 2*time.Second)
	list := handIns(gw.Ready())
	g.Expect(list).To(HaveLen(1))
	g.Expect(list[0].Shard).NotTo(Equal(0))
	g.Expect(list[0].PriorSubmissions).To(BeZero())
}

// givenUpBeside returns a gateway in a cell whose caller was told that its job is given up, since a runner is silent, and that
// has lost the leader of the job's home since.
func givenUpBeside(givenUp, lost Time) *Gateway {
	gw := gatewayInCell()
	gw.Submit(0, 1, 0, testJob("j"), time.Second)
	gw.HandleVerdict(givenUp, Verdict{From: "a", Job: "j", Outcome: workload.GaveUp, Cause: workload.RunnerSilent})
	gw.SetLeader(lost, 0, leader.Choice{Leader: "a"})
	gw.Ready()
	return gw
}

// Guards against two runs of a task in two shards: its job was given up early, its run may be alive on a silent runner, and it is
// sent again after the leader of its home was lost.
func TestAJobThatWasGivenUpStaysInItsHomeWhileItsRunMayLive(t *testing.T) {
	g := NewWithT(t)
	gw := givenUpBeside(10*ms, 300*ms)
	gw.Submit(400*ms, 2, 0, testJob("j"), 2*time.Second)
	for now := 400 * ms; now < 10*ms+silentRunTTL; now += 20 * ms {
		gw.Tick(now)
		g.Expect(handIns(gw.Ready())).To(BeEmpty(), "at %v", now)
	}
}

// Guards against the same in the home: its next leader must know that a run may be alive.
func TestTheNextLeaderLearnsOfAJobThatWasGivenUp(t *testing.T) {
	g := NewWithT(t)
	gw := givenUpBeside(10*ms, 300*ms)
	gw.SetLeader(600*ms, 0, leader.Choice{Leader: "d", Reachable: true})
	gw.Submit(700*ms, 2, 0, testJob("j"), 2*time.Second)
	list := handIns(gw.Ready())
	g.Expect(list).To(HaveLen(1))
	g.Expect(list[0].PriorSubmissions).To(BeNumerically(">", 0))
}

// endedWithRuns are the ways by which a job that went to shard 1 ends though a run of it may be alive, and for how long that may be.
var endedWithRuns = map[string]struct {
	do       func(gw *Gateway, now Time)
	runsLive time.Duration
}{
	"the caller has left": {func(gw *Gateway, now Time) { gw.CallerLeft(now, 1) }, orphanRunTTL},
	"given up early": {func(gw *Gateway, now Time) {
		gw.HandleVerdict(now, Verdict{From: "b", Job: "j", Outcome: workload.GaveUp, Cause: workload.RunnerSilent})
	}, silentRunTTL},
}

// Guards against two runs of a task in two shards: its job went to another shard, since its home had no leader, and was dropped or
// given up there while its run may be alive. Sent again, it came to the home, which has a leader by then that knows of no run.
func TestAJobSentAgainGoesToTheShardThatKnowsItsRuns(t *testing.T) {
	for name, end := range endedWithRuns {
		t.Run(name, func(t *testing.T) {
			g := NewWithT(t)
			gw := gatewayInCell()
			gw.SetLeader(0, 0, leader.Choice{Leader: "a"})
			gw.Submit(0, 1, 0, testJob("j"), time.Second)
			g.Expect(handIns(gw.Ready())).To(ConsistOf(HaveField("Shard", 1)))
			end.do(gw, 300*ms)
			gw.SetLeader(350*ms, 0, leader.Choice{Leader: "d", Reachable: true})
			gw.Ready()
			gw.Submit(400*ms, 2, 0, testJob("j"), 2*time.Second)
			out := gw.Ready()
			g.Expect(handIns(out)).To(ConsistOf(HaveField("Shard", 1)))
			g.Expect(out).To(ContainElement(BeAssignableToTypeOf(ReportElsewhere{})), "copies come to the home by way of others")

			gw.CallerLeft(410*ms, 2)
			gw.Submit(max(410*ms+orphanRunTTL, 300*ms+end.runsLive)-ms, 3, 0, testJob("j"), 2*time.Second)
			g.Expect(handIns(gw.Ready())).To(ConsistOf(HaveField("Shard", 1)))
			gw.HandleVerdict(gw.now, Verdict{From: "b", Job: "j", Outcome: workload.GaveUp})
			gw.Ready()
			gw.Submit(max(410*ms+orphanRunTTL, 300*ms+end.runsLive), 4, 0, testJob("j"), 2*time.Second)
			g.Expect(handIns(gw.Ready())).To(ConsistOf(HaveField("Shard", 0)), "its runs are over by now")
		})
	}
}

// Guards against two runs of a task in two shards: its job went to another shard, since its home had no leader, and was dropped or
// given up there while its run may be alive. Sent again by way of another entry process, it comes to the home's next leader.
func TestTheNextLeaderLearnsOfJobsThatEndedElsewhereWhileTheirRunsMayLive(t *testing.T) {
	for name, end := range endedWithRuns {
		t.Run(name, func(t *testing.T) {
			g := NewWithT(t)
			gw := gatewayInCell()
			gw.SetLeader(0, 0, leader.Choice{Leader: "a"})
			gw.Submit(0, 1, 0, testJob("j"), time.Second)
			end.do(gw, 300*ms)
			gw.Ready()
			gw.SetLeader(350*ms, 0, leader.Choice{Leader: "d", Reachable: true})
			report := ReportElsewhere{At: 350 * ms, To: "d", Home: 0, Jobs: []JobElsewhere{{Job: "j", Shard: 1}}}
			g.Expect(gw.Ready()).To(ContainElement(report))

			gw.SetLeader(300*ms+end.runsLive, 0, leader.Choice{Leader: "a", Reachable: true})
			g.Expect(gw.Ready()).NotTo(ContainElement(BeAssignableToTypeOf(ReportElsewhere{})), "its runs are over by now")
		})
	}
}
