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
	// maxRecordedUs is the largest response time recorded, in microseconds. Longer ones are recorded
	// as this.
	maxRecordedUs = int64(time.Hour / time.Microsecond)
	// significantDigits is the precision of recorded times.
	significantDigits = 3
	usPerMs           = 1000
	percent           = 100
)

// recorder records the answers and response times of a load.
type recorder struct {
	mu          sync.Mutex
	startTime   time.Time
	tasksPerJob int
	// idealTime is the run time declared for the slowest task of the job.
	idealTime time.Duration
	// completeTimes and allTimes have the response times, in microseconds, of complete jobs and of
	// all jobs.
	completeTimes *hdrhistogram.Histogram
	allTimes      *hdrhistogram.Histogram
	outcomes      map[pb.Outcome]int
	// reasons counts the outcomes other than complete by their reasons.
	reasons map[string]int
}

func newRecorder(s *pb.Submission) *recorder {
	r := &recorder{
		startTime:     time.Now(),
		tasksPerJob:   len(s.GetTasks()),
		completeTimes: hdrhistogram.New(1, maxRecordedUs, significantDigits),
		allTimes:      hdrhistogram.New(1, maxRecordedUs, significantDigits),
		outcomes:      make(map[pb.Outcome]int),
		reasons:       make(map[string]int),
	}
	for _, t := range s.GetTasks() {
		r.idealTime = max(r.idealTime, time.Duration(t.GetRunTimeMs())*time.Millisecond)
	}
	return r
}

// add records an answer, or the error returned in its place.
func (r *recorder) add(a *pb.Answer, err error, took time.Duration) {
	r.mu.Lock()
	defer r.mu.Unlock()
	us := min(max(took.Microseconds(), 1), maxRecordedUs)
	_ = r.allTimes.RecordValue(us)
	outcome := a.GetOutcome()
	if err != nil {
		outcome = pb.Outcome_OUTCOME_UNKNOWN
	}
	r.outcomes[outcome]++
	switch {
	case err != nil:
		r.reasons[errorReason(err)]++
	case outcome == pb.Outcome_OUTCOME_COMPLETE:
		_ = r.completeTimes.RecordValue(us)
	default:
		r.reasons[outcomeName(outcome)+": "+reasonName(a.GetReason())]++
	}
}

// errorReason returns the reason counted for an error.
func errorReason(err error) string {
	var unsettled *client.UnsettledError
	if errors.As(err, &unsettled) {
		return "unknown: no final word in time"
	}
	return "unknown: " + connect.CodeOf(err).String()
}

// worstOutcome returns the outcome that determines the exit code of a load: unknown if there is any,
// else failed, else not run, else complete. A load without any answer counts as unknown.
func (r *recorder) worstOutcome() pb.Outcome {
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

// progressLine formats the counts so far as one line.
func (r *recorder) progressLine() string {
	r.mu.Lock()
	defer r.mu.Unlock()
	return fmt.Sprintf("%.0f s: %d complete, %d failed, %d not run, %d unknown; complete p50 %s, p99 %s",
		time.Since(r.startTime).Seconds(), r.outcomes[pb.Outcome_OUTCOME_COMPLETE], r.outcomes[pb.Outcome_OUTCOME_FAILED],
		r.outcomes[pb.Outcome_OUTCOME_NOT_RUN], r.outcomes[pb.Outcome_OUTCOME_UNKNOWN],
		quantile(r.completeTimes, 50), quantile(r.completeTimes, 99))
}

func quantile(h *hdrhistogram.Histogram, q float64) time.Duration {
	return time.Duration(h.ValueAtQuantile(q)) * time.Microsecond
}

// summary is the result of a load; response times are in milliseconds.
type summary struct {
	Jobs         int            `json:"jobs"`
	Tasks        int            `json:"tasks"`
	Seconds      float64        `json:"seconds"`
	Outcomes     map[string]int `json:"outcomes"`
	Reasons      map[string]int `json:"reasons,omitempty"`
	CompleteJobs distribution   `json:"complete_response_ms"`
	AllJobs      distribution   `json:"any_answer_ms"`
	// IdealMs is the run time declared for the slowest task; 0 if none is declared. OverIdeal has
	// the response times of complete jobs divided by it.
	IdealMs   float64       `json:"ideal_ms"`
	OverIdeal *distribution `json:"response_over_ideal,omitempty"`
	Client    client.Stats  `json:"client"`
	Entries   *entryCounts  `json:"entries,omitempty"`
}

// distribution summarizes a histogram.
type distribution struct {
	Mean float64 `json:"mean"`
	P50  float64 `json:"p50"`
	P90  float64 `json:"p90"`
	P99  float64 `json:"p99"`
	P999 float64 `json:"p99.9"`
	Max  float64 `json:"max"`
}

// distributionOf summarizes a histogram with its values divided by unit.
func distributionOf(h *hdrhistogram.Histogram, unit float64) distribution {
	at := func(q float64) float64 { return float64(h.ValueAtQuantile(q)) / unit }
	return distribution{h.Mean() / unit, at(50), at(90), at(99), at(99.9), float64(h.Max()) / unit}
}

// summary summarizes what has been recorded so far.
func (r *recorder) summary() *summary {
	r.mu.Lock()
	defer r.mu.Unlock()
	s := &summary{
		Seconds:      time.Since(r.startTime).Seconds(),
		Outcomes:     make(map[string]int),
		Reasons:      maps.Clone(r.reasons),
		CompleteJobs: distributionOf(r.completeTimes, usPerMs),
		AllJobs:      distributionOf(r.allTimes, usPerMs),
		IdealMs:      float64(r.idealTime.Milliseconds()),
	}
	for o, n := range r.outcomes {
		s.Outcomes[outcomeName(o)] = n
		s.Jobs += n
	}
	s.Tasks = s.Jobs * r.tasksPerJob
	if r.idealTime > 0 {
		over := distributionOf(r.completeTimes, float64(r.idealTime.Microseconds()))
		s.OverIdeal = &over
	}
	return s
}

func (s *summary) print(w io.Writer) {
	fmt.Fprintf(w, "%d jobs of %d tasks in %.1f s, %.1f jobs/s\n", s.Jobs, s.Tasks/max(s.Jobs, 1), s.Seconds, float64(s.Jobs)/s.Seconds)
	for _, name := range slices.Sorted(maps.Keys(s.Outcomes)) {
		fmt.Fprintf(w, "  %s: %d (%.2f%%)\n", name, s.Outcomes[name], percent*float64(s.Outcomes[name])/float64(s.Jobs))
	}
	for _, name := range namesByCount(s.Reasons) {
		fmt.Fprintf(w, "    %s: %d\n", name, s.Reasons[name])
	}
	s.CompleteJobs.print(w, "response of complete jobs, ms")
	s.AllJobs.print(w, "response of all jobs, ms")
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

// namesByCount lists names by decreasing count.
func namesByCount[N cmp.Ordered](counts map[string]N) []string {
	names := slices.Sorted(maps.Keys(counts))
	slices.SortStableFunc(names, func(a, b string) int { return cmp.Compare(counts[b], counts[a]) })
	return names
}
