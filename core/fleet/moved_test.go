package fleet_test

import (
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"sapphirepoint.example/sapphirepoint/core/workload"
)

// vanishedRunLife is how long runs on runners that vanish count, from the last answer on: the scheduler can't tell whether
// they go on beyond a cut.
const vanishedRunLife = 6500 * time.Millisecond

// submitStoredJobs submits stored jobs of all shards, and returns those that are accepted.
func (w *world) submitStoredJobs(count int) []*fakeJob {
	var jobs []*fakeJob
	for range count {
		j := w.newStoredJob()
		w.sendJob(j)
		jobs = append(jobs, j)
	}
	w.run(100 * time.Millisecond)
	var accepted []*fakeJob
	for _, j := range jobs {
		if j.accepted > 0 {
			accepted = append(accepted, j)
		}
	}
	return accepted
}

// removeRunners delists all runners of a failure domain and takes their machines away, which answer nothing.
func (w *world) removeRunners(domain string) {
	for _, r := range w.runners {
		if r.info.Domain == domain {
			r.crash()
			r.dark = true
			delete(w.listed, r.info.ID)
		}
	}
}

// Guards against accepted jobs that wait for as long as their failure domain has no runners
// while other domains have capacity, and against callers who can't query or cancel them
// meanwhile. The processes that own the shards are killed during the transfer.
func TestJobsOfADomainWithoutRunnersAreDone(t *testing.T) {
	t.Parallel()
	for _, lost := range []string{"", "giver", "taker", "all"} {
		g := NewWithT(t)
		w := cellDeployment(1, 1)
		w.sendJob(w.newStoredJob())
		w.run(2 * time.Second)
		jobs := w.submitStoredJobs(12)
		jobs[0].cancelAt = w.now + 2500*time.Millisecond
		w.removeRunners("a")
		w.run(1700 * time.Millisecond)
		w.killOwners(lost)
		w.run(12 * time.Second)
		w.checker.checkSettled()
		g.Expect(w.checker.violations).To(BeEmpty(), lost)
		for _, j := range jobs[1:] {
			g.Expect(j.outcome).To(Equal(workload.Completed), "%s: %s", lost, j.work.ID)
		}
	}
}

// killOwners kills the processes that transfer jobs away, those that receive them, or all.
func (w *world) killOwners(which string) {
	for _, n := range w.nodes {
		giver := n.domain == "a"
		if which == "all" || which == "giver" && giver || which == "taker" && !giver {
			w.kill(n, 400*time.Millisecond)
		}
	}
}

// Guards against accepted jobs that move to a shard which can't save them, and wait there for the store
// while a third shard has room.
func TestJobsMoveWhereTheyCanBeSaved(t *testing.T) {
	t.Parallel()
	g := NewWithT(t)
	w := cellDeployment(1, 1)
	w.sendJob(w.newStoredJob())
	w.run(2 * time.Second)
	jobs := w.submitStoredJobs(12)
	for _, n := range w.nodes {
		if n.domain == "b" {
			w.storeUnreachable[n.name] = true
		}
	}
	w.removeRunners("a")
	w.run(vanishedRunLife + 6*time.Second)
	for _, j := range jobs {
		if w.layout().StoredJobShard(j.work.ID) == 0 {
			g.Expect(j.ended).To(BeTrue(), string(j.work.ID))
		}
	}
}
