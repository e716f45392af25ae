// Package retry limits the fraction of task starts that are retries and delays them, so that a
// failing upstream doesn't multiply the load on the others.
package retry

import (
	"math/rand/v2"
	"time"

	"sapphirepoint.example/sapphirepoint/core/task"
	pb "sapphirepoint.example/sapphirepoint/gen/sapphirepointv1"
)

const (
	// BaseDelay is the upper limit of the delay before the first retry of a task.
	BaseDelay = 2 * time.Millisecond
	// MaxDelay limits the backoff before any retry. A retry beyond the budget may wait longer.
	MaxDelay = 500 * time.Millisecond
	// Burst is the largest and the initial number of retries in an institution's budget. Rate is
	// the number that it gains per second without any task start, so that tasks are retried
	// after an outage.
	Burst = 20
	Rate  = 10
	// upstreamBurst and upstreamRate are the corresponding values of an upstream's budget.
	upstreamBurst = 8
	upstreamRate  = 1
	// percent converts declared percentages to ratios.
	percent = 100
)

// Budget is a token bucket of retries. It gains a fraction of a retry with each first start, and
// some retries per second.
type Budget struct {
	tokens     float64
	ratio      float64
	maxTokens  float64
	rate       float64
	refilledAt task.Time
}

// NewBudget returns an institution's budget of retryPercent retries per hundred first starts.
func NewBudget(retryPercent uint32) *Budget {
	return &Budget{tokens: Burst, ratio: float64(retryPercent) / percent, maxTokens: Burst, rate: Rate}
}

func newUpstreamBudget(ratio float64) *Budget {
	return &Budget{tokens: upstreamBurst, ratio: ratio, maxTokens: upstreamBurst, rate: upstreamRate}
}

// SetPercent changes the ratio of retries to first starts.
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

// Reserve takes one retry and returns the time until the budget covers it. Retries beyond the budget
// wait for what it gains, one after the other, so that a task refused by all its upstreams isn't
// retried in a tight loop.
func (b *Budget) Reserve(now task.Time) time.Duration {
	b.refill(now)
	b.tokens--
	if b.tokens >= 0 {
		return 0
	}
	return time.Duration(-b.tokens / b.rate * float64(time.Second))
}

// Cancel returns a reserved retry that won't be made.
func (b *Budget) Cancel() {
	b.tokens++
}

// Take takes one retry if the budget has one.
func (b *Budget) Take(now task.Time) bool {
	b.refill(now)
	if b.tokens < 1 {
		return false
	}
	b.tokens--
	return true
}

// Remaining returns the number of retries in the budget. A negative value is the number of reserved
// retries that it doesn't cover yet.
func (b *Budget) Remaining() float64 {
	return b.tokens
}

// Budgets holds the budgets of all institutions and upstreams.
type Budgets struct {
	rng          *rand.Rand
	institutions map[string]*Budget
	upstreams    map[string]*Budget
}

// NewBudgets returns an empty set of budgets. rng supplies the jitter of delays.
func NewBudgets(rng *rand.Rand) *Budgets {
	return &Budgets{
		rng:          rng,
		institutions: make(map[string]*Budget),
		upstreams:    make(map[string]*Budget),
	}
}

// ApplySettings applies the declared retry percentages.
func (b *Budgets) ApplySettings(s *pb.Settings) {
	for _, inst := range s.GetInstitutions() {
		b.institution(inst.GetName()).SetPercent(inst.GetRetryPercent())
	}
}

// SetMembers drops the budgets of upstreams that aren't in the list.
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

// Retry is the decision on a retry.
type Retry struct {
	// Delay is the time to wait before the retry. OK is false if the retry would be too late.
	Delay time.Duration
	OK    bool
	// UpstreamExhausted: the upstream has caused more retries than its budget allows, and should
	// get no tasks for a while.
	UpstreamExhausted bool
}

// Next decides on the retry of a task whose start an upstream didn't carry out. attempt is the
// number of its starts that failed, deadline the time before which the retry has to be made.
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

// Remaining returns the number of retries in an institution's budget, see Budget.Remaining.
func (b *Budgets) Remaining(institution string) float64 {
	return b.institution(institution).Remaining()
}

// Delay returns the exponential backoff with jitter before retry number attempt, counted from 0. The
// jitter covers half of the delay, so that tasks refused at the same time aren't retried at the same
// time.
func Delay(rng *rand.Rand, attempt int) task.Time {
	limit := MaxDelay
	if attempt < 8 {
		limit = min(BaseDelay<<attempt, MaxDelay)
	}
	return limit/2 + time.Duration(rng.Int64N(int64(limit)))/2
}
