package soak

import (
	"flag"
	"regexp"
	"testing"

	. "github.com/onsi/gomega"
)

// Runners that restart under their ids, or come back under new ids at their addresses, while tasks are started on them.

var besidePattern = flag.String("soak.beside", "", "run TestSoakRestartedRunnersBesideEachFault with each group of faults whose name matches this expression")

// Guards against tasks that run twice when a start meant for one incarnation of a runner is carried out by the next.
func TestSoakRestartedRunners(t *testing.T) {
	soakOnly(t, restarts(runnersRestarted))
}

// Guards against the same while links are slow, answers are lost or late, and leaders are killed.
func TestSoakRestartedRunnersAndOtherFaults(t *testing.T) {
	soakOnly(t, restartsBeside(allBesideRestarts()))
}

// Guards against tasks that run twice when a runner comes back under a new id at its address.
func TestSoakRenamedRunners(t *testing.T) {
	sc := restarts(runnersRenamed)
	sc.minRestarted = 0
	soakOnly(t, sc)
}

// Guards against the same as TestSoakRestartedRunners beside one kind of other faults.
func TestSoakRestartedRunnersBesideEachFault(t *testing.T) {
	if *besidePattern == "" {
		t.Skip("a long run by hand")
	}
	pattern, err := regexp.Compile(*besidePattern)
	NewWithT(t).Expect(err).NotTo(HaveOccurred())
	for _, group := range besideRestarts {
		if pattern.MatchString(group.name) {
			t.Run(group.name, func(t *testing.T) {
				soakOnly(t, restartsBeside(group.faults))
			})
		}
	}
}

const (
	// restartRunners is the least number of runners where they restart.
	restartRunners = 24
	// minRestarted is the least number of restarts without which a test hasn't tried what it is for.
	minRestarted = 5
	// restartOneIn is the share of runners that restart together.
	restartOneIn = 4
	// minEntryDelayMs and maxEntryDelayMs bound the time from a restart until the runner's entry shows it.
	minEntryDelayMs = 1
	maxEntryDelayMs = 600
)

// restarts returns a scenario of wide jobs on runners of which some restart.
func restarts(kinds ...fault) scenario {
	return scenario{
		faults: kinds, minRunners: restartRunners, minRestarted: minRestarted, wide: wideJobs{shortShare: 0.4},
	}
}

// restartsBeside returns the same scenario where runners restart with each of some other faults.
func restartsBeside(kinds []fault) scenario {
	var both []fault
	for _, f := range kinds {
		both = append(both, fault{f.name, func(w *world) {
			f.inject(w)
			runnersRestarted.inject(w)
		}})
	}
	return restarts(both...)
}

// besideGroup is a number of faults beside which runners restart.
type besideGroup struct {
	name   string
	faults []fault
}

var besideRestarts = []besideGroup{
	{"links delayed", []fault{runnerLinksDelayed}},
	{"starts unanswered", []fault{startsUnanswered}},
	{"late answers", []fault{answersLate}},
	{"leaders killed", []fault{leaderKilled}},
	{"calls carried out late", []fault{ordersLate}},
	{"rejections", []fault{runnersReject, stopsRejected}},
	{"all", allBesideRestarts()},
}

// allBesideRestarts are the faults of all groups, and runners that come back under new ids.
func allBesideRestarts() []fault {
	return []fault{
		noFault, runnersRenamed, runnerLinksDelayed, startsUnanswered, answersLate, leaderKilled, ordersLate,
		runnersReject, stopsRejected,
	}
}

// runnersRestarted lets about one in restartOneIn of the runners restart under their ids. Their entries follow later.
// A runner that hides its incarnation never does that.
var runnersRestarted = fault{"runners restarted", func(w *world) {
	for _, r := range w.runners {
		chosen, entryDelay := w.rng.IntN(restartOneIn) == 0, w.randomDuration(minEntryDelayMs, maxEntryDelayMs)
		if !chosen || r.runner.Entry().IncarnationStart == 0 {
			continue
		}
		r.runner.BeginIncarnation()
		r.proxy.Reset()
		w.runAfter(entryDelay, func() { w.register(r) })
	}
}}

// runnersRenamed replaces about one in restartOneIn of the runners by others with new ids at the same addresses. The
// entries of the old ones are removed later.
var runnersRenamed = fault{"runners renamed", func(w *world) {
	for i := range w.runners {
		if chosen, delay := w.rng.IntN(restartOneIn) == 0, w.randomDuration(minEntryDelayMs, maxEntryDelayMs); chosen {
			old := w.renameRunner(i)
			w.runAfter(delay, func() { w.store.Remove(runnerTable, old) })
		}
	}
}}

// renameRunner crashes a runner and starts another one with a new id behind its proxy. It returns the old id.
func (w *world) renameRunner(i int) string {
	old := w.runners[i]
	old.runner.Close()
	r, err := w.startRunner(old.runner.Info.Zone)
	if err != nil {
		w.checker.reportViolation("the soak test itself failed: %v", err)
		return old.runner.ID
	}
	old.proxy.SetTarget(r.Info.Address)
	w.runners[i] = &proxiedRunner{runner: r, proxy: old.proxy}
	w.register(w.runners[i])
	return old.runner.ID
}

// runnerLinksDelayed delays what about one in restartOneIn of the runners sends and receives.
var runnerLinksDelayed = fault{"runner links delayed", func(w *world) {
	for _, r := range w.runners {
		if w.rng.IntN(restartOneIn) > 0 {
			continue
		}
		r.proxy.Delay(w.randomDuration(5, 120))
		w.runAfter(w.randomDuration(300, 2500), func() { r.proxy.Delay(0) })
	}
}}
