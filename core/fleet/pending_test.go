package fleet_test

import (
	"fmt"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"sapphirepoint.example/sapphirepoint/core/fleet"
)

const (
	// unplacedJobs is how many jobs in a row must find no room until all shards count as full.
	unplacedJobs = 12
	// storedJobsKnownAfter is when even the oldest count in use includes all accepted jobs.
	storedJobsKnownAfter = 4 * time.Second
)

// withoutRoom fills the runners of all shards with long tasks, and lets stored jobs wait behind them for longer than
// counts are used.
func (w *world) withoutRoom(g *WithT, waiting int) []*fakeJob {
	for unplaced := 0; unplaced < unplacedJobs; unplaced++ {
		w.storedShare = 1
		j := w.newJob("a", 1, time.Minute, 5*time.Second)
		w.storedShare = 0
		w.sendJob(j)
		w.run(fleet.TickInterval)
		j.cancelAt = w.now
		if j.starts > 0 {
			j.cancelAt, unplaced = 0, 0
		}
	}
	w.run(time.Second)
	var jobs []*fakeJob
	for range waiting {
		j := w.newJob("a", 1, 100*time.Millisecond, 5*time.Second)
		j.work.Stored = true
		w.sendJob(j)
		jobs = append(jobs, j)
	}
	w.run(3 * time.Second)
	g.Expect(notBegun(jobs)).To(BeNumerically(">=", waiting/2), "jobs wait")
	return jobs
}

// notBegun counts the accepted jobs of which no task has started.
func notBegun(jobs []*fakeJob) int {
	count := 0
	for _, j := range jobs {
		if j.accepted > 0 && j.starts == 0 {
			count++
		}
	}
	return count
}

// watchPending compares the count of waiting jobs of each process but one with the jobs that wait, at each tick for a
// while. It lists the counts below half of that, and returns how often a process knew none.
func (w *world) watchPending(except *fakeNode, jobs []*fakeJob, d time.Duration) (wrong []string, unknown int) {
	for end := w.now + d; w.now < end; {
		w.run(fleet.TickInterval)
		for _, n := range w.nodes {
			if n == except || n.node == nil {
				continue
			}
			count, known := n.node.Pending(w.now)
			if !known {
				unknown++
				continue
			}
			if waiting := notBegun(jobs); 2*count[queue] < waiting {
				wrong = append(wrong, fmt.Sprintf("at %v %s counts %d of %d", w.now, n.id, count[queue], waiting))
			}
		}
	}
	return wrong, unknown
}

// Guards against a count of waiting jobs that drops to zero while the leader that counted them is replaced.
func TestWaitingJobsAreCountedWithoutALeader(t *testing.T) {
	t.Parallel()
	// known: the next leader counts the jobs before the last count is too old. It doesn't while it can't read them, or
	// while two processes that reach the store claim them in turn.
	ways := []struct {
		name  string
		known bool
		lose  func(w *world, n *fakeNode)
	}{
		{"killed", true, func(w *world, n *fakeNode) { w.kill(n, 300*time.Millisecond) }},
		{"killed for long", true, func(w *world, n *fakeNode) { w.kill(n, 20*time.Second) }},
		{"stopped", true, func(w *world, n *fakeNode) { w.stop(n) }},
		{"frozen", true, func(w *world, n *fakeNode) { w.freeze(n, 3*time.Second) }},
		{"cut off", true, func(w *world, n *fakeNode) { w.separate(n, true, 3*time.Second) }},
		{"killed, store away", false, func(w *world, n *fakeNode) { w.storeDown = true; w.kill(n, 300*time.Millisecond) }},
		{"cut off from others", false, func(w *world, n *fakeNode) { w.separate(n, false, 3*time.Second) }},
	}
	for _, way := range ways {
		for _, shards := range []int{1, 2} {
			t.Run(fmt.Sprintf("%s, %d shards", way.name, shards), func(t *testing.T) {
				g := NewWithT(t)
				w := deployment(3, shards)
				w.run(2 * time.Second)
				jobs := w.withoutRoom(g, 12)
				leader := w.leader()
				way.lose(w, leader)
				wrong, unknown := w.watchPending(leader, jobs, 6*time.Second)
				g.Expect(wrong).To(BeEmpty())
				if way.known {
					g.Expect(unknown).To(BeZero())
				}
			})
		}
	}
}

// Guards against a process that has just started and gives zero as the number of waiting jobs before it has heard of any.
func TestANewProcessDoesNotKnowTheCountOfWaitingJobs(t *testing.T) {
	t.Parallel()
	g := NewWithT(t)
	w := deployment(3, 1)
	w.run(2 * time.Second)
	jobs := w.withoutRoom(g, 12)
	other := w.otherThan(w.leader())
	w.kill(other, 300*time.Millisecond)
	wrong, unknown := w.watchPending(nil, jobs, 3*time.Second)
	g.Expect(wrong).To(BeEmpty())
	g.Expect(unknown).To(BeNumerically(">", 0))
	count, known := other.node.Pending(w.now)
	g.Expect(known).To(BeTrue())
	g.Expect(count[queue]).To(BeNumerically(">=", notBegun(jobs)/2))
}

// Guards against a process that is cut off from the others, though not from the store, and gives zero as the number of
// waiting jobs, since it knew of no stored jobs when it last heard of the others.
func TestWaitingJobsAreCountedBehindACut(t *testing.T) {
	t.Parallel()
	for _, withoutStore := range []bool{true, false} {
		g := NewWithT(t)
		w := deployment(3, 1)
		w.run(2 * time.Second)
		cut := w.nodes[1]
		g.Expect(w.leader()).NotTo(Equal(cut))
		for _, r := range w.runners {
			r.crash()
		}
		w.separate(cut, withoutStore, 12*time.Second)
		var jobs []*fakeJob
		for range 8 {
			j := w.newStoredJob()
			j.domain = "b"
			w.sendJob(j)
			jobs = append(jobs, j)
		}
		w.run(storedJobsKnownAfter)
		wrong, _ := w.watchPending(nil, jobs, 5*time.Second)
		g.Expect(wrong).To(BeEmpty(), "without the store: %t", withoutStore)
	}
}
