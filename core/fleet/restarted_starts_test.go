package fleet_test

import (
	"testing"
	"time"

	. "github.com/onsi/gomega"
)

// Guards against two runs of a task at the same time: a runner restarts under its id, and its next incarnation carries out
// starts that were meant for the one before and accepts them without saying so. Once a list shows the restart, the runs that
// it has begun count as ended by it, and their tasks are started elsewhere.
func TestStartsAcceptedByTheNextIncarnationArentRepeated(t *testing.T) {
	t.Parallel()
	g := NewWithT(t)
	w := deployment(1, 1)
	w.run(2 * time.Second)
	startedAfter := 0
	for range 6 {
		for _, r := range w.runners[:9] {
			r.restart()
			r.started = 0
		}
		// Their restarts aren't known yet, so they are among the runners that have room.
		for range 6 {
			w.submit(w.randomDomain(), 3, 600*time.Millisecond, 2*time.Second)
		}
		w.run(2 * time.Second)
		for _, r := range w.runners[:9] {
			startedAfter += r.started
		}
	}
	g.Expect(startedAfter).To(BeNumerically(">", 0))
	g.Expect(w.checker.violations).To(BeEmpty())
}
