package schedule

import (
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"sapphirepoint.example/sapphirepoint/core/workload"
)

// Ways by which a run that lives may cease to count without its end, so that its task is started again.

const (
	entryB = EntryID("front-b#2")
	// priorRunsTTL is how long runs of a lost scheduler may live, by the entry processes.
	priorRunsTTL = 1300 * ms
)

// runningJob starts the only task of a job, and returns the job and its confirmed run.
func (b *harness) runningJob(estimate time.Duration) (*workload.Job, Start) {
	b.t.Helper()
	j := testJob(1, estimate)
	b.submit(j, 10*time.Second)
	c := one[Start](b)
	b.started(c, Accepted)
	return j, c
}

// clockOf returns a runner's clock at the present time, in milliseconds, if it is exact.
func (b *harness) clockOf() int64 { return clockAtZero + b.now.Milliseconds() }

// orderer answers the orders to one runner, on which a run is at work, and those to all others, which
// are idle.
type orderer struct {
	*harness
	runner workload.RunnerID
	run    workload.RunKey
	// holds and stops are the outcomes on that runner.
	holds, stops CallOutcome
	// leaseEnd is the end of the last lease granted to that runner, on its clock, and grantedAt when the
	// last order that granted one was carried out.
	leaseEnd  int64
	grantedAt Time
}

func newOrderer(b *harness, c Start) *orderer {
	return &orderer{harness: b, runner: c.Runner, run: c.Run, leaseEnd: c.LeaseEnd, grantedAt: b.now}
}

// pass lets time pass in steps of 10 ms, and answers the orders of each step at once.
func (o *orderer) pass(d time.Duration) {
	for end := o.now + d; o.now < end; {
		o.now += min(10*ms, end-o.now)
		o.s.EntryAlive(o.now, entryA)
		o.s.EntryAlive(o.now, entryB)
		o.s.Tick(o.now)
		o.answer()
	}
}

func (o *orderer) answer() {
	for _, h := range take[Hold](o.harness) {
		switch {
		case h.Runner != o.runner:
			o.held(h)
		case o.holds == Accepted:
			o.answerForRunner(h)
		default:
			o.answerHold(h, o.holds)
		}
	}
	for _, c := range take[Stop](o.harness) {
		o.stopped(c, o.stops)
	}
}

// answerForRunner answers a Hold to the run's runner, which lists the run until its lease has ended.
func (o *orderer) answerForRunner(h Hold) {
	if !o.alive() {
		o.held(h, workload.End{Sequence: 1, Run: o.run, Kind: workload.LeaseExpired})
		return
	}
	if h.LeaseEnd > o.leaseEnd {
		o.leaseEnd, o.grantedAt = h.LeaseEnd, o.now
	}
	o.answerHold(h, Accepted, o.run)
}

// alive reports whether the run may be alive now: its lease hasn't ended, on an exact clock.
func (o *orderer) alive() bool { return o.clockOf() < o.leaseEnd }

// expectNoSecondRun checks that nothing was started while the run may be alive.
func (o *orderer) expectNoSecondRun() {
	o.t.Helper()
	if starts := take[Start](o.harness); o.alive() {
		o.g.ExpectWithOffset(1, starts).To(BeEmpty(), "the lease lasts for %d ms more", o.leaseEnd-o.clockOf())
	}
}

// Guards against an orphan that lives on by the leases of the very scheduler that wants it stopped: its
// runner rejects the stops, and answers all else.
func TestAnOrphanThatRejectsItsStopsGetsNoLease(t *testing.T) {
	for _, stops := range []CallOutcome{Unhealthy, Unanswered} {
		t.Run(stops.String(), func(t *testing.T) {
			b := leading(t, testRunner("r1"), testRunner("r2"))
			j, c := b.runningJob(2 * time.Second)
			o := newOrderer(b, c)
			o.stops = stops
			o.pass(100 * ms)
			b.s.Abandon(b.now, entryA, j.ID)
			left := b.now
			o.pass(b.s.cfg.Resend)
			b.g.Expect(o.grantedAt-left).To(BeNumerically("<=", 2*CallTimeout), "a lease was granted long after the job was dropped")
			b.g.Expect(o.alive()).To(BeFalse(), "the run may be alive as the job is sent again")
		})
	}
}

// Guards against a second run of a job that is sent again while its orphan, which rejects its stops, is on
// a runner that another scheduler has just taken.
func TestAnOrphanOnAFencedRunnerHoldsBackItsJob(t *testing.T) {
	b := leading(t, testRunner("r1"), testRunner("r2"))
	j, c := b.runningJob(2 * time.Second)
	o := newOrderer(b, c)
	o.stops = Unhealthy
	o.pass(100 * ms)
	b.s.Abandon(b.now, entryA, j.ID)
	o.pass(b.s.cfg.Resend)
	b.listsFenced(c.Runner)
	b.submitCopy(j, entryB)
	o.expectNoSecondRun()
}

// Guards against the same where the scheduler ceases to lead and leads again at once, on the same VM: the
// job is sent again, and a runner that lists first gets its task while the orphan's runner hasn't listed.
func TestAnOrphanHoldsBackItsJobUnderTheNextTerm(t *testing.T) {
	b := leading(t, testRunner("r1"), testRunner("r2"))
	j, c := b.runningJob(2 * time.Second)
	o := newOrderer(b, c)
	o.stops = Unhealthy
	o.pass(100 * ms)
	b.s.Abandon(b.now, entryA, j.ID)
	o.pass(b.s.cfg.Resend)
	b.s.Retire(b.now)
	b.s.Lead(b.now)
	o.holds = Unanswered
	o.answer()
	b.submitCopy(j, entryB)
	o.expectNoSecondRun()
}

// sentAgainAfterItsEntryEnded has the entry process of a running job end. The job's runner is silent from
// shortly before abandonedGrace is over, and the job is sent again after Resend; before that its scheduler may
// cease to lead and lead again.
func sentAgainAfterItsEntryEnded(t *testing.T, leadsAgain bool) {
	b := leading(t, testRunner("r1"), testRunner("r2"))
	j, c := b.runningJob(2 * time.Second)
	o := newOrderer(b, c)
	o.pass(100 * ms)
	b.s.EntryLost(b.now, entryA, true)
	o.pass(abandonedGrace - 10*ms)
	o.holds, o.stops = Unanswered, Unanswered
	o.pass(b.s.cfg.Resend - abandonedGrace)
	if leadsAgain {
		b.s.Retire(b.now)
		b.s.Lead(b.now)
		o.answer()
	}
	o.pass(20 * ms)
	b.submitCopy(j, entryB)
	o.pass(40 * ms)
	o.expectNoSecondRun()
}

// Guards against a second run of a job whose entry process has ended: its run goes on for abandonedGrace, and
// then for the rest of its lease, which may be longer than callers wait before they send the job again.
func TestARunOfAnEndedEntryCountsAsItsJobIsSentAgain(t *testing.T) {
	sentAgainAfterItsEntryEnded(t, false)
}

// Guards against the same where the scheduler has ceased to lead and leads again, on the same VM.
func TestARunOfAnEndedEntryCountsUnderTheNextTerm(t *testing.T) {
	sentAgainAfterItsEntryEnded(t, true)
}

// Guards against a run that outlives the time after which the next scheduler starts the task: a job that
// was withdrawn goes on for abandonedGrace with leases, and then for the rest of its lease.
func TestARunOfAWithdrawnJobIsOverBeforeTheNextSchedulerStartsIt(t *testing.T) {
	b := leading(t, testRunner("r1"), testRunner("r2"))
	j, c := b.runningJob(2 * time.Second)
	next := leading(t, testRunner("r1"), testRunner("r2"))
	o := newOrderer(b, c)
	o.pass(100 * ms)
	n := newOrderer(next, c)
	n.holds = Unanswered
	next.wait(b.now - next.now)
	n.pass(20 * ms)
	b.now = next.now
	b.s.Withdraw(b.now, entryA, j.ID)
	next.s.Submit(next.now, Submission{
		Job: j, Entry: entryA, RemainingObjective: 10 * time.Second, RemainingTimeout: 10 * time.Second, PriorSubmissions: 1, PriorRunsTTL: priorRunsTTL,
	})
	begin := b.now
	var starts []Start
	for len(starts) == 0 && b.now-begin < 3*time.Second+MaxLateEnd {
		if b.now-begin >= abandonedGrace-10*ms {
			o.holds, o.stops = Unanswered, Unanswered
		}
		o.pass(10 * ms)
		n.pass(10 * ms)
		starts = take[Start](next)
	}
	b.g.Expect(starts).To(HaveLen(1))
	over := o.leaseEnd + MaxLateEnd.Milliseconds()
	b.g.Expect(b.clockOf()).To(BeNumerically(">=", over), "started elsewhere after %v; the run may live for %d ms more", b.now-begin, over-b.clockOf())
}

// Guards against a runner with a live run that is forgotten as its scheduler ceases to lead and leads again
// within the run's lease: the runner has left the platform's list, so that nobody asks it for its runs.
func TestAnUnlistedRunnerWithARunIsAskedByTheNextTerm(t *testing.T) {
	b := leading(t, testRunner("r1"), testRunner("r2"))
	j, c := b.runningJob(4 * time.Second)
	other := workload.RunnerID("r1")
	if c.Runner == other {
		other = "r2"
	}
	o := newOrderer(b, c)
	o.pass(100 * ms)
	b.s.SetRunners(b.now, []workload.Runner{testRunner(string(other))})
	o.pass(b.s.cfg.Resend + 100*ms)
	b.g.Expect(b.s.runners[c.Runner].runs).To(HaveKey(c.Run))
	b.s.Retire(b.now)
	b.s.Lead(b.now)
	o.holds = Unanswered
	b.s.Submit(b.now, Submission{
		Job: j, Entry: entryA, RemainingObjective: 10 * time.Second, RemainingTimeout: 10 * time.Second, PriorSubmissions: 1, PriorRunsTTL: priorRunsTTL,
	})
	o.answer()
	o.expectNoSecondRun()
}

// Guards against a third run beside one that is known: two runs of a task are listed, one is adopted and
// the other doesn't stop, and the adopted one fails.
func TestAKnownSecondRunHoldsBackItsTask(t *testing.T) {
	b := leading(t, testRunner("r1"), testRunner("r2"), testRunner("r3"))
	j := testJob(1, 2*time.Second)
	k := workload.RunKey{Task: workload.TaskName{Job: j.ID}, Number: 1}
	later := workload.RunKey{Task: k.Task, Number: 2}
	b.lists("r1", b.now, k)
	b.lists("r2", b.now, later)
	b.submit(j, 10*time.Second)
	adopted, other := k, workload.RunnerID("r2")
	if b.s.runners["r1"].runs[k].task == nil {
		adopted, other = later, "r1"
	}
	b.tick(20 * ms)
	for _, c := range take[Stop](b) {
		b.g.Expect(c.Runner).To(Equal(other))
		b.stopped(c, Unhealthy)
	}
	for _, id := range []workload.RunnerID{"r1", "r2"} {
		if id != other {
			b.end(id, 1, adopted, workload.Failed)
		}
	}
	b.g.Expect(b.s.runners[other].runs).To(HaveLen(1), "the other run is known, and lives")
	b.g.Expect(take[Start](b)).To(BeEmpty())
}

// Guards against a run at home beside one in another shard: a new leader gets a copy of the job before the
// report that it is elsewhere.
func TestACopyThatComesBeforeTheReportIsStopped(t *testing.T) {
	b := newHarness(t, testRunner("r1"))
	b.s.Lead(b.now)
	b.ownRows(1)
	for _, h := range take[Hold](b) {
		b.held(h)
	}
	j := testJob(1, 300*ms)
	b.s.EntryAlive(b.now, entryB)
	b.submitCopy(j, entryB)
	c := one[Start](b)
	b.started(c, Accepted)
	b.now += 100 * ms
	b.s.NoteElsewhere(b.now, []JobElsewhere{{Job: j.ID, Shard: 3, Entry: entryA}})
	b.g.Expect(take[Stop](b)).To(ContainElement(HaveField("Run", c.Run)))
}

// Guards against an answer to an order of an earlier hand-in that is taken for one of the present run: the
// runs of a job that is sent again are numbered from one again.
func TestAnAnswerOfAnEarlierHandInDropsNoRun(t *testing.T) {
	for _, o := range []CallOutcome{Unanswered, Unhealthy, NoRoom, TooLate} {
		t.Run(o.String(), func(t *testing.T) {
			b := leading(t, testRunner("r1"), testRunner("r2"))
			j, c := b.runningJob(2 * time.Second)
			b.s.Abandon(b.now, entryA, j.ID)
			stop := one[Stop](b)
			b.stopped(stop, Unanswered)
			b.submitCopy(j, entryB)
			b.g.Expect(b.s.jobs[j.ID].steps[0][0].phase).To(Equal(running), "its run is adopted")
			b.started(c, o)
			b.g.Expect(take[Start](b)).To(BeEmpty())
			b.g.Expect(b.s.runners[c.Runner].runs).To(HaveKey(c.Run))
		})
	}
}

// Guards against a run that counts as never begun by a list that was requested before the end of the lease
// in its start: answers on different connections overtake each other.
func TestAnEarlierListDoesntShowThatARunNeverBegan(t *testing.T) {
	b := leading(t, testRunner("r1"), testRunner("r2"))
	again := b.unansweredOnce(testJob(1, 2*time.Second))
	take[Hold](b)
	requestedAt := b.now
	b.now += b.s.cfg.Lease + 2*ms
	b.s.EntryAlive(b.now, entryA)
	b.started(again, TooLate)
	b.now += 2 * ms
	b.lists(again.Runner, requestedAt)
	b.g.Expect(take[Start](b)).To(BeEmpty())
	b.g.Expect(b.s.runners[again.Runner].runs).To(HaveKey(again.Run))
	b.now += 2 * ms
	b.lists(again.Runner, b.now, again.Run)
	b.g.Expect(b.s.runners[again.Runner].runs[again.Run].confirmed).To(BeTrue())
	b.g.Expect(take[Start](b)).To(BeEmpty())
}

// Guards against the same with a run that was stopped: a list that was requested before the answer to the
// stop shows nothing.
func TestAnEarlierListDoesntShowThatARunIsStopped(t *testing.T) {
	b := leading(t, testRunner("r1"), testRunner("r2"))
	j, c := b.runningJob(2 * time.Second)
	b.s.Abandon(b.now, entryA, j.ID)
	stop, requestedAt := one[Stop](b), b.now
	b.now += 5 * ms
	b.stopped(stop, Accepted)
	b.now += 2 * ms
	b.lists(c.Runner, requestedAt)
	b.g.Expect(b.s.runners[c.Runner].runs).To(HaveKey(c.Run))
	b.submitCopy(j, entryB)
	b.g.Expect(take[Start](b)).To(BeEmpty())
}

// Guards against a job that waits until its caller leaves: it was withdrawn and comes back before it was
// given up, with a task that hasn't been started.
func TestAJobThatIsWithdrawnAndComesBackIsQueued(t *testing.T) {
	b := leading(t, testRunner("r1"))
	running := fill(b, 2, 900*ms)
	for _, c := range running {
		b.started(c, Accepted)
	}
	j := testJob(1, 300*ms)
	b.submit(j, 3*time.Second)
	b.g.Expect(b.s.queue).To(HaveLen(1))
	b.s.Withdraw(b.now, entryA, j.ID)
	b.now += 10 * ms
	b.s.Submit(b.now, Submission{
		Job: j, Entry: entryA, RemainingObjective: j.Objective, RemainingTimeout: 3 * time.Second, PriorSubmissions: 1, PriorRunsTTL: priorRunsTTL,
	})
	b.g.Expect(b.s.queue).To(HaveLen(1))
	b.now += 2 * ms
	b.lists("r1", b.now, running[0].Run, running[1].Run)
	b.end("r1", 1, running[0].Run, workload.Done)
	b.g.Expect(take[Start](b)).To(BeEmpty(), "a run that another scheduler has stopped need not be listed")
	b.now += b.longestStop() - 2*ms
	b.s.EntryAlive(b.now, entryA)
	b.lists("r1", b.now, running[1].Run)
	b.g.Expect(take[Start](b)).To(HaveLen(1))
}
