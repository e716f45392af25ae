//go:build review3

package main

import (
	"encoding/json"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"strings"
	"sync"
	"time"
)

// The size and the bounds of a runner of the small site.
const (
	runnerCPU    = 64000
	runnerMemMB  = 131072
	holdMax      = time.Second
	stopTime     = 20 * time.Millisecond
	maxEndsShown = 500
)

type runID struct {
	task   string
	number int
}

// activeRun is a run at work.
type activeRun struct {
	id         runID
	cpu, memMB int
	timer      *time.Timer
	stopping   bool
}

type endedRun struct {
	sequence int
	id       runID
	how      string
}

// runner is a stand-in for a runner that gets its orders by calls ("invoke").
type runner struct {
	id, zone, rack, address string
	w                       *world
	server                  *http.Server

	mu       sync.Mutex
	start    time.Time
	token    uint64
	leaseEnd time.Time
	lapse    *time.Timer
	running  map[runID]*activeRun
	// closed has the highest run of each task that was stopped or has ended here.
	closed   map[string]int
	ended    []endedRun
	sequence int
	changed  chan struct{}
	usedCPU  int
	usedMem  int
	gone     bool
	// badStarts is the share of the orders to start that it answers with 400.
	badStarts float64
}

func (w *world) newRunner(i int) (*runner, error) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	r := &runner{
		id: fmt.Sprintf("i-%08x", 0x5a100000+i*7919), zone: zones[i%len(zones)], rack: fmt.Sprintf("r%d-%d", i%len(zones)+1, i/24+1),
		address: l.Addr().String(), w: w, start: time.Now().Add(-time.Hour), running: map[runID]*activeRun{}, closed: map[string]int{},
		changed: make(chan struct{}),
	}
	mux := http.NewServeMux()
	mux.HandleFunc("POST /run-start", r.order(r.startRun))
	mux.HandleFunc("POST /run-stop", r.order(r.stopRun))
	mux.HandleFunc("POST /hold", r.order(r.hold))
	mux.HandleFunc("GET /health", func(w http.ResponseWriter, _ *http.Request) { w.WriteHeader(http.StatusOK) })
	r.server = &http.Server{Handler: mux}
	go func() { _ = r.server.Serve(l) }()
	return r, nil
}

// entry is the runner's row in the store.
func (r *runner) entry(seq int) map[string]any {
	return map[string]any{
		"service": serviceName, "address": r.address, "zone": r.zone, "version": "v1", "slots": 8, "state": "ready",
		"coldLeftMs": 0, "seq": seq, "capacity": map[string]int{"cpu": runnerCPU, "memMb": runnerMemMB, "gpu": 0},
		"labels": []string{"a", r.rack},
	}
}

// clock is the runner's steady clock in milliseconds.
func (r *runner) clock() int64 { return time.Since(r.start).Milliseconds() }

type orderBody struct {
	Task       string `json:"task"`
	Run        int    `json:"run"`
	Spec       string `json:"spec"`
	DeadlineMs int64  `json:"deadlineMs"`
	FenceToken uint64 `json:"fenceToken"`
	AckCursor  int    `json:"ackCursor"`
	WaitMs     int    `json:"waitMs"`
}

// order checks what all orders have in common, and calls f with the lock held.
func (r *runner) order(f func(w http.ResponseWriter, q *http.Request, o orderBody)) http.HandlerFunc {
	return func(w http.ResponseWriter, q *http.Request) {
		if id := q.Header.Get("Expect-Instance"); id != "" && id != r.id {
			w.WriteHeader(http.StatusMisdirectedRequest)
			return
		}
		var o orderBody
		raw, err := io.ReadAll(q.Body)
		if err != nil || json.Unmarshal(raw, &o) != nil {
			w.WriteHeader(http.StatusBadRequest)
			return
		}
		r.mu.Lock()
		defer r.mu.Unlock()
		if o.FenceToken < r.token {
			r.reject(w, "fence")
			return
		}
		r.token = o.FenceToken
		f(w, q, o)
	}
}

func (r *runner) reject(w http.ResponseWriter, reason string) {
	answer(w, http.StatusConflict, map[string]any{"clockMs": r.clock(), "reason": reason})
}

func (r *runner) accept(w http.ResponseWriter) {
	answer(w, http.StatusOK, map[string]any{"clockMs": r.clock()})
}

// extendLease extends the lease to a time on the runner's clock, at most by holdMax. It never shortens it.
func (r *runner) extendLease(deadlineMs int64) {
	end := r.start.Add(time.Duration(deadlineMs) * time.Millisecond)
	if latest := time.Now().Add(holdMax); end.After(latest) {
		end = latest
	}
	if !end.After(r.leaseEnd) {
		return
	}
	r.leaseEnd = end
	if r.lapse != nil {
		r.lapse.Stop()
	}
	r.lapse = time.AfterFunc(time.Until(end), func() {
		r.mu.Lock()
		defer r.mu.Unlock()
		if time.Now().Before(r.leaseEnd) {
			return
		}
		for _, a := range r.running {
			r.end(a, "lapsed")
		}
	})
}

func (r *runner) startRun(w http.ResponseWriter, _ *http.Request, o orderBody) {
	id := runID{o.Task, o.Run}
	work, known := r.w.workOf(o.Task)
	if !known || work.spec != o.Spec {
		r.w.rec.logf("UNASKED: %s told to start %s, known %v", r.id, o.Task, known)
		r.w.runs.noteUnasked()
	}
	if rand.Float64() < r.badStarts {
		r.w.rec.logf("%s answers the order to start %s#%d with 400", r.id, o.Task, o.Run)
		answer(w, http.StatusBadRequest, map[string]any{"clockMs": r.clock()})
		return
	}
	switch a := r.running[id]; {
	case a != nil && !a.stopping:
		r.extendLease(o.DeadlineMs)
		r.accept(w)
		return
	case o.Run <= r.closed[o.Task]:
		r.extendLease(o.DeadlineMs)
		r.reject(w, "old")
		return
	case o.DeadlineMs <= r.clock():
		r.reject(w, "late")
		return
	}
	r.extendLease(o.DeadlineMs)
	if r.usedCPU+work.cpu > runnerCPU || r.usedMem+work.memMB > runnerMemMB {
		r.reject(w, "room")
		return
	}
	r.usedCPU += work.cpu
	r.usedMem += work.memMB
	how := work.outcome(o.Task, o.Run)
	a := &activeRun{id: id, cpu: work.cpu, memMB: work.memMB}
	r.running[id] = a
	r.w.runs.started(r, id)
	a.timer = time.AfterFunc(work.time, func() {
		r.mu.Lock()
		defer r.mu.Unlock()
		r.end(a, how)
	})
	r.accept(w)
}

// end ends a run that is at work.
func (r *runner) end(a *activeRun, how string) {
	if r.running[a.id] != a {
		return
	}
	a.timer.Stop()
	delete(r.running, a.id)
	r.usedCPU -= a.cpu
	r.usedMem -= a.memMB
	r.closed[a.id.task] = max(r.closed[a.id.task], a.id.number)
	r.sequence++
	r.ended = append(r.ended, endedRun{r.sequence, a.id, how})
	r.w.runs.ended(r, a.id, how)
	close(r.changed)
	r.changed = make(chan struct{})
}

func (r *runner) stopRun(w http.ResponseWriter, _ *http.Request, o orderBody) {
	r.closed[o.Task] = max(r.closed[o.Task], o.Run)
	if a := r.running[runID{o.Task, o.Run}]; a != nil && !a.stopping {
		a.stopping = true
		time.AfterFunc(stopTime, func() {
			r.mu.Lock()
			defer r.mu.Unlock()
			r.end(a, "stopped")
		})
	}
	r.accept(w)
}

func (r *runner) hold(w http.ResponseWriter, q *http.Request, o orderBody) {
	if o.DeadlineMs > 0 {
		r.extendLease(o.DeadlineMs)
	}
	for len(r.ended) > 0 && r.ended[0].sequence <= o.AckCursor {
		r.w.runs.noted(r.ended[0].id)
		r.ended = r.ended[1:]
	}
	if len(r.ended) == 0 && o.WaitMs > 0 {
		changed := r.changed
		r.mu.Unlock()
		select {
		case <-changed:
		case <-time.After(time.Duration(min(o.WaitMs, 2000)) * time.Millisecond):
		case <-q.Context().Done():
		}
		r.mu.Lock()
	}
	running := make([][]any, 0, len(r.running))
	for id, a := range r.running {
		running = append(running, []any{id.task, id.number, "", 100, a.cpu})
	}
	ends := make([][]any, 0, len(r.ended))
	for _, e := range r.ended[:min(len(r.ended), maxEndsShown)] {
		ends = append(ends, []any{e.sequence, e.id.task, e.id.number, e.how, ""})
	}
	answer(w, http.StatusOK, map[string]any{"clockMs": r.clock(), "running": running, "endedRuns": ends})
}

// crash ends the runner without a word.
func (r *runner) crash() {
	_ = r.server.Close()
	r.mu.Lock()
	defer r.mu.Unlock()
	r.gone = true
	for _, a := range r.running {
		a.timer.Stop()
		r.w.runs.ended(r, a.id, "crashed")
	}
	r.running = map[runID]*activeRun{}
	if r.lapse != nil {
		r.lapse.Stop()
	}
}

// work is what a job's tasks do on runners.
type work struct {
	spec       string
	cpu, memMB int
	time       time.Duration
	// fails: all runs of its tasks end failed.
	fails bool
}

func (k work) outcome(string, int) string {
	if k.fails {
		return "failed"
	}
	return "done"
}

func jobOf(task string) string {
	id, _, _ := strings.Cut(task, ".")
	return id
}

// runLog records what runners do.
type runLog struct {
	rec   *record
	quiet bool

	mu sync.Mutex
	// atWork has the runners on which each task is at work.
	atWork map[string]map[runID]string
	// starts, done and failed count by task; busySince is when a job last had a run at work.
	starts, done, failed map[string]int
	busyAt               map[string]time.Time
	listed, acknowledged int
	listedAt             []time.Time
	ackedDone            map[string]bool
	unasked, overlaps    int
	// onRun is called with the job of each run that starts or ends; nil if nobody wants to know. late counts the runs of
	// each cancelled job that were late.
	onRun func(job string, end bool)
	late  map[string]int
}

func newRunLog(rec *record) *runLog {
	return &runLog{
		rec: rec, atWork: map[string]map[runID]string{}, starts: map[string]int{}, done: map[string]int{}, failed: map[string]int{},
		busyAt: map[string]time.Time{}, ackedDone: map[string]bool{}, late: map[string]int{},
	}
}

func (l *runLog) started(r *runner, id runID) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.starts[id.task]++
	l.busyAt[jobOf(id.task)] = time.Now()
	if l.atWork[id.task] == nil {
		l.atWork[id.task] = map[runID]string{}
	}
	if len(l.atWork[id.task]) > 0 {
		l.overlaps++
		l.rec.logf("TWICE: %s#%d starts on %s, while at work: %v", id.task, id.number, r.id, l.atWork[id.task])
	}
	if l.ackedDone[id.task] {
		l.overlaps++
		l.rec.logf("TWICE: %s#%d starts on %s, after an end that was taken note of", id.task, id.number, r.id)
	}
	l.atWork[id.task][id] = r.id
	if l.onRun != nil {
		l.onRun(jobOf(id.task), false)
	}
	if !l.quiet {
		l.rec.logf("run %s#%d starts on %s", id.task, id.number, r.id)
	}
}

func (l *runLog) ended(r *runner, id runID, how string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	delete(l.atWork[id.task], id)
	if l.onRun != nil {
		l.onRun(jobOf(id.task), true)
	}
	if len(l.atWork[id.task]) == 0 {
		delete(l.atWork, id.task)
	}
	l.busyAt[jobOf(id.task)] = time.Now()
	if how != "crashed" {
		l.listed++
	}
	switch how {
	case "done":
		l.done[id.task]++
	case "failed":
		l.failed[id.task]++
	}
	if !l.quiet {
		l.rec.logf("run %s#%d ends %s on %s", id.task, id.number, how, r.id)
	}
}

func (l *runLog) noted(id runID) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.acknowledged++
	if l.done[id.task] > 0 {
		l.ackedDone[id.task] = true
	}
}

func (l *runLog) noteUnasked() {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.unasked++
}

// counts returns how many ends were listed, and how many of them were taken note of.
func (l *runLog) counts() (listed, noted int) {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.listed, l.acknowledged
}
