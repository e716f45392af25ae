package gateway

import (
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"sapphirepoint.example/sapphirepoint/core/leader"
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
	for now := 400 * ms; now < 10*ms+orphanRunLifetime; now += 20 * ms {
		gw.Tick(now)
		g.Expect(handIns(gw.Ready())).To(BeEmpty(), "at %v", now)
	}
	gw.Submit(20*ms+orphanRunLifetime, 3, 0, testJob("j"), 2*time.Second)
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
	g.Expect(list[0].PriorRunsTTL).To(Equal(10*ms + orphanRunLifetime - 700*ms))
}

// Guards against callers who come back as late as they should, and wait for runs that are over.
func TestAJobSentAgainInTimeIsANewOne(t *testing.T) {
	g := NewWithT(t)
	gw := leftBeside(10*ms, 300*ms)
	gw.Submit(10*ms+orphanRunLifetime, 2, 0, testJob("j"), 2*time.Second)
	list := handIns(gw.Ready())
	g.Expect(list).To(HaveLen(1))
	g.Expect(list[0].Shard).NotTo(Equal(0))
	g.Expect(list[0].PriorSubmissions).To(BeZero())
}
