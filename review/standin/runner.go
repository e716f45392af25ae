//go:build review

package main

import (
	"encoding/json"
	"net"
	"net/http"
	"sync"
	"time"
)

// endsPerAnswer is how many ended runs a runner returns at a time.
const endsPerAnswer = 500

// holdMax is the longest lease, and heartbeat the interval of a runner's status reports.
const (
	holdMax   = time.Second
	heartbeat = 1500 * time.Millisecond
)

// runKey names a run of a task.
type runKey struct {
	task string
	run  int
}

// endedRun is an end that hasn't been acknowledged.
type endedRun struct {
	number int
	key    runKey
	how    string
	ref    *runRecord
}

// activeRun is a run at work.
type activeRun struct {
	timer *time.Timer
	cpu   int
	mem   int
	ref   *runRecord
}

// runner is a stand-in for a runner that guards its capacity. After a crash it comes back at the same
// address, under the same id, with a later start and without any memory.
type runner struct {
	w       *world
	id      string
	zone    string
	labels  []string
	cpu     int
	mem     int
	address string
	server  *http.Server

	mu       sync.Mutex
	born     int64
	clock0   time.Time
	token    uint64
	leaseEnd time.Time
	running  map[runKey]*activeRun
	closed   map[string]int
	ended    []endedRun
	last     int
	changed  chan struct{}
	seq      int
	state    string
	down     bool
	silent   bool
	gone     bool
	// lateShare is the share of starts that get no answer and are carried out late.
	lateShare float64
	// failing runners let all runs fail.
	failing bool
}

func newRunnerStandin(w *world, id, zone, rack string) (*runner, error) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	now := time.Now()
	r := &runner{
		w: w, id: id, zone: zone, labels: []string{"a", rack}, cpu: 64000, mem: 131072, address: l.Addr().String(),
		born: now.UnixMilli(), clock0: now.Add(-time.Duration(len(id)*1000) * time.Millisecond),
		running: make(map[runKey]*activeRun), closed: make(map[string]int), changed: make(chan struct{}), state: "ready",
	}
	mux := http.NewServeMux()
	mux.HandleFunc("POST /run-start", r.handleStart)
	mux.HandleFunc("POST /run-stop", r.handleStop)
	mux.HandleFunc("POST /hold", r.handleHold)
	mux.HandleFunc("GET /health", func(rw http.ResponseWriter, _ *http.Request) { rw.WriteHeader(http.StatusOK) })
	r.server = &http.Server{Handler: r.gate(mux)}
	go func() { _ = r.server.Serve(l) }()
	r.register()
	go r.beat()
	return r, nil
}

// beat reports the runner's status to the store.
func (r *runner) beat() {
	for {
		select {
		case <-r.w.closed:
			return
		case <-time.After(heartbeat):
		}
		r.mu.Lock()
		skip := r.down || r.silent || r.gone
		r.mu.Unlock()
		if !skip {
			r.register()
		}
	}
}

func (r *runner) register() {
	r.mu.Lock()
	r.seq++
	entry := map[string]any{
		"service": serviceName, "address": r.address, "zone": r.zone, "version": "v1", "slots": 8, "state": r.state,
		"capacity": map[string]int{"cpu": r.cpu, "memMb": r.mem, "gpu": 0}, "labels": r.labels, "seq": r.seq, "born": r.born, "coldLeftMs": 0,
	}
	r.mu.Unlock()
	_ = r.w.store.Put("servers", r.id, entry)
}

// gate leaves calls unanswered while the runner is down or cut off, and refuses those for another one.
func (r *runner) gate(next http.Handler) http.Handler {
	return http.HandlerFunc(func(rw http.ResponseWriter, q *http.Request) {
		r.mu.Lock()
		dead := r.down || r.silent || r.gone
		r.mu.Unlock()
		if dead {
			<-q.Context().Done()
			return
		}
		if id := q.Header.Get("Expect-Instance"); id != "" && id != r.id {
			rw.WriteHeader(http.StatusMisdirectedRequest)
			return
		}
		next.ServeHTTP(rw, q)
	})
}

// order is the body of all calls.
type order struct {
	Task           string `json:"task"`
	Run            int    `json:"run"`
	Spec           string `json:"spec"`
	DeadlineMs     int64  `json:"deadlineMs"`
	FenceToken     uint64 `json:"fenceToken"`
	AckCursor      int    `json:"ackCursor"`
	WaitMs         int    `json:"waitMs"`
	LastCheckpoint string `json:"lastCheckpoint"`
}

func (r *runner) clock() int64 { return time.Since(r.clock0).Milliseconds() }

func (r *runner) answer(rw http.ResponseWriter, status int, more map[string]any) {
	body := map[string]any{"clockMs": r.clock(), "born": r.born}
	for k, v := range more {
		body[k] = v
	}
	raw, _ := json.Marshal(body)
	rw.Header().Set("Content-Type", "application/json")
	rw.WriteHeader(status)
	_, _ = rw.Write(raw)
}

// admit checks the fencing token. The caller holds the lock.
func (r *runner) admit(rw http.ResponseWriter, o order) bool {
	if o.FenceToken < r.token {
		r.answer(rw, http.StatusConflict, map[string]any{"reason": "fence"})
		return false
	}
	r.token = o.FenceToken
	return true
}

func decode(rw http.ResponseWriter, q *http.Request) (order, bool) {
	var o order
	if err := json.NewDecoder(q.Body).Decode(&o); err != nil {
		rw.WriteHeader(http.StatusBadRequest)
		return o, false
	}
	return o, true
}

func (r *runner) extend(ms int64) {
	until := r.clock0.Add(time.Duration(ms) * time.Millisecond)
	if latest := time.Now().Add(holdMax); until.After(latest) {
		until = latest
	}
	if !until.After(r.leaseEnd) {
		return
	}
	r.leaseEnd = until
	born := r.born
	time.AfterFunc(time.Until(until)+time.Millisecond, func() {
		r.mu.Lock()
		defer r.mu.Unlock()
		if r.born != born || time.Now().Before(r.leaseEnd) {
			return
		}
		for _, e := range r.ended {
			e.ref.lapsedAfterEnd = true
		}
		for k := range r.running {
			r.end(k, "lapsed")
		}
	})
}

func (r *runner) used() (cpu, mem int) {
	for _, a := range r.running {
		cpu += a.cpu
		mem += a.mem
	}
	return cpu, mem
}

func (r *runner) handleStart(rw http.ResponseWriter, q *http.Request) {
	o, ok := decode(rw, q)
	if !ok {
		return
	}
	r.mu.Lock()
	late := r.lateShare > 0 && r.w.chance(r.lateShare)
	r.mu.Unlock()
	if late {
		delay := r.w.between(2*time.Second, 12*time.Second)
		r.w.rec.line("late-order runner=%s task=%s run=%d carried out in %v", r.id, o.Task, o.Run, delay)
		time.AfterFunc(delay, func() {
			r.mu.Lock()
			defer r.mu.Unlock()
			if !r.down && !r.gone {
				r.start(discard{}, o, true)
			}
		})
		<-q.Context().Done()
		return
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.down || r.gone {
		return
	}
	r.start(rw, o, false)
}

// start carries out a start. The caller holds the lock.
func (r *runner) start(rw http.ResponseWriter, o order, late bool) {
	if !r.admit(rw, o) {
		return
	}
	k := runKey{o.Task, o.Run}
	t := r.w.task(o.Task)
	cpu, mem := r.used()
	switch {
	case r.running[k] != nil:
		r.answer(rw, http.StatusOK, nil)
		return
	case o.Run <= r.closed[o.Task]:
		r.extend(o.DeadlineMs)
		r.answer(rw, http.StatusConflict, map[string]any{"reason": "old"})
		return
	case o.DeadlineMs <= r.clock():
		r.answer(rw, http.StatusConflict, map[string]any{"reason": "late"})
		return
	case t != nil && (cpu+t.cpu > r.cpu || mem+t.mem > r.mem):
		r.extend(o.DeadlineMs)
		r.answer(rw, http.StatusConflict, map[string]any{"reason": "room"})
		return
	}
	r.extend(o.DeadlineMs)
	ref := r.w.noteStart(r, k, o, late)
	a := &activeRun{ref: ref}
	if t != nil {
		a.cpu, a.mem = t.cpu, t.mem
	}
	r.running[k] = a
	born := r.born
	switch {
	case t == nil:
		a.timer = time.AfterFunc(time.Millisecond, func() { r.finish(k, born, "done") })
	case t.crash:
		a.timer = time.AfterFunc(t.work, func() { r.crash(born, t.crashDown) })
	case r.failing || r.w.fails(t):
		a.timer = time.AfterFunc(t.work, func() { r.finish(k, born, "failed") })
	default:
		a.timer = time.AfterFunc(t.work, func() { r.finish(k, born, "done") })
	}
	r.answer(rw, http.StatusOK, nil)
}

func (r *runner) finish(k runKey, born int64, how string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.born == born {
		r.end(k, how)
	}
}

// end ends a run. The caller holds the lock.
func (r *runner) end(k runKey, how string) {
	a := r.running[k]
	if a == nil {
		return
	}
	a.timer.Stop()
	delete(r.running, k)
	r.closed[k.task] = max(r.closed[k.task], k.run)
	r.last++
	r.ended = append(r.ended, endedRun{number: r.last, key: k, how: how, ref: a.ref})
	r.w.noteEnd(a.ref, how)
	close(r.changed)
	r.changed = make(chan struct{})
}

// crash ends all runs without a trace. The runner starts again after a while.
func (r *runner) crash(born int64, down time.Duration) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.born != born || r.down || r.gone {
		return
	}
	r.w.rec.line("runner-crashed runner=%s", r.id)
	r.down = true
	for k, a := range r.running {
		a.timer.Stop()
		delete(r.running, k)
		r.w.noteEnd(a.ref, "crashed")
	}
	r.ended = nil
	time.AfterFunc(down, func() {
		r.mu.Lock()
		r.born = max(r.born+1, time.Now().UnixMilli())
		r.clock0 = time.Now()
		r.token, r.leaseEnd, r.last, r.seq = 0, time.Time{}, 0, 0
		r.closed = make(map[string]int)
		r.down = false
		r.w.rec.line("runner-back runner=%s", r.id)
		r.mu.Unlock()
		r.register()
	})
}

func (r *runner) handleStop(rw http.ResponseWriter, q *http.Request) {
	o, ok := decode(rw, q)
	if !ok {
		return
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.down || r.gone || !r.admit(rw, o) {
		return
	}
	r.closed[o.Task] = max(r.closed[o.Task], o.Run)
	r.end(runKey{o.Task, o.Run}, "stopped")
	r.answer(rw, http.StatusOK, nil)
}

func (r *runner) handleHold(rw http.ResponseWriter, q *http.Request) {
	o, ok := decode(rw, q)
	if !ok {
		return
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.down || r.gone || !r.admit(rw, o) {
		return
	}
	if o.DeadlineMs > 0 {
		r.extend(o.DeadlineMs)
	}
	for len(r.ended) > 0 && r.ended[0].number <= o.AckCursor {
		r.w.noteAck(r.ended[0].ref)
		r.ended = r.ended[1:]
	}
	if len(r.ended) == 0 && o.WaitMs > 0 {
		changed, born := r.changed, r.born
		r.mu.Unlock()
		select {
		case <-changed:
		case <-time.After(time.Duration(min(o.WaitMs, 2000)) * time.Millisecond):
		case <-q.Context().Done():
		}
		r.mu.Lock()
		if r.down || r.gone || r.born != born {
			return
		}
	}
	running := make([][]any, 0, len(r.running))
	for k := range r.running {
		running = append(running, []any{k.task, k.run, "", 100, 0})
	}
	ended := make([][]any, 0, min(len(r.ended), endsPerAnswer))
	for _, e := range r.ended {
		if len(ended) == endsPerAnswer {
			break
		}
		ended = append(ended, []any{e.number, e.key.task, e.key.run, e.how, ""})
	}
	r.answer(rw, http.StatusOK, map[string]any{"running": running, "endedRuns": ended})
}

// discard drops the answer to an order that is carried out late.
type discard struct{}

func (discard) Header() http.Header         { return make(http.Header) }
func (discard) Write(b []byte) (int, error) { return len(b), nil }
func (discard) WriteHeader(int)             {}
