package ledger

import (
	"testing"
	"time"

	. "github.com/onsi/gomega"
)

func (b *bench) excludes(vm string) bool {
	_, all := b.l.Excludes(b.now, []string{vm})
	return all
}

// Guards against an owner that relies on a VM's being shut out though it isn't any more:
// the renewal that would have kept it out stayed unanswered, or the time has run out.
func TestExclusionHoldsOnlyForItsTime(t *testing.T) {
	b := opened(t)
	b.l.Exclude([]string{"c2"})
	b.tick(20 * ms)
	c := one[Claim](b)
	b.g.Expect(c.Renew).To(Equal(uint64(3)), "it is renewed, not taken anew")
	b.g.Expect(c.Excluded).To(Equal([]string{"c2"}))
	b.g.Expect(b.excludes("c2")).To(BeFalse(), "nobody has said so yet")
	b.claimed(c, Ownership{Epoch: 3, Version: 31})
	b.g.Expect(b.excludes("c2")).To(BeTrue())
	b.g.Expect(b.excludes("c1")).To(BeFalse())
	granted := b.now
	b.tick(exclusionRenewal + 20*ms)
	renewal := one[Claim](b)
	b.l.HandleResult(b.now, ClaimResult{Call: renewal.Call, Outcome: Unanswered, SentAt: b.now})
	b.tick(granted + ExclusionTime - exclusionMargin - 20*ms - b.now)
	b.g.Expect(b.excludes("c2")).To(BeTrue())
	b.tick(40 * ms)
	b.g.Expect(b.excludes("c2")).To(BeFalse())
}

// Guards against an owner that relies on a VM's being shut out after it has asked the
// store to let that VM in: the call may be carried out and stay unanswered.
func TestExclusionEndsWhenItsEndIsAskedFor(t *testing.T) {
	b := opened(t)
	b.l.Exclude([]string{"c2"})
	b.tick(20 * ms)
	b.claimed(one[Claim](b), Ownership{Epoch: 3, Version: 31})
	b.l.Exclude(nil)
	b.tick(20 * ms)
	c := one[Claim](b)
	b.g.Expect(c.Excluded).To(BeEmpty())
	b.l.HandleResult(b.now, ClaimResult{Call: c.Call, Outcome: Unanswered, SentAt: b.now})
	b.l.Exclude([]string{"c2"})
	b.g.Expect(b.excludes("c2")).To(BeFalse())
}

// Guards against a shard that its new owner keeps others out of by the word of the one
// before.
func TestExclusionEndsWithTheOwnership(t *testing.T) {
	b := opened(t)
	b.l.Exclude([]string{"c2"})
	b.tick(20 * ms)
	b.claimed(one[Claim](b), Ownership{Epoch: 3, Version: 31})
	b.l.HandleResult(b.now, CheckResult{Call: b.check(), Version: 32, SentAt: b.now})
	one[Lost](b)
	b.g.Expect(b.excludes("c2")).To(BeFalse())
}

// check lets the next check be sent, and returns its call.
func (b *bench) check() uint64 {
	b.tick(idleCheckInterval + 100*time.Millisecond)
	list := take[Check](b)
	b.g.Expect(list).NotTo(BeEmpty())
	return list[len(list)-1].Call
}
