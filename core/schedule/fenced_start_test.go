package schedule

import (
	"testing"
	"time"

	. "github.com/onsi/gomega"
)

// Guards against a second run beside one whose start reaches the next incarnation of a runner: another scheduler had taken the
// runner as the start was under way, the runner has listed its runs since, and then it restarts and is cut off.
func TestAStartOnAFencedRunnerMayReachTheNextIncarnation(t *testing.T) {
	b := leading(t, testRunner("r1"), testRunner("r2"))
	for _, r := range b.s.runnerList {
		r.incarnationStart = firstIncarnation
	}
	b.submit(testJob(1, 400*ms), 20*time.Second)
	c := one[Start](b)
	over := b.now + longestLateLife
	b.listsFenced(c.Runner)
	b.wait(reacquireDelay + b.longestStop() + 40*ms)
	b.lists(c.Runner, b.now)
	b.expectWait(c.Run.Task, c.Runner, over)
}

// Guards against a task that waits longer than before, if the runner has listed its runs once the start can't be carried out any
// more.
func TestAStartOnAFencedRunnerIsOverByALaterList(t *testing.T) {
	b := leading(t, testRunner("r1"), testRunner("r2"))
	for _, r := range b.s.runnerList {
		r.incarnationStart = firstIncarnation
	}
	b.submit(testJob(1, 400*ms), 20*time.Second)
	c := one[Start](b)
	b.listsFenced(c.Runner)
	b.wait(b.s.cfg.Resend - 20*ms)
	b.g.Expect(take[Start](b)).To(BeEmpty())
	b.wait(40 * ms)
	b.g.Expect(take[Start](b)).To(HaveLen(1))
}
