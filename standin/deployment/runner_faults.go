package deployment

import (
	"bytes"
	"io"
	"math/rand/v2"
	"net/http"
	"time"
)

// RunnerFaults are the faults injected at present into a runner. Shares are between 0 and 1.
type RunnerFaults struct {
	// RejectedStarts, RejectedStops and RejectedHolds are the shares of calls that are answered with
	// status 429 or 503 and otherwise ignored, as by an unhealthy runner.
	RejectedStarts, RejectedStops, RejectedHolds float64
	// UnansweredStarts is the share of starts that are carried out and not answered, UnansweredOthers that of
	// other calls.
	UnansweredStarts, UnansweredOthers float64
	// StartsWithoutRoom is the share of new runs for which the runner has no room.
	StartsWithoutRoom float64
	// StopTime is the longest that a stop takes; the call is answered at once.
	StopTime time.Duration
	// UnlistedStops: a run that is being stopped isn't listed as running any more.
	UnlistedStops bool
	// MaxListDelay is the longest time until a run that has begun is listed as running.
	MaxListDelay time.Duration
	// LenientStarts: a start that arrives after its deadline is carried out while the runner has a lease.
	LenientStarts bool
	// Slow is the share of calls that are carried out late, and that of answers that are sent late,
	// each by a random time up to MaxDelay.
	Slow     float64
	MaxDelay time.Duration
	// KillDelay is how late the runner ends its runs after the end of its lease, if the lease was
	// granted or extended while the fault was set. Until then the runs may end by themselves.
	KillDelay time.Duration
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

// unanswered is the share of calls to a path that are carried out and not answered.
func (f RunnerFaults) unanswered(path string) float64 {
	if path == startPath {
		return f.UnansweredStarts
	}
	return f.UnansweredOthers
}

// changesCalls reports whether a fault concerns how calls are passed on and answered.
func (f RunnerFaults) changesCalls() bool {
	f.KillDelay, f.StopTime, f.StartsWithoutRoom, f.LenientStarts = 0, 0, 0, false
	f.UnlistedStops, f.MaxListDelay = false, 0
	return f != (RunnerFaults{})
}

// listDelay returns a random time until a run that begins is listed as running.
func (f RunnerFaults) listDelay() time.Duration {
	if f.MaxListDelay <= 0 {
		return 0
	}
	return rand.N(f.MaxListDelay)
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

// Starve keeps the runner from doing anything for a time, as if its process got no processor time: it
// handles no call, takes note of no run's end, and ends no runs when its lease expires. All of that
// happens afterwards, in random order: the end of a run may precede the expiry of the lease, or the
// other way round. Starve has no effect on a runner that is starved already.
func (r *Runner) Starve(d time.Duration) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if now := time.Now(); !now.Before(r.starvedUntil) {
		r.starvedUntil = now.Add(d)
	}
}

// PauseCalls keeps the runner from handling calls for a time; they are handled afterwards. Its runs go on,
// and end by themselves or when the lease expires. PauseCalls has no effect while an earlier pause lasts.
func (r *Runner) PauseCalls(d time.Duration) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if now := time.Now(); !now.Before(r.callsPausedUntil) {
		r.callsPausedUntil = now.Add(d)
	}
}

// lockAwake locks mu once the runner isn't starved.
func (r *Runner) lockAwake() {
	r.lockAfter(func() time.Time { return r.starvedUntil })
}

// lockForCall locks mu once the runner handles calls.
func (r *Runner) lockForCall() {
	r.lockAfter(func() time.Time {
		if r.starvedUntil.After(r.callsPausedUntil) {
			return r.starvedUntil
		}
		return r.callsPausedUntil
	})
}

// wakeJitter is the time within which a starved runner does what has become due. It makes the order random.
const wakeJitter = time.Millisecond

// lockAfter locks mu once a time has come, which is read again after each wait. until is called with mu held.
func (r *Runner) lockAfter(until func() time.Time) {
	for {
		r.mu.Lock()
		wait := time.Until(until())
		if wait <= 0 {
			return
		}
		r.mu.Unlock()
		time.Sleep(wait + rand.N(wakeJitter))
	}
}

// LeaseExpiries says how punctual a runner was when its leases expired.
type LeaseExpiries struct {
	// MaxTimerDelay is the most by which a lease's timer fired late by itself, without the injected delays.
	MaxTimerDelay time.Duration
	// KillDelays has, for each lease that expired while runs were in progress, the time from its end until
	// the runs were ended.
	KillDelays []time.Duration
}

// LeaseExpiries returns how punctual the runner has been so far.
func (r *Runner) LeaseExpiries() LeaseExpiries {
	r.mu.Lock()
	defer r.mu.Unlock()
	return LeaseExpiries{r.expiries.MaxTimerDelay, append([]time.Duration(nil), r.expiries.KillDelays...)}
}

// applyFaults injects the faults into calls. A late call is carried out even if its caller has left.
func (r *Runner) applyFaults(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, q *http.Request) {
		r.mu.Lock()
		f := r.faults
		r.mu.Unlock()
		if !f.changesCalls() {
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
		a := answer{header: w.Header(), status: http.StatusOK}
		next.ServeHTTP(&a, q)
		if rand.Float64() < f.unanswered(q.URL.Path) {
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
	// status is the last one that was written, and 200 before, as for any http.ResponseWriter.
	status int
	body   bytes.Buffer
}

// Header implements http.ResponseWriter.
func (a *answer) Header() http.Header { return a.header }

// WriteHeader implements http.ResponseWriter.
func (a *answer) WriteHeader(status int) { a.status = status }

// Write implements http.ResponseWriter.
func (a *answer) Write(b []byte) (int, error) { return a.body.Write(b) }
