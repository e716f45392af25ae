package schedule

import (
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"sapphirepoint.example/sapphirepoint/core/workload"
)

// Runners that had left the list for a while as a process began to lead.

// leadingAfterLeft returns a new leader from whose list the runner "left" had vanished 1.4 s before, and the list of others.
func leadingAfterLeft(t *testing.T) (*harness, []workload.Runner) {
	others := []workload.Runner{testRunner("r1")}
	b := newHarness(t, testRunner("r1"), testRunner("left"))
	b.tick(entryTrustDelay)
	b.s.SetRunners(b.now, others)
	b.tick(b.s.cfg.Resend + 40*ms)
	b.s.SetRunners(b.now, others)
	b.tick(60 * ms)
	b.s.Lead(b.now)
	b.ownRows(1)
	return b, others
}

// Guards against a second run beside a prior one on such a runner while it is silent, and against jobs that wait for it longer
// than for others that left the list.
func TestJobsWaitForASilentRunnerThatLeftTheListBeforeTheLeaderChanged(t *testing.T) {
	b, _ := leadingAfterLeft(t)
	b.handOver(testJob(1, 400*ms), 20*time.Second)
	wait := b.s.runners["left"].unlistedAt + unlistedGrace - b.now
	b.g.Expect(b.passSilently(wait-20*ms, "left", ConnectionTimedOut)).To(BeEmpty())
	b.g.Expect(b.passSilently(maxPriorRunLife+100*ms-wait, "left", ConnectionTimedOut)).To(HaveLen(1))
	b.g.Expect(b.s.runners).NotTo(HaveKey(workload.RunnerID("left")), "it is asked no more")
}

// Guards against a second run beside a prior one that such a runner lists, and against other runs of this scheduler there: a
// successor may not ask the runner for them.
func TestARunnerThatLeftTheListBeforeTheLeaderChangedIsAskedAndNotUsed(t *testing.T) {
	b, _ := leadingAfterLeft(t)
	j := testJob(1, 400*ms)
	run := workload.RunKey{Task: workload.TaskName{Job: j.ID}, Number: 1}
	b.handOver(j, 20*time.Second)
	for end := b.now + 500*ms; b.now < end; b.tick(20 * ms) {
		for _, h := range take[Hold](b) {
			if h.Runner == "left" {
				b.answerHold(h, Accepted, run)
				continue
			}
			b.held(h)
		}
	}
	b.g.Expect(take[Start](b)).To(BeEmpty())
	b.g.Expect(b.s.runners["left"].runs[run].task).NotTo(BeNil(), "the run is adopted")
	b.g.Expect(take[UnlistedInUse](b)).NotTo(BeEmpty(), "other processes are told of the runner while it has runs")
	b.g.Expect(b.s.runners["left"].usable(b.now)).To(BeFalse())
	b.g.Expect(b.wideJob()).To(Equal(2), "r1 has room for two")
}

// Guards against a runner that isn't used for long though another process has named it, or it is listed again.
func TestARunnerThatIsOnlyAskedIsUsedOnceOthersKnowIt(t *testing.T) {
	for name, know := range map[string]func(b *harness, others []workload.Runner){
		"named": func(b *harness, _ []workload.Runner) {
			b.s.AddUnlistedRunners(b.now, []workload.Runner{testRunner("left")})
		},
		"listed": func(b *harness, others []workload.Runner) { b.s.SetRunners(b.now, append(others, testRunner("left"))) },
	} {
		t.Run(name, func(t *testing.T) {
			b, others := leadingAfterLeft(t)
			b.handOver(testJob(1, 400*ms), 20*time.Second)
			b.wait(40 * ms)
			b.g.Expect(b.s.runners["left"].owned).To(BeTrue())
			b.g.Expect(b.s.runners["left"].usable(b.now)).To(BeFalse())
			know(b, others)
			b.wait(40 * ms)
			b.g.Expect(b.s.runners["left"].usable(b.now)).To(BeTrue())
		})
	}
}
