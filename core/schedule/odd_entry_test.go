package schedule

import (
	"math"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"sapphirepoint.example/sapphirepoint/core/workload"
)

// withRun returns a harness with two runners that began at 1000, and the start of a task on one of them. The runner
// has confirmed it.
func withRun(t *testing.T) (*harness, Start) {
	b := leading(t, bornRunner("r1", 1000), bornRunner("r2", 1000))
	b.submit(testJob(1, 2*time.Second), 10*time.Second)
	start := one[Start](b)
	b.started(start, Accepted)
	b.answerAs1000(200*ms, start)
	return b, start
}

// answerAs1000 lets time pass in which both runners answer as the incarnation that began at 1000; the one with the
// run lists it.
func (b *harness) answerAs1000(d time.Duration, start Start) {
	for end := b.now + d; b.now < end; {
		b.tick(20 * ms)
		for _, h := range take[Hold](b) {
			clock := b.clock()
			clock.IncarnationStart = 1000
			var running []workload.RunKey
			if h.Runner == start.Runner {
				running = []workload.RunKey{start.Run}
			}
			b.s.Held(b.now, HoldResult{Runner: h.Runner, Token: h.Token, ListOnly: h.ListOnly, Outcome: Accepted, Running: running, Clock: clock})
		}
	}
}

// withOddEntry is the list in which another writer has replaced the entry of a runner.
func withOddEntry(id workload.RunnerID, change func(*workload.Runner)) []workload.Runner {
	list := []workload.Runner{bornRunner("r1", 1000), bornRunner("r2", 1000)}
	for i := range list {
		if list[i].ID == id {
			change(&list[i])
		}
	}
	return list
}

// Guards against a task that runs twice, and a runner that is never used again, because another writer has
// replaced its entry by one with a later start of its incarnation: only the runner's answers show a restart.
func TestAnEntryWithALaterStartEndsNoRun(t *testing.T) {
	for _, start := range []int64{1001, 5_000_000_000_000, math.MaxInt64} {
		b, run := withRun(t)
		b.s.SetRunners(b.now, withOddEntry(run.Runner, func(r *workload.Runner) { r.IncarnationStart = start }))
		b.answerAs1000(time.Second, run)
		b.g.Expect(take[Start](b)).To(BeEmpty(), "start %d", start)
		b.g.Expect(b.s.runners[run.Runner].runs).To(HaveKey(run.Run))
		b.s.SetRunners(b.now, withOddEntry("", nil))
		b.answerAs1000(time.Second, run)
		b.g.Expect(b.s.runners[run.Runner].usable(b.now)).To(BeTrue())
	}
}

// Guards against a runner that was silent as its entry got another start, and is never used again: its answers have
// an earlier start than the entry had.
func TestAnEntryWithALaterStartOfASilentRunnerIsForgotten(t *testing.T) {
	b, run := withRun(t)
	b.s.SetRunners(b.now, withOddEntry(run.Runner, func(r *workload.Runner) { r.IncarnationStart = math.MaxInt64 }))
	b.silence(run.Runner, 3*time.Second, b.tick)
	b.s.SetRunners(b.now, withOddEntry("", nil))
	b.answerAs1000(2*time.Second, Start{})
	b.g.Expect(b.s.runners[run.Runner].usable(b.now)).To(BeTrue())
}

// Guards against the same of a process that begins to lead while the entry is odd.
func TestANewLeaderUsesARunnerOnceItsEntryIsRightAgain(t *testing.T) {
	b := newHarness(t)
	b.s.SetRunners(b.now, withOddEntry("r1", func(r *workload.Runner) { r.IncarnationStart = math.MaxInt64 }))
	b.s.Lead(b.now)
	b.ownRows(1)
	none := Start{}
	b.answerAs1000(time.Second, none)
	b.g.Expect(b.s.runners["r1"].usable(b.now)).To(BeFalse())
	b.s.SetRunners(b.now, withOddEntry("", nil))
	b.answerAs1000(time.Second, none)
	b.g.Expect(b.s.runners["r1"].usable(b.now)).To(BeTrue())
}

// Guards against a task that runs twice, and a runner that is never used again, because another writer has replaced
// the address in its entry by that of another runner, which refuses the orders as another incarnation.
func TestAnEntryWithTheAddressOfAnotherRunnerEndsNoRun(t *testing.T) {
	b, run := withRun(t)
	other := "r1"
	if run.Runner == "r1" {
		other = "r2"
	}
	b.s.SetRunners(b.now, withOddEntry(run.Runner, func(r *workload.Runner) { r.Address = other }))
	for end := b.now + time.Second; b.now < end; {
		b.tick(20 * ms)
		for _, h := range take[Hold](b) {
			b.g.Expect(h.Address).To(BeEquivalentTo(h.Runner))
			b.heldBy(h, 1000)
		}
	}
	take[Hold](b)
	b.s.SetRunners(b.now, withOddEntry(run.Runner, func(r *workload.Runner) { r.Address, r.IncarnationStart = "elsewhere", 2000 }))
	b.g.Expect(one[Hold](b).Address).To(Equal("elsewhere"), "a later incarnation may have another address")
}

// Guards against a runner that isn't asked any more since it has started again at another address, and its answers don't
// tell its incarnation.
func TestASilentRunnerIsAskedAtTheAddressOfItsEntry(t *testing.T) {
	b := leading(t, testRunner("r1"), testRunner("r2"))
	b.wait(2 * time.Second)
	moved := testRunner("r1")
	moved.Address = "elsewhere"
	list := []workload.Runner{moved, testRunner("r2")}
	b.s.SetRunners(b.now, list)
	b.silence("r1", idleCheckInterval+200*ms, b.tick)
	b.g.Expect(b.s.runners["r1"].unresponsive).To(BeTrue())
	b.s.SetRunners(b.now, list)
	b.g.Expect(b.oneHold("r1").Address).To(Equal("elsewhere"))
}
