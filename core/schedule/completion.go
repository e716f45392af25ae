package schedule

import (
	"math"
	"time"
)

const (
	// estimateSpread is the standard deviation of the logarithm of run time over estimate. On
	// ten thousand tasks without overload it is 0.48 over all runners, 0.43 on runners of one
	// kind.
	estimateSpread = 0.45
	// minPace keeps a runner with few completed runs from appearing infinitely fast.
	minPace = 0.1
)

// completionProbability is the probability that a task with the given estimate completes within
// a time on a runner of the given pace.
func completionProbability(estimate time.Duration, pace float64, within time.Duration) float64 {
	if within <= 0 {
		return 0
	}
	if estimate <= 0 {
		return 1
	}
	z := math.Log(float64(within)/(float64(estimate)*max(pace, minPace))) / estimateSpread
	return 0.5 * math.Erfc(-z/math.Sqrt2)
}
