package schedule

import (
	"testing"
	"time"

	. "github.com/onsi/gomega"
)

// cutOff returns a bench whose second runner has been silent for long, with the
// entry VMs of its failure domain.
func cutOff(t *testing.T) *bench {
	b := leading(t, testRunner("near"), testRunner("far"))
	b.s.SetUnreachable(true)
	b.silentFor("far", 2*time.Second)
	return b
}

// silentFor lets time pass in which a runner leaves all orders unanswered.
func (b *bench) silentFor(far string, d time.Duration) {
	for end := b.now + d; b.now < end; {
		b.tick(20 * ms)
		for _, h := range take[Hold](b) {
			if string(h.Runner) == far {
				b.answerHold(h, Unanswered)
				continue
			}
			b.held(h)
		}
	}
}

// returns lets time pass until the runner answers whether it is there, and another
// moment.
func (b *bench) returns(far string) {
	for range 100 {
		b.tick(20 * ms)
		for _, h := range take[Hold](b) {
			if string(h.Runner) != far {
				b.held(h)
				continue
			}
			b.g.Expect(h.ReachabilityOnly).To(BeTrue())
			b.g.Expect(h.Token).To(BeZero())
			b.answerHold(h, Fenced)
			return
		}
	}
	b.t.Fatal("it was never asked")
}

// A cut heals, and a runner of the other side answers before the processes there
// are heard, one of which leads it. It isn't taken from that one: jobs there would
// be held up for nothing. If none is heard in time it is taken.
func TestRunnersAreNotTakenBeforeOthersCouldBeHeard(t *testing.T) {
	b := cutOff(t)
	b.returns("far")
	for end := b.now + hearWait - 40*ms; b.now < end; {
		b.tick(20 * ms)
		for _, h := range take[Hold](b) {
			b.g.Expect(h.Runner).NotTo(BeEquivalentTo("far"))
			b.held(h)
		}
	}
	b.wait(200 * ms)
	b.g.Expect(b.s.runners["far"].usable(b.now)).To(BeTrue())
}

// Once all other VMs are heard nobody else can lead, and it is taken at once.
func TestRunnersAreTakenWhenAllAreHeard(t *testing.T) {
	b := cutOff(t)
	b.s.SetUnreachable(false)
	b.wait(600 * ms)
	b.g.Expect(b.s.runners["far"].usable(b.now)).To(BeTrue())
}
