package fleet_test

import (
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"sapphirepoint.example/sapphirepoint/core/leader"
)

// A VM's process is killed and runs again before its silence is noticed. The others
// don't know the new process yet, since their feed from the store is stuck, and
// refuse its connections. It hears nobody, leads, and accepts a job for keeps. The
// caller asks another VM for it, whose leader still counts all VMs as heard: it
// must not say that there is no such job.
func TestAcceptedJobIsntDeniedByAnEarlierLeader(t *testing.T) {
	for _, known := range []bool{true, false} {
		g := NewWithT(t)
		w := deployment(1, 1)
		if known {
			earlier := w.storedJob()
			w.try(earlier)
			w.run(3 * time.Second)
			g.Expect(earlier.accepted).NotTo(BeZero())
		}
		old := w.leader()
		fresh := w.nodes[5]
		g.Expect(fresh).NotTo(Equal(old))
		for _, o := range w.nodes {
			w.parted[[2]string{fresh.name, o.name}] = true
		}
		w.kill(fresh, 20*time.Millisecond)
		w.run(30 * time.Millisecond)
		for !fresh.node.Leads() {
			w.run(time.Millisecond)
		}
		job := w.storedJob()
		w.do(fresh, func() { fresh.node.Submit(w.now, 1000, job.work, time.Second) })
		fresh.requests[1000] = job
		for job.accepted == 0 {
			w.run(time.Millisecond)
		}
		g.Expect(old.node.Leads()).To(BeTrue())
		old.questions[1001] = &askedJob{job: job}
		w.do(old, func() { old.node.Query(w.now, 1001, job.work.ID, false) })
		w.run(600 * time.Millisecond)
		g.Expect(w.truth.broken).To(BeEmpty())
	}
}

// storedJob is a job for keeps that hasn't been sent yet, and isn't cancelled.
func (w *world) storedJob() *fakeJob {
	w.storedShare = 1
	defer func() { w.storedShare = 0 }()
	j := w.newJob("a", 1, time.Second, 2*time.Second)
	j.cancelAt = 0
	return j
}

// Guards against any process that denies a job which another one has just accepted: all
// are asked, at once and again, while processes are killed and come back at all moments,
// some of them unknown to the others for a while.
func TestNobodyDeniesAnAcceptedJob(t *testing.T) {
	t.Parallel()
	for i := range *seeds {
		seed := *firstSeed + uint64(i)
		w, played := deniedRun(seed)
		NewWithT(t).Expect(w.truth.broken).To(BeEmpty(), "seed %d: %v", seed, played)
	}
}

// Runs that once broke a promise, with the cause.
var deniedRegressions = map[uint64]string{
	8101338: "a process that woke accepted a job of a dead one out of its buffers, whose caller had been refused",
	8200462: "a new owner showed a job as completed, and the one before started a task of it again, not knowing yet that it wasn't the owner",
	8200245: "a job was completed by the end of a run whose task had been started again, which the owner after the next didn't know",
}

func TestDeniedRegressions(t *testing.T) {
	t.Parallel()
	for seed, cause := range deniedRegressions {
		w, played := deniedRun(seed)
		NewWithT(t).Expect(w.truth.broken).To(BeEmpty(), "seed %d, %s: %v", seed, cause, played)
	}
}

// deniedRun plays a pooled deployment or one of cells, of one or two shards.
func deniedRun(seed uint64) (*world, []string) {
	shards := 1 + int(seed%2)
	w := deployment(seed, shards)
	if seed%4 >= 2 {
		w = cellDeployment(seed, shards)
	}
	w.storedShare, w.askAll = 0.7, true
	names := append(storedTroubles(), "restart", "restart", "unknown restart", "unknown restart")
	_, played := randomRunOf(w, names)
	return w, played
}

// Guards against a process that wakes and takes a job out of its buffers whose entry
// process died meanwhile: its caller may have been told by another one that it isn't run.
func TestHandInOfADeadProcessIsntTaken(t *testing.T) {
	g := NewWithT(t)
	w := deployment(1, 1)
	w.try(w.storedJob())
	w.run(3 * time.Second)
	old, entry := w.leader(), w.nodes[5]
	g.Expect(entry).NotTo(Equal(old))
	job := w.storedJob()
	w.freeze(old, 2*time.Second)
	w.do(entry, func() { entry.node.Submit(w.now, 1000, job.work, 2*time.Second) })
	w.run(20 * time.Millisecond)
	w.kill(entry, time.Minute)
	for _, o := range w.nodes {
		w.parted[[2]string{old.name, o.name}] = true
	}
	w.run(3 * time.Second)
	g.Expect(old.node.Leads()).To(BeTrue())
	g.Expect(job.starts).To(BeZero())
	g.Expect(w.store.rows(0).records).NotTo(HaveKey(job.work.ID))
}

// The same where the process that wakes leads before it can notice that the other one is
// dead: the only other VM of its cell, which it hadn't heard before either, died too.
func TestHandInOfADeadProcessIsntTakenByANewLeader(t *testing.T) {
	g := NewWithT(t)
	w := cellDeployment(1, 1)
	w.try(w.storedJob())
	w.run(3 * time.Second)
	old, other, entry := w.nodes[0], w.nodes[1], w.nodes[2]
	if !old.node.Leads() {
		old, other = other, old
	}
	job := w.storedJob()
	for w.divided.StoredJobShard(job.work.ID) != 0 {
		job = w.storedJob()
	}
	w.parted[[2]string{old.name, other.name}] = true
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
