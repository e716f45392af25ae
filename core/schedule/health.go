package schedule

import "time"

const (
	// initialClosure and maxClosure bound how long a failing runner gets no tasks: long enough
	// that it wastes few tasks, short enough that a recovered runner is used again soon.
	initialClosure = time.Second
	maxClosure     = 8 * time.Second
	// strikesToClose consecutive failures of different tasks close a runner. A single failure
	// may be the task's own fault.
	strikesToClose = 2
	// initialPaceRuns and maxPaceRuns are the number of runs over which a runner's pace is
	// averaged, at first and in the long run. Estimates are off by a factor of 1.5 either way:
	// the mean of 30 runs is within 7% of the true pace, and the pace differs by a quarter
	// between runners.
	initialPaceRuns = 4
	maxPaceRuns     = 30
	// recentPaceRuns is the number of runs in the recent average, and slowdownFactor the ratio
	// to the usual pace from which the recent one is used.
	recentPaceRuns = 4
	slowdownFactor = 2
	// maxPaceSample bounds one sample, so that a stuck run doesn't outweigh ten normal ones.
	maxPaceSample = 8.0
	// slowRunFactor and slowRunSlack define a run that counts as a failure of its runner: one
	// run in three hundred takes three times its estimate.
	slowRunFactor = 3
	slowRunSlack  = 50 * time.Millisecond
)

// health tracks the results of a runner's tasks. There are no separate health probes.
type health struct {
	// strikes counts failures, and closures how often the runner was closed since its last
	// success. A closed runner gets no tasks until closedUntil.
	strikes     int
	closures    int
	closedUntil Time
	// usual is the averaged ratio of run time to estimate, initially 1; recent is the same over
	// a few runs.
	usual, recent float64
	runs          int
}

func newHealth() health { return health{usual: 1, recent: 1, runs: initialPaceRuns} }

// pace returns the factor by which tasks take longer on the runner than estimated. A slowdown of
// the runner shows after a few runs; four random runs are rarely twice as slow as usual.
func (h *health) pace() float64 {
	if h.recent > slowdownFactor*h.usual {
		return h.recent
	}
	return h.usual
}

func (h *health) closed(now Time) bool { return now < h.closedUntil }

// suspect reports whether the last run failed, or the runner was reopened and has not yet
// completed a task.
func (h *health) suspect() bool { return h.strikes > 0 }

// succeeded records a successful run, which counts as a failure if it took far too long.
func (h *health) succeeded(now Time, elapsed, estimate time.Duration) {
	if estimate > 0 {
		h.runs = min(h.runs+1, maxPaceRuns)
		sample := min(float64(elapsed)/float64(estimate), maxPaceSample)
		h.usual += (sample - h.usual) / float64(h.runs)
		h.recent += (sample - h.recent) / recentPaceRuns
	}
	if elapsed > slowRunFactor*estimate+slowRunSlack {
		h.failed(now, 1)
		return
	}
	h.strikes = 0
	h.closures = 0
}

// failed counts strikes and closes the runner at the limit. After it reopens, the first failure
// closes it for twice as long.
func (h *health) failed(now Time, strikes int) {
	h.strikes += strikes
	if h.strikes < strikesToClose {
		return
	}
	h.closedUntil = now + min(initialClosure<<min(h.closures, 8), maxClosure)
	h.closures++
	h.strikes = strikesToClose - 1
}

// undoStrike removes a strike and reopens the runner: the task has failed elsewhere too, so its
// failure shows nothing about this runner.
func (h *health) undoStrike() {
	h.strikes = max(0, h.strikes-1)
	h.closedUntil = 0
}
