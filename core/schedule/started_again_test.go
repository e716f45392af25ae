package schedule

import (
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"sapphirepoint.example/sapphirepoint/core/workload"
)

// startedAgain takes the lines of the log and returns those of tasks that were started again.
func (b *harness) startedAgain() []Decision {
	var list []Decision
	for _, d := range take[Decision](b) {
		if d.Event == "task-started-again" {
			list = append(list, d)
		}
	}
	return list
}

// Guards against a task that runs twice without a line that tells on what evidence its first run ceased to count.
func TestASecondStartIsLoggedWithTheEvidence(t *testing.T) {
	b := leading(t, testRunner("r1"), testRunner("r2"))
	c := b.runningTask()
	b.g.Expect(b.startedAgain()).To(BeEmpty(), "the first start is none again")
	var lines []Decision
	for end := b.now + starvedLife + time.Second; b.now < end && len(lines) == 0; {
		b.leaveUnanswered(c.Runner, ConnectionMade)
		b.tick(20 * ms)
		lines = b.startedAgain()
	}
	b.g.Expect(lines).To(HaveLen(1))
	again := lines[0]
	b.g.Expect(again.Run.Task).To(Equal(c.Run.Task))
	b.g.Expect(again.Run.Number).To(BeNumerically(">", c.Run.Number))
	b.g.Expect(again.Runner).NotTo(Equal(c.Runner))
	b.g.Expect(again.Warning).To(BeTrue(), "the runner has listed no end")
	b.g.Expect(again.Reason).To(And(HavePrefix("run-lapsed runner is silent"), ContainSubstring("asked ")))
	b.g.Expect(again.Detail).To(And(ContainSubstring(c.Run.String()), ContainSubstring(string(c.Runner))))
}

// Guards against warnings for second starts that are certain: the runner has listed the end of the first run.
func TestASecondStartAfterAListedEndIsNoWarning(t *testing.T) {
	b := leading(t, testRunner("r1"))
	c := b.runningTask()
	b.end(c.Runner, 1, c.Run, workload.Failed)
	lines := b.startedAgain()
	b.g.Expect(lines).To(HaveLen(1))
	b.g.Expect(lines[0].Reason).To(Equal("run-ended failed"))
	b.g.Expect(lines[0].Warning).To(BeFalse())
}
