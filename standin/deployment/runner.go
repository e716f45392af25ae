package deployment

import (
	"encoding/json"
	"math/rand/v2"
	"net"
	"net/http"
	"strings"
	"sync"
	"time"

	"github.com/pkg/errors"
)

// RunnerInfo is a runner's row in the store.
type RunnerInfo struct {
	Service  string         `json:"service"`
	Address  string         `json:"address"`
	Zone     string         `json:"zone"`
	Version  string         `json:"version"`
	Slots    int            `json:"slots"`
	State    string         `json:"state"`
	Capacity map[string]int `json:"capacity"`
	Labels   []string       `json:"labels"`
	Seq      int            `json:"seq"`
	// IncarnationStart is the start of the runner's present incarnation, in Unix milliseconds; each restart
	// increases it.
	IncarnationStart int64 `json:"born"`
}

// RunID identifies a run of a task. Later runs of the same task have higher numbers.
type RunID struct {
	Task string
	Run  int
}

// Observer is notified of the runs of a runner. Its methods are called with the runner's lock held.
type Observer interface {
	RunStarted(r *Runner, s RunID)
	RunEnded(r *Runner, s RunID, outcome string)
	// EndAcknowledged is called when the scheduler has acknowledged the end of a run.
	EndAcknowledged(r *Runner, e EndedRun)
}

// EndedRun is a run that has ended.
type EndedRun struct {
	RunID
	Outcome string
	At      time.Time
	// LeaseExpired: the runner's lease had expired when the run ended, or has since. From then on the
	// task may have been started elsewhere, whatever this run's outcome was.
	LeaseExpired bool

	// sequence numbers the ended runs of a runner's incarnation from 1; the scheduler acknowledges
	// them by request.AckCursor.
	sequence int
}

// Runner is the stand-in for a runner. A task's spec is its run time, as in "50ms". A task whose spec
// begins with "fail" fails after 1 ms; one whose spec is neither succeeds after 1 ms.
type Runner struct {
	ID       string
	Info     RunnerInfo
	listener net.Listener
	server   *http.Server

	mu sync.Mutex
	// token is the highest fencing token received.
	token uint64
	// leaseEnd is the lease's expiry, at which all runs are ended.
	leaseEnd time.Time
	// running holds the timer that ends each run.
	running map[RunID]*time.Timer
	// closedRuns holds for each task the highest run that can't be started any more.
	closedRuns map[string]int
	// endedRuns holds the ended runs whose ends haven't been acknowledged.
	endedRuns    []EndedRun
	lastSequence int
	// endsChanged is closed, and replaced, when a run ends.
	endsChanged chan struct{}
	starts      []RunID
	silent      bool
	crashed     bool
	faults      RunnerFaults
	// starvedUntil and callsPausedUntil are set by Starve and PauseCalls.
	starvedUntil, callsPausedUntil time.Time
	expiries                       LeaseExpiries
	observer                       Observer
	// clockStart is the zero of the runner's clock in its present incarnation, and clockRate is the speed of
	// that clock.
	clockStart time.Time
	clockRate  float64
	// current is the present incarnation. What an earlier one has left behind must not change the state above.
	current *incarnation
	// stopping holds the running runs that are being stopped.
	stopping map[RunID]bool
	// listedFrom is when each running run begins to be listed.
	listedFrom map[RunID]time.Time
}

// startPath and stopPath are the paths of the calls that start and stop runs.
const (
	startPath = "/run-start"
	stopPath  = "/run-stop"
)

const (
	// maxLease is the longest lease that a runner grants, by its own clock.
	maxLease = time.Second
	// minClockRate is the speed of the slowest clock.
	minClockRate = 0.98
	// maxEndsListed is the most ends in one answer.
	maxEndsListed = 500
)

// NewRunner starts a runner on a free port and registers it in the store.
func NewRunner(s *Store, id, service, domain string) (*Runner, error) {
	r, err := StartRunner(id, service, domain)
	if err != nil {
		return nil, err
	}
	return r, s.Put("servers", id, r.Info)
}

// StartRunner starts a runner on a free port, which isn't registered in the store.
func StartRunner(id, service, domain string) (*Runner, error) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, errors.Wrap(err, "listen")
	}
	r := &Runner{
		ID: id,
		Info: RunnerInfo{
			Service: service, Address: l.Addr().String(), Zone: domain, Version: "v1", Slots: 8, State: "ready",
			Capacity: map[string]int{"cpu": 64000, "memMb": 131072, "gpu": 0}, Labels: []string{"a", "r1-1"}, Seq: 1,
			IncarnationStart: time.Now().UnixMilli(),
		},
		listener:    l,
		running:     make(map[RunID]*time.Timer),
		closedRuns:  make(map[string]int),
		stopping:    make(map[RunID]bool),
		listedFrom:  make(map[RunID]time.Time),
		endsChanged: make(chan struct{}),
		current:     &incarnation{},

		clockStart: time.Now().Add(-time.Hour),
		clockRate:  minClockRate + rand.Float64()*(1-minClockRate),
	}
	mux := http.NewServeMux()
	mux.HandleFunc("POST "+startPath, r.start)
	mux.HandleFunc("POST "+stopPath, r.stop)
	mux.HandleFunc("POST /hold", r.hold)
	r.server = &http.Server{
		Handler: r.checkRequest(r.applyFaults(mux)), ReadHeaderTimeout: time.Second, ConnContext: r.acceptedBy,
	}
	go func() { _ = r.server.Serve(l) }()
	return r, nil
}

// Close simulates a crash: it closes all connections and ends all runs.
func (r *Runner) Close() {
	_ = r.server.Close()
	r.mu.Lock()
	defer r.mu.Unlock()
	r.crashed = true
	for s := range r.running {
		r.endRun(s, "crashed")
	}
}

// Crashed reports whether the runner was closed.
func (r *Runner) Crashed() bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.crashed
}

// SetObserver sets the observer, which is notified of all later events.
func (r *Runner) SetObserver(o Observer) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.observer = o
}

// Silence sets whether the runner ignores all requests and leaves them unanswered.
func (r *Runner) Silence(on bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.silent = on
}

// Starts returns the runs started so far.
func (r *Runner) Starts() []RunID {
	r.mu.Lock()
	defer r.mu.Unlock()
	return append([]RunID(nil), r.starts...)
}

// Token returns the highest fencing token received.
func (r *Runner) Token() uint64 {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.token
}

// clock returns the time on the runner's clock in milliseconds. The caller holds the lock.
func (r *Runner) clock() int64 {
	return time.Duration(float64(time.Since(r.clockStart)) * r.clockRate).Milliseconds()
}

// timeOf returns when the runner's clock reads ms.
func (r *Runner) timeOf(ms int64) time.Time {
	return r.clockStart.Add(time.Duration(float64(ms) * float64(time.Millisecond) / r.clockRate))
}

// checkRequest leaves requests unanswered while the runner is silent, and rejects those addressed
// to another instance.
func (r *Runner) checkRequest(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, q *http.Request) {
		r.mu.Lock()
		silent := r.silent
		r.mu.Unlock()
		if silent {
			<-q.Context().Done()
			return
		}
		if id := q.Header.Get("Expect-Instance"); id != "" && id != r.ID {
			w.WriteHeader(http.StatusMisdirectedRequest)
			return
		}
		next.ServeHTTP(w, q)
	})
}

// request is the body of all calls; each call uses some of the fields.
type request struct {
	Task string `json:"task"`
	Run  int    `json:"run"`
	Spec string `json:"spec"`
	// DeadlineMs is the requested expiry of the lease on the runner's clock.
	DeadlineMs int64  `json:"deadlineMs"`
	FenceToken uint64 `json:"fenceToken"`
	// AckCursor acknowledges the ended runs up to this sequence number.
	AckCursor int `json:"ackCursor"`
	// WaitMs is how long a hold waits for the end of a run.
	WaitMs int `json:"waitMs"`
}

// decodeAndLock decodes a request, waits until the runner handles calls, and checks the request's fencing
// token. If it returns true, the caller holds the lock and must release it; otherwise the response has
// been written, or there is none.
func (r *Runner) decodeAndLock(w http.ResponseWriter, q *http.Request) (request, bool) {
	var o request
	if err := json.NewDecoder(q.Body).Decode(&o); err != nil {
		w.WriteHeader(http.StatusBadRequest)
		return o, false
	}
	r.lockForCall()
	if r.crashed || !r.reached(q) {
		r.mu.Unlock()
		return o, false
	}
	if o.FenceToken < r.token {
		r.reject(w, "fence")
		r.mu.Unlock()
		return o, false
	}
	r.token = o.FenceToken
	return o, true
}

// reject answers a call with status 409 and a reason. Only lists of runs say when the incarnation began. The caller
// holds the lock.
func (r *Runner) reject(w http.ResponseWriter, reason string) {
	writeJSON(w, http.StatusConflict, map[string]any{"clockMs": r.clock(), "reason": reason})
}

// accept answers a start or a stop with status 200, without the start of the incarnation. The caller holds the lock.
func (r *Runner) accept(w http.ResponseWriter) {
	writeJSON(w, http.StatusOK, map[string]any{"clockMs": r.clock()})
}

// start begins a run and extends the lease to its deadline. A start of a run that is running already
// is accepted without effect, unless the run is being stopped. A start that is rejected as old or for lack of room extends the lease too.
func (r *Runner) start(w http.ResponseWriter, q *http.Request) {
	o, ok := r.decodeAndLock(w, q)
	if !ok {
		return
	}
	defer r.mu.Unlock()
	s := RunID{o.Task, o.Run}
	switch {
	case r.running[s] != nil && !r.stopping[s]:
		r.accept(w)
		return
	case o.Run <= r.closedRuns[o.Task]:
		r.extendLease(o.DeadlineMs)
		r.reject(w, "old")
		return
	case r.late(o):
		r.reject(w, "late")
		return
	}
	r.extendLease(o.DeadlineMs)
	if rand.Float64() < r.faults.StartsWithoutRoom {
		r.reject(w, "room")
		return
	}
	outcome, runTime := "done", time.Millisecond
	if strings.HasPrefix(o.Spec, "fail") {
		outcome = "failed"
	} else if d, err := time.ParseDuration(o.Spec); err == nil {
		runTime = d
	}
	r.starts = append(r.starts, s)
	if r.observer != nil {
		r.observer.RunStarted(r, s)
	}
	r.listedFrom[s] = time.Now().Add(r.faults.listDelay())
	r.running[s] = r.afterAwake(runTime, func() { r.endRun(s, outcome) })
	r.accept(w)
}

// late reports whether a start has come too late: after its own deadline or, if the runner is lenient, after
// its lease as well. The caller holds the lock.
func (r *Runner) late(o request) bool {
	if r.faults.LenientStarts && !r.leaseExpired() {
		return false
	}
	return o.DeadlineMs <= r.clock()
}

// endRun ends a run and records its outcome. The caller holds the lock.
func (r *Runner) endRun(s RunID, outcome string) {
	timer := r.running[s]
	if timer == nil {
		return
	}
	timer.Stop()
	delete(r.running, s)
	delete(r.stopping, s)
	delete(r.listedFrom, s)
	if r.observer != nil {
		r.observer.RunEnded(r, s, outcome)
	}
	r.closedRuns[s.Task] = max(r.closedRuns[s.Task], s.Run)
	r.lastSequence++
	r.endedRuns = append(r.endedRuns, EndedRun{
		RunID: s, Outcome: outcome, At: time.Now(), LeaseExpired: r.leaseExpired(), sequence: r.lastSequence,
	})
	close(r.endsChanged)
	r.endsChanged = make(chan struct{})
}

// stop ends a run, if it is running, within the fault StopTime. Until then the run is listed as running, unless
// the fault UnlistedStops is set, and may end by itself. Neither it nor an earlier run of the task can be started later.
func (r *Runner) stop(w http.ResponseWriter, q *http.Request) {
	o, ok := r.decodeAndLock(w, q)
	if !ok {
		return
	}
	defer r.mu.Unlock()
	r.closedRuns[o.Task] = max(r.closedRuns[o.Task], o.Run)
	r.beginStop(RunID{o.Task, o.Run})
	r.accept(w)
}

// beginStop ends a run at once or, with the fault StopTime, within that time unless it ends before. The
// caller holds the lock.
func (r *Runner) beginStop(s RunID) {
	if r.faults.StopTime <= 0 {
		r.endRun(s, "stopped")
		return
	}
	if r.running[s] == nil || r.stopping[s] {
		return
	}
	r.stopping[s] = true
	r.afterAwake(rand.N(r.faults.StopTime), func() {
		if r.stopping[s] {
			r.endRun(s, "stopped")
		}
	})
}

// hold extends the lease, removes the acknowledged ends, and answers with the runs that are running or
// have ended. If no end is left to report, it first waits for one, at most for WaitMs.
func (r *Runner) hold(w http.ResponseWriter, q *http.Request) {
	o, ok := r.decodeAndLock(w, q)
	if !ok {
		return
	}
	if o.DeadlineMs > 0 {
		r.extendLease(o.DeadlineMs)
	}
	for len(r.endedRuns) > 0 && r.endedRuns[0].sequence <= o.AckCursor {
		if r.observer != nil {
			r.observer.EndAcknowledged(r, r.endedRuns[0])
		}
		r.endedRuns = r.endedRuns[1:]
	}
	if len(r.endedRuns) == 0 && o.WaitMs > 0 {
		endsChanged := r.endsChanged
		r.mu.Unlock()
		select {
		case <-endsChanged:
		case <-time.After(time.Duration(o.WaitMs) * time.Millisecond):
		case <-q.Context().Done():
		}
		r.lockForCall()
	}
	defer r.mu.Unlock()
	if !r.reached(q) {
		return
	}
	running := make([][]any, 0, len(r.running))
	for s := range r.running {
		if !r.listed(s) {
			continue
		}
		running = append(running, []any{s.Task, s.Run, "", 100, 0})
	}
	listed := r.endedRuns[:min(len(r.endedRuns), maxEndsListed)]
	ended := make([][]any, 0, len(listed))
	for _, e := range listed {
		ended = append(ended, []any{e.sequence, e.Task, e.Run, e.Outcome, ""})
	}
	writeJSON(w, http.StatusOK, map[string]any{"clockMs": r.clock(), "born": r.Info.IncarnationStart, "running": running, "endedRuns": ended})
}

// listed reports whether a run in progress is listed as running. The caller holds the lock.
func (r *Runner) listed(s RunID) bool {
	if r.stopping[s] && r.faults.UnlistedStops {
		return false
	}
	return !time.Now().Before(r.listedFrom[s])
}
