package fleet_test

import (
	"math/rand/v2"
	"slices"
	"strings"
	"testing"
	"time"

	"sapphirepoint.example/sapphirepoint/core/workload"
)

// Runners that don't list all runs in progress: a stop takes a while, and a run that is being stopped need not be
// listed meanwhile, nor a run that was accepted just now.

// maxListDelay is the longest time until a runner lists a run that it has accepted.
const maxListDelay = 20 * time.Millisecond

// gaps are what is missing on a runner's list of runs in progress.
type gaps struct {
	// stops: a run isn't listed while it is being stopped.
	stops bool
	// maxDelay is the longest time until a run that has begun is listed.
	maxDelay time.Duration
	rng      *rand.Rand
}

// delay draws how long a run that begins isn't listed.
func (g gaps) delay() time.Duration {
	if g.maxDelay <= 0 {
		return 0
	}
	return time.Duration(g.rng.Int64N(int64(g.maxDelay)))
}

// drawGaps has about half of the runners, of those that come later too, leave runs that are being stopped off
// their lists, and about half list runs late. It draws from a sequence of its own, so that what else a seed plays
// doesn't depend on it.
//
// Unless runners restart under their ids, half of them don't report their incarnations.
func (w *world) drawGaps(faults []string) {
	w.gaps = rand.New(rand.NewPCG(w.seed, 2))
	w.restarts = slices.Contains(faults, "runner restart")
	for _, r := range w.runners {
		w.drawGapsOf(r)
	}
}

// drawGapsOf draws what is missing on the lists of one runner.
func (w *world) drawGapsOf(r *fakeRunner) {
	if w.gaps == nil {
		return
	}
	r.lists = gaps{stops: w.gaps.IntN(2) == 0, rng: w.gaps}
	if w.gaps.IntN(2) == 0 {
		r.lists.maxDelay = maxListDelay
	}
	r.queue.length = 1 + w.gaps.IntN(maxQueueLength)
	r.hidesIncarnation = w.gaps.IntN(2) == 0 && !w.restarts
}

// listedRuns are the runs that the runner lists as running.
func (r *fakeRunner) listedRuns() []workload.RunKey {
	return slices.DeleteFunc(r.w.sortedRuns(r), func(k workload.RunKey) bool {
		u := r.runs[k]
		return u.stopped && r.lists.stops || r.w.now < u.listedFrom
	})
}

// playGaps plays runs of jobs that hang, are slow and are stopped, on runners whose lists have gaps.
func playGaps(t *testing.T, seed uint64, stops bool, maxDelay time.Duration, names ...string) {
	t.Helper()
	w := deployment(seed, 1+int(seed%2))
	rng := rand.New(rand.NewPCG(seed, 2))
	for _, r := range w.runners {
		r.lists = gaps{stops: stops, maxDelay: maxDelay, rng: rng}
	}
	_, played := playFaults(w, names)
	if len(w.checker.violations) > 0 {
		t.Errorf("seed %d: %v\n%s\n%v", seed, strings.Join(w.checker.violations, "\n"), w.describeDoubles(), played)
	}
}

// Guards against a second run beside one that is being stopped and that its runner doesn't list any more.
func TestStoppedRunsThatArentListed(t *testing.T) {
	t.Parallel()
	for i := range singleRunSeeds() {
		playGaps(t, *firstSeed+uint64(i), true, 0, "hang", "hang", "mute runners", "slow")
	}
}

// Guards against a second run beside one that has begun and that its runner doesn't list yet.
func TestRunsThatAreListedLate(t *testing.T) {
	t.Parallel()
	for i := range singleRunSeeds() {
		playGaps(t, *firstSeed+uint64(i), false, maxListDelay, append(rejectionFaults(), "late orders")...)
	}
}
