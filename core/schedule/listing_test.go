package schedule

import (
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"sapphirepoint.example/sapphirepoint/core/workload"
)

// lapses returns a bench that owns two runners; the entry of the second then
// lapses.
func lapses(t *testing.T) *bench {
	stays, lapsed := testRunner("stays"), testRunner("lapsed")
	b := leading(t, stays, lapsed)
	lapsed.Lapsed = true
	b.s.SetRunners(b.now, []workload.Runner{lapsed, stays})
	return b
}

// wideJob hands in a job that fits on two runners and not on one, and returns the
// number of its tasks that are started.
func (b *bench) wideJob() int {
	b.submit(testJob(4, 100*ms), 1500*ms)
	return len(take[Start](b))
}

// The store is back after some seconds, and most entries of runners have lapsed
// meanwhile. The runners are sound and answer: jobs are started on them, and none
// is refused for want of room.
func TestLapsedRunnersThatAnswerAreUsed(t *testing.T) {
	b := lapses(t)
	b.g.Expect(one[Hold](b).Runner).To(BeEquivalentTo("lapsed"), "it is looked at, at once")
	b.g.Expect(b.wideJob()).To(Equal(4))
}

// A runner has crashed while the store was away. It doesn't answer, and once that
// is seen nothing is started there.
func TestLapsedRunnersThatAreSilentAreNotUsed(t *testing.T) {
	b := lapses(t)
	b.answerHold(one[Hold](b), Unanswered)
	b.g.Expect(b.wideJob()).To(Equal(2))
}

// A failure domain was cut off for seconds, from the store too, and its runners are
// listed no more. As the cut heals the process that led there names them, and they
// are used from their first answer on: without them a quarter of the room would be
// missing until they have registered again. One that doesn't is given up.
func TestRunnersThatAnswerAgainAreUsed(t *testing.T) {
	b := leading(t, testRunner("stays"))
	b.g.Expect(b.wideJob()).To(Equal(2))
	b.s.Suspect(b.now, []workload.Runner{testRunner("cut")})
	b.wait(20 * ms)
	b.g.Expect(b.s.runners["cut"].usable(b.now)).To(BeTrue())
	b.wait(believedTime + 20*ms)
	b.g.Expect(b.s.runners["cut"].usable(b.now)).To(BeFalse())
}

// The same runner said that it drains, before the cut. Nothing is started there.
func TestDrainingRunnersThatAnswerAgainAreNotUsed(t *testing.T) {
	b := leading(t, testRunner("stays"))
	cut := testRunner("cut")
	cut.Draining = true
	b.s.Suspect(b.now, []workload.Runner{cut})
	b.wait(20 * time.Millisecond)
	b.g.Expect(b.s.runners["cut"].usable(b.now)).To(BeFalse())
}
