package fleet_test

import (
	"testing"
	"time"

	. "github.com/onsi/gomega"
)

// silence makes the runners of a domain unreachable for a while, after which they answer but are not
// back on the platform's list.
func (w *world) silence(domain string, d time.Duration) {
	for _, r := range w.runners {
		if r.info.Domain != domain {
			continue
		}
		delete(w.listed, r.info.ID)
		r.down = true
		w.after(d, func() { r.down, r.workFactor = false, 2.5 })
	}
}

// Guards against tasks that run twice since a successor doesn't ask a runner for its runs: the runner
// isn't on the platform's list, and the lost leader used it since it had answered again.
func TestSuccessorKnowsUnlistedRunnersInUse(t *testing.T) {
	t.Parallel()
	g := NewWithT(t)
	used := 0
	for seed := range uint64(6) {
		w := deployment(seed, 1)
		w.load(60, 8*time.Second)
		w.run(2 * time.Second)
		w.silence("a", 1100*time.Millisecond)
		w.run(3000 * time.Millisecond)
		// A change of the list by which processes forget runners that left it seconds ago.
		delete(w.listed, "rb1")
		w.run(500 * time.Millisecond)
		for _, r := range w.runners {
			if r.info.Domain == "a" {
				used += len(r.runs)
			}
		}
		w.kill(w.leader(), 3*time.Second)
		w.run(5 * time.Second)
		g.Expect(w.checker.violations).To(BeEmpty(), "seed %d", seed)
	}
	g.Expect(used).To(BeNumerically(">", 0))
}
