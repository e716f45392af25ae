package ledger

import (
	"testing"
	"time"

	. "github.com/onsi/gomega"
)

func (b *harness) excludes(vm string) bool {
	_, all := b.l.Excludes(b.now, []string{vm})
	return all
}

// Guards against an owner that relies on an exclusion that isn't confirmed yet, or that has
// expired because its renewal wasn't answered.
func TestExclusionExpires(t *testing.T) {
	b := openHarness(t)
	b.l.Exclude([]string{"c2"})
	b.tick(20 * ms)
	c := takeOne[Claim](b)
	b.g.Expect(c.Renew).To(Equal(uint64(3)), "the epoch is renewed")
	b.g.Expect(c.Excluded).To(Equal([]string{"c2"}))
	b.g.Expect(b.excludes("c2")).To(BeFalse(), "the claim isn't answered yet")
	b.answerClaim(c, Ownership{Epoch: 3, Version: 31})
	b.g.Expect(b.excludes("c2")).To(BeTrue())
	b.g.Expect(b.excludes("c1")).To(BeFalse())
	granted := b.now
	b.tick(exclusionRenewal + 20*ms)
	renewal := takeOne[Claim](b)
	b.l.HandleResult(b.now, ClaimResult{Call: renewal.Call, Outcome: Unanswered, SentAt: b.now})
	b.tick(granted + ExclusionTime - exclusionMargin - 20*ms - b.now)
	b.g.Expect(b.excludes("c2")).To(BeTrue())
	b.tick(40 * ms)
	b.g.Expect(b.excludes("c2")).To(BeFalse())
}

// Guards against an owner that relies on the exclusion of a VM after it asked the store to
// end it: the call may be carried out and stay unanswered.
func TestExclusionEndsWithRequestToEndIt(t *testing.T) {
	b := openHarness(t)
	b.l.Exclude([]string{"c2"})
	b.tick(20 * ms)
	b.answerClaim(takeOne[Claim](b), Ownership{Epoch: 3, Version: 31})
	b.l.Exclude(nil)
	b.tick(20 * ms)
	c := takeOne[Claim](b)
	b.g.Expect(c.Excluded).To(BeEmpty())
	b.l.HandleResult(b.now, ClaimResult{Call: c.Call, Outcome: Unanswered, SentAt: b.now})
	b.l.Exclude([]string{"c2"})
	b.g.Expect(b.excludes("c2")).To(BeFalse())
}

// Guards against a new owner that relies on the exclusion that the former owner requested.
func TestExclusionEndsWithOwnership(t *testing.T) {
	b := openHarness(t)
	b.l.Exclude([]string{"c2"})
	b.tick(20 * ms)
	b.answerClaim(takeOne[Claim](b), Ownership{Epoch: 3, Version: 31})
	b.l.HandleResult(b.now, CheckResult{Call: b.nextCheck(), Version: 32, SentAt: b.now})
	takeOne[Lost](b)
	b.g.Expect(b.excludes("c2")).To(BeFalse())
}

// nextCheck waits until the next check is sent, and returns its call.
func (b *harness) nextCheck() uint64 {
	b.tick(idleCheckInterval + 100*time.Millisecond)
	list := takeAll[Check](b)
	b.g.Expect(list).NotTo(BeEmpty())
	return list[len(list)-1].Call
}
