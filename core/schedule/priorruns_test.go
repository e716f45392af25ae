package schedule

import (
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"sapphirepoint.example/sapphirepoint/core/workload"
)

// handOver submits a job that another scheduler had.
func (b *harness) handOver(j *workload.Job, timeout time.Duration) {
	b.s.Submit(b.now, Submission{Job: j, Entry: entryA, RemainingObjective: j.Objective, RemainingTimeout: timeout, PriorSubmissions: 1, PriorRunsTTL: maxPriorRunLife})
}

// passSilently lets time pass while a runner leaves all Holds unanswered, and collects the starts.
func (b *harness) passSilently(d time.Duration, silent workload.RunnerID, c Connection) []Start {
	var starts []Start
	for end := b.now + d; b.now < end; {
		b.tick(20 * ms)
		b.s.RowOwnershipVerified(b.now, b.now)
		b.leaveUnanswered(silent, c)
		starts = append(starts, take[Start](b)...)
	}
	return starts
}

// restoring returns a new leader that has loaded a job, with a silent runner. It has known the runners' entries for so long
// that they count as evidence.
func restoring(t *testing.T, j *workload.Job, c Connection, runners ...workload.Runner) *harness {
	b := newHarness(t, runners...)
	b.tick(entryTrustDelay)
	b.s.Lead(b.now)
	b.leaveUnanswered("silent", c)
	b.ownRows(3, openRecord(j, 2))
	return b
}

// Guards against jobs that wait for ever for a runner that hangs.
func TestPriorRunsOnARunnerThatMayBeStarvedAreOverInTheEnd(t *testing.T) {
	b := restoring(t, storedJob(1, 500*ms), ConnectionMade, testRunner("r1"), testRunner("silent"))
	b.g.Expect(b.passSilently(maxPriorRunLife+MaxLateEnd-20*ms, "silent", ConnectionMade)).To(BeEmpty())
	b.g.Expect(b.passSilently(60*ms, "silent", ConnectionMade)).To(HaveLen(1))
}

// Guards against a second run beside one on a runner that nothing reaches: it goes on beyond a cut, and ends its runs late.
func TestPriorRunsOnARunnerOutOfReachCount(t *testing.T) {
	b := restoring(t, storedJob(1, 500*ms), ConnectionTimedOut, testRunner("r1"), testRunner("silent"))
	b.g.Expect(b.passSilently(maxPriorRunLife+MaxLateEnd-20*ms, "silent", ConnectionTimedOut)).To(BeEmpty())
	b.g.Expect(b.passSilently(60*ms, "silent", ConnectionTimedOut)).To(HaveLen(1))
}

// Guards against a job that goes on waiting when the runner has listed its runs, or is shown to be lost.
func TestJobsStartOnceTheSilentRunnerCantHidePriorRuns(t *testing.T) {
	for name, resolve := range map[string]func(b *harness){
		"lists": func(b *harness) { b.answerHold(Hold{Runner: "silent", Token: b.s.runners["silent"].token}, Accepted) },
		"is replaced": func(b *harness) {
			b.answerHold(Hold{Runner: "silent", Address: "silent", Token: b.s.runners["silent"].token}, Replaced)
		},
	} {
		b := restoring(t, storedJob(1, 500*ms), ConnectionUnknown, testRunner("r1"), testRunner("silent"))
		b.g.Expect(b.passSilently(3*time.Second, "silent", ConnectionUnknown)).To(BeEmpty())
		resolve(b)
		b.s.Tick(b.now)
		b.s.RowOwnershipVerified(b.now, b.now)
		b.tick(20 * ms)
		started := b.s.sortedJobs()[0].waiting == 0
		b.g.Expect(started).To(BeTrue(), "the silent runner %s", name)
	}
}

// Guards against a second run beside a prior one on a runner whose host refuses connections while its process goes on.
func TestJobsWaitForASilentRunnerThatRefusesConnections(t *testing.T) {
	b := restoring(t, storedJob(1, 500*ms), ConnectionFailed, testRunner("r1"), testRunner("silent"))
	b.g.Expect(b.passSilently(maxPriorRunLife+MaxLateEnd-20*ms, "silent", ConnectionFailed)).To(BeEmpty())
	b.g.Expect(b.passSilently(60*ms, "silent", ConnectionFailed)).To(HaveLen(1))
}

// Guards against the same where the queue of new connections of a starved process is full.
func TestJobsWaitForASilentRunnerWhoseQueueIsFull(t *testing.T) {
	b := restoring(t, storedJob(1, 500*ms), ConnectionMade, testRunner("r1"), testRunner("silent"))
	b.g.Expect(b.passSilently(maxPriorRunLife+MaxLateEnd-20*ms, "silent", ConnectionTimedOut)).To(BeEmpty())
	b.g.Expect(b.passSilently(60*ms, "silent", ConnectionTimedOut)).To(HaveLen(1))
}

// Guards against a wait for a runner that can't have a run of the job: it lacks the label, or is too small.
func TestJobsDontWaitForRunnersThatCantTakeThem(t *testing.T) {
	unlabelled, small := testRunner("silent"), testRunner("silent")
	unlabelled.Labels = nil
	small.Capacity.MilliCPU = 1000
	for _, silent := range []workload.Runner{unlabelled, small} {
		j := storedJob(1, 500*ms)
		j.Steps[0].Requires = "a"
		b := restoring(t, j, ConnectionMade, testRunner("r1"), silent)
		b.g.Expect(b.passSilently(3*time.Second, "silent", ConnectionMade)).To(HaveLen(1))
	}
}

// Guards against a second run in another shard: a job whose tasks may be alive on a silent runner isn't stalled.
func TestAJobThatMayRunOnASilentRunnerIsNotMoved(t *testing.T) {
	b := restoring(t, storedJob(1, 500*ms), ConnectionMade, testRunner("r1"), testRunner("silent"))
	b.s.SetAlternate(3, 0)
	b.passSilently(maxPriorRunLife+MaxLateEnd-40*ms, "silent", ConnectionMade)
	for _, save := range take[Save](b) {
		b.g.Expect(save.Record.State.String()).To(Equal("open"))
	}
}

// Guards against a second run of a job that its caller sends again after it was given up: the runner that may
// have a run of it is still silent.
func TestAJobThatIsSentAgainAfterItsHandoverWaits(t *testing.T) {
	b := takingOver(t, ConnectionMade)
	j := testJob(1, 400*ms)
	begin := b.now
	b.handOver(j, 2*time.Second)
	b.g.Expect(b.passSilently(2200*ms, "r2", ConnectionMade)).To(BeEmpty())
	b.g.Expect(one[Answer](b).Outcome).To(Equal(workload.GaveUp))
	b.submit(j, 9*time.Second)
	b.g.Expect(b.passSilently(begin+maxPriorRunLife+MaxLateEnd-20*ms-b.now, "r2", ConnectionMade)).To(BeEmpty())
	b.g.Expect(b.passSilently(60*ms, "r2", ConnectionMade)).To(HaveLen(1))
}

// Guards against a silent runner that is forgotten as soon as it leaves the list, with the runs that it may have, and
// against jobs that wait for it once it counts as gone by the platform's list.
func TestASilentRunnerThatLeavesTheListIsAskedFurther(t *testing.T) {
	b := restoring(t, storedJob(1, 500*ms), ConnectionMade, testRunner("r1"), testRunner("silent"))
	b.s.SetRunners(b.now, []workload.Runner{testRunner("r1")})
	b.g.Expect(b.passSilently(unlistedGrace-40*ms, "silent", ConnectionMade)).To(BeEmpty())
	b.g.Expect(b.s.runners).To(HaveKey(workload.RunnerID("silent")))
	b.g.Expect(b.passSilently(2*maxPriorRunLife-unlistedGrace+100*ms, "silent", ConnectionMade)).To(HaveLen(1))
	b.g.Expect(b.s.runners).NotTo(HaveKey(workload.RunnerID("silent")))
}

// Guards against a job that is handed over a second time, by another entry process, and counts as the first
// handover: a run that began between the two may be on a runner that has listed its runs after the first only.
func TestAJobThatIsHandedOverAgainNeedsNewLists(t *testing.T) {
	b := takingOver(t, ConnectionMade)
	j := testJob(1, 400*ms)
	b.handOver(j, 2*time.Second)
	b.passSilently(2200*ms, "r2", ConnectionMade)
	b.answerHold(Hold{Runner: "r2", Token: b.s.runners["r2"].token}, Accepted)
	b.tick(20 * ms)
	begin := b.now
	b.handOver(j, 9*time.Second)
	b.g.Expect(b.passSilently(maxPriorRunLife+MaxLateEnd-20*ms, "r2", ConnectionMade)).To(BeEmpty(), "%v after it was handed over again", b.now-begin)
	b.g.Expect(b.passSilently(60*ms, "r2", ConnectionMade)).To(HaveLen(1))
}

// Guards against a runner that counts as having no prior runs by a list that is too early to show all of them.
func TestAListThatIsTooEarlyDoesntShowThatASilentRunnerHasNoPriorRuns(t *testing.T) {
	b := newHarness(t, testRunner("r1"), testRunner("silent"))
	b.s.Lead(b.now)
	b.ownRows(1)
	b.handOver(testJob(1, 400*ms), 9*time.Second)
	b.now += 5 * ms
	for _, h := range take[Hold](b) {
		b.held(h)
	}
	b.g.Expect(b.passSilently(maxPriorRunLife+MaxLateEnd-60*ms, "silent", ConnectionMade)).To(BeEmpty())
}

// Guards against a silent runner that a new leader has forgotten, since it left the list shortly before.
func TestANewLeaderDoesntForgetASilentRunnerThatLeftTheList(t *testing.T) {
	b := newHarness(t, testRunner("r1"), testRunner("silent"))
	b.s.SetRunners(b.now, []workload.Runner{testRunner("r1")})
	b.now += b.s.cfg.Resend + 100*ms
	b.s.Lead(b.now)
	b.ownRows(1)
	b.leaveUnanswered("silent", ConnectionMade)
	b.g.Expect(b.s.runners).To(HaveKey(workload.RunnerID("silent")))
}
