package cli

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"os"

	"github.com/pkg/errors"
	dto "github.com/prometheus/client_model/go"
	"github.com/prometheus/common/expfmt"
	"github.com/prometheus/common/model"
)

// The metrics, and the label, that the summary of a load reads.
const (
	startsMetric = "sapphirepoint_task_starts_total"
	wastedMetric = "sapphirepoint_wasted_messages_total"
	ratioMetric  = "sapphirepoint_response_over_ideal_ratio"
	causeLabel   = "cause"
)

// entryCounts holds values of the metrics of entry processes, or their increase during a load.
// They count the tasks of all callers.
type entryCounts struct {
	TaskStarts    float64            `json:"task_starts"`
	Wasted        map[string]float64 `json:"wasted_messages"`
	WastedPerTask float64            `json:"wasted_messages_per_task"`
	// OverIdealMean is the mean ratio of a job's response time to the measured run time of its
	// slowest task, the ideal response time, as the entry processes record it.
	OverIdealMean float64 `json:"response_over_ideal_mean"`

	// ratioSum and ratioCount are the sum and the number of these ratios.
	ratioSum, ratioCount float64
}

// scraper reads the metrics of entry processes before and after a load.
type scraper struct {
	operators []*operator
	// before has the values before the load, by the index of the operator.
	before []entryCounts
}

// newScraper reads the metrics before the load. It returns nil if no operators' listeners are given.
func (a *app) newScraper(ctx context.Context) (*scraper, error) {
	if len(a.operatorFlags.operators) == 0 && os.Getenv(envOperator) == "" {
		return nil, nil
	}
	operators, err := a.operatorFlags.connectWithoutToken()
	if err != nil {
		return nil, err
	}
	s := &scraper{operators: operators}
	s.before, err = s.readCounts(ctx)
	return s, err
}

// readCounts reads the metrics of each entry process.
func (s *scraper) readCounts(ctx context.Context) ([]entryCounts, error) {
	list := make([]entryCounts, len(s.operators))
	for i, o := range s.operators {
		families, err := o.metrics(ctx)
		if err != nil {
			return nil, errors.Wrap(err, o.url)
		}
		list[i] = countsFrom(families)
	}
	return list, nil
}

// delta returns the increase of the metrics since newScraper, summed over the entry processes.
func (s *scraper) delta(ctx context.Context) (*entryCounts, error) {
	after, err := s.readCounts(ctx)
	if err != nil {
		return nil, err
	}
	d := &entryCounts{Wasted: make(map[string]float64)}
	for i := range after {
		d.TaskStarts += after[i].TaskStarts - s.before[i].TaskStarts
		d.ratioSum += after[i].ratioSum - s.before[i].ratioSum
		d.ratioCount += after[i].ratioCount - s.before[i].ratioCount
		for cause, n := range after[i].Wasted {
			d.Wasted[cause] += n - s.before[i].Wasted[cause]
		}
	}
	if d.ratioCount > 0 {
		d.OverIdealMean = d.ratioSum / d.ratioCount
	}
	if d.TaskStarts > 0 {
		for _, n := range d.Wasted {
			d.WastedPerTask += n / d.TaskStarts
		}
	}
	return d, nil
}

// countsFrom extracts the counts from the metrics of one entry process.
func countsFrom(families map[string]*dto.MetricFamily) entryCounts {
	d := entryCounts{Wasted: make(map[string]float64)}
	for _, m := range families[startsMetric].GetMetric() {
		d.TaskStarts += m.GetCounter().GetValue()
	}
	for _, m := range families[wastedMetric].GetMetric() {
		for _, l := range m.GetLabel() {
			if l.GetName() == causeLabel {
				d.Wasted[l.GetValue()] += m.GetCounter().GetValue()
			}
		}
	}
	for _, m := range families[ratioMetric].GetMetric() {
		d.ratioSum += m.GetHistogram().GetSampleSum()
		d.ratioCount += float64(m.GetHistogram().GetSampleCount())
	}
	return d
}

// metrics reads the metrics of a process, which needs no token.
func (o *operator) metrics(ctx context.Context) (map[string]*dto.MetricFamily, error) {
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, o.url+"/metrics", nil)
	if err != nil {
		return nil, errors.Wrap(err, "metrics")
	}
	res, err := o.http.Do(req)
	if err != nil {
		return nil, errors.Wrap(err, "metrics")
	}
	defer res.Body.Close()
	if res.StatusCode != http.StatusOK {
		return nil, errors.Errorf("metrics: status %s", res.Status)
	}
	parser := expfmt.NewTextParser(model.UTF8Validation)
	families, err := parser.TextToMetricFamilies(res.Body)
	return families, errors.Wrap(err, "metrics")
}

func (d *entryCounts) print(w io.Writer) {
	fmt.Fprintf(w, "entries: %.0f task starts, %.4f wasted messages a task, mean response over ideal %.4f\n", d.TaskStarts, d.WastedPerTask, d.OverIdealMean)
	for _, cause := range namesByCount(d.Wasted) {
		if n := d.Wasted[cause]; n > 0 {
			fmt.Fprintf(w, "  %s: %.0f (%.4f a task)\n", cause, n, n/max(d.TaskStarts, 1))
		}
	}
}
