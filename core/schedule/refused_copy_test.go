package schedule

import (
	"strconv"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"sapphirepoint.example/sapphirepoint/core/workload"
)

// refusedJobOfB returns a harness that has refused a job of another entry process, and whose runner has
// become responsive again since.
func refusedJobOfB(t *testing.T, stored bool) (*harness, *workload.Job) {
	b := leading(t, testRunner("r1"))
	b.s.runners["r1"].markUnresponsive(b.now)
	j := testJob(1, 100*ms)
	j.Stored = stored
	b.submitCopy(j, "front-b#2")
	b.g.ExpectWithOffset(1, one[Answer](b).Outcome).To(Equal(workload.NotRun))
	b.s.runners["r1"].unresponsive = false
	b.now += 20 * ms
	return b, j
}

// Guards against a job that runs after a refusal, as a copy of it was held up in another entry process.
func TestEarlierCopyOfARefusedJob(t *testing.T) {
	for name, stored := range map[string]bool{"best effort": false, "stored": true} {
		t.Run(name, func(t *testing.T) {
			b, j := refusedJobOfB(t, stored)
			b.submit(j, 2*time.Second)
			b.saved(take[Save](b)...)
			b.g.Expect(take[Start](b)).To(BeEmpty())
			a := one[Answer](b)
			b.g.Expect([]any{a.Outcome, a.Cause}).To(Equal([]any{workload.NotRun, workload.CopyRefused}))
		})
	}
}

// Guards against a caller who asks again after a refusal and is refused for good.
func TestALaterAttemptOfARefusedJob(t *testing.T) {
	b, j := refusedJobOfB(t, true)
	b.submitCopy(j, "front-b#2")
	b.saved(one[Save](b))
	b.g.Expect(one[Answer](b).Outcome).To(Equal(workload.Accepted))
}

// Guards against a copy of a refused job that is refused for certain though another owner of the rows
// may have accepted it.
func TestCopyOfARefusedJobWhileOwnershipIsUncertain(t *testing.T) {
	b, j := refusedJobOfB(t, true)
	b.s.RowOwnershipVerified(b.now, b.now)
	b.s.SetAllReachable(false, b.now)
	b.now += ms
	b.submit(j, 2*time.Second)
	b.g.Expect(take[Answer](b)).To(BeEmpty())
	b.tick(refusalTimeout + 20*ms)
	b.g.Expect(one[Answer](b).Outcome).To(Equal(workload.GaveUp))
}

// Guards against a job that is refused here, accepted by the next owner of the rows, and denied to its
// caller when the rows come back.
func TestRefusedJobAcceptedByAnotherOwner(t *testing.T) {
	b, j := refusedJobOfB(t, true)
	b.s.RowOwnershipLost(b.now)
	b.ownRows(3, openRecord(j, 2))
	b.submit(j, 2*time.Second)
	b.g.Expect(one[Answer](b).Outcome).To(Equal(workload.Accepted))
}

// Guards against a job that another shard has accepted and that is lost as a copy was refused here.
func TestRefusedJobMovesHere(t *testing.T) {
	b, j := refusedJobOfB(t, true)
	b.s.AcceptMovedJob(b.now, entryA, MovedJob{From: 2, Job: j, Hand: 2, Age: time.Second})
	b.saved(one[Save](b))
	b.g.Expect(take[MoveAck](b)).To(HaveLen(1))
	b.submit(j, 2*time.Second)
	b.g.Expect(one[Answer](b).Outcome).To(Equal(workload.Accepted))
}

// Guards against a caller who was told to ask again under its id, and is refused for good without need.
func TestRefusalOfWhichNobodyIsToldIsntRemembered(t *testing.T) {
	b := leading(t, testRunner("r1"))
	b.s.runners["r1"].markUnresponsive(b.now)
	j := testJob(1, 100*ms)
	j.Stored = true
	b.s.Submit(b.now, Submission{
		Job: j, Entry: "front-b#2", RemainingObjective: j.Objective, RemainingTimeout: 2 * time.Second, PriorSubmissions: 1,
	})
	take[Answer](b)
	b.s.runners["r1"].unresponsive = false
	b.now += 20 * ms
	b.submit(j, 2*time.Second)
	b.saved(one[Save](b))
	b.g.Expect(one[Answer](b).Outcome).To(Equal(workload.Accepted))
}

// Guards against refused jobs that are remembered for ever, or beyond the bound.
func TestRefusedJobsAreForgotten(t *testing.T) {
	b, j := refusedJobOfB(t, true)
	b.g.Expect(b.s.refused.refusedElsewhere(j.ID, entryA)).To(BeTrue())
	b.now += resultRetention
	b.s.Tick(b.now)
	b.g.Expect(b.s.refused.refusedElsewhere(j.ID, entryA)).To(BeFalse())
	b.g.Expect(b.s.refused.order).To(BeEmpty())
	for i := range maxRefusedRemembered + 1 {
		b.s.refused.add(workload.JobID(strconv.Itoa(i)), entryB, b.now)
	}
	b.g.Expect(b.s.refused.told).To(HaveLen(maxRefusedRemembered))
	b.g.Expect(b.s.refused.refusedElsewhere("0", entryA)).To(BeFalse())
}
