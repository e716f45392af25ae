package schedule

import (
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"sapphirepoint.example/sapphirepoint/core/workload"
)

// Runs in progress that their runner doesn't list: while it stops them, and for a moment after it has accepted
// them. That a list has neither a run nor its end shows that the run is over only if the list was requested once
// a stop has taken its longest time.

// passUnlisted lets time pass in steps of 5 ms, in which a runner lists nothing, until a task is started; it
// returns how long that took, or d if nothing was started.
func (b *harness) passUnlisted(d time.Duration) (took time.Duration, starts []Start) {
	begin := b.now
	for b.now-begin < d {
		b.now += 5 * ms
		if (b.now-begin)%(20*ms) == 0 {
			b.s.EntryAlive(b.now, entryA)
			b.s.Tick(b.now)
		}
		for _, h := range take[Hold](b) {
			b.held(h)
		}
		if starts = take[Start](b); len(starts) > 0 {
			return b.now - begin, starts
		}
	}
	return d, nil
}

// expectStartAfter checks that a task is started once a time has passed in which its runner lists nothing, and
// that it waits no longer than for a tick and two lists.
func (b *harness) expectStartAfter(d time.Duration) Start {
	b.t.Helper()
	took, starts := b.passUnlisted(d + 40*ms)
	b.g.ExpectWithOffset(1, starts).To(HaveLen(1))
	b.g.ExpectWithOffset(1, took).To(BeNumerically(">=", d))
	return starts[0]
}

// longestStop is the time from the answer to a stop after which a list shows whether the run is over.
func (b *harness) longestStop() time.Duration { return b.s.cfg.StopTimeout + lateEndMargin }

// stopsInProgress are the ways to a run that its runner has agreed to stop.
var stopsInProgress = map[string]func(b *harness) Start{
	"overdue": func(b *harness) Start {
		_, c := b.runningJob(400 * ms)
		b.s.runners[c.Runner].runs[c.Run].overdueAt = b.now
		b.tick(20 * ms)
		b.stopped(one[Stop](b), Accepted)
		return c
	},
	"unanswered": func(b *harness) Start {
		again := b.unansweredOnce(testJob(1, 400*ms))
		b.started(again, Unanswered)
		b.stopped(one[Stop](b), Accepted)
		return again
	},
	"sent again": func(b *harness) Start {
		j, c := b.runningJob(400 * ms)
		b.s.Abandon(b.now, entryA, j.ID)
		b.stopped(one[Stop](b), Accepted)
		b.submitCopy(j, entryA)
		return c
	},
	"rejected as outdated": func(b *harness) Start {
		again := b.unansweredOnce(testJob(1, 400*ms))
		b.started(again, Outdated)
		return again
	},
}

// Guards against a second run beside one that is being stopped and that its runner doesn't list any more.
func TestAStoppedRunThatIsntListedCounts(t *testing.T) {
	for name, stop := range stopsInProgress {
		t.Run(name, func(t *testing.T) {
			b := leading(t, testRunner("r1"), testRunner("r2"))
			c := stop(b)
			r := b.s.runners[c.Runner]
			used := r.used
			_, starts := b.passUnlisted(b.s.cfg.StopTimeout)
			b.g.Expect(starts).To(BeEmpty(), "the stop may take until now")
			b.g.Expect(r.used).To(Equal(used), "its room isn't free before its end is listed")
			b.end(c.Runner, 1, c.Run, workload.Stopped)
			b.g.Expect(one[Start](b).Run.Number).To(BeNumerically(">", c.Run.Number))
		})
	}
}

// Guards against a task that waits for longer than a stop takes, where the runner never lists the run's end.
func TestATaskWaitsForTheLongestStop(t *testing.T) {
	for name, stop := range stopsInProgress {
		t.Run(name, func(t *testing.T) {
			b := leading(t, testRunner("r1"), testRunner("r2"))
			c := stop(b)
			next := b.expectStartAfter(b.longestStop())
			b.g.Expect(next.Run.Number).To(BeNumerically(">", c.Run.Number))
		})
	}
}

// tokenRaised returns a run whose start is unanswered, after its runner's token was raised for another run's sake.
// The first list under the new token lacks both.
func tokenRaised(t *testing.T) (*harness, Start) {
	b := leading(t, testRunner("r1"))
	late := b.unansweredOnce(testJob(1, 300*ms))
	take[Hold](b)
	b.now += b.s.cfg.Lease
	b.s.EntryAlive(b.now, entryA)
	b.started(late, TooLate)
	list := b.listOf("r1")
	b.submit(testJob(1, 300*ms), 4*time.Second)
	c := one[Start](b)
	b.now += 2 * ms
	b.answerHold(list, Accepted)
	raised := b.listOf("r1")
	b.g.Expect(raised.Token).To(BeNumerically(">", c.Token))
	b.answerHold(raised, Accepted)
	return b, c
}

// Guards against a second run beside one that has begun and that its runner doesn't list yet.
func TestARunThatIsListedLateCounts(t *testing.T) {
	b, c := tokenRaised(t)
	b.g.Expect(b.s.runners["r1"].runs).To(HaveKey(c.Run))
	b.now += 20 * ms
	b.lists("r1", b.now, c.Run)
	b.g.Expect(b.s.runners["r1"].runs[c.Run].confirmed).To(BeTrue())
	_, starts := b.passUnlisted(b.longestStop() / 2)
	for _, next := range starts {
		b.g.Expect(next.Run.Task).NotTo(Equal(c.Run.Task))
	}
}

// Guards against a run that counts as never begun though the runner's answer to its start, under the token before,
// says that it has begun.
func TestAnAcceptedStartCountsUnderALaterToken(t *testing.T) {
	b, c := tokenRaised(t)
	b.g.Expect(b.s.runners["r1"].runs).To(HaveKey(c.Run))
	b.started(c, Accepted)
	b.passUnlisted(2 * b.longestStop())
	b.g.Expect(b.s.runners["r1"].runs).To(HaveKey(c.Run))
	b.g.Expect(b.s.runners["r1"].runs[c.Run].confirmed).To(BeTrue())
}

// Guards against a second run beside one of the job's life before that is being stopped: its runner rejects the
// start of the next life's run, which has the same number, as outdated.
func TestAnOutdatedStartWaitsForTheStopThatOutdatedIt(t *testing.T) {
	b := leading(t, testRunner("r1"), testRunner("r2"))
	b.submit(testJob(1, 400*ms), 9*time.Second)
	c := one[Start](b)
	b.started(c, Outdated)
	next := b.expectStartAfter(b.longestStop())
	b.g.Expect(next.Run.Number).To(BeNumerically(">", c.Run.Number))
}

// Guards against a second run beside a lost orphan that is being stopped and that its runner doesn't list any more.
func TestAListThatIsTooEarlyDoesntShowThatALostOrphanIsOver(t *testing.T) {
	b, j, c := unstoppableOrphan(t)
	b.listsFenced(c.Runner)
	b.submit(j, 6*time.Second)
	b.s.ReacquireRunners(b.now)
	took, starts := b.passUnlisted(600 * ms)
	b.g.Expect(starts).To(HaveLen(1))
	b.g.Expect(took).To(BeNumerically(">=", b.longestStop()))
}
