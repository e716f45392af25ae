package bench

import (
	"fmt"
	"time"

	hdr "github.com/HdrHistogram/hdrhistogram-go"
)

// Ratios are recorded in units of 1/ratioScale.
const (
	ratioScale        = 1000
	maxRatio          = 100_000
	significantDigits = 4
)

// Waste counts the messages beyond one request and one answer for each task and each job, by cause.
type Waste struct {
	// Refusals are the starts that an upstream refused, and the refusals.
	Refusals int
	// Requests, Grants and Returns are messages of their own about borrowed slots.
	Requests, Grants, Returns int
	// Control are messages between entry processes that carry only a status.
	Control int
	// Other are forwards, settles, stops and the rest.
	Other int
}

// Total returns the sum over all causes.
func (w Waste) Total() int {
	return w.Refusals + w.Requests + w.Grants + w.Returns + w.Control + w.Other
}

// Result is the result of one policy.
type Result struct {
	Policy string
	Jobs   int
	// Complete is the number of jobs with a complete answer in time.
	Complete int
	Failed   int
	NotRun   int
	Tasks    int
	Waste    Waste
	ratios   *hdr.Histogram
	sum      float64
}

func newResult(policy string) *Result {
	return &Result{Policy: policy, ratios: hdr.New(1, maxRatio*ratioScale, significantDigits)}
}

// complete records a complete answer.
func (r *Result) complete(response, ideal time.Duration) {
	ratio := float64(response) / float64(ideal)
	r.Complete++
	r.sum += ratio
	_ = r.ratios.RecordValue(int64(ratio*ratioScale + 0.5))
}

// Mean returns the mean response time over the ideal one, of complete answers.
func (r *Result) Mean() float64 { return r.sum / float64(max(1, r.Complete)) }

// Quantile returns a percentile of response time over the ideal one.
func (r *Result) Quantile(q float64) float64 {
	return float64(r.ratios.ValueAtQuantile(q)) / ratioScale
}

// Worst returns the largest response time over the ideal one.
func (r *Result) Worst() float64 { return float64(r.ratios.Max()) / ratioScale }

func (r *Result) perTask(n int) float64 { return float64(n) / float64(max(1, r.Tasks)) }

// Wasted returns the wasted messages per task.
func (r *Result) Wasted() float64 { return r.perTask(r.Waste.Total()) }

// Header is the header of a Markdown table of results.
const Header = "| policy | mean | p50 | p99 | worst | complete answers | refusals | requests | grants | returns | control | other | wasted per task |\n" +
	"|---|---|---|---|---|---|---|---|---|---|---|---|---|\n"

// Row returns the result as a row of a Markdown table.
func (r *Result) Row() string {
	return fmt.Sprintf("| %s | %.4f | %.3f | %.3f | %.1f | %.2f%% | %.3f | %.3f | %.3f | %.3f | %.3f | %.3f | %.3f |\n",
		r.Policy, r.Mean(), r.Quantile(50), r.Quantile(99), r.Worst(),
		100*float64(r.Complete)/float64(max(1, r.Jobs)),
		r.perTask(r.Waste.Refusals), r.perTask(r.Waste.Requests), r.perTask(r.Waste.Grants), r.perTask(r.Waste.Returns), r.perTask(r.Waste.Control), r.perTask(r.Waste.Other), r.Wasted())
}
