package gateway

import (
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"sapphirepoint.example/sapphirepoint/core/leader"
	"sapphirepoint.example/sapphirepoint/core/workload"
)

func lentBy(shard int, from leader.ID, id workload.JobID) Verdict {
	return Verdict{From: from, Job: id, Outcome: workload.NotRun, NoRoom: true, Lent: true, Lender: shard}
}

// A shard has no room, and another has granted some. The job goes there whatever wait it reports.
// Guards against a run in a third shard beside one of a copy: the home of the job sends copies to the
// lender, so a job that is refused there goes nowhere else.
func TestALentJobGoesToTheLender(t *testing.T) {
	g := NewWithT(t)
	gw := gatewayInCell()
	gw.SetExpectedWait(1, 300*ms)
	gw.Submit(0, 1, 0, testJob("j"), time.Second)
	gw.Ready()
	gw.HandleVerdict(5*ms, lentBy(1, "a", "j"))
	list := handIns(gw.Ready())
	g.Expect(list).To(HaveLen(1))
	g.Expect(list[0].Shard).To(Equal(1))
	g.Expect(list[0].Home).To(Equal(0))
	g.Expect(list[0].PriorSubmissions).To(BeZero(), "nothing has run")
	gw.HandleVerdict(10*ms, noRoom("b", "j", workload.NotRun))
	answers := replies(gw.Ready())
	g.Expect(answers).To(HaveLen(1))
	g.Expect(answers[0].Outcome).To(Equal(workload.NotRun), "the lender retains it")
}

// The lender is lost with a grant out, after the job was handed in. Guards against a copy in another
// shard while the lender's runs may be alive: the job goes to the next leader of the lender's shard.
func TestALentJobWhoseLenderIsLost(t *testing.T) {
	g := NewWithT(t)
	gw := gatewayInCell()
	gw.Submit(0, 1, 0, testJob("j"), 3*time.Second)
	gw.HandleVerdict(5*ms, lentBy(1, "a", "j"))
	gw.Ready()
	gw.SetLeader(100*ms, 1, leader.Choice{Leader: "d", Reachable: true})
	list := handIns(gw.Ready())
	g.Expect(list).To(HaveLen(1))
	g.Expect(list[0].Shard).To(Equal(1))
	g.Expect(list[0].PriorSubmissions).To(Equal(1))
	gw.HandleVerdict(110*ms, noRoom("d", "j", workload.NotRun))
	answers := replies(gw.Ready())
	g.Expect(answers).To(HaveLen(1))
	g.Expect(answers[0].Outcome).To(Equal(workload.GaveUp))
}

// The entry process can't reach the lender. Guards against a run in a third shard beside one of a copy,
// which the home sends to the lender: the job is handed back and goes nowhere else.
func TestALentJobWhoseLenderIsOutOfReach(t *testing.T) {
	g := NewWithT(t)
	gw := gatewayInCell()
	gw.Submit(0, 1, 0, testJob("j"), time.Second)
	gw.Ready()
	gw.HandleVerdict(5*ms, lentBy(3, "a", "j"))
	list := handIns(gw.Ready())
	g.Expect(list).To(HaveLen(1))
	g.Expect(list[0].Shard).To(Equal(0))
	g.Expect(list[0].HandedBack).To(BeTrue())

	gw = gatewayInCell()
	gw.Submit(0, 1, 0, testJob("j"), time.Second)
	gw.Ready()
	gw.choices[0] = leader.Choice{}
	gw.HandleVerdict(5*ms, lentBy(3, "a", "j"))
	answers := replies(gw.Ready())
	g.Expect(answers).To(HaveLen(1), "its home is out of reach as well")
	g.Expect(answers[0].Outcome).To(Equal(workload.GaveUp), "a copy may run at the lender")
}

// The same with a copy of a job that was lent before. Guards against a run in a third shard while
// the job runs in the lender's, or after it has ended there.
func TestACopyOfALentJobWhoseLenderIsOutOfReach(t *testing.T) {
	g := NewWithT(t)
	gw := gatewayInCell()
	gw.Submit(0, 1, 0, testJob("j"), time.Second)
	gw.Ready()
	v := lentBy(3, "a", "j")
	v.Outcome = workload.GaveUp
	gw.HandleVerdict(5*ms, v)
	list := handIns(gw.Ready())
	g.Expect(list).To(HaveLen(1))
	g.Expect(list[0].Shard).To(Equal(0))
	gw.HandleVerdict(10*ms, Verdict{From: "a", Job: "j", Outcome: workload.GaveUp})
	g.Expect(replies(gw.Ready())).To(HaveLen(1))
}

// The borrower is replaced by the next leader of the job's shard before its verdict arrives. Guards
// against a job that two schedulers have.
func TestALateVerdictOfTheFormerBorrowerIsIgnored(t *testing.T) {
	g := NewWithT(t)
	gw := gatewayInCell()
	gw.Submit(0, 1, 0, testJob("j"), time.Second)
	gw.SetLeader(5*ms, 0, leader.Choice{Leader: "d", Reachable: true})
	gw.Ready()
	gw.HandleVerdict(10*ms, lentBy(1, "a", "j"))
	g.Expect(gw.Ready()).To(BeEmpty())
}
