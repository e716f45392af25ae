package schedule

import (
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"sapphirepoint.example/sapphirepoint/core/workload"
)

const (
	firstIncarnation  = 1_760_000_000_000
	secondIncarnation = firstIncarnation + 5000
)

// incarnationClock is a clock reading of an incarnation whose clock began at the time since.
func (b *harness) incarnationClock(start int64, since Time) ClockReading {
	return ClockReading{Milliseconds: (b.now - since).Milliseconds() + 1, ReceivedAt: b.now, SentAt: b.now, IncarnationStart: start}
}

// answerAll answers the Holds, those of the given runner for the given incarnation.
func (b *harness) answerAll(id workload.RunnerID, start int64, since Time, running ...workload.RunKey) {
	for _, h := range take[Hold](b) {
		if h.Runner != id {
			b.held(h)
			continue
		}
		b.s.Held(b.now, HoldResult{Runner: id, Token: h.Token, ListOnly: h.ListOnly, Outcome: Accepted, Running: running, Clock: b.incarnationClock(start, since)})
	}
}

// restartedHarness returns a harness with a task on r1, which then restarts, and the time of the
// restart.
func restartedHarness(t *testing.T, confirmed bool) (*harness, Start, Time) {
	b := leading(t, testRunner("r1"))
	b.s.runners["r1"].incarnationStart = firstIncarnation
	b.submit(testJob(1, 400*ms), 4*time.Second)
	c := one[Start](b)
	if confirmed {
		b.started(c, Accepted)
	}
	b.now += 20 * ms
	return b, c, b.now
}

// Guards against a runner that restarts under its id: its tasks would be waited for, and its new
// ends, numbered from one, would be taken for old ones.
func TestRestartedRunnerIsReacquired(t *testing.T) {
	b, c, since := restartedHarness(t, true)
	before := b.s.runners["r1"].token
	b.s.Held(b.now, HoldResult{Runner: "r1", Token: before, Outcome: Accepted, Clock: b.incarnationClock(secondIncarnation, since)})
	b.answerAll("r1", secondIncarnation, since)
	r := b.s.runners["r1"]
	b.g.Expect(r.token).To(BeNumerically(">", before), "it must refuse orders from before the restart")
	again := one[Start](b)
	b.g.Expect(again.Run.Task).To(Equal(c.Run.Task))
	b.g.Expect(again.Run.Number).To(BeNumerically(">", c.Run.Number))
	b.g.Expect(again.LeaseEnd).To(BeNumerically("<", 2000), "on the new clock")
	b.s.Started(b.now, StartResult{Runner: "r1", Token: again.Token, Run: again.Run, Outcome: Accepted, Clock: b.incarnationClock(secondIncarnation, since)})
	b.s.Held(b.now, HoldResult{
		Runner: "r1", Token: r.token, Outcome: Accepted, Clock: b.incarnationClock(secondIncarnation, since),
		Ends: []workload.End{{Sequence: 1, Run: again.Run, Kind: workload.Done}},
	})
	b.g.Expect(one[Answer](b).Outcome).To(Equal(workload.Completed))
}

// Guards against two runs of a task whose start arrived just after the runner had restarted.
func TestStartAcceptedByTheNewIncarnationIsAdopted(t *testing.T) {
	b, c, since := restartedHarness(t, false)
	b.s.Started(b.now, StartResult{Runner: "r1", Token: c.Token, Run: c.Run, Outcome: Accepted, Clock: b.incarnationClock(secondIncarnation, since)})
	b.answerAll("r1", secondIncarnation, since, c.Run)
	b.tick(100 * ms)
	b.g.Expect(take[Start](b)).To(BeEmpty())
	b.s.Held(b.now, HoldResult{
		Runner: "r1", Token: b.s.runners["r1"].token, Outcome: Accepted, Clock: b.incarnationClock(secondIncarnation, since),
		Ends: []workload.End{{Sequence: 1, Run: c.Run, Kind: workload.Done}},
	})
	b.g.Expect(one[Answer](b).Outcome).To(Equal(workload.Completed))
}

// Guards against a late answer or list of the previous incarnation that overwrites the state of
// the present one.
func TestLateAnswerOfAnEarlierIncarnationIsIgnored(t *testing.T) {
	b, c, since := restartedHarness(t, true)
	b.s.Held(b.now, HoldResult{Runner: "r1", Token: b.s.runners["r1"].token, Outcome: Accepted, Clock: b.incarnationClock(secondIncarnation, since)})
	b.answerAll("r1", secondIncarnation, since)
	again := one[Start](b)
	old := testRunner("r1")
	old.IncarnationStart = firstIncarnation
	b.s.SetRunners(b.now, []workload.Runner{old})
	b.s.Started(b.now, StartResult{Runner: "r1", Token: c.Token, Run: c.Run, Outcome: Accepted, Clock: b.incarnationClock(firstIncarnation, 0)})
	r := b.s.runners["r1"]
	b.g.Expect(r.incarnationStart).To(BeEquivalentTo(secondIncarnation))
	b.g.Expect(r.runs).To(HaveKey(again.Run))
	b.g.Expect(r.clock).To(BeNumerically("<", 1000))
}

// Guards against a new incarnation that goes unnoticed when the list of runners is the first to
// show it: the runner is asked at once, and its answer shows the restart.
func TestRunnerListShowsANewIncarnation(t *testing.T) {
	b, c, since := restartedHarness(t, true)
	restarted := testRunner("r1")
	restarted.IncarnationStart = secondIncarnation
	take[Hold](b)
	b.s.SetRunners(b.now, []workload.Runner{restarted})
	asked := one[Hold](b)
	b.g.Expect(asked.ListOnly).To(BeTrue())
	b.s.Held(b.now, HoldResult{Runner: "r1", Token: asked.Token, ListOnly: true, Outcome: Accepted, Clock: b.incarnationClock(secondIncarnation, since)})
	b.answerAll("r1", secondIncarnation, since)
	b.g.Expect(one[Start](b).Run.Task).To(Equal(c.Run.Task))
}

// Guards against an end that is acknowledged before it was listed: the runner has restarted and
// accepted a start whose answer was lost, and its first end has the sequence of an earlier one.
func TestNoEndIsAcknowledgedWhileAStartIsUnconfirmed(t *testing.T) {
	b := leading(t, testRunner("r1"))
	b.submit(testJob(1, 60*ms), 4*time.Second)
	c := one[Start](b)
	b.started(c, Accepted)
	b.end("r1", 1, c.Run, workload.Done)
	b.g.Expect(b.s.runners["r1"].acknowledged).To(BeEquivalentTo(1))
	take[Hold](b)
	b.submit(testJob(1, 60*ms), 4*time.Second)
	c = one[Start](b)
	b.g.Expect(b.s.runners["r1"].ackCursor(b.now)).To(BeEquivalentTo(1), "the start isn't overdue yet")
	take[Hold](b)
	b.tick(20 * ms)
	b.s.requestList(b.s.runners["r1"])
	b.g.Expect(one[Hold](b).Acknowledged).To(BeZero())
	b.started(c, Accepted)
	b.g.Expect(b.s.runners["r1"].ackCursor(b.now)).To(BeEquivalentTo(1))
}

// Guards against the same after the unconfirmed run has lapsed: the runner has stayed silent since, and
// its first answer would show the restart.
func TestNoEndIsAcknowledgedToASilentRunner(t *testing.T) {
	b := leading(t, testRunner("r1"))
	b.submit(testJob(1, 60*ms), 4*time.Second)
	c := one[Start](b)
	b.started(c, Accepted)
	ended := c.Run
	b.end("r1", 1, ended, workload.Done)
	b.submit(testJob(1, 60*ms), 9*time.Second)
	b.started(one[Start](b), Unanswered)
	b.started(one[Start](b), Unanswered)
	b.silence("r1", silentLife+40*ms, b.tick)
	r := b.s.runners["r1"]
	b.g.Expect(r.runs).To(BeEmpty(), "the run has lapsed")
	take[Hold](b)
	b.s.requestList(r)
	h := one[Hold](b)
	b.g.Expect(h.Acknowledged).To(BeZero())
	b.held(h, workload.End{Sequence: 1, Run: ended, Kind: workload.Done})
	b.g.Expect(r.ackCursor(b.now)).To(BeEquivalentTo(1))
}

// Guards against two runs of a task at the same time: a start that stays unanswered may run in the next
// incarnation of a silent runner under a longer lease than was ordered.
func TestUnconfirmedRunOfARunnerThatMayHaveRestarted(t *testing.T) {
	for _, known := range []bool{false, true} {
		b := leading(t, testRunner("r1"), testRunner("r2"))
		life := silentLife
		if known {
			b.s.runners["r1"].incarnationStart = firstIncarnation
			b.s.runners["r2"].incarnationStart = firstIncarnation
			life = longestLateLife
		}
		b.submit(testJob(1, 60*ms), 9*time.Second)
		b.started(one[Start](b), Unanswered)
		second := one[Start](b)
		b.started(second, Unanswered)
		b.silence(second.Runner, life-20*ms, b.tick)
		b.g.Expect(take[Start](b)).To(BeEmpty())
		b.silence(second.Runner, 60*ms, b.tick)
		b.g.Expect(one[Start](b).Runner).NotTo(Equal(second.Runner))
	}
}

// Guards against a runner that gets no orders any more: the start of its incarnation steps back, so its
// answers are taken for late ones, and a renewal counts as under way for ever. Its runs lapse.
func TestARenewalAnsweredByAnEarlierIncarnationIsRepeated(t *testing.T) {
	b := leading(t, testRunner("r1"), testRunner("r2"))
	c := b.runningTask()
	b.s.runners[c.Runner].incarnationStart = secondIncarnation
	renewals := 0
	for begin := b.now; b.now-begin < silentLife+100*ms; {
		for _, h := range take[Hold](b) {
			if h.Runner != c.Runner {
				b.held(h)
				continue
			}
			renewals++
			b.s.Held(b.now, HoldResult{Runner: h.Runner, Token: h.Token, ListOnly: h.ListOnly, Outcome: Accepted, Clock: b.incarnationClock(firstIncarnation, b.now)})
		}
		b.tick(20 * ms)
	}
	b.g.Expect(renewals).To(BeNumerically(">", 2))
	b.g.Expect(one[Start](b).Runner).NotTo(Equal(c.Runner))
}

// Guards against the same for a request of the lists.
func TestAListOfAnEarlierIncarnationIsRequestedAgain(t *testing.T) {
	b := leading(t, testRunner("r1"))
	r := b.s.runners["r1"]
	r.incarnationStart = secondIncarnation
	for range 2 {
		b.s.requestList(r)
		h := one[Hold](b)
		b.s.Held(b.now, HoldResult{Runner: "r1", Token: h.Token, ListOnly: true, Outcome: Accepted, Clock: b.incarnationClock(firstIncarnation, 0)})
		b.g.Expect(r.listInFlight).To(BeFalse())
		take[Hold](b)
	}
}

// doubtfulOrphan returns a harness whose runners report the starts of their incarnations, and a job that
// its caller has left while the start of its run was unanswered.
func doubtfulOrphan(t *testing.T) (*harness, *workload.Job, Start) {
	b := leading(t, testRunner("r1"), testRunner("r2"))
	for _, r := range b.s.runnerList {
		r.incarnationStart = firstIncarnation
	}
	j := testJob(1, 300*ms)
	again := b.unansweredOnce(j)
	b.s.Abandon(b.now, entryA, j.ID)
	return b, j, again
}

// Guards against two runs of a job that is sent again: the first run's runner restarts, and its start, of
// which the outcome is in doubt, may reach the new incarnation.
func TestAnOrphanWhoseStartMayReachTheNextIncarnationHoldsItsJob(t *testing.T) {
	for _, c := range []struct{ answered, listed bool }{{false, false}, {true, false}, {true, true}} {
		answered, listed := c.answered, c.listed
		b, j, c := doubtfulOrphan(t)
		restarted := testRunner(string(c.Runner))
		other := testRunner("r1")
		if other.ID == restarted.ID {
			other = testRunner("r2")
		}
		restarted.IncarnationStart, other.IncarnationStart = secondIncarnation, firstIncarnation
		take[Hold](b)
		b.s.SetRunners(b.now, []workload.Runner{restarted, other})
		since := b.now
		if answered {
			asked := one[Hold](b)
			b.g.Expect(asked.Runner).To(Equal(c.Runner), "the entry shows a restart")
			b.s.Held(b.now, HoldResult{Runner: c.Runner, Token: asked.Token, ListOnly: true, Outcome: Accepted, Clock: b.incarnationClock(secondIncarnation, since)})
		}
		b.submit(j, 20*time.Second)
		b.g.Expect(take[Start](b)).To(BeEmpty())
		if listed {
			b.answerAll(c.Runner, secondIncarnation, since)
			b.g.Expect(take[Start](b)).To(BeEmpty(), "the order may reach an incarnation that hasn't seen the raised token")
			b.tick(maxRunLife(maxLease))
			b.answerAll(c.Runner, secondIncarnation, since)
			b.g.Expect(take[Start](b)).To(HaveLen(1))
			continue
		}
		if !answered {
			b.tick(longestLateLife)
		}
		b.tick(longestLateLife - 20*ms)
		b.g.Expect(take[Start](b)).To(BeEmpty())
		b.tick(60 * ms)
		b.g.Expect(take[Start](b)).To(HaveLen(1))
	}
}

// Guards against two runs of a task: a run is stopped while its start is unanswered, and the start reaches
// the runner's next incarnation, which doesn't know of the stop.
func TestAStoppedRunsStartMayReachTheNextIncarnation(t *testing.T) {
	b := leading(t, testRunner("r1"), testRunner("r2"))
	for _, r := range b.s.runnerList {
		r.incarnationStart = firstIncarnation
	}
	again := b.unansweredOnce(testJob(1, 300*ms))
	b.started(again, Unanswered)
	take[Hold](b)
	b.stopped(one[Stop](b), Accepted)
	b.now += 2 * ms
	b.held(b.listOf(again.Runner))
	b.g.Expect(take[Start](b)).To(BeEmpty(), "until %v the start may be carried out", maxRunLife(maxLease))
}

// stoppedInDoubt returns a harness with a job whose run is stopped while its start is unanswered, and
// isn't on the first list that its runner sends after the stop.
func stoppedInDoubt(t *testing.T, incarnation int64, abandon bool) (*harness, *workload.Job) {
	b := leading(t, testRunner("r1"), testRunner("r2"))
	for _, r := range b.s.runnerList {
		r.incarnationStart = incarnation
	}
	j := testJob(1, 300*ms)
	again := b.unansweredOnce(j)
	b.started(again, Unanswered)
	if abandon {
		b.s.Abandon(b.now, entryA, j.ID)
	}
	for _, h := range take[Hold](b) {
		b.held(h)
	}
	b.now += 2 * ms
	b.stopped(one[Stop](b), Accepted)
	b.now += 2 * ms
	b.held(b.listOf(again.Runner))
	return b, j
}

// Guards against a task that waits longer than for a start that is carried out late, or that waits where
// runners never restart under their ids.
func TestATaskWhoseStartMayReachTheNextIncarnationWaitsForItsLease(t *testing.T) {
	b, _ := stoppedInDoubt(t, 0, false)
	b.expectStartAfter(b.longestStop() - 2*ms)

	b, _ = stoppedInDoubt(t, firstIncarnation, false)
	b.expectStartAfter(maxRunLife(maxLease) - 4*ms)
}

// Guards against two runs of a job that is sent again: its run was stopped while its start was unanswered.
func TestAStoppedOrphansStartMayReachTheNextIncarnation(t *testing.T) {
	b, j := stoppedInDoubt(t, firstIncarnation, true)
	b.submit(j, 3*time.Second)
	b.g.Expect(take[Start](b)).To(BeEmpty())
	b.wait(maxRunLife(maxLease) + b.s.cfg.Lease)
	b.g.Expect(take[Start](b)).To(HaveLen(1))
}

// Guards against an end that is forgotten though it was never listed: a cursor that the runner has carried out already would be
// under way as it restarts.
func TestACursorIsNotRepeated(t *testing.T) {
	b := leading(t, testRunner("r1"))
	b.submit(testJob(1, 60*ms), 4*time.Second)
	c := one[Start](b)
	b.started(c, Accepted)
	take[Hold](b)
	b.end("r1", 1, c.Run, workload.Done)
	b.s.requestList(b.s.runners["r1"])
	due := one[Hold](b)
	b.g.Expect(due.Acknowledged).To(BeEquivalentTo(1))
	b.held(due)
	b.submit(testJob(1, 60*ms), 4*time.Second)
	one[Start](b)
	b.g.Expect(one[Hold](b).Acknowledged).To(BeZero())
}

// Guards against two runs of a task: a run whose start was ordered twice ends, its task starts elsewhere, and the other order is
// carried out by the runner's next incarnation.
func TestATaskWhoseStartWasOrderedTwiceWaitsUntilNoOrderIsValid(t *testing.T) {
	for _, known := range []bool{false, true} {
		b := leading(t, testRunner("r1"), testRunner("r2"))
		for _, r := range b.s.runnerList {
			if known {
				r.incarnationStart = firstIncarnation
			}
		}
		b.submit(testJob(1, 300*ms), 9*time.Second)
		c := one[Start](b)
		b.started(c, Unanswered)
		again := one[Start](b)
		b.started(again, Accepted)
		b.now += 50 * ms
		b.end(c.Runner, 1, c.Run, workload.Stopped)
		if !known {
			b.g.Expect(take[Start](b)).To(HaveLen(1))
			continue
		}
		b.wait(maxRunLife(maxLease) - 70*ms)
		b.g.Expect(take[Start](b)).To(BeEmpty())
		b.wait(60 * ms)
		b.g.Expect(take[Start](b)).To(HaveLen(1))
	}
}

// Guards against a wait for an order that was carried out: a run whose only order stayed unanswered is listed as ended.
func TestATaskWhoseOnlyOrderWasCarriedOutStartsAtOnce(t *testing.T) {
	b := leading(t, testRunner("r1"), testRunner("r2"))
	for _, r := range b.s.runnerList {
		r.incarnationStart = firstIncarnation
	}
	b.submit(testJob(1, 300*ms), 9*time.Second)
	c := one[Start](b)
	b.now += 50 * ms
	b.end(c.Runner, 1, c.Run, workload.Stopped)
	b.g.Expect(take[Start](b)).To(HaveLen(1))
}
