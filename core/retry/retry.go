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
	// BaseDelay is the upper limit of the backoff before the first retry of a task.
	BaseDelay = 2 * time.Millisecond
	// MaxDelay limits the backoff before any retry. A retry that the budget doesn't cover yet may be
	// delayed for longer.
	MaxDelay = 500 * time.Millisecond
	// Burst is the maximum number of retries in an institution's budget, and the initial one.
	Burst = 20
	// Rate is the number of retries that an institution's budget gains per second even if no task
	// starts, so that tasks are retried after an outage.
	Rate = 10
	// upstreamBurst and upstreamRate are the values of an upstream's budget that correspond to Burst
	// and Rate.
	upstreamBurst = 8
	upstreamRate  = 1
	// percent converts declared percentages to ratios.
	percent = 100
)

// Budget is a token bucket of retries. It gains a fraction of a retry with each first start of a
// task, and some retries per second.
type Budget struct {
	// tokens is the number of retries in the budget, see Remaining; maxTokens is its maximum.
	tokens float64
	// ratio is the number of tokens gained with each first start, rate that gained per second.
	ratio      float64
	maxTokens  float64
	rate       float64
	refilledAt task.Time
}

// NewBudget returns an institution's budget of retryPercent retries per hundred first starts.
func NewBudget(retryPercent uint32) *Budget {
	return &Budget{tokens: Burst, ratio: float64(retryPercent) / percent, maxTokens: Burst, rate: Rate}
}

// newUpstreamBudget returns an upstream's budget of ratio retries for each first start.
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

// refill adds the tokens gained with time since the last refill.
func (b *Budget) refill(now task.Time) {
	if now > b.refilledAt {
		b.tokens = min(b.tokens+b.rate*(now-b.refilledAt).Seconds(), b.maxTokens)
		b.refilledAt = now
	}
}

// Reserve takes one retry and returns the time until the budget covers it. Retries beyond the budget
// wait until it has gained them, one after the other, so that a task refused by all its upstreams
// isn't retried in a tight loop.
func (b *Budget) Reserve(now task.Time) time.Duration {
	b.refill(now)
	b.tokens--
	if b.tokens >= 0 {
		return 0
	}
	return time.Duration(-b.tokens / b.rate * float64(time.Second))
}

// Cancel puts a reserved retry that won't be made back into the budget.
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
	// Delay is the time to wait before the retry.
	Delay time.Duration
	// OK is false if the retry can't be made before the deadline. It must not be made then.
	OK bool
	// UpstreamExhausted: the upstream has caused more retries than its budget allows, and should
	// get no tasks for a while.
	UpstreamExhausted bool
}

// Next decides on the retry of a task that an upstream didn't run when it was started there. attempt
// is the number of earlier starts that didn't run the task, so 0 before the first retry. The retry
// has to be made before the deadline.
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
