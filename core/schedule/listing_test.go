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
	b.s.AddUnlistedRunners(b.now, []workload.Runner{testRunner("cut")})
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
	b.s.AddUnlistedRunners(b.now, []workload.Runner{cut})
	b.wait(20 * time.Millisecond)
	b.g.Expect(b.s.runners["cut"].usable(b.now)).To(BeFalse())
}

// Guards against counts of runs without a task that drift from what a runner runs: it
// would get no lease any more, or one while another scheduler counts on its lapse.
func TestRunsWithoutATaskAreCounted(t *testing.T) {
	b := leading(t, testRunner("r1"), testRunner("r2"))
	check := func() {
		for _, r := range b.s.list {
			loose, strangers := 0, 0
			for _, u := range r.runs {
				if u.task == nil {
					loose++
				}
				if u.task == nil && u.found {
					strangers++
				}
			}
			b.g.ExpectWithOffset(1, r.loose).To(Equal(loose))
			b.g.ExpectWithOffset(1, r.strangers).To(Equal(strangers))
		}
	}
	job := testJob(2, 300*ms)
	foreign := workload.RunKey{Task: workload.TaskName{Job: job.ID}, Number: 1}
	token := b.s.runners["r1"].token
	b.s.Held(b.now, HoldResult{Runner: "r1", Token: token, Outcome: Accepted, Running: []workload.RunKey{foreign}, Clock: b.clock()})
	check()
	b.g.Expect(b.s.runners["r1"].strange()).To(BeTrue())
	b.submit(job, 3*time.Second)
	check()
	b.g.Expect(b.s.runners["r1"].strange()).To(BeFalse(), "its job has come")
	for _, c := range take[Start](b) {
		b.started(c, Accepted)
	}
	b.s.Abandon(b.now, entryA, job.ID)
	check()
	b.g.Expect(b.s.runners["r1"].strange()).To(BeTrue())
	b.end("r1", 1, foreign, workload.Stopped)
	check()
	b.s.Retire(b.now)
	check()
}
