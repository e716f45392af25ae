package deployment

import (
	"bytes"
	"io"
	"math/rand/v2"
	"net/http"
	"time"
)

// RunnerFaults are the faults injected at present into a runner's calls. Shares are between 0 and 1.
type RunnerFaults struct {
	// RejectedStarts, RejectedStops and RejectedHolds are the shares of calls that are answered with
	// status 429 or 503 and otherwise ignored, as by an unhealthy runner.
	RejectedStarts, RejectedStops, RejectedHolds float64
	// UnansweredStarts is the share of starts that are carried out and not answered.
	UnansweredStarts float64
	// Slow is the share of calls that are carried out late, and that of answers that are sent late,
	// each by a random time up to MaxDelay.
	Slow     float64
	MaxDelay time.Duration
}

// rejected is the share of calls to a path that are rejected.
func (f RunnerFaults) rejected(path string) float64 {
	switch path {
	case startPath:
		return f.RejectedStarts
	case stopPath:
		return f.RejectedStops
	}
	return f.RejectedHolds
}

// delay returns a random delay.
func (f RunnerFaults) delay() time.Duration {
	if f.MaxDelay <= 0 || rand.Float64() >= f.Slow {
		return 0
	}
	return rand.N(f.MaxDelay)
}

// ChangeFaults changes the injected faults.
func (r *Runner) ChangeFaults(change func(*RunnerFaults)) {
	r.mu.Lock()
	defer r.mu.Unlock()
	change(&r.faults)
}

// applyFaults injects the faults into calls. A late call is carried out even if its caller has left.
func (r *Runner) applyFaults(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, q *http.Request) {
		r.mu.Lock()
		f := r.faults
		r.mu.Unlock()
		if f == (RunnerFaults{}) {
			next.ServeHTTP(w, q)
			return
		}
		if rand.Float64() < f.rejected(q.URL.Path) {
			w.WriteHeader(unhealthyStatuses[rand.IntN(len(unhealthyStatuses))])
			return
		}
		body, err := io.ReadAll(q.Body)
		if err != nil {
			return
		}
		q.Body = io.NopCloser(bytes.NewReader(body))
		time.Sleep(f.delay())
		a := answer{header: w.Header()}
		next.ServeHTTP(&a, q)
		if q.URL.Path == startPath && rand.Float64() < f.UnansweredStarts {
			<-q.Context().Done()
			return
		}
		time.Sleep(f.delay())
		w.WriteHeader(a.status)
		_, _ = w.Write(a.body.Bytes())
	})
}

var unhealthyStatuses = []int{http.StatusTooManyRequests, http.StatusServiceUnavailable}

// answer is a response that isn't sent yet.
type answer struct {
	header http.Header
	status int
	body   bytes.Buffer
}

// Header implements http.ResponseWriter.
func (a *answer) Header() http.Header { return a.header }

// WriteHeader implements http.ResponseWriter.
func (a *answer) WriteHeader(status int) { a.status = status }

// Write implements http.ResponseWriter.
func (a *answer) Write(b []byte) (int, error) { return a.body.Write(b) }
