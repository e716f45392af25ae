package gateway

import (
	"fmt"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"sapphirepoint.example/sapphirepoint/core/workload"
)

// handedInAgain returns a gateway in a cell whose caller has left and sent the job again, with both
// hand-ins and the Drop between them taken.
func handedInAgain(g *WithT, job *workload.Job, after time.Duration) *Gateway {
	gw := gatewayInCell()
	gw.Submit(0, 1, 0, job, time.Second)
	gw.CallerLeft(10*ms, 1)
	gw.Submit(10*ms+after, 2, 0, job, time.Second)
	list := handIns(gw.Ready())
	g.Expect(list).To(HaveLen(2))
	g.Expect(list[1].To).To(Equal(list[0].To))
	return gw
}

// Guards against a task that runs twice: a lack of room for the dropped hand-in sends the job to another shard too.
func TestVerdictOnADroppedHandInRedirectsNothing(t *testing.T) {
	for _, outcome := range []workload.Outcome{workload.GaveUp, workload.NotRun} {
		t.Run(outcome.String(), func(t *testing.T) {
			g := NewWithT(t)
			gw := handedInAgain(g, testJob("j"), 10*ms)
			gw.HandleVerdict(25*ms, noRoom("a", "j", outcome))
			commands := gw.Ready()
			g.Expect(handIns(commands)).To(BeEmpty(), "the scheduler has the second hand-in")
			g.Expect(replies(commands)).To(HaveLen(1))
			g.Expect(commands).To(ContainElement(Drop{At: 25 * ms, To: "a", Job: "j"}), "the caller is answered")
		})
	}
}

// Guards against a caller who is told that its job never runs because the dropped hand-in of it was refused.
func TestRefusalOfADroppedHandInDoesNotProveNotRun(t *testing.T) {
	stored := testJob("j")
	stored.Stored = true
	for name, job := range map[string]*workload.Job{"best effort": testJob("j"), "stored": stored} {
		t.Run(name, func(t *testing.T) {
			g := NewWithT(t)
			gw := handedInAgain(g, job, 10*ms)
			gw.HandleVerdict(25*ms, Verdict{From: "a", Job: "j", Outcome: workload.NotRun, Cause: workload.LackOfRoom, RetryAfter: time.Second})
			answers := replies(gw.Ready())
			g.Expect(answers).To(HaveLen(1))
			g.Expect(answers[0].Outcome).To(Equal(workload.GaveUp), "the second hand-in may be accepted")
			g.Expect(answers[0].Cause).To(Equal(workload.LackOfRoom))
			g.Expect(answers[0].RetryAfter).To(Equal(time.Second))
		})
	}
}

// Guards against callers who get no answer of a completed job because an earlier hand-in was dropped.
func TestVerdictOnADroppedHandInThatCompletedIsPassedOn(t *testing.T) {
	g := NewWithT(t)
	gw := handedInAgain(g, testJob("j"), 10*ms)
	gw.HandleVerdict(25*ms, Verdict{From: "a", Job: "j", Outcome: workload.Completed})
	commands := gw.Ready()
	g.Expect(commands).To(HaveLen(1))
	g.Expect(replies(commands)[0].Outcome).To(Equal(workload.Completed))
}

// Guards against jobs that are kept from shards with room for longer than a late verdict can take.
func TestDroppedHandInsAreForgotten(t *testing.T) {
	g := NewWithT(t)
	gw := handedInAgain(g, testJob("j"), dropRetention)
	gw.HandleVerdict(dropRetention+20*ms, noRoom("a", "j", workload.NotRun))
	g.Expect(handIns(gw.Ready())).To(HaveLen(1))
	gw.CallerLeft(dropRetention+30*ms, 2)
	gw.Tick(2*dropRetention + 30*ms)
	g.Expect(gw.drops.latest).To(BeEmpty())
	g.Expect(gw.drops.ordered).To(BeEmpty())
}

// Guards against memory that grows with the callers who leave.
func TestDroppedHandInsAreBounded(t *testing.T) {
	g := NewWithT(t)
	d := newRecentDrops(dropRetention)
	for i := range maxDropsRemembered + 10 {
		d.add(droppedHandIn{job: workload.JobID(fmt.Sprint(i))})
	}
	d.add(droppedHandIn{job: "0"})
	g.Expect(d.ordered).To(HaveLen(maxDropsRemembered))
	g.Expect(d.latest).To(HaveLen(maxDropsRemembered))
	g.Expect(d.has(0, "0")).To(BeTrue(), "it was dropped again")
}

// Guards against a caller who is told to ask again for ever, since each refusal is followed by another
// drop.
func TestRefusalsOfAJobSentAgainBecomeFinal(t *testing.T) {
	g := NewWithT(t)
	gw := handedInAgain(g, testJob("j"), 10*ms)
	var last workload.Outcome
	for i := range 5 {
		now := 25*ms + time.Duration(i)*1300*ms
		if i > 0 {
			gw.Submit(now, uint64(2+i), 0, testJob("j"), time.Second)
		}
		gw.HandleVerdict(now, Verdict{From: "a", Job: "j", Outcome: workload.NotRun, Cause: workload.LackOfRoom})
		answers := replies(gw.Ready())
		g.Expect(answers).To(HaveLen(1))
		last = answers[0].Outcome
	}
	g.Expect(last).To(Equal(workload.NotRun))
}
