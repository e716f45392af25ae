package schedule

import (
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"sapphirepoint.example/sapphirepoint/core/workload"
)

// These runners say in their lists when their incarnation began, and nowhere else.

// restarting is a harness with runners that report the starts of their incarnations in their lists only.
type restarting struct {
	*harness
	// starts are the incarnations and since is when each began.
	starts map[workload.RunnerID]int64
	since  map[workload.RunnerID]Time
}

func newRestarting(t *testing.T, ids ...string) *restarting {
	h := &restarting{starts: make(map[workload.RunnerID]int64), since: make(map[workload.RunnerID]Time)}
	var list []workload.Runner
	for _, id := range ids {
		r := testRunner(id)
		r.IncarnationStart = firstIncarnation
		h.starts[r.ID] = firstIncarnation
		list = append(list, r)
	}
	h.harness = newHarness(t, list...)
	h.s.Lead(h.now)
	h.ownRows(1)
	h.list()
	for end := h.now + takeoverWindow + warmUpTime; h.now < end; {
		h.pass(20 * ms)
		h.list()
	}
	return h
}

// restart begins the next incarnation of a runner.
func (h *restarting) restart(id workload.RunnerID) {
	h.starts[id] += 5000
	h.since[id] = h.now
}

// reading is the clock of a runner in an answer that doesn't say which incarnation it comes from.
func (h *restarting) reading(id workload.RunnerID) ClockReading {
	return ClockReading{Milliseconds: (h.now - h.since[id]).Milliseconds() + 1, ReceivedAt: h.now, SentAt: h.now}
}

// list answers all Holds, with the given runs of one runner.
func (h *restarting) list(running ...workload.RunKey) {
	for _, o := range take[Hold](h.harness) {
		h.listFor(o, nil, running...)
	}
}

func (h *restarting) listFor(o Hold, ends []workload.End, running ...workload.RunKey) {
	c := h.reading(o.Runner)
	c.IncarnationStart = h.starts[o.Runner]
	h.s.Held(h.now, HoldResult{Runner: o.Runner, Address: o.Address, Token: o.Token, ListOnly: o.ListOnly, Outcome: Accepted, Running: running, Ends: ends, Clock: c})
}

func (h *restarting) started(c Start, o CallOutcome) {
	h.s.Started(h.now, StartResult{Runner: c.Runner, Address: c.Address, Token: c.Token, Run: c.Run, Outcome: o, Clock: h.reading(c.Runner)})
}

func (h *restarting) pass(d time.Duration) { h.tick(d) }

// runOnNext returns a harness whose scheduler has started a task on a runner that had restarted before.
func runOnNext(t *testing.T) (*restarting, Start) {
	h := newRestarting(t, "r1", "r2")
	h.submit(testJob(1, 300*ms), 4*time.Second)
	c := one[Start](h.harness)
	h.restart(c.Runner)
	h.now += 2 * ms
	h.started(c, Accepted)
	h.now += 10 * ms
	return h, c
}

// Guards against two runs of a task at once: a start that the runner's next incarnation has carried out would count as one of
// the incarnation before, which the restart has ended.
func TestAStartCarriedOutByTheNextIncarnationIsNotOverByItsRestart(t *testing.T) {
	h, c := runOnNext(t)
	h.list(c.Run)
	h.g.Expect(take[Start](h.harness)).To(BeEmpty())
	h.list(c.Run)
	h.pass(20 * ms)
	h.g.Expect(take[Start](h.harness)).To(BeEmpty())
	h.g.Expect(take[Stop](h.harness)).To(BeEmpty(), "the run goes on")
	r := h.s.runners[c.Runner]
	h.listFor(Hold{Runner: c.Runner, Token: r.token}, []workload.End{{Sequence: 1, Run: c.Run, Kind: workload.Done}})
	h.g.Expect(one[Answer](h.harness).Outcome).To(Equal(workload.Completed))
}

// Guards against the same where several answers come one after the other: the first one's clock would be taken for the known
// incarnation's, and would prove that the others come from it.
func TestAnswersOfTheNextIncarnationDontProveEachOther(t *testing.T) {
	h := newRestarting(t, "r1")
	h.submit(testJob(2, 300*ms), 4*time.Second)
	starts := take[Start](h.harness)
	h.g.Expect(starts).To(HaveLen(2))
	h.restart("r1")
	for _, c := range starts {
		h.now += 2 * ms
		h.started(c, Accepted)
	}
	for _, c := range starts {
		h.g.Expect(h.s.runners["r1"].runs[c.Run].confirmed).To(BeFalse())
	}
	h.list(starts[0].Run, starts[1].Run)
	h.list(starts[0].Run, starts[1].Run)
	h.pass(20 * ms)
	h.g.Expect(take[Start](h.harness)).To(BeEmpty())
}

// Guards against a mixture of two clocks: leases that the known incarnation ends at once, or that are longer than meant.
func TestAnAnswerOfTheNextIncarnationDoesntSetTheClock(t *testing.T) {
	h, c := runOnNext(t)
	r := h.s.runners[c.Runner]
	before := r.clock
	h.g.Expect(before).To(BeNumerically(">", 4000))
	h.now += 2 * ms
	h.s.Stopped(h.now, StopResult{Runner: c.Runner, Token: c.Token, Run: c.Run, Outcome: Accepted, Clock: h.reading(c.Runner)})
	h.g.Expect(r.clock).To(Equal(before))
}

// Guards against an end that is acknowledged before it was listed: the run was begun by the next incarnation, whose first end
// has the sequence of an earlier one.
func TestNoEndIsAcknowledgedWhileItIsNotKnownWhichIncarnationAnswers(t *testing.T) {
	h := newRestarting(t, "r1")
	h.submit(testJob(1, 60*ms), 4*time.Second)
	first := one[Start](h.harness)
	h.started(first, Accepted)
	h.now += 60 * ms
	h.listFor(Hold{Runner: "r1", Token: first.Token}, []workload.End{{Sequence: 1, Run: first.Run, Kind: workload.Done}})
	h.g.Expect(h.s.runners["r1"].ackCursor(h.now)).To(BeEquivalentTo(1))
	h.submit(testJob(1, 60*ms), 4*time.Second)
	second := one[Start](h.harness)
	h.restart("r1")
	h.now += 2 * ms
	take[Hold](h.harness)
	h.started(second, Accepted)
	asked := one[Hold](h.harness)
	h.g.Expect(asked.ListOnly).To(BeTrue())
	h.g.Expect(asked.Acknowledged).To(BeZero())
	h.now += 70 * ms
	h.listFor(asked, []workload.End{{Sequence: 1, Run: second.Run, Kind: workload.Done}})
	h.g.Expect(take[Start](h.harness)).To(BeEmpty())
	for _, o := range take[Hold](h.harness) {
		h.listFor(o, []workload.End{{Sequence: 1, Run: second.Run, Kind: workload.Done}})
	}
	answers := take[Answer](h.harness)
	h.g.Expect(answers).To(HaveLen(2))
	h.g.Expect(answers[1].Outcome).To(Equal(workload.Completed))
}

// Guards against a job that fails without cause: a restart would count as a crash under a run that the incarnation before never
// had.
func TestARestartIsNoCrashUnderARunOfTheNextIncarnation(t *testing.T) {
	h, c := runOnNext(t)
	h.list(c.Run)
	h.list(c.Run)
	task := h.s.runners[c.Runner].runs[c.Run].task
	h.g.Expect(task).NotTo(BeNil())
	h.g.Expect(task.losses).To(BeEmpty())
}

// Guards against the same where a later list is the first to show the run.
func TestARestartIsNoCrashUnderARunThatIsListedLater(t *testing.T) {
	h, c := runOnNext(t)
	h.list()
	h.g.Expect(take[Start](h.harness)).To(BeEmpty())
	h.list(c.Run)
	h.g.Expect(take[Start](h.harness)).To(BeEmpty())
	task := h.s.runners[c.Runner].runs[c.Run].task
	h.g.Expect(task).NotTo(BeNil())
	h.g.Expect(task.losses).To(BeEmpty())
}

// Guards against a crash that is forgotten: an answer of the next incarnation would show that the one before has survived.
func TestAnAnswerOfTheNextIncarnationDoesntShowThatTheLastOneSurvived(t *testing.T) {
	h := newRestarting(t, "r1")
	h.submit(testJob(1, 2*time.Second), 9*time.Second)
	c := one[Start](h.harness)
	h.started(c, Accepted)
	h.silence(c.Runner, lossSilence+60*ms, h.tick)
	task := h.s.runners[c.Runner].runs[c.Run].task
	h.g.Expect(task.losses).To(HaveLen(1))
	h.restart(c.Runner)
	h.s.Stopped(h.now, StopResult{Runner: c.Runner, Token: c.Token, Run: c.Run, Outcome: Accepted, Clock: h.reading(c.Runner)})
	h.s.judgeAllLosses()
	h.g.Expect(task.losses).To(HaveLen(1))
}

// Guards against a wait for runs that the answer itself proves: the runner has been up for longer than since its last list, so
// the answer is of the incarnation that has sent that list.
func TestAnAnswerWhoseClockGoesOnConfirmsTheStart(t *testing.T) {
	h := newRestarting(t, "r1", "r2")
	h.submit(testJob(1, 300*ms), 4*time.Second)
	c := one[Start](h.harness)
	h.now += 5 * ms
	h.started(c, Accepted)
	h.now += 10 * ms
	h.restart(c.Runner)
	h.list()
	again := one[Start](h.harness)
	h.g.Expect(again.Runner).NotTo(Equal(c.Runner), "the restart has ended the run")
}

// Guards against a task that waits for ever: the start was accepted by the known incarnation, whose clock has stepped.
func TestAStartIsSentAgainIfTheKnownIncarnationDoesntListIt(t *testing.T) {
	h := newRestarting(t, "r1")
	h.submit(testJob(1, 300*ms), 4*time.Second)
	c := one[Start](h.harness)
	h.since["r1"] = h.now
	h.now += 2 * ms
	take[Hold](h.harness)
	h.started(c, Accepted)
	h.g.Expect(h.s.runners["r1"].usable(h.now)).To(BeFalse())
	h.list()
	again := one[Start](h.harness)
	h.g.Expect(again.Run).To(Equal(c.Run))
	h.started(again, Accepted)
	h.g.Expect(h.s.runners["r1"].runs[c.Run].confirmed).To(BeTrue())
	h.g.Expect(h.s.runners["r1"].usable(h.now)).To(BeTrue())
}

// Guards against two runs of a task that neither the list which shows the restart nor any before it has: its start may still be
// under way, until the runner has listed its runs under the raised token.
func TestAnUnlistedStartWaitsForAListUnderTheRaisedToken(t *testing.T) {
	h, c := runOnNext(t)
	h.list()
	h.g.Expect(take[Start](h.harness)).To(BeEmpty())
	h.list()
	h.pass(h.s.longestStop() - 20*ms)
	h.g.Expect(take[Start](h.harness)).To(BeEmpty())
	h.pass(60 * ms)
	h.g.Expect(take[Start](h.harness)).To(BeEmpty(), "the list is awaited")
	h.list()
	h.g.Expect(one[Start](h.harness).Run.Task).To(Equal(c.Run.Task))
}

// Guards against a run that is stopped though its job waits for it, or goes on though nobody does: an order to stop it may have
// reached the incarnation before.
func TestAnOrphanOnTheNextIncarnationIsStopped(t *testing.T) {
	h, c := runOnNext(t)
	h.s.Abandon(h.now, entryA, c.Run.Task.Job)
	take[Stop](h.harness)
	h.list(c.Run)
	h.list(c.Run)
	h.pass(20 * ms)
	stop := one[Stop](h.harness)
	h.g.Expect(stop.Run).To(Equal(c.Run))
	h.g.Expect(stop.Token).To(Equal(h.s.runners[c.Runner].token))
}

// Guards against runs that count as over by a list that doesn't say whose it is, while the clock in it is another one.
func TestAListOfAnUnknownIncarnationEndsNoRun(t *testing.T) {
	h := newRestarting(t, "r1", "r2")
	h.submit(testJob(1, 300*ms), 4*time.Second)
	c := one[Start](h.harness)
	h.started(c, Accepted)
	h.restart(c.Runner)
	h.now += 5 * ms
	h.starts[c.Runner] = 0
	token := h.s.runners[c.Runner].token
	h.list(c.Run)
	h.g.Expect(h.s.runners[c.Runner].token).To(BeNumerically(">", token))
	h.list(c.Run)
	h.pass(40 * ms)
	h.g.Expect(take[Start](h.harness)).To(BeEmpty())
	h.g.Expect(h.s.runners[c.Runner].runs).To(HaveKey(c.Run))
}
