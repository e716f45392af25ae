// Package pace learns how long runs take compared with their estimates: for each runner, for each
// kind of runner and for each queue. What is old counts for less, and what is known of a kind
// serves as the first guess for a runner without runs.
//
// It reads no clock, and nothing of it is needed for safety: a lost or false ratio costs time only.
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
	// kind or a queue. Estimates are off by a factor of 1.5 either way: the mean of 30 runs is
	// within 8% of the true one. Tasks of one job are off together, and a queue's jobs may have
	// many.
	maxRuns, maxGroupRuns = 30, 300
	// MinRatio and MaxRatio bound the ratios, so that a stuck run or a false estimate doesn't
	// outweigh many usual ones.
	MinRatio, MaxRatio = 0.1, 10.0
)

// average is the geometric mean of ratios: estimates are too short as often as too long by the
// same factor, and single long runs hardly change it.
type average struct {
	// log is the logarithm of the mean, over as many runs, at the time of the latest.
	log, runs float64
	at        Time
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
