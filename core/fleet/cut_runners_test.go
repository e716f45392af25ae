package fleet_test

import (
	"flag"
	"fmt"
	"testing"
	"time"
)

// Runners beyond a cut: orders to them time out, as do new connections, while the runners go on and end their runs
// later than their leases. In the faults of other files a cut waits until no runner ends its runs late, and the other way
// round (cutOff, makeIdle); here they come together.

const (
	// minCut and maxCut bound how long runners are cut off, and MaxLateEnd how late they end their runs then, in
	// milliseconds.
	minCut, maxCut = 700, 5500
	MaxLateEnd     = 1500
)

var fixedLateness = flag.Int("fleet.lateness", -1, "how late runners beyond a cut end their runs, in milliseconds; drawn at random if negative")

func (r *fakeRunner) cut() bool { return r.w.now < r.cutUntil }

// reaches reports whether a VM and a runner can communicate.
func (w *world) reaches(n *fakeNode, r *fakeRunner) bool {
	return !r.cut() && w.domainsConnected(n.domain, r.info.Domain)
}

// drawLateness draws how late runners end their runs.
func (w *world) drawLateness() time.Duration {
	drawn := w.randomDuration(0, MaxLateEnd+1)
	if *fixedLateness >= 0 {
		return time.Duration(*fixedLateness) * time.Millisecond
	}
	return drawn
}

// endLate makes a runner end its runs late until a time. It has no effect if the runner does so for longer already.
func (r *fakeRunner) endLate(until, lateness time.Duration) {
	if r.down || until <= r.lateUntil {
		return
	}
	r.lateUntil, r.killDelay = until, lateness
	for _, k := range r.w.sortedRuns(r) {
		r.w.noteRun(k, string(r.info.ID), fmt.Sprintf("cut off until %v, lease left %d, ends %v late", until, r.leaseEnd-r.clock(), lateness))
	}
	r.w.after(until-r.w.now, func() {
		if r.lateUntil == until {
			r.killDelay = 0
		}
	})
}

// cutRunners cuts some runners off from everything for a while.
func (w *world) cutRunners(chosen func(r *fakeRunner) bool) {
	until, lateness := w.now+w.randomDuration(minCut, maxCut+1), w.drawLateness()
	for _, r := range w.runners {
		if !r.down && chosen(r) {
			r.endLate(until, lateness)
			r.cutUntil = max(r.cutUntil, until)
		}
	}
}

func (w *world) randomDomain() string { return []string{"a", "b", "c"}[w.rng.IntN(3)] }

func init() {
	faults["runner cut off"] = func(w *world) {
		one := randomRunner(w)
		w.cutRunners(func(r *fakeRunner) bool { return r == one })
	}
	faults["runners of a domain cut off"] = func(w *world) {
		domain := w.randomDomain()
		w.cutRunners(func(r *fakeRunner) bool { return r.info.Domain == domain })
	}
	faults["half the runners cut off"] = func(w *world) {
		w.cutRunners(func(*fakeRunner) bool { return w.rng.IntN(2) == 0 })
	}
	// The VMs of the domain are beyond the cut too, and reach its runners.
	faults["domain of late runners cut off"] = func(w *world) {
		domain, d, lateness := w.randomDomain(), w.randomDuration(minCut, maxCut+1), w.drawLateness()
		for _, r := range w.runners {
			if r.info.Domain == domain {
				r.endLate(w.now+d, lateness)
			}
		}
		w.isolated[domain] = true
		w.after(d, func() { delete(w.isolated, domain) })
	}
}

// runnerCuts are the faults above, those of single runners more often.
func runnerCuts() []string {
	list := append(repeated("runner cut off", 3), repeated("runners of a domain cut off", 2)...)
	return append(append(list, repeated("half the runners cut off", 2)...), repeated("domain of late runners cut off", 2)...)
}

// Guards against tasks that run twice since a runner beyond a cut, which nothing reaches, ends its runs later than its lease.
func TestRandomCutRunnersThatEndLate(t *testing.T) {
	t.Parallel()
	// These seeds have shown tasks with two runs.
	playFaultySeedsOf(t, singleRunSeeds(), runnerCuts())
}
