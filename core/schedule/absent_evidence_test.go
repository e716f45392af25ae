package schedule

import (
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"sapphirepoint.example/sapphirepoint/core/workload"
)

// Runs that may live although a runner hasn't listed them or its entry has been changed, and the cost of waiting for them.

// asAnother answers the orders to a runner whose entry has the address of another one: that one refuses them as another
// incarnation, and the other runners answer as those that began at 1000.
func (b *harness) asAnother(id workload.RunnerID) {
	for _, h := range take[Hold](b) {
		if h.Runner == id && h.Address != string(id) {
			b.answerHold(h, Replaced)
			continue
		}
		b.heldBy(h, 1000)
	}
}

// Guards against a second run beside one on a runner in whose entry another writer has put the address of another runner and a
// later start: what the other runner answers says nothing about the run.
func TestAnEntryWithALaterStartAndTheAddressOfAnotherRunnerEndsNoRun(t *testing.T) {
	b, run := withRun(t)
	other := "r1"
	if run.Runner == "r1" {
		other = "r2"
	}
	b.s.SetRunners(b.now, withOddEntry(run.Runner, func(r *workload.Runner) { r.Address, r.IncarnationStart = other, 1001 }))
	for end := b.now + time.Second; b.now < end; b.tick(20 * ms) {
		b.asAnother(run.Runner)
		b.g.Expect(take[Start](b)).To(BeEmpty(), "the run is alive")
	}
}

// Guards against a second run beside a prior one, as a process begins to lead while another writer's entry gives the run's
// runner the address of another one.
func TestAPriorRunCountsWhoseRunnerHasTheAddressOfAnotherOneInItsEntry(t *testing.T) {
	b := newHarness(t)
	b.s.SetRunners(b.now, withOddEntry("r2", func(r *workload.Runner) { r.Address = "r1" }))
	b.s.Lead(b.now)
	b.ownRows(1)
	b.asAnother("r2")
	b.handOver(testJob(1, 400*ms), 20*time.Second)
	for end := b.now + maxPriorRunLife + 1500*ms; b.now < end; b.tick(20 * ms) {
		b.asAnother("r2")
		b.g.Expect(take[Start](b)).To(BeEmpty(), "r2 hasn't listed its runs")
	}
}

// Guards against a runner that is never used again by a process that began to lead while its entry had another runner's address.
func TestANewLeaderUsesARunnerOnceItsAddressIsRightAgain(t *testing.T) {
	b := newHarness(t)
	b.s.SetRunners(b.now, withOddEntry("r2", func(r *workload.Runner) { r.Address = "r1" }))
	b.s.Lead(b.now)
	b.ownRows(1)
	for end := b.now + time.Second; b.now < end; b.tick(20 * ms) {
		b.asAnother("r2")
	}
	b.s.SetRunners(b.now, withOddEntry("", nil))
	for end := b.now + time.Second; b.now < end; b.tick(20 * ms) {
		b.asAnother("r2")
	}
	b.g.Expect(b.s.runners["r2"].usable(b.now)).To(BeTrue())
}

// Guards against a question at each tick, for six seconds, to a runner that was taken back and lists the run as before.
func TestALostRunThatIsListedAgainIsNotAskedForAtEachTick(t *testing.T) {
	b := leading(t, testRunner("r1"), testRunner("r2"))
	j, c := b.runningJob(5 * time.Second)
	b.s.jobs[j.ID].deadline = b.now + 20*time.Second
	b.listsFenced(c.Runner)
	asked, adopted := 0, Time(0)
	for end := b.now + 5*time.Second; b.now < end; b.tick(20 * ms) {
		for _, h := range take[Hold](b) {
			if h.Runner != c.Runner {
				b.held(h)
				continue
			}
			if adopted == 0 {
				adopted = b.now
			}
			if h.ListOnly && b.now > adopted+300*ms {
				asked++
			}
			b.answerHold(h, Accepted, c.Run)
		}
	}
	b.g.Expect(b.s.runners[c.Runner].runs).To(HaveKey(c.Run))
	b.g.Expect(b.s.runners[c.Runner].runs[c.Run].task).NotTo(BeNil(), "it is adopted")
	b.g.Expect(asked).To(BeNumerically("<", 10), "questions after its task has the run again, in %v", b.now-adopted)
}

// Guards against a job that is given up though its runner, if it answered now, would list the run as done: its end may
// have been before the lease was over.
func TestAJobWhoseSilentRunMayBeDoneIsntGivenUp(t *testing.T) {
	for _, connection := range []Connection{ConnectionMade, ConnectionTimedOut} {
		b := leading(t, testRunner("r1"), testRunner("r2"))
		b.submit(testJob(1, 300*ms), 1000*ms)
		c := one[Start](b)
		b.started(c, Accepted)
		for begin := b.now; b.now-begin < 880*ms; b.tick(20 * ms) {
			b.leaveUnanswered(c.Runner, connection)
			b.g.Expect(take[Start](b)).To(BeEmpty())
			b.g.Expect(take[Answer](b)).To(BeEmpty(), "%v after the start; the task takes 300 ms, and the lease lasts 500 ms", b.now-begin)
		}
		b.end(c.Runner, 1, c.Run, workload.Done)
		b.g.Expect(one[Answer](b).Outcome).To(Equal(workload.Completed))
	}
}

// Guards against a second run in another shard: a job that may have been sent before, and have a run on a runner that hasn't
// listed its runs, is refused on arrival since all domains are evacuated, and its entry process hands it in there.
func TestAJobThatMayBeResentIsNotRedirected(t *testing.T) {
	b := takingOver(t, ConnectionTimedOut)
	b.passUntilResent(ConnectionTimedOut)
	b.s.SetEvacuated(b.now, []string{""})
	j := testJob(1, 300*ms)
	b.submit(j, 2*time.Second)
	for _, a := range take[Answer](b) {
		b.g.Expect(a.NoRoom).To(BeFalse(), "%v after the takeover; r2 hasn't listed its runs: %s", b.now-b.s.leadingSince, a.Reason)
	}
}

// Guards against a second run beside a prior one on a runner whose entry another writer has given another service, as a
// process begins to lead: the job doesn't wait for that runner's lists.
func TestAPriorRunCountsWhoseRunnerHasAnotherServiceInItsEntry(t *testing.T) {
	for name, change := range map[string]func(*workload.Runner){
		"service":  func(r *workload.Runner) { r.Service = "other" },
		"capacity": func(r *workload.Runner) { r.Capacity = workload.Resources{} },
	} {
		t.Run(name, func(t *testing.T) {
			b := newHarness(t)
			b.s.SetRunners(b.now, withOddEntry("r2", change))
			b.s.Lead(b.now)
			b.ownRows(1)
			b.handOver(testJob(1, 400*ms), 20*time.Second)
			for end := b.now + maxPriorRunLife + 1500*ms; b.now < end; b.tick(20 * ms) {
				for _, h := range take[Hold](b) {
					if h.Runner == "r2" {
						b.leaveHoldUnanswered(h, ConnectionTimedOut)
						continue
					}
					b.heldBy(h, 1000)
				}
				b.g.Expect(take[Start](b)).To(BeEmpty(), "r2 hasn't listed its runs")
			}
		})
	}
}

// Guards against a caller who is told that nothing was run while an orphan of the job, known for long, may be alive on a runner
// that was lost.
func TestAJobWithALostOrphanIsNotToldThatNothingWasRun(t *testing.T) {
	b, j, c := unstoppableOrphan(t)
	for end := b.now + ranRetention + 2*expireInterval; b.now < end; {
		b.tick(20 * ms)
		b.rejectStops(c)
	}
	b.g.Expect(b.s.runners[c.Runner].runs).To(HaveKey(c.Run), "it is listed as running")
	take[Answer](b)
	b.listsFenced(c.Runner)
	b.submit(j, 4*time.Second)
	var answers []Answer
	for end := b.now + 5*time.Second; b.now < end && len(answers) == 0; {
		b.startsBeside(c, 20*ms)
		answers = take[Answer](b)
	}
	b.g.Expect(answers).To(HaveLen(1))
	b.g.Expect(answers[0].Outcome).To(Equal(workload.GaveUp), answers[0].Reason)
}

// Guards against the same questions after a process that ceased to lead leads again, and has its jobs and their runs back.
func TestLostRunsThatAreListedAgainAfterATermAreNotAskedForAtEachTick(t *testing.T) {
	b := leading(t, testRunner("r1"), testRunner("r2"))
	j, c := b.runningJob(5 * time.Second)
	b.s.Retire(b.now)
	b.tick(100 * ms)
	b.s.Lead(b.now)
	asked := 0
	answer := func() {
		for _, h := range take[Hold](b) {
			if h.Runner != c.Runner {
				b.held(h)
				continue
			}
			if h.ListOnly {
				asked++
			}
			b.answerHold(h, Accepted, c.Run)
		}
		b.tick(20 * ms)
	}
	b.handOver(j, 20*time.Second)
	for end := b.now + 500*ms; b.now < end; {
		answer()
	}
	b.g.Expect(b.s.runners[c.Runner].runs[c.Run].task).NotTo(BeNil(), "it is adopted")
	asked = 0
	for end := b.now + 4*time.Second; b.now < end; {
		answer()
	}
	b.g.Expect(asked).To(BeNumerically("<", 10), "questions in four seconds")
}
