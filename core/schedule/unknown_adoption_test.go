package schedule

import (
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"sapphirepoint.example/sapphirepoint/core/ledger"
	"sapphirepoint.example/sapphirepoint/core/workload"
)

// Runs that a next incarnation has begun, and what is known of their tasks.

// Guards against a crash that is forgotten: the record names a runner that has crashed under a task, and the task ends there later
// in a run of the next incarnation.
func TestARecordedCrashCountsAfterALaterRunOnTheSameRunner(t *testing.T) {
	n := newNamedInLists(t, "r1")
	n.restart("r1")
	n.describe("r1")
	n.pass(1200 * ms)
	j := storedJob(1, 300*ms)
	j.Objective = 30 * time.Second
	record := openRecord(j, 1)
	record.Losses = []ledger.Loss{{Runner: "r1", Incarnation: firstIncarnation, Begun: true}}
	n.ownRows(2, record)
	n.pass(2 * maxPriorRunLife)
	c := one[Start](n.harness)
	task := n.s.jobs[j.ID].steps[0][0]
	n.g.Expect(task.crashes()).To(Equal(1))
	n.answerStart(c, Accepted)
	n.running["r1"] = []workload.RunKey{c.Run}
	n.pass(40 * ms)
	delete(n.running, "r1")
	n.ended["r1"] = []workload.End{{Sequence: 1, Run: c.Run, Kind: workload.LeaseExpired}}
	n.pass(200 * ms)
	n.g.Expect(task.crashes()).To(Equal(1))
}

// Guards against runs that a suspect crashes with its runner: the next incarnation has begun the suspect, and others would be
// started beside it.
func TestASuspectRunsAloneOnTheNextIncarnation(t *testing.T) {
	n := newNamedInLists(t, "r1")
	suspect := testJob(1, time.Second)
	suspect.Objective = 20 * time.Second
	n.submit(suspect, 20*time.Second)
	n.answerStart(one[Start](n.harness), Accepted)
	task := n.s.jobs[suspect.ID].steps[0][0]
	for _, id := range []workload.RunnerID{"r8", "r9"} {
		task.addLoss(loss{runner: id, incarnation: 1, begun: true, restarted: true})
	}
	n.ended["r1"] = []workload.End{{Sequence: 1, Run: task.run.key, Kind: workload.LeaseExpired}}
	n.list()
	c := one[Start](n.harness)
	n.restart("r1")
	n.now += 2 * ms
	n.running["r1"] = []workload.RunKey{c.Run}
	n.answerStart(c, Accepted)
	n.describe("r1")
	n.pass(100 * ms)
	n.g.Expect(task.run).NotTo(BeNil(), "the run goes on")
	n.submit(testJob(1, 300*ms), 10*time.Second)
	n.pass(100 * ms)
	n.g.Expect(take[Start](n.harness)).To(BeEmpty(), "nothing is started beside it")
}

// Guards against two runs of a task: the leader before has ordered its start, and the next incarnation has carried it out, which
// the new leader learns of by its first list.
func TestANewLeaderAdoptsARunOfAnIncarnationThatItsEntryDoesntShow(t *testing.T) {
	n := newHarnessNamedInLists(t)
	r := testRunner("r1")
	r.IncarnationStart = firstIncarnation
	n.infos = []workload.Runner{r}
	n.s.SetRunners(n.now, n.infos)
	n.starts["r1"] = firstIncarnation
	n.restart("r1")
	j := testJob(1, 300*ms)
	k := runOf(j, 0, 1)
	n.running["r1"] = []workload.RunKey{k}
	n.now += 10 * ms
	n.s.Lead(n.now)
	n.ownRows(1)
	n.s.Submit(n.now, Submission{Job: j, Entry: entryA, RemainingObjective: j.Objective, RemainingTimeout: 4 * time.Second, PriorSubmissions: 1})
	n.pass(100 * ms)
	n.g.Expect(take[Start](n.harness)).To(BeEmpty())
	n.g.Expect(n.s.jobs[j.ID].steps[0][0].run).NotTo(BeNil(), "the run is adopted")
	delete(n.running, "r1")
	n.ended["r1"] = []workload.End{{Sequence: 1, Run: k, Kind: workload.Done}}
	n.pass(100 * ms)
	n.g.Expect(one[Answer](n.harness).Outcome).To(Equal(workload.Completed))
}

// Guards against leases by a mixture of two clocks, and against orders that count as answered by the present incarnation: the one
// before has answered an order, and its answer arrives after a list that shows the restart.
func TestALateUnnamedAnswerOfTheIncarnationBeforeChangesNothing(t *testing.T) {
	for _, o := range []CallOutcome{Accepted, Fenced, Outdated, TooLate, NoRoom, Unhealthy, Invalid} {
		t.Run(o.String(), func(t *testing.T) {
			n := newNamedInLists(t, "r1")
			n.submit(testJob(1, 300*ms), 10*time.Second)
			c := one[Start](n.harness)
			late := n.unnamed("r1")
			n.restart("r1")
			n.describe("r1")
			n.pass(100 * ms)
			r := n.s.runners["r1"]
			token, clock := r.token, r.clock
			late.ReceivedAt = n.now
			n.s.Started(n.now, StartResult{Runner: "r1", Address: c.Address, Token: c.Token, Run: c.Run, Outcome: o, Clock: late})
			n.s.Stopped(n.now, StopResult{Runner: "r1", Address: c.Address, Token: c.Token, Run: c.Run, Outcome: o, Clock: late})
			n.g.Expect(r.clock).To(Equal(clock))
			n.g.Expect(r.token).To(Equal(token))
			n.g.Expect(r.owned).To(BeTrue())
			n.g.Expect(r.unresponsive).To(BeFalse())
			n.g.Expect(r.health.closed(n.now)).To(BeFalse())
			n.g.Expect(n.s.jobs).To(HaveKey(c.Run.Task.Job))
			n.g.Expect(take[Start](n.harness)).To(BeEmpty(), "the order may still reach a later incarnation")
		})
	}
}

// Guards against a task that waits though its run is over: another scheduler had started the run, the runner has listed it, and then
// it restarts.
func TestATaskWhoseAdoptedRunEndsWithItsRunnerStartsAtOnce(t *testing.T) {
	n := newNamedInLists(t, "r1", "r2")
	j := testJob(1, 300*ms)
	n.running["r1"] = []workload.RunKey{runOf(j, 0, 1)}
	n.pass(idleCheckInterval + 20*ms)
	n.s.Submit(n.now, Submission{Job: j, Entry: entryA, RemainingObjective: j.Objective, RemainingTimeout: 4 * time.Second, PriorSubmissions: 1})
	n.pass(60 * ms)
	n.g.Expect(n.s.jobs[j.ID].steps[0][0].run).NotTo(BeNil(), "the run is adopted")
	n.restart("r1")
	n.pass(200 * ms)
	n.g.Expect(one[Start](n.harness).Runner).To(BeEquivalentTo("r2"))
}
