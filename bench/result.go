package bench

import (
	"fmt"
	"time"

	hdr "github.com/HdrHistogram/hdrhistogram-go"
)

// ratioScale is the resolution of recorded ratios: a thousandth.
const (
	ratioScale        = 1000
	maxRatio          = 100_000
	significantDigits = 4
)

// Waste counts messages beyond one request and one answer for each task and
// job, by cause.
type Waste struct {
	// Refusals are starts that an upstream turned away, with the refusal.
	Refusals int
	// Requests for slots, Grants and Returns of their own.
	Requests, Grants, Returns int
	// Control are messages between entry processes that carry only a status.
	Control int
	// Other is forwards, settles, stops and the rest.
	Other int
}

// Total is the sum over all causes.
func (w Waste) Total() int {
	return w.Refusals + w.Requests + w.Grants + w.Returns + w.Control + w.Other
}

// Result is what one policy gave.
type Result struct {
	Policy string
	Jobs   int
	// Complete are the jobs answered whole within their time.
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

// complete records a whole answer.
func (r *Result) complete(response, ideal time.Duration) {
	ratio := float64(response) / float64(ideal)
	r.Complete++
	r.sum += ratio
	_ = r.ratios.RecordValue(int64(ratio*ratioScale + 0.5))
}

// Mean is the mean response over ideal of whole answers.
func (r *Result) Mean() float64 { return r.sum / float64(max(1, r.Complete)) }

// Quantile is a percentile of the response over ideal.
func (r *Result) Quantile(q float64) float64 {
	return float64(r.ratios.ValueAtQuantile(q)) / ratioScale
}

// Worst is the largest response over ideal.
func (r *Result) Worst() float64 { return float64(r.ratios.Max()) / ratioScale }

func (r *Result) perTask(n int) float64 { return float64(n) / float64(max(1, r.Tasks)) }

// Wasted is the wasted messages for each task.
func (r *Result) Wasted() float64 { return r.perTask(r.Waste.Total()) }

// Header is the head of a Markdown table of results.
const Header = "| policy | mean | p50 | p99 | worst | whole answers | refusals | requests | grants | returns | control | other | wasted a task |\n" +
	"|---|---|---|---|---|---|---|---|---|---|---|---|---|\n"

// Row is the result as a line of a Markdown table.
func (r *Result) Row() string {
	return fmt.Sprintf("| %s | %.4f | %.3f | %.3f | %.1f | %.2f%% | %.3f | %.3f | %.3f | %.3f | %.3f | %.3f | %.3f |\n",
		r.Policy, r.Mean(), r.Quantile(50), r.Quantile(99), r.Worst(),
		100*float64(r.Complete)/float64(max(1, r.Jobs)),
		r.perTask(r.Waste.Refusals), r.perTask(r.Waste.Requests), r.perTask(r.Waste.Grants), r.perTask(r.Waste.Returns), r.perTask(r.Waste.Control), r.perTask(r.Waste.Other), r.Wasted())
}
