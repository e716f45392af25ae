package schedule

import (
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"sapphirepoint.example/sapphirepoint/core/ledger"
	"sapphirepoint.example/sapphirepoint/core/workload"
)

// crashing drives a scheduler whose runners crash under tasks and restart under their ids.
type crashing struct {
	*harness
	infos map[workload.RunnerID]workload.Runner
	// silent are the runners that answer nothing.
	silent map[workload.RunnerID]bool
	// crashed are the runs that have ended with the incarnations of their runners.
	crashed map[workload.RunKey]bool
}

// leadingBorn returns a harness whose scheduler owns runners that report their incarnations.
func leadingBorn(t *testing.T, ids ...string) *crashing {
	c := &crashing{
		infos: make(map[workload.RunnerID]workload.Runner), silent: make(map[workload.RunnerID]bool), crashed: make(map[workload.RunKey]bool),
	}
	var list []workload.Runner
	for _, id := range ids {
		info := bornRunner(id, 1000)
		c.infos[info.ID] = info
		list = append(list, info)
	}
	c.harness = newHarness(t, list...)
	c.s.Lead(c.now)
	c.ownRows(1)
	c.pass(takeoverWindow + warmUpTime)
	return c
}

// pass lets time pass while all runners answer, with their runs, and saves all records.
func (c *crashing) pass(d time.Duration) {
	for end := c.now + d; c.now < end; {
		c.answerAll()
		c.now += 20 * ms
		c.s.EntryAlive(c.now, entryA)
		c.s.RowOwnershipVerified(c.now, c.now)
		c.s.Tick(c.now)
	}
	c.answerAll()
}

func (c *crashing) answerAll() {
	c.saved(take[Save](c.harness)...)
	for _, h := range take[Hold](c.harness) {
		r := c.s.runners[h.Runner]
		if r == nil {
			continue
		}
		if c.silent[h.Runner] {
			c.answerHold(h, Unanswered)
			continue
		}
		clock := c.clock()
		clock.IncarnationStart = c.infos[h.Runner].IncarnationStart
		var running []workload.RunKey
		for k, u := range r.runs {
			if u.confirmed && !c.crashed[k] {
				running = append(running, k)
			}
		}
		c.s.Held(c.now, HoldResult{Runner: h.Runner, Token: h.Token, ListOnly: h.ListOnly, Outcome: Accepted, Running: running, Clock: clock})
	}
}

// started answers a start for a runner's present incarnation.
func (c *crashing) started(start Start) {
	clock := c.clock()
	clock.IncarnationStart = c.infos[start.Runner].IncarnationStart
	c.s.Started(c.now, StartResult{Runner: start.Runner, Token: start.Token, Run: start.Run, Outcome: Accepted, Clock: clock})
}

// restart replaces a runner's incarnation, which writes its entry at once.
func (c *crashing) restart(id workload.RunnerID) {
	delete(c.silent, id)
	info := c.infos[id]
	info.IncarnationStart += 1000
	c.infos[id] = info
	for k := range c.s.runners[id].runs {
		c.crashed[k] = true
	}
	c.list()
	c.pass(40 * ms)
}

// list passes the entries of all runners to the scheduler.
func (c *crashing) list() {
	var list []workload.Runner
	for _, id := range sortedKeys(c.infos) {
		list = append(list, c.infos[id])
	}
	c.s.SetRunners(c.now, list)
}

// crashUnder starts the only waiting task, and crashes the runner that it is started on.
func (c *crashing) crashUnder() workload.RunnerID {
	start := one[Start](c.harness)
	c.started(start)
	c.pass(40 * ms)
	c.restart(start.Runner)
	return start.Runner
}

// Guards against a task that crashes one runner after the other, with all that runs there, for ever.
func TestATaskThatCrashesItsRunnersIsGivenUp(t *testing.T) {
	for _, stored := range []bool{true, false} {
		c := leadingBorn(t, "r1", "r2")
		j := testJob(1, 300*ms)
		j.Stored, j.Objective = stored, 10*time.Second
		c.submit(j, 20*time.Second)
		c.pass(20 * ms)
		for range maxCrashes {
			c.crashUnder()
		}
		c.pass(10 * time.Second)
		c.g.Expect(take[Start](c.harness)).To(BeEmpty())
		if stored {
			c.g.Expect(c.s.State(j.ID, c.now)).To(Equal(JobState{Known: true, Ended: true, Outcome: workload.JobFailed}))
			continue
		}
		c.g.Expect(one[Answer](c.harness).Outcome).To(Equal(workload.JobFailed))
	}
}

// Guards against an innocent job that fails because two runners crashed under its task.
func TestATaskUnderWhichTwoRunnersCrashedRunsAlone(t *testing.T) {
	c := leadingBorn(t, "r1", "r2")
	j := storedJob(1, 300*ms)
	j.Objective = 10 * time.Second
	c.submit(j, 20*time.Second)
	c.pass(20 * ms)
	c.crashUnder()
	start := one[Start](c.harness)
	c.started(start)
	other := storedJob(1, 10*time.Second)
	other.Objective = time.Minute
	c.submit(other, time.Minute)
	c.pass(40 * ms)
	beside := one[Start](c.harness)
	c.started(beside)
	c.restart(start.Runner)
	for _, again := range take[Start](c.harness) {
		c.started(again)
		if again.Run.Task.Job == j.ID {
			c.g.Expect(c.s.runners[again.Runner].runs).To(HaveLen(1))
		}
	}
	c.submit(storedJob(3, 300*ms), 20*time.Second)
	c.pass(20 * ms)
	alone := c.s.jobs[j.ID].steps[0][0].run
	c.g.Expect(alone).NotTo(BeNil())
	c.g.Expect(alone.runner.runs).To(HaveLen(1), "nothing is started beside it")
	c.end(alone.runner.info.ID, 1, alone.key, workload.Done)
	c.pass(40 * ms)
	c.g.Expect(c.s.State(j.ID, c.now).Outcome).To(Equal(workload.Completed))
}

// Guards against jobs that fail because runners were out of reach: silence is no crash.
func TestSilentRunnersAreNoCrashes(t *testing.T) {
	c := leadingBorn(t, "r1")
	task := &taskState{job: &job{}, name: workload.TaskName{Job: "a"}}
	task.addLoss(loss{runner: "r1", incarnation: 1000, at: c.now, begun: true})
	task.addLoss(loss{runner: "r2", incarnation: 1000, at: c.now, begun: true})
	c.pass(idleCheckInterval + 40*ms)
	c.s.judgeLosses(task)
	c.g.Expect(task.losses).To(HaveLen(1), "r1 has answered as the same incarnation")
	c.g.Expect(task.crashes()).To(BeZero())
	c.restart("r1")
	c.s.judgeLosses(task)
	c.g.Expect(task.crashes()).To(BeZero(), "a crash after that says nothing of the task")
}

// Guards against a crash that isn't counted because the run had lapsed before the runner was back.
func TestACrashCountsAfterTheRunHasLapsed(t *testing.T) {
	c := leadingBorn(t, "r1", "r2")
	j := storedJob(1, 300*ms)
	j.Objective = 10 * time.Second
	c.submit(j, 20*time.Second)
	c.pass(20 * ms)
	start := one[Start](c.harness)
	c.started(start)
	c.silent[start.Runner] = true
	c.pass(2 * time.Second)
	task := c.s.jobs[j.ID].steps[0][0]
	c.g.Expect(task.losses).To(HaveLen(1))
	c.g.Expect(task.crashes()).To(BeZero())
	c.restart(start.Runner)
	c.g.Expect(task.crashes()).To(Equal(1))
}

// Guards against a fourth runner that crashes under a task before it is known that the third one has.
func TestATaskWaitsForTheRunnersThatWereLostWithIt(t *testing.T) {
	c := leadingBorn(t, "r1", "r2", "r3", "r4")
	j := storedJob(1, 300*ms)
	j.Objective = 30 * time.Second
	c.submit(j, 40*time.Second)
	c.pass(20 * ms)
	for n := range maxCrashes {
		start := one[Start](c.harness)
		c.started(start)
		c.silent[start.Runner] = true
		if n < maxCrashes-1 {
			c.pass(silentLife + 400*ms)
		}
	}
	c.pass(lossSilence + crashEvidenceTimeout)
	c.g.Expect(take[Start](c.harness)).To(BeEmpty())
	c.g.Expect(c.s.jobs[j.ID].ended).To(BeFalse())
	c.pass(time.Second)
	c.g.Expect(take[Start](c.harness)).To(HaveLen(1), "the runners are lost for good")
}

// Guards against runs that end with a runner that leaves as planned and count as crashes.
func TestALeavingRunnerIsNoCrash(t *testing.T) {
	c := leadingBorn(t, "r1")
	j := storedJob(1, 300*ms)
	c.submit(j, 20*time.Second)
	c.pass(20 * ms)
	start := one[Start](c.harness)
	c.started(start)
	info := c.infos["r1"]
	info.Draining = true
	c.infos["r1"] = info
	c.list()
	c.pass(40 * ms)
	info.Draining = false
	c.infos["r1"] = info
	c.restart("r1")
	c.g.Expect(c.s.jobs[j.ID].steps[0][0].losses).To(BeEmpty())
}

// crashedOnce returns a harness with a job whose first task's runner has restarted under it.
func crashedOnce(t *testing.T, j *workload.Job) *crashing {
	c := leadingBorn(t, "r1", "r2")
	c.submit(j, 20*time.Second)
	c.pass(20 * ms)
	for _, start := range take[Start](c.harness) {
		c.started(start)
	}
	c.pass(20 * ms)
	c.restart(c.s.jobs[j.ID].steps[0][0].run.runner.info.ID)
	return c
}

// Guards against crashes that are forgotten with the process that has counted them: the next owner starts the task
// as often again.
func TestCrashesAreInTheRecord(t *testing.T) {
	j := storedJob(2, 300*ms)
	c := crashedOnce(t, j)
	record := c.s.jobs[j.ID].record()
	c.g.Expect(record.Losses).To(HaveLen(4), "each task's crash, and the runner that it is started on next")

	next := leadingBorn(t, "r1", "r2")
	again := openRecord(j, 1)
	again.Losses = append(record.Losses,
		ledger.Loss{Runner: "r3", Incarnation: 500, Begun: true, Restarted: true},
		ledger.Loss{Runner: "r4", Incarnation: 500, Begun: true})
	next.ownRows(2, again)
	task := next.s.jobs[j.ID].steps[0][0]
	next.g.Expect(task.crashes()).To(Equal(2))
	next.infos["r4"] = bornRunner("r4", 700)
	next.list()
	next.g.Expect(task.crashes()).To(Equal(maxCrashes))
	next.pass(2 * maxPriorRunLife)
	next.g.Expect(next.s.State(j.ID, next.now).Outcome).To(Equal(workload.JobFailed))
}

// Guards against a record that grows beyond what the store takes, when a domain loses power under a wide job.
func TestLossesInARecordAreBounded(t *testing.T) {
	g := NewWithT(t)
	j := newJob(testJob(ledger.MaxLosses+10, 100*ms), 0)
	for _, t := range j.steps[0] {
		t.addLoss(loss{runner: "r1", incarnation: 1})
	}
	suspect := j.steps[0][ledger.MaxLosses+9]
	suspect.addLoss(loss{runner: "r2", incarnation: 1})
	list := j.recordedLosses()
	g.Expect(list).To(HaveLen(ledger.MaxLosses))
	g.Expect(list[:2]).To(HaveEach(HaveField("Index", suspect.name.Index)), "the tasks with the most come first")
}

// Guards against a crash that isn't counted because the runner was silent for a while before, and answered again.
func TestARunnerThatIsLostASecondTime(t *testing.T) {
	c := leadingBorn(t, "r1", "r2")
	j := storedJob(1, 3*time.Second)
	j.Objective = 20 * time.Second
	c.submit(j, 30*time.Second)
	c.pass(20 * ms)
	start := one[Start](c.harness)
	c.started(start)
	c.silent[start.Runner] = true
	c.pass(lossSilence + 60*ms)
	task := c.s.jobs[j.ID].steps[0][0]
	c.g.Expect(task.losses).To(HaveLen(1))
	delete(c.silent, start.Runner)
	c.pass(100 * ms)
	c.g.Expect(task.run).NotTo(BeNil(), "it has answered in time")
	c.silent[start.Runner] = true
	c.pass(1200 * ms)
	c.g.Expect(task.losses).To(HaveLen(1))
	c.restart(start.Runner)
	c.g.Expect(task.crashes()).To(Equal(1))
}

// Guards against a suspect that crashes a runner with all that runs there, since no runner is ever without runs.
func TestASuspectGetsARunnerOfItsOwnUnderLoad(t *testing.T) {
	c := leadingBorn(t, "r1", "r2")
	load := func() {
		j := storedJob(1, 400*ms)
		j.Objective = 20 * time.Second
		c.submit(j, 30*time.Second)
	}
	for range 8 {
		load()
	}
	suspect := storedJob(1, 300*ms)
	suspect.Objective = 40 * time.Second
	c.submit(suspect, 30*time.Second)
	c.pass(20 * ms)
	task := c.s.jobs[suspect.ID].steps[0][0]
	for _, id := range []workload.RunnerID{"r3", "r4"} {
		task.addLoss(loss{runner: id, incarnation: 1, begun: true, restarted: true})
	}
	sequence := map[workload.RunnerID]uint64{}
	var running []Start
	for range 60 {
		for _, start := range take[Start](c.harness) {
			c.started(start)
			if start.Run.Task == task.name {
				c.g.Expect(c.s.runners[start.Runner].runs).To(HaveLen(1))
				return
			}
			running = append(running, start)
		}
		oldest := running[0]
		running = running[1:]
		load()
		sequence[oldest.Runner]++
		c.end(oldest.Runner, sequence[oldest.Runner], oldest.Run, workload.Done)
		c.pass(40 * ms)
	}
	t.Fatal("the suspect wasn't started")
}

// Guards against an accepted job that is shown as failed without cause: the record of a job that moves to another shard would name
// the runner of a start that was never ordered, and that runner's next restart would count as a crash.
func TestTheRecordOfAMovingJobHasNoAssumedLoss(t *testing.T) {
	j := storedJob(1, 300*ms)
	stored := crashedOnce(t, j).s.jobs[j.ID]
	g := NewWithT(t)
	g.Expect(stored.record().Losses).To(HaveLen(2), "the crash, and the runner that the task is started on next")
	stored.stored.state = ledger.Moving
	g.Expect(stored.movingRecord().Losses).To(HaveLen(1))
}

// Guards against an accepted job that is shown as failed without cause: its task is ordered to runners that have been replaced
// under other ids at their addresses, which reject the orders.
func TestAStartThatAReplacedRunnerRejectsIsNoLoss(t *testing.T) {
	ids := []string{"r1", "r2", "r3", "r4", "r5", "r6", "r7"}
	c := leadingBorn(t, ids...)
	j := storedJob(1, 300*ms)
	c.submit(j, 20*time.Second)
	c.pass(20 * ms)
	for range ids[:maxLosses] {
		start := one[Start](c.harness)
		c.s.Started(c.now, StartResult{Runner: start.Runner, Address: start.Address, Token: start.Token, Run: start.Run, Outcome: Replaced, Clock: ClockReading{ReceivedAt: c.now, SentAt: c.now}})
		c.saved(take[Save](c.harness)...)
		c.s.Tick(c.now)
	}
	c.g.Expect(c.s.State(j.ID, c.now).Ended).To(BeFalse())
	c.g.Expect(c.s.jobs[j.ID].steps[0][0].losses).To(BeEmpty())
	c.started(one[Start](c.harness))
}
