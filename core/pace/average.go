// Package pace learns how long runs take compared with their estimates: for each runner, for each
// kind of runner and for each queue. Old runs count for less than new ones, and the ratio of its kind
// is the first guess for a runner without runs.
//
// The package reads no clock, and safety doesn't rest on it: a lost or false ratio costs time only.
package pace

import (
	"math"
	"time"

	"sapphirepoint.example/sapphirepoint/core/task"
)

// Time is a reading of the process's monotonic clock.
type Time = task.Time

const (
	// HalfLife is the age at which a run counts for half.
	HalfLife = 60 * time.Second
	// maxRuns bounds the number of runs in the average of a runner, and maxGroupRuns in that of a
	// kind or a queue. Estimates are off by a factor of 1.5 either way, so the mean of 30 runs is
	// within 8% of the true one. The estimates of one job's tasks are off by the same factor, and a
	// job may have many tasks, so kinds and queues need more runs.
	maxRuns, maxGroupRuns = 30, 300
	// MinRatio and MaxRatio bound the ratios, so that a stuck run or a false estimate doesn't
	// outweigh many usual ones.
	MinRatio, MaxRatio = 0.1, 10.0
)

// average is the geometric mean of ratios: estimates are too short as often as too long by the
// same factor, and a single long run changes it little.
type average struct {
	// log is the logarithm of the mean, and runs the number of runs that it rests on, as they count
	// at the time of the latest run.
	log, runs float64
	// at is the time of the latest run.
	at Time
}

// weight is the number of runs that the average still counts for.
func (a *average) weight(now Time) float64 {
	return a.runs * math.Exp2(-max(0, now-a.at).Seconds()/HalfLife.Seconds())
}

// add includes a run in an average over up to limit runs.
func (a *average) add(now Time, log, limit float64) {
	a.runs = min(a.weight(now), limit-1) + 1
	a.log += (log - a.log) / a.runs
	a.at = now
}

// join includes the runs of another average.
func (a *average) join(o *average) {
	if o.runs == 0 {
		return
	}
	a.log += (o.log - a.log) * o.runs / (a.runs + o.runs)
	a.runs = min(a.runs+o.runs, maxGroupRuns)
	a.at = max(a.at, o.at)
}

// blend returns the mean of the average and of a guess that counts for some runs.
func (a *average) blend(now Time, guess, guessRuns float64) float64 {
	w := a.weight(now)
	return (w*a.log + guessRuns*guess) / (w + guessRuns)
}

// logOf is the logarithm of a ratio within its bounds.
func logOf(ratio float64) float64 { return math.Log(min(max(ratio, MinRatio), MaxRatio)) }
