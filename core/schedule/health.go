package schedule

import (
	"math"
	"time"

	"sapphirepoint.example/sapphirepoint/core/pace"
	"sapphirepoint.example/sapphirepoint/core/workload"
)

const (
	// initialClosure and maxClosure bound how long a failing runner gets no tasks: long enough
	// that it wastes few tasks, short enough that a recovered runner is used again soon.
	initialClosure = time.Second
	maxClosure     = 8 * time.Second
	// strikesToClose consecutive failures of different tasks close a runner. A single failure
	// may be the task's own fault.
	strikesToClose = 2
	// recentJobs is the number of jobs over which the recent ratio is averaged. A runner's pace has
	// turned if its recent ratio is more than turnFactor times the usual one, or less than the usual
	// one divided by it. The pace has recovered if the two differ by less than recoverFactor.
	recentJobs    = 3
	turnFactor    = 2.0
	recoverFactor = 1.5
	// turnedRuns is the number of runs after which a turned pace becomes the usual one.
	turnedRuns = 12
	// turnDecayInterval is the time without an ended run of a turned runner after which its recent
	// ratio is replaced by the geometric mean of that and the usual one. After a few such intervals
	// the runner gets tasks again, whose runs show whether it has recovered.
	turnDecayInterval = 500 * time.Millisecond
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
	// usual is the usual ratio of run time to expected run time, and recent that of the last
	// few jobs.
	usual, recent float64
	// turned: the pace has turned, and recent is used in place of usual. turnedCount is the number of
	// runs that have ended since.
	turned      bool
	turnedCount int
	// recentAt is when recent last changed, and recentJob the job of its last run.
	recentAt  Time
	recentJob workload.JobID
}

func newHealth() health { return health{usual: 1, recent: 1} }

// pace returns the factor by which runs take longer on the runner than expected.
func (h *health) pace() float64 {
	if h.turned {
		return max(h.recent, minPace)
	}
	return max(h.usual, minPace)
}

// setUsual sets the usual ratio. The recent one begins with it.
func (h *health) setUsual(usual float64) {
	if h.recentJob == "" {
		h.recent = usual
	}
	h.usual = usual
}

// noteRatio records the ratio of run time to expected run time of a run, and reports whether by that
// the runner's pace has turned or recovered. The tasks of one job are slow together, so of successive
// runs for one job only the first counts.
func (h *health) noteRatio(now Time, job workload.JobID, ratio float64) bool {
	if h.turned {
		h.turnedCount++
	}
	if job == h.recentJob {
		return false
	}
	h.recentJob, h.recentAt = job, now
	ratio = min(max(ratio, pace.MinRatio), pace.MaxRatio)
	h.recent *= math.Pow(ratio/h.recent, 1.0/recentJobs)
	return h.updateTurned()
}

// updateTurned sets whether the runner's pace has turned, and reports whether that has changed.
func (h *health) updateTurned() bool {
	before := h.turned
	change := h.recent / h.usual
	switch {
	case change > turnFactor || change < 1/turnFactor:
		h.turned = true
	case change < recoverFactor && change > 1/recoverFactor:
		h.turned = false
	}
	if !h.turned {
		h.turnedCount = 0
	}
	return h.turned != before
}

// usualApplies reports whether the runner's runs show its usual ratio: its pace hasn't turned, or
// more than turnedRuns runs ago.
func (h *health) usualApplies() bool { return !h.turned || h.turnedCount > turnedRuns }

// decayTurn moves the recent ratio of a turned runner towards the usual one if none of its runs has
// ended for turnDecayInterval. It reports whether the runner's pace has recovered by that.
func (h *health) decayTurn(now Time) bool {
	if !h.turned || now-h.recentAt < turnDecayInterval {
		return false
	}
	h.recentAt = now
	h.recent = math.Sqrt(h.recent * h.usual)
	return h.updateTurned()
}

// closed reports whether the runner gets no tasks at present.
func (h *health) closed(now Time) bool { return now < h.closedUntil }

// suspect reports whether the last run failed, or the runner was reopened and has not yet
// completed a task.
func (h *health) suspect() bool { return h.strikes > 0 }

// succeeded records a successful run, which counts as a failure if it took far longer than it
// usually does there.
func (h *health) succeeded(now Time, elapsed, expected time.Duration) {
	if elapsed > time.Duration(slowRunFactor*float64(expected)*max(1, h.usual))+slowRunSlack {
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
