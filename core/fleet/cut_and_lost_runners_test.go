package fleet_test

import (
	"strings"
	"testing"
	"time"
)

// Runners that accept another scheduler's higher token, are cut off just after that, and end their runs late. The other
// scheduler isn't heard of again. The tasks take longer than Resend, so that a run still lives when its task would be started
// again if the runs of such runners counted for Resend only.

const (
	// takenTerms is by how many terms the token of the other scheduler is above that of the runner.
	takenTerms = 8 << 20
	// beforeTaken is how long the tasks are at work before their runners are taken, and minTaken and maxTaken bound how long
	// these go on then, in milliseconds: the scheduler is refused by then, or isn't yet.
	beforeTaken        = 100 * time.Millisecond
	minTaken, maxTaken = 20, 400
	// longWork is how long the tasks take.
	longWork = 3 * time.Second
	// lostOneIn is the part of the runners that are lost so: one in so many.
	lostOneIn = 4
)

// someRunners draws runners that are up and in reach.
func (w *world) someRunners() map[*fakeRunner]bool {
	chosen := make(map[*fakeRunner]bool)
	for _, r := range w.runners {
		if !r.down && !r.cut() && w.rng.IntN(lostOneIn) == 0 {
			chosen[r] = true
		}
	}
	return chosen
}

// submitLong submits stored jobs of long tasks in each domain. Callers of other jobs don't wait for so long.
func (w *world) submitLong() {
	for _, domain := range []string{"a", "b", "c"} {
		j := w.newJob(domain, 4, longWork, 2*time.Second)
		j.work.Stored = true
		w.sendJob(j)
	}
}

func init() {
	faults["runners taken and cut off"] = func(w *world) {
		w.submitLong()
		w.after(beforeTaken, func() {
			chosen := w.someRunners()
			for _, r := range w.runners {
				if chosen[r] {
					r.token += takenTerms
				}
			}
			w.after(w.randomDuration(minTaken, maxTaken+1), func() { w.cutRunners(func(r *fakeRunner) bool { return chosen[r] }) })
		})
	}
}

// playStoredRuns plays seeds with stored jobs, also after a failure. Among the faults are none that delay jobs for as long as
// the run goes on.
func playStoredRuns(t *testing.T, names ...string) {
	red, asked := 0, 0
	for i := range 4 * faultyRunSeeds() {
		seed := *firstSeed + uint64(i)
		w, played := storedRun(seed, append([]string{"kill", "kill leader", "part leader", "store", "crash", "mute runners"}, names...))
		asked += len(w.jobs)
		if len(w.checker.violations) > 0 {
			red++
			t.Errorf("seed %d: %v\n%s\n%v", seed, strings.Join(w.checker.violations, "\n"), w.describeDoubles(), played)
		}
	}
	t.Logf("%d of %d seeds failed, %d jobs", red, 4*faultyRunSeeds(), asked)
}

// Guards against tasks that run twice since the run of a runner that another scheduler has taken, and that is cut off then,
// counts as over.
func TestRandomTakenRunnersThatEndLate(t *testing.T) {
	t.Parallel()
	playStoredRuns(t, repeated("runners taken and cut off", 8)...)
}

// Guards against the same where runners are cut off while leaders change and entries leave the list.
func TestRandomCutRunnersAndChanges(t *testing.T) {
	t.Parallel()
	playFaultyRuns(t, append(runnerCuts(), changeFaults()...)...)
}
