package schedule

import (
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"sapphirepoint.example/sapphirepoint/core/workload"
)

// Guards against a job that runs twice: a new leader doesn't know that the job is in another shard, and
// a copy arrives by way of another process, before the report or after it.
func TestCopiesGoWhereTheJobIsReported(t *testing.T) {
	for _, copyFirst := range []bool{false, true} {
		b := leading(t, testRunner("r1"))
		for _, c := range fill(b, 2, 900*ms) {
			b.started(c, Accepted)
		}
		j := testJob(1, 300*ms)
		report := func() { b.s.NoteElsewhere(b.now, []JobElsewhere{{Job: j.ID, Shard: 3, Entry: "front-b#2"}}) }
		if !copyFirst {
			report()
		}
		b.submit(j, 3*time.Second)
		if copyFirst {
			report()
		}
		answers := lentAnswers(b)
		b.g.Expect(answers).To(HaveLen(1))
		b.g.Expect(answers[0].Entry).To(Equal(entryA))
		b.g.Expect(answers[0].Lender).To(Equal(3))
		b.g.Expect(answers[0].Outcome).To(Equal(workload.GaveUp))
		b.tick(time.Second)
		b.g.Expect(take[Start](b)).To(BeEmpty())
		b.g.Expect(b.s.Elsewhere()).To(Equal([]JobElsewhere{{Job: j.ID, Shard: 3, Entry: entryA, Copied: true}}))
	}
}

// Guards against a copy that is told that its job hasn't run: the job was refused here, and runs in
// another shard to which its entry process took it.
func TestACopyOfARefusedJobThatRunsElsewhere(t *testing.T) {
	b := leading(t, testRunner("r1"))
	b.s.SetUnreachable(false)
	j := testJob(1, 300*ms)
	b.s.retainResult(j.ID, workload.NotRun)
	b.s.NoteElsewhere(b.now, []JobElsewhere{{Job: j.ID, Shard: 3, Entry: entryA}})
	b.submitCopy(j, "front-b#2")
	b.g.Expect(one[Answer](b).Lent).To(BeTrue())
	b.s.Submit(b.now, Submission{Job: testJob(1, 300*ms), Entry: entryA, RemainingObjective: time.Second, RemainingTimeout: time.Second})
	b.g.Expect(take[Start](b)).To(HaveLen(1), "other jobs are served")
}

// Guards against a job that is given up although it may run here: the shard that had it has lost its
// leader, the runs there are over, and no copy went there.
func TestAJobComesBackFromAnotherShard(t *testing.T) {
	b := leading(t, testRunner("r1"))
	j := testJob(1, 300*ms)
	b.s.retainResult(j.ID, workload.NotRun)
	b.s.NoteElsewhere(b.now, []JobElsewhere{{Job: j.ID, Shard: 3, Entry: entryA}})
	b.s.Submit(b.now, Submission{Job: j, Entry: entryA, RemainingObjective: j.Objective, RemainingTimeout: 2 * time.Second, PriorSubmissions: 1})
	for _, h := range take[Hold](b) {
		b.held(h)
	}
	b.g.Expect(take[Start](b)).To(BeEmpty(), "a run that is being stopped may be missing on the first list")
	b.wait(b.longestStop() + 40*ms)
	b.g.Expect(take[Start](b)).To(HaveLen(1))
}

// Guards against two runs of a job at once, one at home and one in another shard: a copy that was started
// before the report is stopped, and no copy is sent to the other shard while that run may be alive here,
// since the job may have ended there.
func TestCopiesWaitForTheRunOfAStoppedCopy(t *testing.T) {
	for _, lost := range []bool{false, true} {
		b := leading(t, testRunner("r1"), testRunner("r2"))
		j := testJob(1, 300*ms)
		b.submit(j, 3*time.Second)
		c := one[Start](b)
		b.started(c, Accepted)
		b.s.NoteElsewhere(b.now, []JobElsewhere{{Job: j.ID, Shard: 3, Entry: entryB}})
		stop := one[Stop](b)
		b.g.Expect(stop.Run).To(Equal(c.Run))
		verdict := one[Answer](b)
		b.g.Expect(verdict.Entry).To(Equal(entryA))
		b.g.Expect(verdict.Outcome).To(Equal(workload.GaveUp))
		b.g.Expect(verdict.Lent).To(BeFalse())
		b.g.Expect(verdict.RetryAfter).To(BeNumerically(">", 0))

		b.stopped(stop, Unanswered)
		overAt := b.s.runners[c.Runner].runsOverAt()
		if lost {
			b.listsFenced(c.Runner)
		}
		b.submitCopy(j, entryA)
		b.g.Expect(one[Answer](b).Lent).To(BeFalse(), "lost: %t", lost)
		b.g.Expect(take[Start](b)).To(BeEmpty())

		b.now += 2 * ms
		if lost {
			b.now = overAt - ms
			b.submitCopy(j, entryA)
			b.g.Expect(one[Answer](b).Lent).To(BeFalse(), "the run may end late")
			b.now = overAt
		} else {
			b.end(c.Runner, 1, c.Run, workload.Stopped)
		}
		b.submitCopy(j, entryA)
		b.g.Expect(one[Answer](b).Lender).To(Equal(3), "lost: %t", lost)
		b.g.Expect(take[Start](b)).To(BeEmpty())
	}
}
