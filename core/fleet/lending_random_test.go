package fleet_test

import (
	"fmt"
	"maps"
	"slices"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"sapphirepoint.example/sapphirepoint/core/fleet"
	"sapphirepoint.example/sapphirepoint/core/schedule"
	"sapphirepoint.example/sapphirepoint/core/workload"
)

// Random faults while one shard has more work than room and borrows from the others. Some faults
// hit processes just as they send messages about lent room.

const (
	// lendingLoad is the rate of jobs a second, and crowdedShare the share of them that belong to
	// the shard or come from the domain that has too much work.
	lendingLoad  = 45
	crowdedShare = 0.65
	// faultsPerMessage is the share of the messages about lent room with which a fault comes.
	faultsPerMessage = 0.01
	// maxLeak is how long after the last fault a grant may still count as used.
	maxLeak = 10 * time.Second
)

// crowdedID returns an unused id, for a share of the jobs one that belongs to the first shard.
func (w *world) crowdedID() workload.JobID {
	crowded := w.rng.Float64() < crowdedShare
	for {
		w.lastCrowded++
		id := workload.JobID(fmt.Sprintf("%016x", w.lastCrowded))
		if w.cells || (w.layout().JobShard(id, "") == 0) == crowded {
			return id
		}
	}
}

// faultWith injects a fault with a message about lent room, to its sender or its receiver.
func (w *world) faultWith(n *fakeNode, c fleet.Send) {
	v, isVerdict := c.Message.(fleet.Verdict)
	_, isRequest := c.Message.(fleet.RoomRequest)
	_, isGrant := c.Message.(fleet.RoomGrant)
	if !isRequest && !isGrant && !(isVerdict && v.Lent) || w.rng.Float64() >= faultsPerMessage {
		return
	}
	target := n
	if o := w.byID(c.To); o != nil && w.rng.IntN(2) == 0 {
		target = o
	}
	kind, d := w.rng.IntN(4), w.randomDuration(300, 2500)
	w.after(0, func() {
		switch kind {
		case 0:
			w.kill(target, d)
		case 1:
			w.freeze(target, d)
		case 2:
			w.cutOff(target.domain, d)
		case 3:
			pair := [2]string{n.name, randomNode(w).name}
			w.partitioned[pair] = true
			w.after(d, func() { delete(w.partitioned, pair) })
		}
	})
}

// crowdedDeployment is one of three shards, pooled or one for each domain, of which one has too much
// work.
func crowdedDeployment(seed uint64, cells bool) *world {
	w := newWorld(seed)
	w.shards = 3
	if cells {
		w.cells, w.cellLayout = true, []string{"a", "b", "c"}
	}
	w.crowded = true
	return w.build()
}

// lendingRun plays faults in a crowded deployment.
func lendingRun(seed uint64, names []string) (*world, []string) {
	w := crowdedDeployment(seed, seed%2 == 0)
	w.onSend = w.faultWith
	w.drawGaps(names)
	w.load(lendingLoad, 12*time.Second)
	var played []string
	for w.now < 12*time.Second {
		w.run(w.randomDuration(300, 2000))
		name := names[w.rng.IntN(len(names))]
		played = append(played, w.now.String()+" "+name)
		faults[name](w)
	}
	w.onSend = nil
	w.run(maxLeak)
	w.checker.checkNoGrants()
	return w, played
}

// checkNoGrants checks that no scheduler counts room as promised any more.
func (t *checker) checkNoGrants() {
	for _, n := range t.w.nodes {
		if n.node == nil {
			continue
		}
		for i, s := range n.node.DumpShards(t.w.now) {
			if s.Scheduler != nil && len(s.Scheduler.GrantsOut) > 0 {
				t.report("%s counts room of shard %d as promised: %v", n.id, i, s.Scheduler.GrantsOut)
			}
		}
	}
}

// lent sums up the counters of the processes that are alive.
func (w *world) lent() schedule.LendingCounters {
	var sum schedule.LendingCounters
	for _, n := range w.nodes {
		if n.node != nil {
			sum = sum.Plus(n.node.Counters().Lending)
		}
	}
	return sum
}

// Guards against tasks that run twice, callers who are told that nothing was run, and room that
// stays promised, when processes are lost, suspended or cut off with grants out.
func TestRandomFaultsWithLending(t *testing.T) {
	t.Parallel()
	g := NewWithT(t)
	names := append(faultNames(), "part", "part", "replace", "mute runners")
	served, asked, runs := 0, 0, 0
	var lent schedule.LendingCounters
	for _, seed := range randomSeeds() {
		runs++
		w, played := lendingRun(seed, names)
		g.Expect(w.checker.violations).To(BeEmpty(), "seed %d: %v", seed, played)
		served += w.completed()
		asked += len(w.jobs)
		lent = lent.Plus(w.lent())
	}
	t.Logf("%d of %d jobs complete; lending, without processes that ended: %+v", served, asked, lent)
	g.Expect(served).To(BeNumerically(">", asked/2))
	g.Expect(lent.Used).To(BeNumerically(">", uint64(runs)), "room is lent often")
}

// Guards against a job that runs a second time in its home shard after it has ended in the lender's:
// copies of lent jobs arrive by way of other processes, some seconds after the answer.
func TestCopiesOfLentJobsThatHaveEnded(t *testing.T) {
	t.Parallel()
	g := NewWithT(t)
	for i := range singleRunSeeds() {
		seed := *firstSeed + uint64(i)
		w := crowdedDeployment(seed, false)
		jobs := w.completedLentJobs()
		g.Expect(len(jobs)).To(BeNumerically(">", 10), "room is lent")
		starts := make(map[*fakeJob]int)
		for _, j := range jobs {
			starts[j] = j.starts
			j.answered, j.sent = false, w.now
			w.sendJob(j)
		}
		w.run(3 * time.Second)
		for _, j := range jobs {
			g.Expect(j.starts).To(Equal(starts[j]), "seed %d: %s", seed, j.work.ID)
			g.Expect(j.answered).To(BeTrue(), "seed %d: %s", seed, j.work.ID)
			g.Expect(j.outcome).To(Equal(workload.Completed), "seed %d: %s", seed, j.work.ID)
		}
		g.Expect(w.checker.violations).To(BeEmpty(), "seed %d", seed)
	}
}

// completedLentJobs plays a load without faults, and returns the lent jobs that are completed.
func (w *world) completedLentJobs() []*fakeJob {
	var jobs []*fakeJob
	lent := make(map[workload.JobID]bool)
	w.onSend = func(_ *fakeNode, c fleet.Send) {
		if v, ok := c.Message.(fleet.Verdict); ok && v.Lent {
			lent[v.Job] = true
		}
	}
	w.load(lendingLoad, 6*time.Second)
	w.run(8 * time.Second)
	for _, id := range slices.Sorted(maps.Keys(lent)) {
		if j := w.jobs[id]; j.answered && j.outcome == workload.Completed {
			jobs = append(jobs, j)
		}
	}
	return jobs
}
