// Package retry limits how many task starts may be retries and spaces them
// out, so that a failing upstream doesn't multiply the load on the others.
package retry

import (
	"math/rand/v2"
	"time"

	"sapphirepoint.example/sapphirepoint/core/task"
)

const (
	// BaseDelay is the delay before the first retry of a task.
	BaseDelay = 2 * time.Millisecond
	// MaxDelay bounds the delay before any retry.
	MaxDelay = 500 * time.Millisecond
	// burst is the number of retries a budget holds at most, and at first.
	burst = 20
	// percent is the unit in which ratios are declared.
	percent = 100
)

// Budget allows a number of retries in proportion to first starts.
type Budget struct {
	tokens float64
	ratio  float64
}

// NewBudget returns a budget of the given retries for each hundred starts.
func NewBudget(retryPercent uint32) *Budget {
	return &Budget{tokens: burst, ratio: float64(retryPercent) / percent}
}

// SetPercent changes the ratio from now on.
func (b *Budget) SetPercent(retryPercent uint32) {
	b.ratio = float64(retryPercent) / percent
}

// Started credits the budget with one first start.
func (b *Budget) Started() {
	b.tokens = min(b.tokens+b.ratio, burst)
}

// Take spends one retry and reports whether there was one.
func (b *Budget) Take() bool {
	if b.tokens < 1 {
		return false
	}
	b.tokens--
	return true
}

// Left is the number of retries the budget holds.
func (b *Budget) Left() float64 {
	return b.tokens
}

// Delay is the jittered exponential back-off before retry number attempt,
// counted from 0. Jitter is over the whole span, so that tasks refused at the
// same moment don't come back at the same moment.
func Delay(rng *rand.Rand, attempt int) task.Time {
	limit := MaxDelay
	if attempt < 8 {
		limit = min(BaseDelay<<attempt, MaxDelay)
	}
	return limit/2 + time.Duration(rng.Int64N(int64(limit)))/2
}
