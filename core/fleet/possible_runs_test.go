package fleet_test

import (
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"sapphirepoint.example/sapphirepoint/core/fleet"
)

// Guards against a second run of a job whose scheduler and entry process is killed while the job's runner is cut off and ends
// its run late: the caller sends the job again by way of another process, where it is a new one.
func TestAJobOfAKilledLeaderWaitsForItsSilentRunner(t *testing.T) {
	t.Parallel()
	const (
		cutFor   = 10 * time.Second
		lateness = 4 * time.Second
		// unanswered is how long the leader lives after the cut: it has noticed that the runner is silent.
		unanswered = time.Second
		patience   = 14 * time.Second
	)
	g := NewWithT(t)
	for seed := uint64(1); seed <= 4; seed++ {
		w := deployment(seed, 1)
		named := 0
		w.onSend = func(_ *fakeNode, s fleet.Send) {
			if m, ok := s.Message.(fleet.PossibleRuns); ok {
				named += len(m.Jobs)
			}
		}
		w.run(3 * time.Second)
		j := w.newJob("a", 1, 6*time.Second, patience)
		first := w.leaderOf(0)
		w.submitBy(first, j)
		w.run(200 * time.Millisecond)
		g.Expect(named).To(BeZero(), "no runner is silent")
		w.cutRunnersWithRuns(cutFor, lateness)
		w.run(unanswered)
		g.Expect(named).To(Equal(2), "one job, two successors")
		w.kill(first, 2*time.Second)
		w.run(resendInterval)
		w.submitBy(w.otherThan(first), j)
		w.run(patience)
		g.Expect(w.checker.violations).To(BeEmpty(), "seed %d", seed)
	}
}

// cutRunnersWithRuns cuts those runners off for a while that have runs, and makes them end these late.
func (w *world) cutRunnersWithRuns(d, lateness time.Duration) {
	for _, r := range w.runners {
		if len(r.runs) > 0 {
			r.endLate(w.now+d, lateness)
			r.cutUntil = w.now + d
		}
	}
}
