package fleet_test

import (
	"testing"
	"time"

	. "github.com/onsi/gomega"
)

// Guards against two runs of a task at the same time: a runner restarts under its id and leaves orders
// unanswered, and a start that was meant for the incarnation before runs there under a longer lease, out of reach.
func TestStartsCarriedOutByTheNextIncarnation(t *testing.T) {
	t.Parallel()
	g := NewWithT(t)
	for seed := range uint64(8) {
		w := deployment(seed, 1)
		w.load(10, 8*time.Second)
		w.run(2 * time.Second)
		for range 4 {
			r := randomRunner(w)
			r.restart()
			r.unansweredShare = 1
			w.submit(r.info.Domain, 12, time.Second, 2200*time.Millisecond)
			w.run(40 * time.Millisecond)
			// Orders to stop don't arrive either.
			r.down = true
			w.run(1500 * time.Millisecond)
			r.down, r.unansweredShare = false, 0
			w.run(200 * time.Millisecond)
		}
		w.run(3 * time.Second)
		g.Expect(w.checker.violations).To(BeEmpty(), "seed %d", seed)
	}
}

// Guards against tasks on runners that lack the label that they require: runners restart under their ids as another
// kind, and get tasks by the entries of the incarnations before, which the platform's list has for a while.
func TestRestartsAsAnotherKind(t *testing.T) {
	t.Parallel()
	for _, storeDown := range []bool{false, true} {
		for seed := range uint64(4) {
			g := NewWithT(t)
			w := deployment(seed, 1)
			for _, r := range w.runners {
				r.info.Labels = []string{"a"}
				r.writeEntry()
			}
			w.run(time.Second)
			w.requires = "a"
			w.load(20, 6*time.Second)
			w.run(time.Second)
			w.storeDown = storeDown
			restarted := w.runners[:6]
			for _, r := range restarted {
				r.crash()
			}
			w.run(time.Second)
			for _, r := range restarted {
				r.info.Labels = []string{"b"}
				r.restart()
			}
			w.run(3 * time.Second)
			w.storeDown = false
			w.requires = ""
			w.load(20, 2*time.Second)
			w.run(3 * time.Second)
			g.Expect(w.checker.violations).To(BeEmpty(), "seed %d", seed)
			g.Expect(restarted[0].started).To(BeNumerically(">", 0), "it is used again once its entry is read")
		}
	}
}
