//go:build review3

package main

import (
	"time"
)

// farStart: a client hands in a timed job whose first time is on the last day of the year 9999. No task of it may start.
// Without the trouble the job's first time is in a year.
func farStart(w *world, trouble bool) verdict {
	if !w.awaitReady(10 * time.Second) {
		w.rec.logf("the processes aren't ready")
		return failed
	}
	time.Sleep(2 * time.Second)
	start := time.Now().AddDate(1, 0, 0)
	if trouble {
		start = time.Date(9999, 12, 31, 0, 0, 0, 0, time.UTC)
	}
	j := &job{id: newID(), body: jobBody{
		Spec: "yearly check", Steps: []step{{Count: 2, CPU: 1000, MemMB: 64, EstimateMs: 50}},
		Times: 2, StartAtMs: start.UnixMilli(), IntervalMs: time.Hour.Milliseconds(),
	}}
	w.setWork(j.id, work{spec: j.body.Spec, cpu: 1000, memMB: 64, time: 50 * time.Millisecond})
	w.submit(j, time.Now().Add(15*time.Second))
	if j.accepted.IsZero() {
		w.rec.logf("the job isn't accepted")
		return failed
	}
	time.Sleep(10 * time.Second)
	w.rec.logf("GET %s: %s", j.id, w.state(j))
	w.runs.mu.Lock()
	defer w.runs.mu.Unlock()
	if n := len(w.runs.starts); n > 0 {
		w.rec.logf("rule ORDER broken: %d tasks were started, %.0f days early", n, time.Until(start).Hours()/24)
		return broken
	}
	return held
}
