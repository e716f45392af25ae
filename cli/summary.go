package cli

import (
	"cmp"
	"fmt"
	"io"
	"maps"
	"slices"
	"sync"
	"time"

	"connectrpc.com/connect"
	"github.com/HdrHistogram/hdrhistogram-go"
	"github.com/pkg/errors"

	"sapphirepoint.example/sapphirepoint/client"
	pb "sapphirepoint.example/sapphirepoint/gen/sapphirepointv1"
)

const (
	// Response times are recorded in microseconds up to an hour.
	maxRecordedUs     = int64(time.Hour / time.Microsecond)
	significantDigits = 3
	usPerMs           = 1000
	percent           = 100
)

// recorder collects the answers of a load.
type recorder struct {
	mu       sync.Mutex
	began    time.Time
	tasks    int
	ideal    time.Duration
	complete *hdrhistogram.Histogram
	all      *hdrhistogram.Histogram
	outcomes map[pb.Outcome]int
	reasons  map[string]int
}

func newRecorder(s *pb.Submission) *recorder {
	r := &recorder{
		began:    time.Now(),
		tasks:    len(s.GetTasks()),
		complete: hdrhistogram.New(1, maxRecordedUs, significantDigits),
		all:      hdrhistogram.New(1, maxRecordedUs, significantDigits),
		outcomes: make(map[pb.Outcome]int),
		reasons:  make(map[string]int),
	}
	for _, t := range s.GetTasks() {
		r.ideal = max(r.ideal, time.Duration(t.GetRunTimeMs())*time.Millisecond)
	}
	return r
}

// add records one answer, or the error in its place.
func (r *recorder) add(a *pb.Answer, err error, took time.Duration) {
	r.mu.Lock()
	defer r.mu.Unlock()
	us := min(max(took.Microseconds(), 1), maxRecordedUs)
	_ = r.all.RecordValue(us)
	word := a.GetOutcome()
	if err != nil {
		word = pb.Outcome_OUTCOME_UNKNOWN
	}
	r.outcomes[word]++
	switch {
	case err != nil:
		r.reasons[errorReason(err)]++
	case word == pb.Outcome_OUTCOME_COMPLETE:
		_ = r.complete.RecordValue(us)
	default:
		r.reasons[outcomeName(word)+": "+reasonName(a.GetReason())]++
	}
}

func errorReason(err error) string {
	var unsettled *client.UnsettledError
	if errors.As(err, &unsettled) {
		return "unknown: no final word in time"
	}
	return "unknown: " + connect.CodeOf(err).String()
}

// worst is the outcome that decides the exit code of a load.
func (r *recorder) worst() pb.Outcome {
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, o := range []pb.Outcome{pb.Outcome_OUTCOME_UNKNOWN, pb.Outcome_OUTCOME_FAILED, pb.Outcome_OUTCOME_NOT_RUN} {
		if r.outcomes[o] > 0 {
			return o
		}
	}
	if r.outcomes[pb.Outcome_OUTCOME_COMPLETE] == 0 {
		return pb.Outcome_OUTCOME_UNKNOWN
	}
	return pb.Outcome_OUTCOME_COMPLETE
}

// line is one line of progress.
func (r *recorder) line() string {
	r.mu.Lock()
	defer r.mu.Unlock()
	return fmt.Sprintf("%.0f s: %d complete, %d failed, %d not run, %d unknown; complete p50 %s, p99 %s",
		time.Since(r.began).Seconds(), r.outcomes[pb.Outcome_OUTCOME_COMPLETE], r.outcomes[pb.Outcome_OUTCOME_FAILED],
		r.outcomes[pb.Outcome_OUTCOME_NOT_RUN], r.outcomes[pb.Outcome_OUTCOME_UNKNOWN],
		quantile(r.complete, 50), quantile(r.complete, 99))
}

func quantile(h *hdrhistogram.Histogram, q float64) time.Duration {
	return time.Duration(h.ValueAtQuantile(q)) * time.Microsecond
}

// summary is the result of a load; times are in milliseconds.
type summary struct {
	Jobs     int            `json:"jobs"`
	Tasks    int            `json:"tasks"`
	Seconds  float64        `json:"seconds"`
	Outcomes map[string]int `json:"outcomes"`
	Reasons  map[string]int `json:"reasons,omitempty"`
	Response distribution   `json:"complete_response_ms"`
	Any      distribution   `json:"any_answer_ms"`
	// IdealMs is the run time declared for the slowest task, 0 if none is, and
	// OverIdeal the response time of complete jobs over it.
	IdealMs   float64       `json:"ideal_ms"`
	OverIdeal *distribution `json:"response_over_ideal,omitempty"`
	Client    client.Stats  `json:"client"`
	Entries   *entriesDelta `json:"entries,omitempty"`
}

// distribution summarises a histogram.
type distribution struct {
	Mean float64 `json:"mean"`
	P50  float64 `json:"p50"`
	P90  float64 `json:"p90"`
	P99  float64 `json:"p99"`
	P999 float64 `json:"p99.9"`
	Max  float64 `json:"max"`
}

func distributionOf(h *hdrhistogram.Histogram, unit float64) distribution {
	at := func(q float64) float64 { return float64(h.ValueAtQuantile(q)) / unit }
	return distribution{h.Mean() / unit, at(50), at(90), at(99), at(99.9), float64(h.Max()) / unit}
}

func (r *recorder) summary() *summary {
	r.mu.Lock()
	defer r.mu.Unlock()
	s := &summary{
		Seconds:  time.Since(r.began).Seconds(),
		Outcomes: make(map[string]int),
		Reasons:  maps.Clone(r.reasons),
		Response: distributionOf(r.complete, usPerMs),
		Any:      distributionOf(r.all, usPerMs),
		IdealMs:  float64(r.ideal.Milliseconds()),
	}
	for o, n := range r.outcomes {
		s.Outcomes[outcomeName(o)] = n
		s.Jobs += n
	}
	s.Tasks = s.Jobs * r.tasks
	if r.ideal > 0 {
		over := distributionOf(r.complete, float64(r.ideal.Microseconds()))
		s.OverIdeal = &over
	}
	return s
}

func (s *summary) print(w io.Writer) {
	fmt.Fprintf(w, "%d jobs of %d tasks in %.1f s, %.1f jobs/s\n", s.Jobs, s.Tasks/max(s.Jobs, 1), s.Seconds, float64(s.Jobs)/s.Seconds)
	for _, name := range slices.Sorted(maps.Keys(s.Outcomes)) {
		fmt.Fprintf(w, "  %s: %d (%.2f%%)\n", name, s.Outcomes[name], percent*float64(s.Outcomes[name])/float64(s.Jobs))
	}
	for _, name := range byCount(s.Reasons) {
		fmt.Fprintf(w, "    %s: %d\n", name, s.Reasons[name])
	}
	s.Response.print(w, "response of complete jobs, ms")
	s.Any.print(w, "response of all jobs, ms")
	if s.OverIdeal != nil {
		s.OverIdeal.print(w, fmt.Sprintf("response over ideal (%.0f ms declared for the slowest task)", s.IdealMs))
	}
	fmt.Fprintf(w, "client: %d calls, of which %d for ids, %d resubmissions; %d foreign answers dropped\n",
		s.Client.Calls, s.Client.IDBlocks, s.Client.Resubmissions, s.Client.RejectedAnswers)
	if s.Entries != nil {
		s.Entries.print(w)
	}
}

func (d distribution) print(w io.Writer, title string) {
	fmt.Fprintf(w, "%s: mean %.3f, p50 %.3f, p90 %.3f, p99 %.3f, p99.9 %.3f, max %.3f\n", title, d.Mean, d.P50, d.P90, d.P99, d.P999, d.Max)
}

// byCount lists names by falling count.
func byCount[N cmp.Ordered](counts map[string]N) []string {
	names := slices.Sorted(maps.Keys(counts))
	slices.SortStableFunc(names, func(a, b string) int { return cmp.Compare(counts[b], counts[a]) })
	return names
}
