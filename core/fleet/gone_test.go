package fleet_test

import (
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"sapphirepoint.example/sapphirepoint/core/workload"
)

// Guards against stored jobs that stop whenever the store is unavailable because a removed
// VM stays on the list of members: that VM is never reachable, so the owner of a shard would
// have to prove its ownership by the store.
func TestStoredJobsGoOnWithoutTheStoreThoughAVMIsGone(t *testing.T) {
	t.Parallel()
	g := NewWithT(t)
	w := deployment(1, 1)
	gone := w.nodes[5]
	w.endProcess(gone, false)
	gone.removed = true
	w.nodes = w.nodes[:5]
	w.run(time.Minute)
	jobs := w.submitStoredJobs(4)
	g.Expect(jobs).To(HaveLen(4))
	w.storeDown = true
	w.run(2 * time.Second)
	for _, j := range jobs {
		g.Expect(w.checker.done).To(HaveKey(workload.TaskName{Job: j.work.ID}), "stopped")
	}
	w.storeDown = false
	w.run(3 * time.Second)
	g.Expect(w.checker.violations).To(BeEmpty())
}

// Guards against tasks that run twice because a process that was presumed gone resumes behind
// a network partition, and takes the shard while its owner can't reach the store.
func TestAVMThatWasTakenForGoneDoesNotTakeTheShard(t *testing.T) {
	t.Parallel()
	g := NewWithT(t)
	w := deployment(1, 1)
	back := w.nodes[5]
	for _, n := range w.nodes[:5] {
		w.partitioned[[2]string{n.name, back.name}] = true
	}
	w.freeze(back, 50*time.Second)
	w.run(45 * time.Second)
	jobs := w.submitStoredJobs(4)
	g.Expect(jobs).To(HaveLen(4))
	owner := w.store.rows(0).owner
	for _, n := range w.nodes[:5] {
		w.storeUnreachable[n.name] = true
	}
	w.run(12 * time.Second)
	g.Expect(w.store.rows(0).owner).To(Equal(owner), "the shard has another owner")
	clear(w.storeUnreachable)
	clear(w.partitioned)
	w.run(5 * time.Second)
	g.Expect(w.checker.violations).To(BeEmpty())
}

// Guards against a VM that stays excluded from its shard after it is reachable again: as the
// last VM left it must be able to schedule.
func TestAVMThatIsHeardAgainMayTakeTheShard(t *testing.T) {
	t.Parallel()
	g := NewWithT(t)
	w := deployment(1, 1)
	back := w.nodes[5]
	w.kill(back, 40*time.Second)
	w.run(35 * time.Second)
	g.Expect(w.submitStoredJobs(2)).To(HaveLen(2))
	w.run(15 * time.Second)
	for _, n := range w.nodes[:5] {
		w.endProcess(n, false)
		n.removed = true
	}
	w.nodes = w.nodes[5:]
	w.run(5 * time.Second)
	g.Expect(w.store.rows(0).owner).To(Equal(back.id))
	g.Expect(w.checker.violations).To(BeEmpty())
}
