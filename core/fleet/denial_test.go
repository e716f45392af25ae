package fleet_test

import (
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"sapphirepoint.example/sapphirepoint/core/leader"
)

// Guards against a denial of an accepted job by a leader that doesn't know of another one. A VM's
// process is killed and restarts before this is noticed. The others don't know the new
// process yet, since their reads of the list of members hang, and refuse its connections. It
// reaches nobody, leads, and accepts a stored job. The caller queries another VM, whose
// leader still counts all VMs as reachable.
func TestAcceptedJobIsntDeniedByAnEarlierLeader(t *testing.T) {
	t.Parallel()
	for _, known := range []bool{true, false} {
		g := NewWithT(t)
		w := deployment(1, 1)
		if known {
			earlier := w.newStoredJob()
			w.sendJob(earlier)
			w.run(3 * time.Second)
			g.Expect(earlier.accepted).NotTo(BeZero())
		}
		old := w.leader()
		fresh := w.nodes[5]
		g.Expect(fresh).NotTo(Equal(old))
		for _, o := range w.nodes {
			w.partitioned[[2]string{fresh.name, o.name}] = true
		}
		w.kill(fresh, 20*time.Millisecond)
		w.run(30 * time.Millisecond)
		for !fresh.node.Leads() {
			w.run(time.Millisecond)
		}
		job := w.newStoredJob()
		w.do(fresh, func() { fresh.node.Submit(w.now, 1000, job.work, time.Second) })
		fresh.requests[1000] = job
		for job.accepted == 0 {
			w.run(time.Millisecond)
		}
		g.Expect(old.node.Leads()).To(BeTrue())
		old.queries[1001] = &jobQuery{job: job}
		w.do(old, func() { old.node.Query(w.now, 1001, job.work.ID, false) })
		w.run(600 * time.Millisecond)
		g.Expect(w.checker.violations).To(BeEmpty())
	}
}

// newStoredJob returns a stored job that hasn't been sent yet and won't be cancelled.
func (w *world) newStoredJob() *fakeJob {
	w.storedShare = 1
	defer func() { w.storedShare = 0 }()
	j := w.newJob("a", 1, time.Second, 2*time.Second)
	j.cancelAt = 0
	return j
}

// Guards against any process that reports a job as unknown which another one has just
// accepted. All processes are queried at once and later, while processes are killed and
// restarted at random moments, some of them unknown to the others for a while.
func TestNobodyDeniesAnAcceptedJob(t *testing.T) {
	t.Parallel()
	for _, seed := range randomSeeds() {
		w, played := denialRun(seed)
		NewWithT(t).Expect(w.checker.violations).To(BeEmpty(), "seed %d: %v", seed, played)
	}
}

// Seeds that once violated an invariant, with the cause.
var denialRegressions = map[uint64]string{
	8101338: "a resumed process accepted a job of a dead process from its buffers after the caller had been refused",
	8200462: "a new owner reported a job as completed, and the previous owner, unaware that it had lost ownership, started one of its tasks again",
	8200245: "a job was completed by the end of a run whose task had been started again, which the owner after the next didn't know",
}

func TestDeniedRegressions(t *testing.T) {
	t.Parallel()
	for seed, cause := range denialRegressions {
		w, played := denialRun(seed)
		NewWithT(t).Expect(w.checker.violations).To(BeEmpty(), "seed %d, %s: %v", seed, cause, played)
	}
}

// denialRun simulates a pooled deployment or one of cells, with one or two shards.
func denialRun(seed uint64) (*world, []string) {
	shards := 1 + int(seed%2)
	w := deployment(seed, shards)
	if seed%4 >= 2 {
		w = cellDeployment(seed, shards)
	}
	w.storedShare, w.queryAll = 0.7, true
	names := append(storedFaultNames(), "restart", "restart", "unknown restart", "unknown restart")
	_, played := randomRunOf(w, names)
	return w, played
}

// Guards against a resumed process that accepts a job from its buffers whose entry process
// has died meanwhile: another scheduler may have told the caller that the job isn't run.
func TestHandInOfADeadProcessIsntTaken(t *testing.T) {
	t.Parallel()
	g := NewWithT(t)
	w := deployment(1, 1)
	w.sendJob(w.newStoredJob())
	w.run(3 * time.Second)
	old, entry := w.leader(), w.nodes[5]
	g.Expect(entry).NotTo(Equal(old))
	job := w.newStoredJob()
	w.freeze(old, 2*time.Second)
	w.do(entry, func() { entry.node.Submit(w.now, 1000, job.work, 2*time.Second) })
	w.run(20 * time.Millisecond)
	w.kill(entry, time.Minute)
	for _, o := range w.nodes {
		w.partitioned[[2]string{old.name, o.name}] = true
	}
	w.run(3 * time.Second)
	g.Expect(old.node.Leads()).To(BeTrue())
	g.Expect(job.starts).To(BeZero())
	g.Expect(w.store.rows(0).records).NotTo(HaveKey(job.work.ID))
}

// The same with a resumed process that becomes the leader before it can notice that the entry
// process is dead: the only other VM of its cell, from which it was partitioned, died too.
func TestHandInOfADeadProcessIsntTakenByANewLeader(t *testing.T) {
	t.Parallel()
	g := NewWithT(t)
	w := cellDeployment(1, 1)
	w.sendJob(w.newStoredJob())
	w.run(3 * time.Second)
	old, other, entry := w.nodes[0], w.nodes[1], w.nodes[2]
	if !old.node.Leads() {
		old, other = other, old
	}
	job := w.newStoredJob()
	for w.cellLayout.StoredJobShard(job.work.ID) != 0 {
		job = w.newStoredJob()
	}
	w.partitioned[[2]string{old.name, other.name}] = true
	w.run(time.Second)
	w.freeze(old, 2*time.Second)
	w.do(entry, func() { entry.node.Submit(w.now, 1000, job.work, 2*time.Second) })
	w.run(20 * time.Millisecond)
	job.answered = true
	w.kill(entry, time.Minute)
	w.run(1300 * time.Millisecond)
	w.kill(other, time.Minute)
	for w.now < old.frozen || !old.node.Leads() {
		w.run(time.Millisecond)
	}
	g.Expect(w.now - old.frozen).To(BeNumerically("<", leader.HeartbeatTimeout))
	w.run(time.Second)
	g.Expect(w.store.rows(0).records).NotTo(HaveKey(job.work.ID))
}
