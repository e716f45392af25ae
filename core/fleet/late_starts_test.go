package fleet_test

import (
	"strings"
	"testing"
	"time"
)

func init() {
	faults["late starts accepted"] = func(w *world) { w.lenientStarts = true }
	// They arrive after the leases that they ask for.
	faults["orders outlive leases"] = func(w *world) {
		w.slowDown(slowness{share: w.randomShare(0.1, 0.4), least: 450, most: maxTail})
	}
}

// lateStartFaults begin with those that bring late starts about, beside orders to stop that are rejected.
func lateStartFaults() []string {
	return []string{
		"late starts accepted", "late starts accepted", "late starts accepted", "late starts accepted", "late starts accepted",
		"late orders", "late orders", "orders outlive leases", "orders outlive leases", "orders outlive leases",
		"runners reject all orders", "runners reject all orders",
	}
}

// Guards against tasks that run twice when a start is carried out after the lease that it asks for, since the
// runner has a later lease by then.
func TestRandomLateStarts(t *testing.T) {
	t.Parallel()
	playFaultyRuns(t, lateStartFaults()...)
}

// Guards against the same, with runs that are still at work when the late start is carried out: runners
// reject most stops, and some orders take longer than a lease.
func TestStartsUnderALaterLease(t *testing.T) {
	t.Parallel()
	red, completed, asked := 0, 0, 0
	for i := range singleRunSeeds() {
		w := deployment(*firstSeed+uint64(i), 1)
		w.lenientStarts = true
		w.run(2 * time.Second)
		for _, r := range w.runners {
			r.slow = slowness{share: 0.3, least: 400, most: 1600}
			r.rejects.stops = 0.95
		}
		for w.now < 9*time.Second {
			w.submit([]string{"a", "b", "c"}[w.rng.IntN(3)], 2, w.randomDuration(700, 1500), 4000*time.Millisecond)
			w.run(w.randomDuration(10, 80))
		}
		completed += w.completed()
		asked += len(w.jobs)
		if len(w.checker.violations) > 0 {
			red++
			t.Errorf("seed %d: %v\n%s", *firstSeed+uint64(i), strings.Join(w.checker.violations, "\n"), w.describeDoubles())
		}
	}
	t.Logf("%d of %d seeds failed, %d of %d jobs complete", red, singleRunSeeds(), completed, asked)
}
