package schedule

import (
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"sapphirepoint.example/sapphirepoint/core/workload"
)

// leaveUnanswered leaves the Holds of a runner unanswered and answers those of the others.
func (b *harness) leaveUnanswered(id workload.RunnerID, connection Connection) {
	for _, h := range take[Hold](b) {
		if h.Runner != id {
			b.held(h)
			continue
		}
		b.leaveHoldUnanswered(h, connection)
	}
}

func (b *harness) leaveHoldUnanswered(h Hold, connection Connection) {
	clock := b.clock()
	clock.Milliseconds = 0
	b.s.Held(b.now, HoldResult{Runner: h.Runner, Token: h.Token, ListOnly: h.ListOnly, Outcome: Unanswered, Connection: connection, Clock: clock})
}

// Guards against a run that counts as over on evidence that the log doesn't show.
func TestLapsedRunIsLoggedWithItsEvidence(t *testing.T) {
	for connection, said := range map[Connection]string{ConnectionMade: "host may be up", ConnectionFailed: "host refuses connections", ConnectionTimedOut: "host out of reach"} {
		b := leading(t, testRunner("r1"))
		c := b.runningStoredTask()
		var lapsed []Decision
		for end := b.now + silentLife + time.Second; b.now < end; {
			b.passAndSave(c.Runner, connection)
			for _, d := range take[Decision](b) {
				if d.Event == "run-lapsed" {
					lapsed = append(lapsed, d)
				}
			}
		}
		b.g.Expect(lapsed).To(ConsistOf(HaveField("Detail", And(ContainSubstring(said), ContainSubstring("asked ")))))
	}
}

// Guards against a runner that ends its runs late without a line in the log.
func TestRunThatOutlivesItsLeaseIsLogged(t *testing.T) {
	b := leading(t, testRunner("r1"))
	c := b.runningTask()
	take[Hold](b)
	b.now += b.s.cfg.Lease + 100*ms
	b.lists(c.Runner, b.now, c.Run)
	b.lists(c.Runner, b.now, c.Run)
	lines := take[Decision](b)
	b.g.Expect(lines).To(ContainElement(And(logged("lease-overrun", c.Run, "1 runs alive"), HaveField("Age", 100*ms), HaveField("Warning", true))))
	b.g.Expect(b.s.Counters().LeaseOverruns).To(BeEquivalentTo(1))
}

// silentLife is how long after its last answer, and a lease that was sent then, the runs of a runner count
// whose host accepts connections.
var silentLife = DefaultConfig().Lease*(100+clockDriftPercent)/100 + MaxLateEnd

// silentFor returns how long after the last lease was sent a task of a stored job is started elsewhere whose runner
// leaves all orders unanswered.
func silentFor(t *testing.T, connection Connection) Time {
	b := leading(t, testRunner("r1"), testRunner("r2"))
	c := b.runningStoredTask()
	last := b.now
	for b.now-last < 3*silentLife {
		for _, h := range take[Hold](b) {
			if h.Runner == c.Runner && h.LeaseEnd > 0 {
				last = b.now
			}
			b.out = append(b.out, h)
		}
		b.passAndSave(c.Runner, connection)
		if len(take[Start](b)) > 0 {
			return b.now - last
		}
	}
	t.Fatal("the task was never started again")
	return 0
}

// Guards against a task that runs twice since its runner, starved of processor time, ends its runs late.
func TestTaskOfARunnerThatMayBeStarvedWaitsLonger(t *testing.T) {
	for _, c := range []Connection{ConnectionMade, ConnectionUnknown} {
		NewWithT(t).Expect(silentFor(t, c)).To(BeNumerically(">", silentLife))
	}
}

// Guards against a task that runs twice since its runner's host refuses connections: a listener is missing or
// something on the way refuses, and the runner's process may go on with its runs and end them late.
func TestTaskOfARunnerWhoseHostRefusesConnectionsWaitsLonger(t *testing.T) {
	NewWithT(t).Expect(silentFor(t, ConnectionFailed)).To(BeNumerically(">", silentLife))
}

// Guards against a task that runs twice since nothing reaches its runner: the runner may go on beyond a cut and end
// its runs late.
func TestTaskOfARunnerOutOfReachWaitsLonger(t *testing.T) {
	NewWithT(t).Expect(silentFor(t, ConnectionTimedOut)).To(BeNumerically(">", silentLife))
}

// Guards against the same when answers of the runner were lost before it is starved: it may carry out its orders
// until its lease ends, and be starved from then on.
func TestTaskOfARunnerWhoseAnswersAreLostBeforeItIsStarvedWaits(t *testing.T) {
	NewWithT(t).Expect(silentFor(t, ConnectionMade)).To(BeNumerically(">", DefaultConfig().Lease*(100+clockDriftPercent)/100+MaxLateEnd))
}

// givenUpAfter returns how long after the last lease was sent a best-effort job is given up whose only run is on a
// runner that leaves all orders unanswered. The caller waits for a time, and the task takes as long as its estimate.
func givenUpAfter(t *testing.T, connection Connection, timeout, estimate time.Duration) (Answer, Time) {
	b := leading(t, testRunner("r1"), testRunner("r2"))
	b.submit(testJob(1, estimate), timeout)
	c := one[Start](b)
	b.started(c, Accepted)
	last := b.now
	for {
		for _, h := range take[Hold](b) {
			if h.Runner == c.Runner && h.LeaseEnd > 0 {
				last = b.now
			}
			b.out = append(b.out, h)
		}
		b.leaveUnanswered(c.Runner, connection)
		b.tick(20 * ms)
		b.g.Expect(take[Start](b)).To(BeEmpty())
		if answers := take[Answer](b); len(answers) > 0 {
			return answers[0], b.now - last
		}
	}
}

// Guards against a caller who is kept waiting though the task couldn't be done in time any more if its runner answered.
func TestAJobWithALostRunIsGivenUpOnceTooLittleTimeIsLeft(t *testing.T) {
	g := NewWithT(t)
	for _, connection := range []Connection{ConnectionMade, ConnectionFailed, ConnectionTimedOut} {
		answer, after := givenUpAfter(t, connection, 1500*ms, 600*ms)
		g.Expect(after).To(BeNumerically(">=", maxRunLife(DefaultConfig().Lease)))
		g.Expect(after).To(BeNumerically("<", 1300*ms))
		g.Expect(answer.Outcome).To(Equal(workload.GaveUp), "the run may be alive")
		g.Expect(answer.Cause).To(Equal(workload.RunnerSilent))
		g.Expect(answer.RetryAfter).To(BeNumerically(">=", minRetryAfter))
	}
}

// Guards against a job that is given up though its runner may answer in time: it is starved, or a cut heals.
func TestAJobWithALostRunWaitsWhileThereIsTime(t *testing.T) {
	g := NewWithT(t)
	for _, connection := range []Connection{ConnectionMade, ConnectionTimedOut} {
		_, after := givenUpAfter(t, connection, 4*time.Second, 300*ms)
		g.Expect(after).To(BeNumerically(">", 3*time.Second))
	}
}

// Guards against a second run of a job that was given up with a run out of reach and is sent again: the run counts until
// it must be over.
func TestAJobThatWasGivenUpWithALostRunIsSentAgain(t *testing.T) {
	b := leading(t, testRunner("r1"), testRunner("r2"))
	j := testJob(1, 400*ms)
	b.submit(j, time.Second)
	c := one[Start](b)
	b.started(c, Accepted)
	givenUp := 0
	pass := func() {
		b.leaveUnanswered(c.Runner, ConnectionTimedOut)
		b.tick(20 * ms)
		for range take[Answer](b) {
			givenUp++
			b.submit(j, time.Second)
		}
	}
	for begin := b.now; b.now-begin < silentLife-20*ms; {
		pass()
		b.g.Expect(take[Start](b)).To(BeEmpty())
	}
	b.g.Expect(givenUp).To(BeNumerically(">", 3))
	for range 10 {
		pass()
	}
	b.g.Expect(one[Start](b).Runner).NotTo(Equal(c.Runner))
}

// Guards against a task that runs twice though its runner would answer: a Hold stayed unanswered before
// the lease was over, and the next one, which the runner answers late, shows the run.
func TestSilentRunnerIsAskedAfterItsLease(t *testing.T) {
	b := leading(t, testRunner("r1"), testRunner("r2"))
	c := b.runningTask()
	b.tick(200 * ms)
	b.leaveUnanswered(c.Runner, ConnectionUnknown)
	probe, probedAt := one[Hold](b), b.now
	b.tick(maxRunLife(b.s.cfg.Lease))
	b.g.Expect(take[Start](b)).To(BeEmpty(), "nobody has asked since the lease is over")
	asked := one[Hold](b)
	b.g.Expect(asked.ListOnly).To(BeTrue())
	b.s.Held(b.now, HoldResult{Runner: probe.Runner, Token: probe.Token, Outcome: Unanswered, Clock: ClockReading{ReceivedAt: b.now, SentAt: probedAt}})
	b.tick(20 * ms)
	b.g.Expect(take[Start](b)).To(BeEmpty(), "the answer is on its way")
	b.answerHold(asked, Accepted, c.Run)
	b.tick(100 * ms)
	b.g.Expect(take[Start](b)).To(BeEmpty())
	b.end(c.Runner, 1, c.Run, workload.Done)
	b.g.Expect(one[Answer](b).Outcome).To(Equal(workload.Completed))
}

// Guards against runs that lapse on healthy runners where answers are slow: the timeout has grown so far
// that a lease doesn't span a delayed answer and the next renewal.
func TestRenewalsComeWithinTheLeaseWhereAnswersAreSlow(t *testing.T) {
	b := leading(t, testRunner("r1"))
	for b.s.callLatency = 0; b.s.callLatency <= 200*ms; b.s.callLatency += 10 * ms {
		b.g.Expect(b.s.holdWait() + b.s.callTimeout()).To(BeNumerically("<", b.s.cfg.Lease))
	}
	b.s.callLatency = 0
	b.g.Expect(b.s.holdWait()).To(Equal(b.s.cfg.HoldWait))
}

// Guards against a second run beside one that was stopped: the order was answered, and then the runner, whose
// host accepts connections, is silent.
func TestAStoppedRunOfASilentRunnerCounts(t *testing.T) {
	b := leading(t, testRunner("r1"), testRunner("r2"))
	b.submit(testJob(1, 400*ms), 9*time.Second)
	b.started(one[Start](b), Unanswered)
	again := one[Start](b)
	b.started(again, Unanswered)
	b.stopped(one[Stop](b), Accepted)
	for end := b.now + silentLife - 40*ms; b.now < end; {
		b.leaveUnanswered(again.Runner, ConnectionMade)
		b.g.Expect(take[Start](b)).To(BeEmpty())
		b.tick(20 * ms)
	}
	for range 20 {
		b.leaveUnanswered(again.Runner, ConnectionMade)
		b.tick(20 * ms)
	}
	b.g.Expect(one[Start](b).Runner).NotTo(Equal(again.Runner))
}

// Guards against a host that counts as out of reach since one connection of many wasn't made in time.
func TestOneConnectionThatIsntMadeInTimeShowsNothing(t *testing.T) {
	b := leading(t, testRunner("r1"), testRunner("r2"))
	c := b.runningTask()
	last := b.now
	for b.now-last <= silentLife {
		connection := ConnectionMade
		if b.now-last > 600*ms {
			connection = ConnectionUnknown
		}
		b.leaveUnanswered(c.Runner, connection)
		b.g.Expect(take[Start](b)).To(BeEmpty())
		b.tick(20 * ms)
	}
}

// Guards against a run that stays for ever since its runner has agreed to stop it and doesn't: it is told
// again, and gets no lease.
func TestAStopThatIsntCarriedOutIsRepeated(t *testing.T) {
	b := leading(t, testRunner("r1"))
	b.submit(testJob(1, 400*ms), 9*time.Second)
	b.started(one[Start](b), Unanswered)
	again := one[Start](b)
	b.started(again, Unanswered)
	b.stopped(one[Stop](b), Accepted)
	for _, h := range take[Hold](b) {
		b.answerHold(h, Accepted, again.Run)
	}
	began, stops := b.now, 0
	for b.now-began < time.Second {
		b.tick(20 * ms)
		for _, h := range take[Hold](b) {
			b.g.Expect(h.LeaseEnd).To(BeZero())
			b.answerHold(h, Accepted, again.Run)
		}
		for _, c := range take[Stop](b) {
			stops++
			b.stopped(c, Accepted)
		}
	}
	b.g.Expect(stops).To(And(BeNumerically(">=", 3), BeNumerically("<", 10)))
}

// Guards against a loop of orders to a runner that rejects each one at once.
func TestARunnerThatRejectsHoldsIsAskedWithPauses(t *testing.T) {
	b := leading(t, testRunner("r1"))
	b.runningTask()
	holds := 0
	for range 250 {
		b.now += 2 * ms
		if b.now%(20*ms) == 0 {
			b.s.EntryAlive(b.now, entryA)
			b.s.Tick(b.now)
		}
		for _, h := range take[Hold](b) {
			holds++
			b.answerHold(h, Unhealthy)
		}
	}
	b.g.Expect(holds).To(BeNumerically("<", 30))
}

// Guards against runs of a healthy runner that lapse since one answer was lost in the first second of a
// leader, when timeouts are long.
func TestALostAnswerLeavesTimeToRenewTheLease(t *testing.T) {
	b := leading(t, testRunner("r1"))
	c := b.runningTask()
	b.answerHold(one[Hold](b), Accepted, c.Run)
	b.s.leadingSince = b.now - 100*ms
	b.answerHold(one[Hold](b), Accepted, c.Run)
	lost, sentAt := one[Hold](b), b.now
	b.g.Expect(lost.LeaseEnd).NotTo(BeZero())
	b.now += lost.Timeout
	b.s.Held(b.now, HoldResult{Runner: lost.Runner, Token: lost.Token, Outcome: Unanswered, Clock: ClockReading{ReceivedAt: b.now, SentAt: sentAt}})
	probe := one[Hold](b)
	b.now += 5 * ms
	b.answerHold(probe, Accepted, c.Run)
	b.g.Expect(one[Hold](b).LeaseEnd).NotTo(BeZero())
	b.g.Expect(b.now - sentAt).To(BeNumerically("<", b.s.cfg.Lease))
}

// Guards against a runner whose starvation is counted from its last lease: that may have been sent long
// before the runner's last answer.
func TestStarvationIsCountedFromTheLastAnswer(t *testing.T) {
	b := leading(t, testRunner("r1"), testRunner("r2"))
	b.submit(testJob(1, 400*ms), 4*time.Second)
	b.started(one[Start](b), Unanswered)
	b.tick(300 * ms)
	again := one[Start](b)
	b.started(again, Accepted)
	for answeredAt := b.now; b.now < answeredAt+b.s.cfg.HoldWait+MaxLateEnd; {
		b.leaveUnanswered(again.Runner, ConnectionMade)
		b.g.Expect(take[Start](b)).To(BeEmpty())
		b.tick(20 * ms)
	}
}

// Guards against a host that counts as out of reach though it has refused a connection between two that weren't
// made in time: the process may be alive behind something that refuses at times.
func TestARefusalBetweenConnectionsThatArentMadeInTimeShowsNothing(t *testing.T) {
	b := leading(t, testRunner("r1"), testRunner("r2"))
	c := b.runningTask()
	last := b.now
	connection := ConnectionTimedOut
	for b.now-last <= silentLife {
		for _, h := range take[Hold](b) {
			if h.Runner != c.Runner {
				b.held(h)
				continue
			}
			b.leaveHoldUnanswered(h, connection)
			connection = ConnectionTimedOut + ConnectionFailed - connection
		}
		b.g.Expect(take[Start](b)).To(BeEmpty())
		b.tick(20 * ms)
	}
}

// Guards against a task that goes on waiting for a runner whose host refused connections, once the runner itself has
// shown that the run is over.
func TestTheRunnersOwnEvidenceEndsTheWait(t *testing.T) {
	for name, answer := range map[string]func(res *HoldResult){
		"another incarnation answers at its address": func(res *HoldResult) { res.Outcome, res.Clock.Milliseconds = Replaced, 0 },
		"it lists the end": func(res *HoldResult) {
			res.Ends = []workload.End{{Sequence: 1, Run: res.Running[0], Kind: workload.LeaseExpired}}
			res.Running = nil
		},
		"it has restarted": func(res *HoldResult) { res.Running, res.Clock.IncarnationStart = nil, 2 },
	} {
		b, c := refusedUntilAsked(t)
		h := b.oneHold(c.Runner)
		res := HoldResult{Runner: h.Runner, Address: h.Address, Token: h.Token, ListOnly: h.ListOnly, Outcome: Accepted, Running: []workload.RunKey{c.Run}, Clock: b.clock()}
		answer(&res)
		b.s.Held(b.now, res)
		b.tick(20 * ms)
		b.g.Expect(take[Start](b)).To(HaveLen(1), name)
	}
}

// refusedUntilAsked returns a harness with a task whose runner's host refuses connections since longer than a lease.
func refusedUntilAsked(t *testing.T) (*harness, Start) {
	first := testRunner("r1")
	first.IncarnationStart = 1
	b := leading(t, first)
	c := b.runningTask()
	b.s.SetRunners(b.now, []workload.Runner{first, testRunner("r2")})
	for end := b.now + maxRunLife(b.s.cfg.Lease) + time.Second; b.now < end; {
		b.leaveUnanswered(c.Runner, ConnectionFailed)
		b.tick(20 * ms)
	}
	b.g.Expect(take[Start](b)).To(BeEmpty())
	return b, c
}

// oneHold returns the next Hold of a runner.
func (b *harness) oneHold(id workload.RunnerID) Hold {
	for {
		for _, h := range take[Hold](b) {
			if h.Runner == id {
				return h
			}
		}
		b.tick(20 * ms)
	}
}

// Guards against runs that count as over just after their runner has listed them: a later order has stayed
// unanswered by then.
func TestAnAnswerEndsTheSilence(t *testing.T) {
	b := leading(t, testRunner("r1"), testRunner("r2"))
	c := b.runningTask()
	b.silence(c.Runner, maxRunLife(b.s.cfg.Lease)-100*ms, b.tick)
	b.s.requestList(b.s.runners[c.Runner])
	var early Hold
	for _, h := range take[Hold](b) {
		if h.Runner == c.Runner && h.ListOnly {
			early = h
			continue
		}
		b.answerHold(h, Unanswered)
	}
	sentAt := b.now
	b.silence(c.Runner, 80*ms, b.tick)
	clock := b.clock()
	clock.SentAt = sentAt
	b.s.Held(b.now, HoldResult{Runner: early.Runner, Token: early.Token, ListOnly: true, Outcome: Accepted, Running: []workload.RunKey{c.Run}, Clock: clock})
	b.tick(60 * ms)
	b.g.Expect(take[Start](b)).To(BeEmpty())
}
