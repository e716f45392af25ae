package schedule

import "time"

const (
	// initialClosure and closedMost are how long a runner that fails what it is
	// given gets nothing: long enough that few tasks are wasted on it, short
	// enough that a sound one is back soon.
	initialClosure = time.Second
	maxClosure     = 8 * time.Second
	// strikesToClose failures in a row, of different tasks, close a runner: one
	// may be the task's own fault.
	strikesToClose = 2
	// initialPaceRuns and paceRuns are the runs over which a runner's pace is
	// averaged, at first and in the long run. Estimates are off by a factor of
	// 1.5 either way: the mean of 30 is within 7% of the true pace, and a pace
	// differs by a quarter between runners.
	initialPaceRuns = 4
	maxPaceRuns     = 30
	// recentPaceRuns is the number of runs in the recent average, and turnedSlow
	// how far that must be above the usual one to count.
	recentPaceRuns = 4
	slowdownFactor = 2
	// maxPaceSample bounds one sample; a stuck run must not hide ten sound ones.
	maxPaceSample = 8.0
	// slowRunFactor and slowSlack say when a run counts against its runner: one
	// in three hundred takes three times its estimate.
	slowRunFactor = 3
	slowRunSlack  = 50 * time.Millisecond
)

// health is how a runner's own work has gone. Tasks are the probes.
type health struct {
	strikes     int
	closures    int
	closedUntil Time
	// usual is run time over estimate, averaged; 1 at first. recent is the same
	// over a few runs.
	usual, recent float64
	runs          int
}

func newHealth() health { return health{usual: 1, recent: 1, runs: initialPaceRuns} }

// pace is how many times its estimate a task takes there. A runner that has
// turned slow shows in a few runs; four at random are seldom twice as slow as
// usual.
func (h *health) pace() float64 {
	if h.recent > slowdownFactor*h.usual {
		return h.recent
	}
	return h.usual
}

func (h *health) closed(now Time) bool { return now < h.closedUntil }

// suspect reports whether the last run failed, or the runner has just been
// opened again.
func (h *health) suspect() bool { return h.strikes > 0 }

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

// failed counts strikes and closes the runner at the limit. After it opens
// again the first failure closes it for twice as long.
func (h *health) failed(now Time, strikes int) {
	h.strikes += strikes
	if h.strikes < strikesToClose {
		return
	}
	h.closedUntil = now + min(initialClosure<<min(h.closures, 8), maxClosure)
	h.closures++
	h.strikes = strikesToClose - 1
}

// undoStrike takes a strike back: the task has failed elsewhere too, so its
// failure says nothing about this runner.
func (h *health) undoStrike() {
	h.strikes = max(0, h.strikes-1)
	h.closedUntil = 0
}
