// Package retry limits how many task starts may be retries and spaces them
// out, so that a failing upstream doesn't multiply the load on the others.
package retry

import (
	"math/rand/v2"
	"time"

	"sapphirepoint.example/sapphirepoint/core/task"
	pb "sapphirepoint.example/sapphirepoint/gen/sapphirepointv1"
)

const (
	// BaseDelay is the delay before the first retry of a task.
	BaseDelay = 2 * time.Millisecond
	// MaxDelay bounds the back-off before any retry; a spent budget may make
	// the wait longer.
	MaxDelay = 500 * time.Millisecond
	// Burst is the number of retries an institution's budget holds at most,
	// and at first; Rate is how many a second it gains without any start, so
	// that work goes on after an outage.
	Burst = 20
	Rate  = 10
	// upstreamBurst and upstreamRate are the same for one upstream.
	upstreamBurst = 8
	upstreamRate  = 1
	// percent is the unit in which ratios are declared.
	percent = 100
)

// Budget allows a number of retries in proportion to first starts, and a few a
// second besides.
type Budget struct {
	tokens     float64
	ratio      float64
	maxTokens  float64
	rate       float64
	refilledAt task.Time
}

// NewBudget returns a budget of the given retries for each hundred starts.
func NewBudget(retryPercent uint32) *Budget {
	return &Budget{tokens: Burst, ratio: float64(retryPercent) / percent, maxTokens: Burst, rate: Rate}
}

func newUpstreamBudget(ratio float64) *Budget {
	return &Budget{tokens: upstreamBurst, ratio: ratio, maxTokens: upstreamBurst, rate: upstreamRate}
}

// SetPercent changes the ratio from now on.
func (b *Budget) SetPercent(retryPercent uint32) {
	b.ratio = float64(retryPercent) / percent
}

// Started credits the budget with one first start.
func (b *Budget) Started() {
	b.tokens = min(b.tokens+b.ratio, b.maxTokens)
}

func (b *Budget) refill(now task.Time) {
	if now > b.refilledAt {
		b.tokens = min(b.tokens+b.rate*(now-b.refilledAt).Seconds(), b.maxTokens)
		b.refilledAt = now
	}
}

// Reserve takes one retry and returns how long it has to wait for it. Retries
// beyond the budget wait in line for what it gains, so that a task whose
// upstreams all refuse doesn't spin.
func (b *Budget) Reserve(now task.Time) time.Duration {
	b.refill(now)
	b.tokens--
	if b.tokens >= 0 {
		return 0
	}
	return time.Duration(-b.tokens / b.rate * float64(time.Second))
}

// Cancel gives back a retry that was reserved and won't be made.
func (b *Budget) Cancel() {
	b.tokens++
}

// Take spends one retry if there is one.
func (b *Budget) Take(now task.Time) bool {
	b.refill(now)
	if b.tokens < 1 {
		return false
	}
	b.tokens--
	return true
}

// Remaining is the number of retries the budget holds; below 0, so many wait.
func (b *Budget) Remaining() float64 {
	return b.tokens
}

// Budgets is the budgets of all institutions and upstreams.
type Budgets struct {
	rng          *rand.Rand
	institutions map[string]*Budget
	upstreams    map[string]*Budget
}

// NewBudgets returns no budgets; the random source jitters delays.
func NewBudgets(rng *rand.Rand) *Budgets {
	return &Budgets{
		rng:          rng,
		institutions: make(map[string]*Budget),
		upstreams:    make(map[string]*Budget),
	}
}

// ApplySettings takes the declared ratios.
func (b *Budgets) ApplySettings(s *pb.Settings) {
	for _, inst := range s.GetInstitutions() {
		b.institution(inst.GetName()).SetPercent(inst.GetRetryPercent())
	}
}

// SetMembers forgets upstreams that aren't listed any more.
func (b *Budgets) SetMembers(list []task.Upstream) {
	listed := make(map[string]bool, len(list))
	for _, u := range list {
		listed[u.Name] = true
	}
	for name := range b.upstreams {
		if !listed[name] {
			delete(b.upstreams, name)
		}
	}
}

func (b *Budgets) institution(name string) *Budget {
	budget := b.institutions[name]
	if budget == nil {
		budget = NewBudget(0)
		b.institutions[name] = budget
	}
	return budget
}

func (b *Budgets) upstream(name string, ratio float64) *Budget {
	budget := b.upstreams[name]
	if budget == nil {
		budget = newUpstreamBudget(ratio)
		b.upstreams[name] = budget
	}
	return budget
}

// Started credits the budgets with the first start of a task.
func (b *Budgets) Started(institution, upstream string) {
	budget := b.institution(institution)
	budget.Started()
	b.upstream(upstream, budget.ratio).Started()
}

// Retry is the answer to a wish to start a task again.
type Retry struct {
	// Delay is how long to wait. If it can't be made in time, OK is false.
	Delay time.Duration
	OK    bool
	// UpstreamExhausted says that the upstream has caused more retries than its
	// budget holds, and should be left alone.
	UpstreamExhausted bool
}

// Next decides on the retry of a task that an upstream hasn't started. Attempt
// is the number of its starts that came to nothing, and deadline the latest
// time at which it is worth starting.
func (b *Budgets) Next(now, deadline task.Time, institution, upstream string, attempt int) Retry {
	budget := b.institution(institution)
	r := Retry{UpstreamExhausted: !b.upstream(upstream, budget.ratio).Take(now)}
	r.Delay = budget.Reserve(now) + Delay(b.rng, attempt)
	r.OK = now+r.Delay < deadline
	if !r.OK {
		budget.Cancel()
	}
	return r
}

// Remaining is what an institution's budget holds.
func (b *Budgets) Remaining(institution string) float64 {
	return b.institution(institution).Remaining()
}

// Delay is the jittered exponential back-off before retry number attempt,
// counted from 0. Jitter is over half of the span, so that tasks refused at
// the same moment don't come back at the same moment.
func Delay(rng *rand.Rand, attempt int) task.Time {
	limit := MaxDelay
	if attempt < 8 {
		limit = min(BaseDelay<<attempt, MaxDelay)
	}
	return limit/2 + time.Duration(rng.Int64N(int64(limit)))/2
}
