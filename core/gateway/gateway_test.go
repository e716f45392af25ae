package gateway

import (
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"sapphirepoint.example/sapphirepoint/core/leader"
	"sapphirepoint.example/sapphirepoint/core/schedule"
	"sapphirepoint.example/sapphirepoint/core/workload"
)

const ms = time.Millisecond

var (
	leaderA = leader.Choice{Leader: "a", Reachable: true}
	leaderB = leader.Choice{Leader: "b", Reachable: true}
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

func TestCopiesGetTheSameAnswer(t *testing.T) {
	g := NewWithT(t)
	w := New()
	w.SetLeader(0, 0, leaderA)
	w.Submit(0, 1, 0, testJob("j"), time.Second)
	w.Submit(10*ms, 2, 0, testJob("j"), time.Second)
	g.Expect(handIns(w.Ready())).To(HaveLen(1))
	w.HandleVerdict(50*ms, Verdict{From: "a", Job: "j", Outcome: workload.Completed})
	g.Expect(replies(w.Ready())).To(HaveLen(2))
	g.Expect(w.InFlight()).To(BeZero())
}

// The scheduler is lost. Its jobs are handed over to the next scheduler, together with the
// time for which they may still run, and the former scheduler receives a Drop for each.
func TestJobsAreHandedOverToNextScheduler(t *testing.T) {
	g := NewWithT(t)
	w := New()
	w.SetLeader(0, 0, leaderA)
	w.Submit(0, 1, 0, testJob("j"), 2*time.Second)
	w.Ready()
	w.SetLeader(100*ms, 0, leaderB)
	out := w.Ready()
	g.Expect(out).To(ContainElement(Drop{At: 100 * ms, To: "a", Job: "j", HandedOver: true}))
	again := handIns(out)
	g.Expect(again).To(HaveLen(1))
	g.Expect(again[0].To).To(Equal(leader.ID("b")))
	g.Expect(again[0].PriorSubmissions).To(Equal(1))
	g.Expect(again[0].PriorRunsTTL).To(Equal(orphanRunTTL))
	g.Expect(again[0].RemainingTimeout).To(Equal(1900 * ms))

	w.HandleVerdict(200*ms, Verdict{From: "a", Job: "j", Outcome: workload.GaveUp})
	g.Expect(replies(w.Ready())).To(BeEmpty(), "only the scheduler that has the job may give it up")
	w.HandleVerdict(300*ms, Verdict{From: "a", Job: "j", Outcome: workload.Completed})
	g.Expect(replies(w.Ready())).To(HaveLen(1), "a completed job is answered whoever completed it")
}

// A scheduler refuses a job that another scheduler had before. That one may have run it, so
// the answer isn't "not run".
func TestRefusalAfterAHandover(t *testing.T) {
	g := NewWithT(t)
	w := New()
	w.SetLeader(0, 0, leaderA)
	w.Submit(0, 1, 0, testJob("j"), 2*time.Second)
	w.SetLeader(100*ms, 0, leaderB)
	w.Ready()
	w.HandleVerdict(200*ms, Verdict{From: "b", Job: "j", Outcome: workload.NotRun})
	r := replies(w.Ready())
	g.Expect(r).To(HaveLen(1))
	g.Expect(r[0].Outcome).To(Equal(workload.GaveUp))
}

// The process has just started, and other processes follow a leader with which it isn't connected
// yet. Guards against a caller who is refused at once though the connection is a moment away.
func TestJobsWaitForTheFirstConnection(t *testing.T) {
	g := NewWithT(t)
	gw := New()
	gw.SetStarting(true)
	gw.SetLeader(0, 0, leader.Choice{Leader: "a"})
	gw.Submit(0, 1, 0, testJob("j"), time.Second)
	gw.Tick(noLeaderTimeout + ms)
	g.Expect(replies(gw.Ready())).To(BeEmpty())
	gw.SetLeader(500*ms, 0, leader.Choice{Leader: "a", Reachable: true})
	g.Expect(handIns(gw.Ready())).To(HaveLen(1))

	gw = New()
	gw.SetLeader(0, 0, leader.Choice{Leader: "a"})
	gw.Submit(0, 1, 0, testJob("j"), time.Second)
	g.Expect(replies(gw.Ready())).To(HaveLen(1), "a process that has been running knows that the leader is cut off")
}

// There is no scheduler: a job waits for as long as a change of leader takes. If the leader
// is known to be unreachable from here, the caller is answered at once.
func TestNoScheduler(t *testing.T) {
	g := NewWithT(t)
	w := New()
	w.Submit(0, 1, 0, testJob("j"), 2*time.Second)
	w.Tick(noLeaderTimeout)
	g.Expect(replies(w.Ready())).To(BeEmpty())
	w.Tick(noLeaderTimeout + ms)
	r := replies(w.Ready())
	g.Expect(r).To(HaveLen(1))
	g.Expect(r[0].RetryAfter).To(Equal(noLeaderRetryAfter))
	w.SetLeader(time.Second, 0, leader.Choice{Leader: "a"})
	w.Submit(time.Second, 2, 0, testJob("k"), 2*time.Second)
	g.Expect(replies(w.Ready())).To(HaveLen(1))
}

func TestJobIsDroppedWithLastCaller(t *testing.T) {
	g := NewWithT(t)
	w := New()
	w.SetLeader(0, 0, leaderA)
	w.Submit(0, 1, 0, testJob("j"), time.Second)
	w.Submit(0, 2, 0, testJob("j"), time.Second)
	w.Ready()
	w.CallerLeft(10*ms, 1)
	g.Expect(w.Ready()).To(BeEmpty(), "another caller still waits")
	w.CallerLeft(20*ms, 2)
	g.Expect(w.Ready()).To(ConsistOf(Drop{At: 20 * ms, To: "a", Job: "j"}))
}

// A scheduler doesn't answer. The caller is answered when its timeout and the grace end.
func TestSchedulerDoesNotAnswer(t *testing.T) {
	g := NewWithT(t)
	w := New()
	w.SetLeader(0, 0, leaderA)
	w.Submit(0, 1, 0, testJob("j"), time.Second)
	w.Ready()
	w.Tick(time.Second + answerGrace + ms)
	r := replies(w.Ready())
	g.Expect(r).To(HaveLen(1))
	g.Expect(r[0].Outcome).To(Equal(workload.GaveUp))
}

func TestGiveUpAtProcessEnd(t *testing.T) {
	g := NewWithT(t)
	w := New()
	w.SetLeader(0, 0, leaderA)
	w.Submit(0, 1, 0, testJob("j"), time.Second)
	w.Ready()
	w.GiveUp(10*ms, "the process ends")
	g.Expect(replies(w.Ready())).To(HaveLen(1))
}

// Guards against a run of a withdrawn job that outlives the time for which the next scheduler waits: a
// scheduler has its runs over Resend after it lost their job.
func TestRunsOfAWithdrawnJobAreOverBeforeResend(t *testing.T) {
	NewWithT(t).Expect(orphanRunTTL).To(BeNumerically(">=", schedule.DefaultConfig().Resend))
}
