package schedule

import (
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"sapphirepoint.example/sapphirepoint/core/workload"
)

// Guards against a task that runs after its job is shown as completed: another run of it is being stopped, its start may still
// reach the next incarnation of its runner, and the list that shows the restart doesn't have it yet.
func TestAJobIsNotCompletedWhileAStartMayReachTheNextIncarnation(t *testing.T) {
	n := newNamedInLists(t, "r1", "r2")
	j := storedJob(1, 300*ms)
	j.Objective = 60 * time.Second
	n.submit(j, 60*time.Second)
	n.saved(take[Save](n.harness)...)
	first := one[Start](n.harness)
	n.answerStart(first, Accepted)
	n.running[first.Runner] = []workload.RunKey{first.Run}
	n.pass(40 * ms)
	n.silent[first.Runner] = true
	var second Start
	for end := n.now + 10*time.Second; n.now < end && second.Runner == ""; {
		n.pass(20 * ms)
		if list := take[Start](n.harness); len(list) > 0 {
			second = list[0]
		}
	}
	n.g.Expect(second.Runner).NotTo(BeEmpty())
	n.g.Expect(second.Runner).NotTo(Equal(first.Runner))
	// The first run turns out to be done, while the second one's start is under way.
	delete(n.running, first.Runner)
	n.silent[first.Runner] = false
	n.ended[first.Runner] = []workload.End{{Sequence: 1, Run: first.Run, Kind: workload.Done}}
	take[Hold](n.harness)
	r := n.s.runners[first.Runner]
	n.listFor(Hold{Runner: first.Runner, Address: r.info.Address, Token: r.token})
	n.saved(take[Save](n.harness)...)
	n.g.Expect(take[OutcomeSaved](n.harness)).To(BeEmpty(), "the second run may begin")
	n.restart(second.Runner)
	n.now += 2 * ms
	r = n.s.runners[second.Runner]
	n.listFor(Hold{Runner: second.Runner, Address: r.info.Address, Token: r.token})
	n.saved(take[Save](n.harness)...)
	n.s.Tick(n.now)
	n.g.Expect(n.s.lostRuns).To(HaveKey(second.Run.Task), "it may still begin on the next incarnation")
	n.g.Expect(take[OutcomeSaved](n.harness)).To(BeEmpty(), "no list under the raised token has come")
}

// Guards against a task that is tried more often than its queue allows: the list that shows a restart has the end of a run that
// failed on the next incarnation.
func TestAFailureOnTheNextIncarnationCounts(t *testing.T) {
	n := newNamedInLists(t, "r1", "r2", "r3", "r4")
	j := testJob(1, 60*ms)
	j.Objective = 8 * time.Second
	c := n.startedOnNext(j, 8*time.Second)
	starts := 1
	delete(n.running, c.Runner)
	n.ended[c.Runner] = []workload.End{{Sequence: 1, Run: c.Run, Kind: workload.Failed}}
	for end := n.now + 3*time.Second; n.now < end; {
		n.pass(20 * ms)
		for _, again := range take[Start](n.harness) {
			starts++
			n.answerStart(again, Accepted)
			n.ended[again.Runner] = append(n.ended[again.Runner], workload.End{Sequence: uint64(len(n.ended[again.Runner]) + 1), Run: again.Run, Kind: workload.Failed})
		}
	}
	n.g.Expect(starts).To(Equal(j.MaxAttempts))
}

// Guards against a stored job's task that is done twice: a Hold that is sent with a start, and arrives after the run has ended on the
// next incarnation, has that forget the end, by a sequence of the incarnation before.
func TestTheCursorOfTheIncarnationBeforeDoesntRemoveAnEnd(t *testing.T) {
	n := newNamedInLists(t, "r1")
	before := storedJob(1, 60*ms)
	before.Objective = 30 * time.Second
	n.submit(before, 30*time.Second)
	n.saved(take[Save](n.harness)...)
	c := one[Start](n.harness)
	n.answerStart(c, Accepted)
	n.ended["r1"] = []workload.End{{Sequence: 1, Run: c.Run, Kind: workload.Done}}
	n.pass(2 * time.Second)
	n.g.Expect(n.s.runners["r1"].acknowledged).To(BeEquivalentTo(1))
	n.g.Expect(take[OutcomeSaved](n.harness)).To(HaveLen(1))

	j := storedJob(1, 60*ms)
	j.Objective = 30 * time.Second
	n.submit(j, 30*time.Second)
	n.restart("r1")
	n.saved(take[Save](n.harness)...)
	c = one[Start](n.harness)
	holds := take[Hold](n.harness)
	n.g.Expect(holds).NotTo(BeEmpty())
	// The run is done after 60 ms, and the Hold arrives just after.
	n.now += 65 * ms
	n.ended["r1"] = []workload.End{{Sequence: 1, Run: c.Run, Kind: workload.Done}}
	for _, o := range holds {
		n.listFor(o)
	}
	n.answerStart(c, Accepted)
	n.describe("r1")
	n.pass(3 * time.Second)
	n.g.Expect(take[Start](n.harness)).To(BeEmpty(), "the task is done")
	n.g.Expect(n.s.State(j.ID, n.now).Outcome).To(Equal(workload.Completed))
}
