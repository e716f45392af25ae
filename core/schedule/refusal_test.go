package schedule

import (
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"sapphirepoint.example/sapphirepoint/core/workload"
)

// heldBackRefusal returns a harness that holds back the refusal of a stored job until its ownership of
// the rows is proved, and whose runner has become responsive again since.
func heldBackRefusal(t *testing.T) (*harness, *workload.Job) {
	b := leading(t, testRunner("r1"))
	b.s.SetAllReachable(false, b.now)
	b.s.RowOwnershipVerified(b.now, b.now)
	b.s.runners["r1"].markUnresponsive(b.now)
	b.now += ms
	j := storedJob(1, 100*ms)
	b.submit(j, 2*time.Second)
	b.g.ExpectWithOffset(1, take[Answer](b)).To(BeEmpty(), "the refusal is held back")
	b.s.runners["r1"].unresponsive = false
	b.now += 50 * ms
	return b, j
}

// Guards against a caller who is told that its job never runs, though a copy was accepted meanwhile.
func TestHeldBackRefusalOfAJobAcceptedSince(t *testing.T) {
	b, j := heldBackRefusal(t)
	b.submitCopy(j, "front-b#2")
	b.saved(one[Save](b))
	b.g.Expect(one[Answer](b).Outcome).To(Equal(workload.Accepted))
	b.now += 10 * ms
	b.s.RowOwnershipVerified(b.now, b.now)
	held := one[Answer](b)
	b.g.Expect([]any{held.Entry, held.Outcome}).To(Equal([]any{entryA, workload.Accepted}))
	b.g.Expect(take[Start](b)).To(HaveLen(1))
}

// Guards against the same while the accepted copy is being written to the store.
func TestHeldBackRefusalOfAJobBeingSaved(t *testing.T) {
	b, j := heldBackRefusal(t)
	b.submitCopy(j, "front-b#2")
	save := one[Save](b)
	b.now += 10 * ms
	b.s.RowOwnershipVerified(b.now, b.now)
	b.g.Expect(take[Answer](b)).To(BeEmpty(), "it isn't in the store")
	b.saved(save)
	answers := take[Answer](b)
	b.g.Expect(answers).To(HaveLen(2))
	for _, a := range answers {
		b.g.Expect(a.Outcome).To(Equal(workload.Accepted))
	}
}

// Guards against a caller who waits beyond its timeout once its refusal was replaced by a copy's
// acceptance.
func TestHeldBackRefusalKeepsItsTimeout(t *testing.T) {
	b, j := heldBackRefusal(t)
	b.submitCopy(j, "front-b#2")
	b.s.RowOwnershipVerified(b.now, b.now)
	b.tick(1940 * ms)
	b.g.Expect(take[Answer](b)).To(BeEmpty())
	b.tick(20 * ms)
	late := one[Answer](b)
	b.g.Expect([]any{late.Entry, late.Outcome}).To(Equal([]any{entryA, workload.GaveUp}))
}
