// Package runner is a small stand-in for an upstream. It runs tasks in slots, counts in a ledger how
// often it started each task, and injects faults on request.
package runner

import (
	"context"
	"encoding/json"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"strconv"
	"sync"
	"time"

	"golang.org/x/net/netutil"

	"sapphirepoint.example/sapphirepoint/standin/faults"
	"sapphirepoint.example/sapphirepoint/upstream"
)

const (
	// DefaultSlots and DefaultConnections are the limits of the runners in use today.
	DefaultSlots       = 8
	DefaultConnections = 64
	defaultRunTime     = 20 * time.Millisecond
	maxSettleWait      = 500 * time.Millisecond
)

// Mode is how a runner behaves.
type Mode string

// The modes of a runner.
const (
	Normal Mode = "normal"
	// Hang starts tasks, which run until they are stopped.
	Hang Mode = "hang"
	// FailAll lets every task fail at once.
	FailAll Mode = "fail"
	// Refuse refuses new tasks.
	Refuse Mode = "refuse"
	// Leave refuses new tasks and announces in each answer that the runner is leaving.
	Leave Mode = "leave"
)

// Payload is a task's instructions to the runner. Any other payload is returned as the output.
type Payload struct {
	RunMs  int    `json:"run_ms"`
	Output string `json:"output"`
	Fail   string `json:"fail"`
}

// connContextKey is the context key of a request's connection.
type connContextKey struct{}

// taskRecord is the state of a task, by its name.
type taskRecord struct {
	// started is false for a task that was settled before any start; it is never run.
	started  bool
	starts   int
	done     chan struct{}
	stop     context.CancelFunc
	verdict  string
	body     []byte
	finished bool
}

// Runner is the stand-in for one upstream.
type Runner struct {
	runID    string
	slots    int
	listener *faults.Listener

	mu      sync.Mutex
	mode    Mode
	busy    int
	refused int
	tasks   map[string]*taskRecord
}

// New returns a runner with the given number of slots.
func New(slots int) *Runner {
	return &Runner{
		runID: strconv.FormatUint(rand.Uint64(), 16),
		slots: slots,
		mode:  Normal,
		tasks: make(map[string]*taskRecord),
	}
}

// Serve answers on a listener until it is closed.
func (r *Runner) Serve(l net.Listener) error {
	r.listener = faults.NewListener(netutil.LimitListener(l, DefaultConnections))
	var p http.Protocols
	p.SetHTTP1(true)
	p.SetUnencryptedHTTP2(true)
	s := &http.Server{
		Handler:           r.Handler(),
		Protocols:         &p,
		ReadHeaderTimeout: 5 * time.Second,
		ConnContext: func(ctx context.Context, c net.Conn) context.Context {
			return context.WithValue(ctx, connContextKey{}, c)
		},
	}
	return s.Serve(r.listener)
}

// Handler serves the upstream's calls and the control endpoints.
func (r *Runner) Handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("POST "+upstream.PathStart, r.start)
	mux.HandleFunc("POST "+upstream.PathSettle, func(w http.ResponseWriter, q *http.Request) { r.settle(w, q, false) })
	mux.HandleFunc("POST "+upstream.PathStop, func(w http.ResponseWriter, q *http.Request) { r.settle(w, q, true) })
	mux.HandleFunc("POST /control/mode", func(w http.ResponseWriter, q *http.Request) { r.SetMode(Mode(q.FormValue("mode"))) })
	mux.HandleFunc("POST /control/silence", func(_ http.ResponseWriter, q *http.Request) {
		caller, _ := q.Context().Value(connContextKey{}).(net.Conn)
		r.listener.SilenceExcept(caller)
	})
	mux.HandleFunc("GET /ledger", func(w http.ResponseWriter, _ *http.Request) { _ = json.NewEncoder(w).Encode(r.Ledger()) })
	return mux
}

// SetMode sets the runner's behaviour from now on.
func (r *Runner) SetMode(m Mode) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.mode = m
}

// Silence makes all open connections silent for good.
func (r *Runner) Silence() int {
	return r.listener.Silence()
}

// Ledger is what a runner has started and refused.
type Ledger struct {
	// Starts is how often each task was started, by the task's name.
	Starts  map[string]int `json:"starts"`
	Refused int            `json:"refused"`
}

// Ledger returns the runner's ledger.
func (r *Runner) Ledger() Ledger {
	r.mu.Lock()
	defer r.mu.Unlock()
	l := Ledger{Starts: make(map[string]int), Refused: r.refused}
	for name, t := range r.tasks {
		if t.starts > 0 {
			l.Starts[name] = t.starts
		}
	}
	return l
}

func (r *Runner) answer(w http.ResponseWriter, verdict string, body []byte) {
	w.Header().Set(upstream.HeaderRun, r.runID)
	w.Header().Set(upstream.HeaderVerdict, verdict)
	if r.leaving() {
		w.Header().Set(upstream.HeaderLeaving, "yes")
	}
	_, _ = w.Write(body)
}

func (r *Runner) leaving() bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.mode == Leave
}

func (r *Runner) start(w http.ResponseWriter, q *http.Request) {
	body, err := io.ReadAll(q.Body)
	if err != nil {
		r.answer(w, upstream.VerdictNotStarted, []byte("the request is cut off"))
		return
	}
	name := q.URL.Query().Get(upstream.ParamTask)
	t, ctx, mode, refusal := r.admit(name)
	if refusal != "" {
		r.answer(w, upstream.VerdictNotStarted, []byte(refusal))
		return
	}
	verdict, out := execute(ctx, mode, body)
	r.finish(t, verdict, out)
	r.answer(w, verdict, out)
}

// admit takes a slot for a task, or returns the reason for which the task isn't started.
func (r *Runner) admit(name string) (*taskRecord, context.Context, Mode, string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	t := r.tasks[name]
	if t != nil && !t.started {
		r.refused++
		return nil, nil, "", "settled before it began"
	}
	if r.mode == Refuse || r.mode == Leave || r.busy >= r.slots {
		r.refused++
		return nil, nil, "", "no slot"
	}
	if t == nil {
		t = &taskRecord{}
		r.tasks[name] = t
	}
	// A second start of a task is run and counted, so that tests find it in the ledger.
	ctx, stop := context.WithCancel(context.Background())
	t.started = true
	t.starts++
	t.done = make(chan struct{})
	t.stop = stop
	r.busy++
	return t, ctx, r.mode, ""
}

func (r *Runner) finish(t *taskRecord, verdict string, out []byte) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.busy--
	t.finished = true
	t.verdict = verdict
	t.body = out
	t.stop()
	close(t.done)
}

func execute(ctx context.Context, mode Mode, body []byte) (string, []byte) {
	var p Payload
	if json.Unmarshal(body, &p) != nil {
		p = Payload{RunMs: int(defaultRunTime.Milliseconds()), Output: string(body)}
	}
	switch mode {
	case FailAll:
		return upstream.VerdictFailed, []byte("this runner fails everything")
	case Hang:
		<-ctx.Done()
		return upstream.VerdictFailed, []byte("stopped")
	}
	select {
	case <-time.After(time.Duration(p.RunMs) * time.Millisecond):
	case <-ctx.Done():
		return upstream.VerdictFailed, []byte("stopped")
	}
	if p.Fail != "" {
		return upstream.VerdictFailed, []byte(p.Fail)
	}
	return upstream.VerdictFinished, []byte(p.Output)
}

// settle answers a settle call, or a stop call if stop is set; see upstream.PathSettle.
func (r *Runner) settle(w http.ResponseWriter, q *http.Request, stop bool) {
	name := q.URL.Query().Get(upstream.ParamTask)
	r.mu.Lock()
	t := r.tasks[name]
	if t == nil {
		t = &taskRecord{}
		r.tasks[name] = t
	}
	started, done := t.started, t.done
	if started && stop {
		t.stop()
	}
	r.mu.Unlock()
	if !started {
		r.answer(w, upstream.VerdictNotStarted, []byte("never begun"))
		return
	}
	select {
	case <-done:
		r.answer(w, t.verdict, t.body)
	case <-time.After(maxSettleWait):
		r.answer(w, upstream.VerdictRunning, nil)
	}
}
