package routing

import (
	"testing"
	"time"

	. "github.com/onsi/gomega"
)

// Guards against settings that count as current only because an open connection has delivered nothing.
func TestSettingsGrowOldWithoutAConfirmation(t *testing.T) {
	g := NewWithT(t)
	var f Freshness
	_, known := f.Age(time.Second)
	g.Expect(known).To(BeFalse())
	g.Expect(f.Current(0)).To(BeFalse())
	g.Expect(f.NextWait(0)).To(BeZero())

	f.Confirm(time.Second)
	g.Expect(f.Current(time.Second + maxSettingsAge)).To(BeTrue())
	g.Expect(f.Current(time.Second + maxSettingsAge + 1)).To(BeFalse())
	g.Expect(f.NextWait(time.Second)).To(Equal(ConfirmInterval))
	g.Expect(f.NextWait(time.Second + ConfirmInterval/2)).To(Equal(ConfirmInterval / 2))
	g.Expect(f.NextWait(time.Minute)).To(BeZero())

	// An answer that was overtaken by another one proves nothing more.
	f.Confirm(time.Second / 2)
	age, known := f.Age(time.Second)
	g.Expect(known).To(BeTrue())
	g.Expect(age).To(BeZero())
}

// Guards against requests that are routed by old settings though the store would answer, as after a
// pause of the process.
func TestRequestsAwaitAConfirmationOfOldSettings(t *testing.T) {
	g := NewWithT(t)
	var f Freshness
	f.Confirm(0)
	g.Expect(f.Await(maxSettingsAge)).To(BeZero())
	const resumed = 5 * time.Second
	g.Expect(f.Await(resumed)).To(Equal(confirmTimeout))
	g.Expect(f.Ask(resumed)).To(BeTrue())
	g.Expect(f.Ask(resumed+10*time.Millisecond)).To(BeFalse(), "one call serves all requests")
	tick(&f)
	g.Expect(f.Await(resumed + 10*time.Millisecond)).To(Equal(confirmTimeout - 10*time.Millisecond))

	// An answer that had been waiting since before the pause confirms nothing later.
	f.Confirm(time.Second)
	g.Expect(f.Await(resumed + 10*time.Millisecond)).To(Equal(confirmTimeout - 10*time.Millisecond))
	f.Confirm(resumed + time.Millisecond)
	g.Expect(f.Await(resumed + 10*time.Millisecond)).To(BeZero())
	g.Expect(f.Await(2 * resumed)).To(Equal(confirmTimeout))
}

// Guards against callers who wait while the store is away: a process that is cut off from it serves what it can.
func TestRequestsDontAwaitAStoreThatIsAway(t *testing.T) {
	g := NewWithT(t)
	var unanswered Freshness
	unanswered.Confirm(0)
	unanswered.Ask(ConfirmInterval)
	tick(&unanswered)
	g.Expect(unanswered.Await(maxSettingsAge+1)).To(BeZero(), "current settings are older than the wait for the call")
	g.Expect(unanswered.Await(time.Hour)).To(BeZero())

	var rejected Freshness
	rejected.Confirm(0)
	rejected.Ask(time.Second)
	rejected.Fail()
	g.Expect(rejected.Await(time.Hour)).To(BeZero())
	rejected.Confirm(time.Hour)
	g.Expect(rejected.Await(2 * time.Hour)).To(Equal(confirmTimeout))
}

// Guards against requests that are routed by old settings though the store has answered: the process is so short of
// processor time that it reads the answer late.
func TestRequestsOfAStarvedProcessAwaitAConfirmationForLonger(t *testing.T) {
	g := NewWithT(t)
	var f Freshness
	f.Confirm(0)
	const resumed = 5 * time.Second
	f.Ask(resumed)
	f.Tick()
	g.Expect(f.Await(resumed + confirmTimeout)).To(Equal(maxConfirmTimeout - confirmTimeout))
	g.Expect(f.Await(resumed + maxConfirmTimeout)).To(BeZero())
	tick(&f)
	g.Expect(f.Await(resumed + confirmTimeout)).To(BeZero())
}

// tick makes as many ticks as a process that isn't short of processor time has within confirmTimeout.
func tick(f *Freshness) {
	for range confirmTicks {
		f.Tick()
	}
}
