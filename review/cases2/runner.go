//go:build review2

package main

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"time"

	"sapphirepoint.example/sapphirepoint/standin/deployment"
)

// maxLease is holdMaxMs of the pages, maxEnds the most ends in one answer, and stopTime how long a stop takes.
const (
	maxLease = 1000 * time.Millisecond
	maxEnds  = 500
	stopTime = 10 * time.Millisecond
)

// runner is a stand-in for a runner. It follows the pages: a lease, a fencing token, ends that are listed until
// they are acknowledged, and room. A task's spec is its run time, followed by "fail" if it fails at its end.
type runner struct {
	world   *world
	service string
	id      string
	zone    string
	address string
	server  *http.Server

	mu       sync.Mutex
	capacity int
	labels   []string
	bornMs   int64
	seq      int
	zero     time.Time
	token    uint64
	leaseEnd time.Time
	lease    *time.Timer
	running  map[runID]*runState
	closed   map[string]int
	ends     []*runEnd
	lastEnd  int
	changed  chan struct{}
}

type runID struct {
	task string
	run  int
}

type runState struct {
	timer    *time.Timer
	cpu      int
	stopping bool
}

// runEnd is an end that isn't acknowledged yet. lapsed: the lease has lapsed since.
type runEnd struct {
	runID
	seq    int
	how    string
	at     time.Time
	lapsed bool
}

func newRunner(w *world, id, zone string, labels []string, capacity int) (*runner, error) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	r := &runner{world: w, service: service, id: id, zone: zone, address: l.Addr().String()}
	r.begin(labels, capacity)
	mux := http.NewServeMux()
	mux.HandleFunc("POST /run-start", r.start)
	mux.HandleFunc("POST /run-stop", r.stop)
	mux.HandleFunc("POST /hold", r.hold)
	r.server = &http.Server{Handler: r.sometimesLate(mux)}
	go func() { _ = r.server.Serve(l) }()
	return r, r.register()
}

// begin begins a lifetime.
func (r *runner) begin(labels []string, capacity int) {
	r.labels, r.capacity = labels, capacity
	r.bornMs = max(r.bornMs+1, time.Now().UnixMilli())
	r.seq, r.zero, r.token, r.leaseEnd = 0, time.Now().Add(-time.Minute), 0, time.Time{}
	r.running, r.closed = make(map[runID]*runState), make(map[string]int)
	r.ends, r.lastEnd, r.changed = nil, 0, make(chan struct{})
}

// register writes the runner's entry into the store.
func (r *runner) register() error {
	r.mu.Lock()
	r.seq++
	info := deployment.RunnerInfo{
		Service: r.service, Address: r.address, Zone: r.zone, Version: "v1", Slots: 8, State: "ready",
		Capacity: map[string]int{"cpu": r.capacity, "memMb": 131072, "gpu": 0}, Labels: r.labels, Seq: r.seq, IncarnationStart: r.bornMs,
	}
	r.mu.Unlock()
	return r.world.store.Put("servers", r.id, info)
}

// sometimesLate leaves a share of the orders unanswered and carries them out later.
func (r *runner) sometimesLate(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, q *http.Request) {
		if !r.world.isLate() {
			next.ServeHTTP(w, q)
			return
		}
		raw, err := io.ReadAll(q.Body)
		if err != nil {
			return
		}
		later, born := q.Clone(context.Background()), r.born()
		time.AfterFunc(2*time.Second+rand.N(10*time.Second), func() {
			if r.born() != born {
				// The order has ended with the lifetime that held it.
				return
			}
			later.Body = io.NopCloser(bytes.NewReader(raw))
			next.ServeHTTP(httptest.NewRecorder(), later)
		})
		<-q.Context().Done()
	})
}

func (r *runner) born() int64 {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.bornMs
}

func (r *runner) clock() int64 { return time.Since(r.zero).Milliseconds() }

type order struct {
	Task       string `json:"task"`
	Run        int    `json:"run"`
	Spec       string `json:"spec"`
	DeadlineMs int64  `json:"deadlineMs"`
	FenceToken uint64 `json:"fenceToken"`
	AckCursor  int    `json:"ackCursor"`
	WaitMs     int    `json:"waitMs"`
}

// read decodes an order and checks the lifetime and the token. If it returns true the caller holds the lock.
func (r *runner) read(w http.ResponseWriter, q *http.Request) (order, bool) {
	var o order
	if id := q.Header.Get("Expect-Instance"); id != "" && id != r.id {
		w.WriteHeader(http.StatusMisdirectedRequest)
		return o, false
	}
	if json.NewDecoder(q.Body).Decode(&o) != nil {
		w.WriteHeader(http.StatusBadRequest)
		return o, false
	}
	r.mu.Lock()
	if o.FenceToken < r.token {
		r.reject(w, "fence")
		r.mu.Unlock()
		return o, false
	}
	r.token = o.FenceToken
	return o, true
}

func (r *runner) reject(w http.ResponseWriter, reason string) {
	writeJSON(w, http.StatusConflict, map[string]any{"clockMs": r.clock(), "born": r.bornMs, "reason": reason})
}

func (r *runner) accept(w http.ResponseWriter) {
	writeJSON(w, http.StatusOK, map[string]any{"clockMs": r.clock(), "born": r.bornMs})
}

func writeJSON(w http.ResponseWriter, status int, v any) {
	raw, _ := json.Marshal(v)
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_, _ = w.Write(raw)
}

func (r *runner) start(w http.ResponseWriter, q *http.Request) {
	o, ok := r.read(w, q)
	if !ok {
		return
	}
	defer r.mu.Unlock()
	id := runID{o.Task, o.Run}
	if s := r.running[id]; s != nil && !s.stopping {
		r.accept(w)
		return
	}
	if o.DeadlineMs <= r.clock() {
		r.reject(w, "late")
		return
	}
	r.extend(o.DeadlineMs)
	if o.Run <= r.closed[o.Task] {
		r.reject(w, "old")
		return
	}
	cpu := r.world.stepOf(o.Task).CPU
	if r.used()+cpu > r.capacity {
		if !r.world.unguarded {
			r.reject(w, "room")
			return
		}
		r.world.record.breaks("LIMIT: %s run %d on %s brings it to %d of %d", o.Task, o.Run, r.id, r.used()+cpu, r.capacity)
	}
	runTime, how := runOf(o.Spec)
	s := &runState{cpu: cpu}
	r.running[id] = s
	r.world.record.started(r, id, o)
	s.timer = time.AfterFunc(runTime, func() {
		r.mu.Lock()
		defer r.mu.Unlock()
		if r.running[id] == s {
			r.end(id, how)
		}
	})
	r.accept(w)
}

// runOf returns what a task's spec asks for.
func runOf(spec string) (time.Duration, string) {
	fields := strings.Fields(spec)
	d, err := time.ParseDuration(fields[0])
	if err != nil {
		d = time.Millisecond
	}
	if len(fields) > 1 && fields[1] == "fail" {
		return d, "failed"
	}
	return d, "done"
}

func (r *runner) used() int {
	n := 0
	for _, s := range r.running {
		n += s.cpu
	}
	return n
}

// end ends a run. The caller holds the lock.
func (r *runner) end(id runID, how string) {
	r.running[id].timer.Stop()
	delete(r.running, id)
	r.closed[id.task] = max(r.closed[id.task], id.run)
	r.lastEnd++
	e := &runEnd{runID: id, seq: r.lastEnd, how: how, at: time.Now()}
	r.ends = append(r.ends, e)
	r.world.record.ended(r, e)
	close(r.changed)
	r.changed = make(chan struct{})
}

func (r *runner) stop(w http.ResponseWriter, q *http.Request) {
	o, ok := r.read(w, q)
	if !ok {
		return
	}
	defer r.mu.Unlock()
	id := runID{o.Task, o.Run}
	r.closed[o.Task] = max(r.closed[o.Task], o.Run)
	if s := r.running[id]; s != nil && !s.stopping {
		s.stopping = true
		time.AfterFunc(stopTime, func() {
			r.mu.Lock()
			defer r.mu.Unlock()
			if r.running[id] == s {
				r.end(id, "stopped")
			}
		})
	}
	r.accept(w)
}

// extend prolongs the lease up to a time on the runner's clock. The caller holds the lock.
func (r *runner) extend(ms int64) {
	until := r.zero.Add(time.Duration(min(ms, r.clock()+maxLease.Milliseconds())) * time.Millisecond)
	if !until.After(r.leaseEnd) {
		return
	}
	r.markLapsed()
	r.leaseEnd = until
	if r.lease != nil {
		r.lease.Stop()
	}
	r.lease = time.AfterFunc(time.Until(until), func() {
		r.mu.Lock()
		defer r.mu.Unlock()
		if !until.Equal(r.leaseEnd) {
			return
		}
		r.markLapsed()
		for id := range r.running {
			r.end(id, "lapsed")
		}
	})
}

// markLapsed marks the listed ends if the lease has lapsed. The caller holds the lock.
func (r *runner) markLapsed() {
	if time.Now().Before(r.leaseEnd) {
		return
	}
	for _, e := range r.ends {
		e.lapsed = true
	}
}

func (r *runner) hold(w http.ResponseWriter, q *http.Request) {
	o, ok := r.read(w, q)
	if !ok {
		return
	}
	r.markLapsed()
	for len(r.ends) > 0 && r.ends[0].seq <= o.AckCursor {
		r.world.record.acknowledged(r, r.ends[0], o.FenceToken)
		r.ends = r.ends[1:]
	}
	if o.DeadlineMs > 0 {
		r.extend(o.DeadlineMs)
	}
	if len(r.ends) == 0 && o.WaitMs > 0 {
		changed := r.changed
		r.mu.Unlock()
		select {
		case <-changed:
		case <-time.After(time.Duration(o.WaitMs) * time.Millisecond):
		case <-q.Context().Done():
		}
		r.mu.Lock()
	}
	defer r.mu.Unlock()
	running, ended := [][]any{}, [][]any{}
	for id := range r.running {
		running = append(running, []any{id.task, id.run, "", 100, 0})
	}
	for _, e := range r.ends[:min(len(r.ends), maxEnds)] {
		ended = append(ended, []any{e.seq, e.task, e.run, e.how, ""})
	}
	writeJSON(w, http.StatusOK, map[string]any{"clockMs": r.clock(), "born": r.bornMs, "running": running, "endedRuns": ended})
}

// restart ends the lifetime and begins another one under the same id. The entry is written by register.
func (r *runner) restart(labels []string, capacity int) {
	r.mu.Lock()
	defer r.mu.Unlock()
	for id, s := range r.running {
		s.timer.Stop()
		r.world.record.line("%s crashed with %s run %d", r.id, id.task, id.run)
		r.world.record.gone(id)
	}
	if r.lease != nil {
		r.lease.Stop()
	}
	r.begin(labels, capacity)
	r.world.record.line("%s begins a new lifetime, labels %v", r.id, labels)
}

// heartbeat writes the entry again and again, as a runner does.
func (r *runner) heartbeat(stop <-chan struct{}) {
	for {
		select {
		case <-stop:
			return
		case <-time.After(1500 * time.Millisecond):
			if err := r.register(); err != nil {
				fmt.Println(err)
			}
		}
	}
}
