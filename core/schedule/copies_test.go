package schedule

import (
	"testing"
	"time"

	. "github.com/onsi/gomega"
	"github.com/onsi/gomega/types"

	"sapphirepoint.example/sapphirepoint/core/workload"
)

// loggedFor matches a line of the log about a job that an entry process handed in.
func loggedFor(event string, id workload.JobID, entry EntryID, reason any) types.GomegaMatcher {
	return And(HaveField("Event", event), HaveField("Job", id), HaveField("Entry", entry), HaveField("Reason", reason))
}

// Guards against a copy of a job that leaves no line: whether the job was at work here, or had ended, can't
// be told from the log when a task of it has run twice.
func TestCopiesOfJobsAreLogged(t *testing.T) {
	const other EntryID = "front-b#2"
	b := leading(t, testRunner("r1"))
	j := testJob(1, 400*ms)
	b.submit(j, 4*time.Second)
	b.g.Expect(take[Decision](b)).NotTo(ContainElement(HaveField("Event", "job-copy-received")), "the first one is no copy")
	c := one[Start](b)
	b.started(c, Accepted)
	b.submitCopy(j, other)
	b.g.Expect(take[Decision](b)).To(ContainElement(loggedFor("job-copy-received", j.ID, other, "in progress here for "+string(entryA)+", 1 runs")))
	b.end(c.Runner, 1, c.Run, workload.Done)
	b.submitCopy(j, other)
	b.g.Expect(take[Decision](b)).To(ContainElement(loggedFor("job-copy-received", j.ID, other, "ended here: completed")))
}

// Guards against the same for a job whose caller had left, and which is started as a new one.
func TestCopiesOfDroppedJobsAreLogged(t *testing.T) {
	b := leading(t, testRunner("r1"))
	c := b.runningTask()
	id := c.Run.Task.Job
	b.s.Abandon(b.now, entryA, id)
	take[Decision](b)
	j := testJob(1, 400*ms)
	j.ID = id
	b.s.Submit(b.now, Submission{Job: j, Entry: entryA, RemainingObjective: time.Second, RemainingTimeout: time.Second, PriorSubmissions: 2})
	b.g.Expect(take[Decision](b)).To(ContainElement(And(
		loggedFor("job-copy-received", id, entryA, "tasks of it may have run here"), HaveField("Detail", "2 schedulers before"),
	)))
}

// Guards against a start beside an unknown run that leaves no line: a new leader has no list of a runner
// that gets no processor time, and which may have a run of the job from before.
func TestStartsWithoutListsAreLogged(t *testing.T) {
	b := leading(t, testRunner("r1"), testRunner("r2"), testRunner("r3"), testRunner("r4"))
	b.s.TakeOverRunners(b.now)
	b.runningTask()
	b.g.Expect(take[Decision](b)).NotTo(ContainElement(HaveField("Event", "started-without-lists")))
	for _, h := range take[Hold](b) {
		b.held(h)
	}
	take[Hold](b)
	b.s.acquire(b.s.runners["r3"])
	silent := one[Hold](b)
	c := b.runningTask()
	id := c.Run.Task.Job
	b.g.Expect(take[Decision](b)).To(ContainElement(And(
		loggedFor("started-without-lists", id, entryA, "no earlier scheduler of the job is known"),
		HaveField("Run", c.Run), HaveField("Detail", "no lists of r3"),
	)))
	b.runningTask()
	b.g.Expect(take[Decision](b)).NotTo(ContainElement(HaveField("Event", "started-without-lists")), "no more lines until other lists are missing")
	j := testJob(1, 400*ms)
	b.s.Submit(b.now, Submission{Job: j, Entry: entryA, RemainingObjective: time.Second, RemainingTimeout: 9 * time.Second, PriorSubmissions: 1})
	b.g.Expect(take[Decision](b)).NotTo(ContainElement(HaveField("Event", "started-without-lists")), "r3 may have runs, and the job waits")
	b.leaveHoldUnanswered(silent, ConnectionMade)
	for begin := b.now; b.now-begin < MaxLateEnd+40*ms; b.tick(20 * ms) {
		b.leaveUnanswered("r3", ConnectionMade)
	}
	b.g.Expect(take[Decision](b)).To(ContainElement(And(
		loggedFor("started-without-lists", j.ID, entryA, "runs of 1 earlier schedulers count as over"),
		HaveField("Detail", ContainSubstring("r3")),
	)), "one for each job that had a scheduler before")
}

// Guards against a line for each job while hundreds of lists are still on their way.
func TestLinesOnMissingListsAreFew(t *testing.T) {
	b := leading(t)
	missing := make([]workload.RunnerID, 0, 400)
	for n := range 400 {
		missing = append(missing, workload.RunnerID([]rune{rune(n)}))
	}
	lines := 0
	for n := range missing {
		if b.s.noteMissing(service, missing[n:]) {
			lines++
		}
	}
	b.g.Expect(lines).To(BeNumerically("<=", 10))
	b.g.Expect(nameRunners([]workload.RunnerID{"1", "2", "3", "4", "5", "6", "7"})).To(Equal("1, 2, 3, 4, 5 and 2 more"))
}

// Guards against a job that is at work in two shards without a warning: a copy of it was started here
// before its entry process reported that it is in another shard.
func TestJobsInTwoShardsAreReported(t *testing.T) {
	const other EntryID = "front-b#2"
	b := leading(t, testRunner("r1"))
	c := b.runningTask()
	id := c.Run.Task.Job
	take[Decision](b)
	b.s.NoteElsewhere(b.now, []JobElsewhere{{Job: id, Shard: 3, Entry: other}})
	b.g.Expect(b.warnings()).To(ConsistOf(And(
		loggedFor("job-in-two-shards", id, other, "shard 3"), HaveField("Detail", "here for "+string(entryA)+", 1 runs"),
	)))
	b.s.NoteElsewhere(b.now, []JobElsewhere{{Job: id, Shard: 3, Entry: entryA}})
	b.g.Expect(b.warnings()).To(BeEmpty(), "both reports name the same shard")
	b.s.NoteElsewhere(b.now, []JobElsewhere{{Job: id, Shard: 4, Entry: other}})
	b.g.Expect(b.warnings()).To(ConsistOf(HaveField("Detail", "in shard 3 for "+string(entryA))))
}
