//go:build review3

package main

import (
	"encoding/base64"
	"encoding/json"
	"fmt"
	"os"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"time"
)

// longRead: clients have handed in some thousand timed jobs for later, whose specs use the size that the pages allow, and
// some that run every two seconds. The process that last wrote to the store under a condition is killed. Afterwards all
// jobs must be known, and the tasks whose turn has come must run.
func longRead(w *world, trouble bool) verdict {
	const (
		senders     = 12
		regularJobs = 12
		interval    = 2 * time.Second
		// settle is the time from the loss until the check: finish_s, and more than recoveryS.
		settle = 20 * time.Second
	)
	waitingJobs, spec := 6000, labelData
	w.store.linkMbps = 1000
	if os.Getenv("PLAIN") != "" {
		// The links of the larger machines of the grown site, and more jobs of plain text.
		waitingJobs, spec, w.store.linkMbps = 12000, strings.Repeat("x", 4000), 200
	}
	if !w.awaitReady(10 * time.Second) {
		w.rec.logf("the processes aren't ready")
		return failed
	}
	time.Sleep(2 * time.Second)
	var regular, waiting []*job
	for range regularJobs {
		j := &job{id: newID(), body: jobBody{
			Spec: "hourly check", Steps: []step{{Count: 2, CPU: 1000, MemMB: 64, EstimateMs: 50}},
			Times: 100, StartAtMs: time.Now().Add(time.Second).UnixMilli(), IntervalMs: interval.Milliseconds(),
		}}
		w.setWork(j.id, work{spec: j.body.Spec, cpu: 1000, memMB: 64, time: 50 * time.Millisecond})
		w.submit(j, time.Now().Add(5*time.Second))
		regular = append(regular, j)
	}
	later := time.Now().Add(time.Hour).UnixMilli()
	for range waitingJobs {
		j := &job{id: newID(), body: jobBody{
			Spec: spec, Steps: []step{{Count: 1, CPU: 1000, MemMB: 64, EstimateMs: 50}},
			Times: 1, StartAtMs: later, IntervalMs: time.Hour.Milliseconds(),
		}}
		w.setWork(j.id, work{spec: j.body.Spec, cpu: 1000, memMB: 64, time: 50 * time.Millisecond})
		waiting = append(waiting, j)
	}
	var wg sync.WaitGroup
	next := make(chan *job)
	sent := time.Now()
	for range senders {
		wg.Go(func() {
			for j := range next {
				w.submit(j, sent.Add(40*time.Second))
			}
		})
	}
	for _, j := range waiting {
		next <- j
	}
	close(next)
	wg.Wait()
	accepted := 0
	for _, j := range append(waiting, regular...) {
		if !j.accepted.IsZero() {
			accepted++
		}
	}
	w.rec.logf("accepted %d of %d jobs in %.1f s", accepted, len(waiting)+len(regular), time.Since(sent).Seconds())
	if accepted < waitingJobs/2 {
		return failed
	}
	time.Sleep(3 * time.Second)
	if trouble {
		n := w.lastWriter()
		if n == nil {
			w.rec.logf("no process owns the jobs")
			return failed
		}
		w.signal(n, syscall.SIGKILL)
	}
	time.Sleep(settle)
	return w.checkKnown(waiting, regular)
}

// checkKnown asks for the states of jobs, up to three times each, and counts the regular jobs of which nothing has run for
// 3 s though they are due every two seconds.
func (w *world) checkKnown(waiting, regular []*job) verdict {
	still := 0
	w.runs.mu.Lock()
	for _, j := range regular {
		if idle := time.Since(w.runs.busyAt[j.id]); !j.accepted.IsZero() && idle > 5*time.Second {
			still++
			w.rec.logf("nothing has run of %s for %.1f s, though it is due every 2 s", j.id, idle.Seconds())
		}
	}
	w.runs.mu.Unlock()
	states := map[string]int{}
	var mu sync.Mutex
	var wg sync.WaitGroup
	slots := make(chan struct{}, 16)
	for _, j := range append(append([]*job{}, regular...), waiting[:min(len(waiting), 100)]...) {
		if j.accepted.IsZero() {
			continue
		}
		wg.Go(func() {
			slots <- struct{}{}
			defer func() { <-slots }()
			var s string
			for range 3 {
				s = w.state(j)
				w.rec.logf("GET %s: %s", j.id, s)
				if !strings.HasPrefix(s, "status") {
					break
				}
			}
			mu.Lock()
			defer mu.Unlock()
			states[s]++
		})
	}
	wg.Wait()
	w.rec.logf("states: %v; regular jobs that stand still: %d of %d", states, still, len(regular))
	for _, n := range w.nodes {
		w.rec.logf("memory of %s: %d MB", n.Name, w.memoryMB(n))
	}
	unknown := states["status 0"] + states["status 503"] + states["status 504"] + states["status 410"]
	if still > 0 || unknown > 0 {
		w.rec.logf("rule LOST broken")
		return broken
	}
	return held
}

// memoryMB is the resident memory of a node's process.
func (w *world) memoryMB(n *node) int {
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.process == nil {
		return 0
	}
	raw, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", n.process.Pid))
	if err != nil {
		return 0
	}
	for line := range strings.SplitSeq(string(raw), "\n") {
		if rest, ok := strings.CutPrefix(line, "VmRSS:"); ok {
			kb, _ := strconv.Atoi(strings.TrimSpace(strings.TrimSuffix(strings.TrimSpace(rest), "kB")))
			return kb / 1024
		}
	}
	return 0
}

// lastWriter is the node whose process last took the stored jobs, by its row in the store; nil if none has.
func (w *world) lastWriter() *node {
	w.store.mu.Lock()
	defer w.store.mu.Unlock()
	for k, r := range w.store.rows {
		if !strings.HasSuffix(k.table, "-ownership") {
			continue
		}
		var o struct {
			Owner string `json:"owner"`
		}
		raw, err := base64.StdEncoding.DecodeString(r.Value)
		if err != nil || json.Unmarshal(raw, &o) != nil {
			continue
		}
		for _, n := range w.nodes {
			if strings.HasPrefix(o.Owner, n.Name+"#") {
				return n
			}
		}
	}
	return nil
}
