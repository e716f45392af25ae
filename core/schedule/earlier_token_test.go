package schedule

import (
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"sapphirepoint.example/sapphirepoint/core/workload"
)

// Answers to orders that were sent before the runner was acquired again.

// reacquired has another scheduler take the runner of a run and give it back, and returns the runner,
// which lists the run again.
func (b *harness) reacquired(c Start) *runner {
	b.t.Helper()
	for _, h := range take[Hold](b) {
		if h.Runner == c.Runner {
			b.answerHold(h, Fenced)
		}
	}
	b.saved(take[Save](b)...)
	b.s.ReacquireRunners(b.now)
	b.now += 2 * ms
	for _, h := range take[Hold](b) {
		if h.Runner == c.Runner {
			b.answerHold(h, Accepted, c.Run)
		}
	}
	r := b.s.runners[c.Runner]
	b.g.Expect(r.runs).To(HaveKey(c.Run))
	b.g.Expect(r.token).To(BeNumerically(">", c.Token))
	return r
}

// storedStart submits a stored job and returns the order to start its task.
func (b *harness) storedStart() Start {
	b.t.Helper()
	b.accepted(storedJob(1, 500*ms))
	return one[Start](b)
}

// Guards against a second run of a task whose run was adopted again, when an order of before is
// rejected.
func TestRejectionUnderAnEarlierTokenDoesntDropAnAdoptedRun(t *testing.T) {
	b := leading(t, testRunner("r1"), testRunner("r2"))
	first := b.storedStart()
	b.started(first, Unanswered)
	again := one[Start](b)
	r := b.reacquired(first)
	b.started(again, Unhealthy)
	b.g.Expect(r.runs).To(HaveKey(first.Run))
	b.wait(2 * time.Second)
	b.g.Expect(take[Start](b)).To(BeEmpty())
}

// Guards against a runner that is given up, with its runs, since it refuses an order of before.
func TestRefusalOfAnEarlierTokenKeepsTheRunner(t *testing.T) {
	b := leading(t, testRunner("r1"))
	first := b.storedStart()
	b.started(first, Accepted)
	b.s.stopRun(b.s.runners["r1"].runs[first.Run], StopOverdue)
	stop := one[Stop](b)
	r := b.reacquired(first)
	token := r.token
	b.stopped(stop, Fenced)
	b.g.Expect(r.token).To(Equal(token))
	b.g.Expect(r.owned).To(BeTrue())
	b.g.Expect(r.runs).To(HaveKey(first.Run))
}

// Guards against a runner that is taken back at once from the scheduler that has just acquired it,
// since two orders were refused.
func TestASecondRefusalDoesntTakeTheRunnerBack(t *testing.T) {
	b := leading(t, testRunner("r1"))
	first := b.storedStart()
	b.started(first, Accepted)
	b.s.stopRun(b.s.runners["r1"].runs[first.Run], StopOverdue)
	stop := one[Stop](b)
	b.answerHold(take[Hold](b)[0], Fenced)
	b.stopped(stop, Fenced)
	b.g.Expect(take[Hold](b)).To(BeEmpty())
	b.g.Expect(b.s.runners["r1"].token).To(BeZero())
}

// Guards against a run that counts as rejected for good because an answer of before was ignored: the
// list of the present term shows what became of it.
func TestAStartUnderAnEarlierTokenIsDecidedByTheList(t *testing.T) {
	b := leading(t, testRunner("r1"))
	first := b.storedStart()
	r := b.reacquired(first)
	b.started(first, Unanswered)
	b.g.Expect(take[Start](b)).To(BeEmpty())
	b.end("r1", 1, first.Run, workload.Done)
	b.g.Expect(r.runs).To(BeEmpty())
}
