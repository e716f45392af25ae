package schedule

import (
	"testing"
	"time"

	. "github.com/onsi/gomega"
)

// partitionedHarness returns a harness whose second runner has been silent for long, as have the
// entry VMs of its failure domain.
func partitionedHarness(t *testing.T) *harness {
	b := leading(t, testRunner("near"), testRunner("far"))
	b.s.SetUnreachable(true)
	b.silentFor("far", 2*time.Second)
	return b
}

// silentFor lets time pass in which a runner answers no order.
func (b *harness) silentFor(far string, d time.Duration) {
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

// untilReachable lets time pass until the runner answers the reachability check.
func (b *harness) untilReachable(far string) {
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
	b.t.Fatal("no reachability check was sent")
}

// A partition heals, and a runner of the other side answers before the processes there are
// reachable, one of which leads it. It isn't taken from that one, since that would only delay jobs
// there. If no process becomes reachable in time the runner is acquired.
func TestPartitionedRunnerIsAcquiredAfterDiscoveryWait(t *testing.T) {
	b := partitionedHarness(t)
	b.untilReachable("far")
	for end := b.now + discoveryWait - 40*ms; b.now < end; {
		b.tick(20 * ms)
		for _, h := range take[Hold](b) {
			b.g.Expect(h.Runner).NotTo(BeEquivalentTo("far"))
			b.held(h)
		}
	}
	b.wait(200 * ms)
	b.g.Expect(b.s.runners["far"].usable(b.now)).To(BeTrue())
}

// Once all other VMs are reachable no other process can lead, and the runner is acquired at once.
func TestPartitionedRunnerIsAcquiredWhenAllAreReachable(t *testing.T) {
	b := partitionedHarness(t)
	b.s.SetUnreachable(false)
	b.wait(600 * ms)
	b.g.Expect(b.s.runners["far"].usable(b.now)).To(BeTrue())
}

// Guards against runs that never lapse: a partitioned runner answers, and crashes before the next order, so
// that only checks of its reachability stay unanswered.
func TestUnansweredReachabilityCheckMarksTheRunner(t *testing.T) {
	b := partitionedHarness(t)
	r := b.s.runners["far"]
	r.answered(b.now)
	b.g.Expect(r.unresponsive).To(BeFalse())
	b.silentFor("far", time.Second)
	b.g.Expect(r.unresponsive).To(BeTrue())
}
