package fleet_test

import (
	"testing"
	"time"

	. "github.com/onsi/gomega"
)

// The leader is stopped as planned, in the middle of jobs of which some tasks
// have ended. The next one goes on with the rest: a label that was printed isn't
// printed again.
func TestPlannedStopRunsNothingAgain(t *testing.T) {
	g := NewWithT(t)
	for seed := range uint64(20) {
		w := deployment(seed, 1+int(seed)%2)
		w.load(60, 3*time.Second)
		w.run(1500 * time.Millisecond)
		w.stop(w.leader())
		w.run(4 * time.Second)
		g.Expect(w.truth.broken).To(BeEmpty())
		for id, j := range w.jobs {
			g.Expect(j.starts).To(BeNumerically("<=", j.work.Tasks()), "seed %d: job %s", seed, id)
		}
	}
}

// The VM of the leader that is stopped is so busy that its messages are 120 ms
// late, the word on what has ended among them. The next leader waits for it,
// however long it takes: a label that was printed isn't printed again.
func TestPlannedStopOfABusyLeader(t *testing.T) {
	g := NewWithT(t)
	for seed := range uint64(20) {
		w := deployment(seed, 1+int(seed)%2)
		w.load(60, 3*time.Second)
		w.run(1500 * time.Millisecond)
		n := w.leader()
		w.lag[n.name] = 120 * time.Millisecond
		w.stop(n)
		w.run(4 * time.Second)
		g.Expect(w.truth.broken).To(BeEmpty())
		for id, j := range w.jobs {
			g.Expect(j.starts).To(BeNumerically("<=", j.work.Tasks()), "seed %d: job %s", seed, id)
		}
	}
}
