package schedule

import (
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"sapphirepoint.example/sapphirepoint/core/ledger"
	"sapphirepoint.example/sapphirepoint/core/workload"
)

// What is decided by answers that don't say which incarnation of a runner they come from.

// namedInLists is a harness whose runners name their incarnations in their lists only.
type namedInLists struct {
	*harness
	// starts are the incarnations, and since is when each began.
	starts map[workload.RunnerID]int64
	since  map[workload.RunnerID]Time
	infos  []workload.Runner
	// silent are the runners that answer nothing.
	silent map[workload.RunnerID]bool
	// running and ended are what the runners list.
	running map[workload.RunnerID][]workload.RunKey
	ended   map[workload.RunnerID][]workload.End
}

// newHarnessNamedInLists returns a harness without runners, whose scheduler doesn't lead yet.
func newHarnessNamedInLists(t *testing.T) *namedInLists {
	return &namedInLists{
		harness: newHarness(t),
		starts:  make(map[workload.RunnerID]int64), since: make(map[workload.RunnerID]Time), silent: make(map[workload.RunnerID]bool),
		running: make(map[workload.RunnerID][]workload.RunKey), ended: make(map[workload.RunnerID][]workload.End),
	}
}

// newNamedInLists returns a harness whose scheduler has owned its runners for some time.
func newNamedInLists(t *testing.T, ids ...string) *namedInLists {
	n := newHarnessNamedInLists(t)
	n.s.Lead(n.now)
	n.ownRows(1)
	for _, id := range ids {
		n.addRunner(id)
	}
	n.pass(takeoverWindow + warmUpTime)
	return n
}

func (n *namedInLists) addRunner(id string) {
	r := testRunner(id)
	r.IncarnationStart = firstIncarnation
	n.starts[r.ID] = firstIncarnation
	n.infos = append(n.infos, r)
	n.s.SetRunners(n.now, n.infos)
}

// restart begins the next incarnation of a runner, which has no runs.
func (n *namedInLists) restart(id workload.RunnerID) {
	n.starts[id] += 5000
	n.since[id] = n.now
	delete(n.running, id)
	delete(n.ended, id)
}

// describe has a runner's entry name its present incarnation.
func (n *namedInLists) describe(id workload.RunnerID) {
	for i := range n.infos {
		if n.infos[i].ID == id {
			n.infos[i].IncarnationStart = n.starts[id]
		}
	}
	n.s.SetRunners(n.now, n.infos)
}

// unnamed is a runner's clock in an answer that doesn't name its incarnation.
func (n *namedInLists) unnamed(id workload.RunnerID) ClockReading {
	return ClockReading{Milliseconds: (n.now - n.since[id]).Milliseconds() + 1, ReceivedAt: n.now, SentAt: n.now}
}

// pass lets time pass while the runners answer their Holds.
func (n *namedInLists) pass(d time.Duration) {
	for end := n.now + d; n.now < end; {
		n.tick(min(20*ms, end-n.now))
		n.s.RowOwnershipVerified(n.now, n.now)
		n.saved(take[Save](n.harness)...)
		n.list()
	}
}

// list answers all Holds.
func (n *namedInLists) list() {
	for _, o := range take[Hold](n.harness) {
		if n.silent[o.Runner] {
			n.answerHold(o, Unanswered)
			continue
		}
		n.listFor(o)
	}
}

func (n *namedInLists) listFor(o Hold) {
	n.ended[o.Runner] = slices.DeleteFunc(n.ended[o.Runner], func(e workload.End) bool { return e.Sequence <= o.Acknowledged })
	c := n.unnamed(o.Runner)
	c.IncarnationStart = n.starts[o.Runner]
	n.s.Held(n.now, HoldResult{
		Runner: o.Runner, Address: o.Address, Token: o.Token, ListOnly: o.ListOnly, ReachabilityOnly: o.ReachabilityOnly,
		Outcome: Accepted, Running: n.running[o.Runner], Ends: n.ended[o.Runner], Clock: c,
	})
}

// answerStart answers a start without naming the incarnation.
func (n *namedInLists) answerStart(c Start, o CallOutcome) {
	n.s.Started(n.now, StartResult{Runner: c.Runner, Address: c.Address, Token: c.Token, Run: c.Run, Outcome: o, Clock: n.unnamed(c.Runner)})
}

// startedOnNext returns a start that the next incarnation of its runner has carried out and answered.
func (n *namedInLists) startedOnNext(j *workload.Job, timeout time.Duration) Start {
	n.t.Helper()
	n.submit(j, timeout)
	c := one[Start](n.harness)
	n.restart(c.Runner)
	n.now += 2 * ms
	n.running[c.Runner] = []workload.RunKey{c.Run}
	n.answerStart(c, Accepted)
	return c
}

// expectNoStartBefore lets time pass until a time, and expects no order to start a run of a task before.
func (n *namedInLists) expectNoStartBefore(at Time, k workload.RunKey) {
	n.t.Helper()
	for n.now+20*ms < at {
		n.pass(20 * ms)
		for _, c := range take[Start](n.harness) {
			n.g.ExpectWithOffset(1, c.Run.Task).NotTo(Equal(k.Task), "%v before the earlier run is over", at-n.now)
		}
	}
}

// Guards against two runs of a task at once after two restarts: an order to start the task that was under way before them is
// carried out by the last incarnation, which hasn't seen the token that the one before it has.
func TestAStartUnderWayMayReachTheIncarnationAfterTheNext(t *testing.T) {
	n := newNamedInLists(t, "r1", "r2")
	n.submit(testJob(1, 300*ms), 4*time.Second)
	c := one[Start](n.harness)
	n.now += 10 * ms
	n.restart(c.Runner)
	n.list()
	n.pass(400 * ms)
	n.g.Expect(take[Start](n.harness)).To(BeEmpty(), "the order may still reach a later incarnation")
	n.restart(c.Runner)
	n.running[c.Runner] = []workload.RunKey{c.Run}
	n.pass(1500 * ms)
	n.g.Expect(take[Start](n.harness)).To(BeEmpty(), "the run is listed")
	n.g.Expect(n.s.runners[c.Runner].runs).To(HaveKey(c.Run))
}

// Guards against two runs of a task at once: the next incarnation has shortened the lease in a start to the longest one that it
// grants, since the lease ends far in the future by its clock. That is longer than the lease that was meant.
func TestALeaseByTheClockOfTheIncarnationBeforeIsTheLongest(t *testing.T) {
	n := newNamedInLists(t, "r1", "r2")
	c := n.startedOnNext(testJob(1, 300*ms), 20*time.Second)
	carriedOut := n.now
	n.silent[c.Runner] = true
	n.expectNoStartBefore(carriedOut-2*ms+longestLateLife, c.Run)
}

// Guards against the same after a renewal that was sent later than the start, and that the next incarnation has carried out.
func TestARenewalByTheClockOfTheIncarnationBeforeIsTheLongest(t *testing.T) {
	n := newNamedInLists(t, "r1")
	n.submit(testJob(1, 15*time.Second), 30*time.Second)
	n.answerStart(one[Start](n.harness), Accepted)
	n.pass(20 * ms)
	n.addRunner("r2")
	n.infos[1].Draining = true
	n.s.SetRunners(n.now, n.infos)
	n.pass(40 * ms)
	before := take[Hold](n.harness)
	n.submit(testJob(1, 300*ms), 20*time.Second)
	c := one[Start](n.harness)
	n.g.Expect(c.Runner).To(BeEquivalentTo("r1"))
	before = append(before, take[Hold](n.harness)...)
	n.infos[1].Draining = false
	n.s.SetRunners(n.now, n.infos)
	n.now += 100 * ms
	for _, o := range before {
		n.listFor(o)
	}
	renewed := n.now
	n.collect()
	n.g.Expect(n.out).To(ContainElement(And(BeAssignableToTypeOf(Hold{}), HaveField("Runner", c.Runner), HaveField("LeaseEnd", BeNumerically(">", 0)))))
	n.restart("r1")
	n.now += 2 * ms
	n.answerStart(c, Accepted)
	n.silent["r1"] = true
	n.expectNoStartBefore(renewed+longestLateLife, c.Run)
}

// Guards against the same where another scheduler has taken the next incarnation, and the runner is silent since.
func TestARunOfAFencedNextIncarnationMayHaveTheLongestLease(t *testing.T) {
	n := newNamedInLists(t, "r1", "r2")
	c := n.startedOnNext(testJob(1, 300*ms), 20*time.Second)
	carriedOut := n.now
	token := n.s.runners[c.Runner].token
	n.s.Held(n.now, HoldResult{Runner: c.Runner, Address: "r1", Token: token, ListOnly: true, Outcome: Fenced, Clock: n.unnamed(c.Runner)})
	n.silent[c.Runner] = true
	n.expectNoStartBefore(carriedOut-2*ms+longestLateLife, c.Run)
}

// Guards against two runs of a task at once: the token was raised while the start was under way, and the next incarnation has
// carried it out before it saw that token.
func TestAStartAcceptedByTheNextIncarnationUnderAnEarlierTokenIsNotOver(t *testing.T) {
	n := newNamedInLists(t, "r1", "r2")
	n.submit(testJob(1, 300*ms), 4*time.Second)
	c := one[Start](n.harness)
	n.s.refuseEarlierOrders(n.s.runners[c.Runner])
	n.restart(c.Runner)
	n.now += 2 * ms
	n.running[c.Runner] = []workload.RunKey{c.Run}
	n.answerStart(c, Accepted)
	n.pass(100 * ms)
	n.g.Expect(take[Start](n.harness)).To(BeEmpty())
	n.g.Expect(take[Stop](n.harness)).To(BeEmpty())
	delete(n.running, c.Runner)
	n.ended[c.Runner] = []workload.End{{Sequence: 1, Run: c.Run, Kind: workload.Done}}
	n.pass(1500 * ms)
	n.g.Expect(one[Answer](n.harness).Outcome).To(Equal(workload.Completed))
}

// Guards against a job that fails though its run is done: the list that shows the restart has the end of the run, which began
// after it.
func TestARunThatIsDoneOnTheNextIncarnationIsNoLoss(t *testing.T) {
	for name, before := range map[string][]loss{
		"crashes": {{runner: "r8", incarnation: 1, begun: true, restarted: true}, {runner: "r9", incarnation: 1, begun: true, restarted: true}},
		"losses": {
			{runner: "r6", incarnation: 1, restarted: true}, {runner: "r7", incarnation: 1, restarted: true},
			{runner: "r8", incarnation: 1, restarted: true}, {runner: "r9", incarnation: 1, restarted: true},
		},
	} {
		t.Run(name, func(t *testing.T) {
			n := newNamedInLists(t, "r1", "r2")
			c := n.startedOnNext(testJob(1, 60*ms), 4*time.Second)
			task := n.s.jobs[c.Run.Task.Job].steps[0][0]
			for _, l := range before {
				task.addLoss(l)
			}
			delete(n.running, c.Runner)
			n.ended[c.Runner] = []workload.End{{Sequence: 1, Run: c.Run, Kind: workload.Done}}
			n.now += 60 * ms
			n.pass(2 * time.Second)
			n.g.Expect(take[Start](n.harness)).To(BeEmpty())
			n.g.Expect(one[Answer](n.harness).Outcome).To(Equal(workload.Completed))
		})
	}
}

// Guards against an accepted job that is shown as failed without cause: the record names the runner on which its task was about
// to be started, and the next incarnation of that runner has begun the run.
func TestARecordedStartThatTheNextIncarnationCarriedOutIsNoCrash(t *testing.T) {
	n := newNamedInLists(t, "r1", "r2")
	n.restart("r1")
	n.pass(1200 * ms)
	j := storedJob(1, 300*ms)
	j.Objective = 30 * time.Second
	record := openRecord(j, 1)
	record.Losses = []ledger.Loss{
		{Runner: "r8", Incarnation: 500, Begun: true, Restarted: true},
		{Runner: "r9", Incarnation: 500, Begun: true, Restarted: true},
		{Runner: "r1", Incarnation: firstIncarnation, Begun: true},
	}
	k := runOf(j, 0, 1)
	n.running["r1"] = []workload.RunKey{k}
	n.ownRows(2, record)
	n.pass(2 * maxPriorRunLife)
	n.g.Expect(n.s.jobs).To(HaveKey(j.ID))
	n.g.Expect(n.s.jobs[j.ID].steps[0][0].run).NotTo(BeNil(), "the run is adopted")
	delete(n.running, "r1")
	n.ended["r1"] = []workload.End{{Sequence: 1, Run: k, Kind: workload.LeaseExpired}}
	n.pass(500 * ms)
	n.g.Expect(n.s.State(j.ID, n.now).Outcome).NotTo(Equal(workload.JobFailed))
	n.g.Expect(take[Start](n.harness)).To(HaveLen(1))
}

// Guards against two runs of a job that is sent again to the next leader: it is told for how long a run on a silent runner may
// live, and the next incarnation has given the run the longest lease.
func TestTheRestOfARunOnANextIncarnationIsThatOfTheLongestLease(t *testing.T) {
	n := newNamedInLists(t, "r1", "r2")
	c := n.startedOnNext(testJob(1, 300*ms), 20*time.Second)
	carriedOut := n.now
	n.silent[c.Runner] = true
	n.pass(300 * ms)
	list, _ := n.s.PossibleRuns(n.now)
	n.g.Expect(list).To(HaveLen(1))
	n.g.Expect(n.now + list[0].Rest).To(BeNumerically(">=", carriedOut-2*ms+longestLateLife))
}

// Guards against a job that fails without cause: a list that doesn't name its incarnation, as that of another program, would show
// that the runner has crashed, though it lists the run again.
func TestAListThatNamesNoIncarnationIsNoCrash(t *testing.T) {
	n := newNamedInLists(t, "r1", "r2")
	n.submit(testJob(1, time.Second), 8*time.Second)
	c := one[Start](n.harness)
	n.answerStart(c, Accepted)
	n.running[c.Runner] = []workload.RunKey{c.Run}
	n.pass(200 * ms)
	n.s.requestList(n.s.runners[c.Runner])
	var asked []Hold
	for _, o := range take[Hold](n.harness) {
		if o.Runner == c.Runner && o.ListOnly {
			asked = append(asked, o)
		}
	}
	n.g.Expect(asked).To(HaveLen(1))
	other := ClockReading{Milliseconds: 1, ReceivedAt: n.now, SentAt: n.now}
	n.s.Held(n.now, HoldResult{Runner: c.Runner, Address: asked[0].Address, Token: asked[0].Token, ListOnly: true, Outcome: Accepted, Clock: other})
	n.pass(400 * ms)
	n.g.Expect(take[Start](n.harness)).To(BeEmpty())
	n.s.judgeAllLosses()
	n.g.Expect(n.s.jobs[c.Run.Task.Job].steps[0][0].losses).To(BeEmpty())
}

// Guards against a start that counts as the known incarnation's though a later one has answered it, whatever the moments at which
// orders are sent, carried out and answered, and against answers of the known one that don't count.
func TestTheOriginOfAnswersByTheirClocks(t *testing.T) {
	const maxTransit = 200 * ms
	g := NewWithT(t)
	random := rand.New(rand.NewPCG(1, 1))
	upTo := func(d time.Duration) time.Duration { return time.Duration(random.Int64N(int64(d))) }
	for range 20000 {
		slow := func() float64 { return 1 - 0.02*random.Float64() }
		rate, laterRate := slow(), slow()
		born := time.Second + upTo(time.Second)
		r := &runner{incarnationStart: firstIncarnation}
		now := born + 3*time.Second + upTo(time.Second)
		answer := func(since Time, rate float64) ClockReading {
			sentAt := now + upTo(time.Second)
			readAt := sentAt + upTo(maxTransit)
			now = readAt
			clock := time.Duration(float64(readAt-since)*rate).Milliseconds() + 1
			return ClockReading{Milliseconds: clock, SentAt: sentAt, ReceivedAt: readAt + upTo(maxTransit)}
		}
		for n := range 5 {
			c := answer(born, rate)
			if n > 0 {
				g.Expect(r.originOfAnswer(c)).To(Equal(knownIncarnation))
			}
			r.updateClock(c)
		}
		// The next incarnation begins after the known one has answered, and may answer an order that was sent before.
		later := now + upTo(time.Second)
		readAt := later + upTo(2*time.Second)
		c := ClockReading{
			Milliseconds: time.Duration(float64(readAt-later)*laterRate).Milliseconds() + 1,
			SentAt:       max(0, readAt-upTo(3*time.Second)), ReceivedAt: readAt + upTo(maxTransit),
		}
		g.Expect(r.originOfAnswer(c)).To(Equal(unknownIncarnation))
	}
}
