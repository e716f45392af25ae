package gateway

import (
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"sapphirepoint.example/sapphirepoint/core/leader"
	"sapphirepoint.example/sapphirepoint/core/workload"
)

// lostLeader returns a gateway in a cell that has lost the leader of shard 0 at lost. expected tells
// whether the shard will have the next one.
func lostLeader(lost Time, c leader.Choice, expected bool) *Gateway {
	gw := gatewayInCell()
	gw.SetLeaderExpected(0, expected)
	gw.SetLeader(lost, 0, c)
	return gw
}

// Guards against two runs of a task in two shards: another shard has the job, and a copy arrives here
// while the job's home has no leader that could tell.
func TestAJobWaitsForTheNextLeaderOfItsHome(t *testing.T) {
	for _, c := range []leader.Choice{{}, {Leader: "a"}} {
		g := NewWithT(t)
		gw := lostLeader(100*ms, c, true)
		gw.Submit(150*ms, 1, 0, testJob("j"), 3*time.Second)
		for now := 150 * ms; now < 2*time.Second; now += 20 * ms {
			gw.Tick(now)
			g.Expect(gw.Ready()).To(BeEmpty(), "at %v", now)
		}
		gw.SetLeader(2*time.Second, 0, leader.Choice{Leader: "d", Reachable: true})
		list := handIns(gw.Ready())
		g.Expect(list).To(HaveLen(1))
		g.Expect(list[0].Shard).To(Equal(0))
	}
}

// Guards against a second run in the home itself: the lost leader may have had the job from another entry
// process, and the next one must look for its runs.
func TestTheNextLeaderLooksForRunsOfAJobThatWaited(t *testing.T) {
	g := NewWithT(t)
	gw := lostLeader(100*ms, leader.Choice{}, true)
	gw.Submit(150*ms, 1, 0, testJob("j"), 3*time.Second)
	gw.SetLeader(200*ms, 0, leader.Choice{Leader: "d", Reachable: true})
	list := handIns(gw.Ready())
	g.Expect(list).To(HaveLen(1))
	g.Expect(list[0].PriorSubmissions).To(Equal(1))
	g.Expect(list[0].PriorRunsTTL).To(Equal(orphanRunTTL - 100*ms))
	gw.HandleVerdict(210*ms, noRoom("d", "j", workload.NotRun))
	answers := replies(gw.Ready())
	g.Expect(answers).To(HaveLen(1), "it goes to no third shard")
	g.Expect(answers[0].Outcome).To(Equal(workload.GaveUp))
}

// Guards against jobs that wait without need: the leader of their home is only out of reach from here, no
// process can follow it, or none has led yet.
func TestAJobDoesNotWaitForALeaderThatIsNotExpected(t *testing.T) {
	for name, gw := range map[string]*Gateway{
		"out of reach": lostLeader(100*ms, leader.Choice{Leader: "a"}, false),
		"no candidate": lostLeader(100*ms, leader.Choice{}, false),
	} {
		g := NewWithT(t)
		gw.Submit(150*ms, 1, 0, testJob("j"), 3*time.Second)
		list := handIns(gw.Ready())
		g.Expect(list).To(HaveLen(1), name)
		g.Expect(list[0].Shard).NotTo(Equal(0), name)
		g.Expect(list[0].PriorSubmissions).To(BeZero(), name)
	}
	g := NewWithT(t)
	gw := gatewayInCell()
	gw.SetLeaderExpected(3, true)
	gw.Submit(0, 1, 3, testJob("j"), time.Second)
	g.Expect(handIns(gw.Ready())).To(HaveLen(1), "its home has had no leader")
}

// Guards against a job that stays without an answer: the next leader doesn't come while its caller waits.
func TestAJobWhoseHomeGetsNoLeaderIsAnswered(t *testing.T) {
	g := NewWithT(t)
	gw := lostLeader(100*ms, leader.Choice{}, true)
	gw.Submit(150*ms, 1, 0, testJob("j"), time.Second)
	gw.Tick(1150*ms + answerGrace + ms)
	answers := replies(gw.Ready())
	g.Expect(answers).To(HaveLen(1))
	g.Expect(answers[0].Outcome).To(Equal(workload.GaveUp))
}
