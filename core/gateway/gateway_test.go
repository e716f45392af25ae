package gateway

import (
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"sapphirepoint.example/sapphirepoint/core/leader"
	"sapphirepoint.example/sapphirepoint/core/workload"
)

const ms = time.Millisecond

var (
	toA = leader.Choice{Leader: "a", Reachable: true}
	toB = leader.Choice{Leader: "b", Reachable: true}
)

func testJob(id workload.JobID) *workload.Job {
	return &workload.Job{ID: id, Objective: 200 * ms, Steps: []workload.Step{{Tasks: 1}}}
}

func replies(cs []Command) (list []Reply) {
	for _, c := range cs {
		if r, ok := c.(Reply); ok {
			list = append(list, r)
		}
	}
	return list
}

func handIns(cs []Command) (list []HandIn) {
	for _, c := range cs {
		if h, ok := c.(HandIn); ok {
			list = append(list, h)
		}
	}
	return list
}

func TestOneAnswerForCopies(t *testing.T) {
	g := NewWithT(t)
	w := New()
	w.SetLeader(0, 0, toA)
	w.Submit(0, 1, 0, testJob("j"), time.Second)
	w.Submit(10*ms, 2, 0, testJob("j"), time.Second)
	g.Expect(handIns(w.Ready())).To(HaveLen(1))
	w.HandleVerdict(50*ms, Verdict{From: "a", Job: "j", Outcome: workload.Completed})
	g.Expect(replies(w.Ready())).To(HaveLen(2))
	g.Expect(w.InFlight()).To(BeZero())
}

// The scheduler is lost. Its jobs are handed to the next one with a word that
// they may be running, and the old one, should it live, is told to leave them.
func TestNextScheduler(t *testing.T) {
	g := NewWithT(t)
	w := New()
	w.SetLeader(0, 0, toA)
	w.Submit(0, 1, 0, testJob("j"), 2*time.Second)
	w.Ready()
	w.SetLeader(100*ms, 0, toB)
	out := w.Ready()
	g.Expect(out).To(ContainElement(Drop{At: 100 * ms, To: "a", Job: "j", HandedOver: true}))
	again := handIns(out)
	g.Expect(again).To(HaveLen(1))
	g.Expect(again[0].To).To(Equal(leader.ID("b")))
	g.Expect(again[0].Handed).To(Equal(1))
	g.Expect(again[0].Unknown).To(Equal(unknownLife))
	g.Expect(again[0].Patience).To(Equal(1900 * ms))

	w.HandleVerdict(200*ms, Verdict{From: "a", Job: "j", Outcome: workload.GaveUp})
	g.Expect(replies(w.Ready())).To(BeEmpty(), "the one that has the job decides")
	w.HandleVerdict(300*ms, Verdict{From: "a", Job: "j", Outcome: workload.Completed})
	g.Expect(replies(w.Ready())).To(HaveLen(1), "but a ready answer is delivered")
}

// A scheduler refuses a job that another one had before. That one may have run
// it, so the caller isn't told that nothing has run.
func TestRefusalAfterAHandover(t *testing.T) {
	g := NewWithT(t)
	w := New()
	w.SetLeader(0, 0, toA)
	w.Submit(0, 1, 0, testJob("j"), 2*time.Second)
	w.SetLeader(100*ms, 0, toB)
	w.Ready()
	w.HandleVerdict(200*ms, Verdict{From: "b", Job: "j", Outcome: workload.NotRun})
	r := replies(w.Ready())
	g.Expect(r).To(HaveLen(1))
	g.Expect(r[0].Outcome).To(Equal(workload.GaveUp))
}

// Nobody schedules: a job waits for as long as a change takes. If it is known
// that the scheduler can't be reached from here, its caller learns that at once.
func TestNoScheduler(t *testing.T) {
	g := NewWithT(t)
	w := New()
	w.Submit(0, 1, 0, testJob("j"), 2*time.Second)
	w.Tick(leaderWait)
	g.Expect(replies(w.Ready())).To(BeEmpty())
	w.Tick(leaderWait + ms)
	r := replies(w.Ready())
	g.Expect(r).To(HaveLen(1))
	g.Expect(r[0].RetryAfter).To(Equal(retryNoLeader))
	w.SetLeader(time.Second, 0, leader.Choice{Leader: "a"})
	w.Submit(time.Second, 2, 0, testJob("k"), 2*time.Second)
	g.Expect(replies(w.Ready())).To(HaveLen(1))
}

func TestCallerLeaves(t *testing.T) {
	g := NewWithT(t)
	w := New()
	w.SetLeader(0, 0, toA)
	w.Submit(0, 1, 0, testJob("j"), time.Second)
	w.Submit(0, 2, 0, testJob("j"), time.Second)
	w.Ready()
	w.CallerLeft(10*ms, 1)
	g.Expect(w.Ready()).To(BeEmpty(), "another caller still waits")
	w.CallerLeft(20*ms, 2)
	g.Expect(w.Ready()).To(ConsistOf(Drop{At: 20 * ms, To: "a", Job: "j"}))
}

// A scheduler says nothing more. The caller is answered when it would leave.
func TestNoWord(t *testing.T) {
	g := NewWithT(t)
	w := New()
	w.SetLeader(0, 0, toA)
	w.Submit(0, 1, 0, testJob("j"), time.Second)
	w.Ready()
	w.Tick(time.Second + answerSlack + ms)
	r := replies(w.Ready())
	g.Expect(r).To(HaveLen(1))
	g.Expect(r[0].Outcome).To(Equal(workload.GaveUp))
}

func TestEndOfTheProcess(t *testing.T) {
	g := NewWithT(t)
	w := New()
	w.SetLeader(0, 0, toA)
	w.Submit(0, 1, 0, testJob("j"), time.Second)
	w.Ready()
	w.GiveUp(10*ms, "the process ends")
	g.Expect(replies(w.Ready())).To(HaveLen(1))
}
