package schedule

import (
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"sapphirepoint.example/sapphirepoint/core/workload"
)

// doneWhileRestarting has the run of a stored job's only task end unseen on a silent runner, and returns
// the order to start the task again, which is under way when the end is listed and saved.
func doneWhileRestarting(t *testing.T) (*harness, Start) {
	b := leading(t, testRunner("r1"), testRunner("r2"))
	first := b.storedStart()
	b.started(first, Accepted)
	var again []Start
	for from := b.now; len(again) == 0 && b.now-from < silentLife+time.Second; again = take[Start](b) {
		for _, h := range take[Hold](b) {
			if h.Runner == first.Runner {
				b.answerHold(h, Unanswered)
				continue
			}
			b.held(h)
		}
		b.tick(20 * ms)
		b.saved(take[Save](b)...)
	}
	b.g.Expect(again).To(HaveLen(1))
	take[Stop](b) // those of the silent run, which is overdue
	b.end(first.Runner, 1, first.Run, workload.Done)
	b.saved(take[Save](b)...)
	return b, again[0]
}

// Guards against a job that is shown as completed, and of which a task starts after that.
func TestACompletedJobIsntShownWhileAStartIsUnderWay(t *testing.T) {
	for name, settle := range map[string]func(b *harness, again Start, stop Stop){
		"stopped": func(b *harness, _ Start, stop Stop) { b.stopped(stop, Accepted) },
		"listed": func(b *harness, again Start, _ Stop) {
			b.lists(again.Runner, b.now, again.Run)
		},
		"replaced": func(b *harness, again Start, _ Stop) { b.started(again, Replaced) },
	} {
		t.Run(name, func(t *testing.T) {
			b, again := doneWhileRestarting(t)
			stop := one[Stop](b)
			b.g.Expect(take[OutcomeSaved](b)).To(BeEmpty())
			b.tick(20 * ms)
			b.g.Expect(take[OutcomeSaved](b)).To(BeEmpty())
			settle(b, again, stop)
			b.tick(20 * ms)
			b.g.Expect(one[OutcomeSaved](b).State.Outcome).To(Equal(workload.Completed))
		})
	}
}

// Guards against a completed job that is never shown since the runner of a start that is under way
// stays silent.
func TestACompletedJobIsShownOnceTheLeaseOfAStartIsOver(t *testing.T) {
	b, again := doneWhileRestarting(t)
	b.started(again, Unanswered)
	for _, stop := range take[Stop](b) {
		b.stopped(stop, Unanswered)
	}
	for from := b.now; b.now-from < silentLife+100*ms; {
		for _, h := range take[Hold](b) {
			b.answerHold(h, Unanswered)
		}
		b.tick(20 * ms)
		for _, stop := range take[Stop](b) {
			b.stopped(stop, Unanswered)
		}
	}
	b.g.Expect(one[OutcomeSaved](b).State.Outcome).To(Equal(workload.Completed))
}
