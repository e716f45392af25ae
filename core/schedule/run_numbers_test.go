package schedule

import (
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"sapphirepoint.example/sapphirepoint/core/ledger"
	"sapphirepoint.example/sapphirepoint/core/workload"
)

// rejectedOften returns a harness, and the start of a task after runners that are unhealthy have rejected a hundred.
func rejectedOften(t *testing.T, j *workload.Job) (*harness, Start) {
	b := leading(t, testRunner("r1"), testRunner("r2"), testRunner("r3"))
	b.accepted(j)
	next := func() Start {
		for range 1000 {
			if list := take[Start](b); len(list) > 0 {
				b.g.ExpectWithOffset(1, list).To(HaveLen(1))
				return list[0]
			}
			b.s.RowOwnershipVerified(b.now, b.now)
			b.wait(100 * ms)
		}
		t.Fatal("the task isn't started")
		return Start{}
	}
	for range 100 {
		b.started(next(), Unhealthy)
	}
	c := next()
	b.started(c, Accepted)
	return b, c
}

// Guards against runs of two owners that have the same number, after runners have rejected many starts.
func TestTheNextOwnersRunNumbersAreHigher(t *testing.T) {
	j := storedJob(1, 100*ms)
	_, last := rejectedOften(t, j)
	next := newHarness(t, testRunner("r4"))
	next.s.Lead(next.now)
	next.held(one[Hold](next))
	next.ownRows(2, openRecord(j, 1))
	next.wait(2 * maxPriorRunLife)
	next.g.Expect(one[Start](next).Run.Number).To(BeNumerically(">", last.Run.Number))
}

// Guards against a task that runs more often than its queue allows: a failed run isn't counted, since an earlier
// owner's failed run has the same number.
func TestAFailureCountsAfterManyRejectionsUnderAnEarlierOwner(t *testing.T) {
	j := storedJob(1, 100*ms)
	j.MaxAttempts = 2
	former, last := rejectedOften(t, j)
	former.end(last.Runner, 1, last.Run, workload.Failed)
	saves := take[Save](former)
	record := saves[len(saves)-1].Record
	record.Definition = j
	former.g.Expect(record.Failures).To(HaveLen(1))

	b := newHarness(t, testRunner("r4"))
	b.s.Lead(b.now)
	b.held(one[Hold](b))
	b.ownRows(2, record)
	b.wait(2 * maxPriorRunLife)
	start := one[Start](b)
	b.started(start, Accepted)
	b.end("r4", 1, start.Run, workload.Failed)
	saves = take[Save](b)
	b.g.Expect(saves).NotTo(BeEmpty())
	b.g.Expect(saves[len(saves)-1].Record.State).To(Equal(ledger.Failed))
	b.wait(time.Second)
	b.g.Expect(take[Start](b)).To(BeEmpty())
}

// Guards against an end that counts though its task runs again: the former owner's run isn't taken for one of an
// earlier owner.
func TestTheEndOfAFormerOwnersRunWaitsAfterManyRejections(t *testing.T) {
	j := storedJob(1, 2*time.Second)
	_, last := rejectedOften(t, j)
	b := newHarness(t, testRunner("r4"), testRunner("r5"))
	b.s.Lead(b.now)
	for _, h := range take[Hold](b) {
		b.held(h)
	}
	b.ownRows(2, openRecord(j, 1))
	b.wait(2 * maxPriorRunLife)
	second := one[Start](b)
	b.started(second, Accepted)
	other := b.s.runners["r4"]
	if second.Runner == "r4" {
		other = b.s.runners["r5"]
	}
	other.noteLease(b.now, b.s.cfg.Lease)
	b.end(other.info.ID, 1, last.Run, workload.Done)
	b.g.Expect(other.noLeaseUntil).To(Equal(other.aliveUntil))
}
