package schedule

import (
	"testing"

	. "github.com/onsi/gomega"

	"sapphirepoint.example/sapphirepoint/core/workload"
)

// Guards against a second run beside one on a runner in whose entry another writer had put the address of another runner: that
// one's answer comes once the entry is right again.
func TestALateAnswerFromTheAddressOfAnotherRunnerEndsNoRun(t *testing.T) {
	b, run := withRun(t)
	other := "r1"
	if run.Runner == "r1" {
		other = "r2"
	}
	for !b.s.runners[run.Runner].unresponsive {
		b.silence(run.Runner, 20*ms, b.tick)
	}
	b.s.SetRunners(b.now, withOddEntry(run.Runner, func(r *workload.Runner) { r.Address = other }))
	misdirected := b.oneHoldTo(run.Runner, other)
	b.now += 10 * ms
	b.s.SetRunners(b.now, withOddEntry("", nil))
	b.now += 10 * ms
	b.answerHold(misdirected, Replaced)
	b.g.Expect(take[Start](b)).To(BeEmpty())
	b.g.Expect(b.s.runners[run.Runner].runs).To(HaveKey(run.Run))
}

// oneHoldTo lets time pass until a runner is sent a Hold at an address; until then the runner is silent.
func (b *harness) oneHoldTo(id workload.RunnerID, address string) Hold {
	b.t.Helper()
	for range 50 {
		b.tick(20 * ms)
		for _, h := range take[Hold](b) {
			switch {
			case h.Runner != id:
				b.heldBy(h, 1000)
			case h.Address == address:
				return h
			default:
				b.answerHold(h, Unanswered)
			}
		}
	}
	b.t.Fatalf("no Hold to %s at %s", id, address)
	return Hold{}
}
