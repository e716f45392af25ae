//go:build review3

package main

import (
	"sync"
	"time"
)

// poison: beside the usual stored jobs of many small tasks one large job comes whose tasks
// all fail by their own fault. It must be shown as failed, and nothing else may stand still.
func poison(w *world, trouble bool) verdict {
	const (
		rate     = 5
		traffic  = 30 * time.Second
		poisonAt = 4 * time.Second
		// The usual jobs have two steps of so many tasks. All tasks need a tenth of a core.
		usualTasks  = 50
		usualTime   = 300 * time.Millisecond
		poisonTasks = 3000
		poisonTime  = 2500 * time.Millisecond
		smallCPU    = 100
	)
	if !w.awaitReady(10 * time.Second) {
		w.rec.logf("the processes aren't ready")
		return failed
	}
	time.Sleep(2 * time.Second)
	begin := time.Now()
	end := begin.Add(traffic)
	var wg sync.WaitGroup
	var jobs []*job
	bad := &job{id: newID(), body: jobBody{Spec: "large", Steps: []step{{Count: poisonTasks, CPU: smallCPU, MemMB: 1, EstimateMs: int(poisonTime.Milliseconds())}}}}
	w.setWork(bad.id, work{spec: bad.body.Spec, cpu: smallCPU, memMB: 1, time: poisonTime, fails: trouble})
	wg.Go(func() {
		time.Sleep(poisonAt)
		w.rec.logf("a job of %d tasks comes, %s; its tasks fail: %v", poisonTasks, bad.id, trouble)
		w.submit(bad, end)
	})
	tick := time.NewTicker(time.Second / rate)
	defer tick.Stop()
	for time.Now().Before(end) {
		<-tick.C
		first := step{Count: usualTasks, CPU: smallCPU, MemMB: 1, EstimateMs: int(usualTime.Milliseconds())}
		second := first
		second.DependsOn = []int{0}
		j := &job{id: newID(), body: jobBody{Spec: "labels", Steps: []step{first, second}}}
		w.setWork(j.id, work{spec: j.body.Spec, cpu: smallCPU, memMB: 1, time: usualTime})
		jobs = append(jobs, j)
		wg.Go(func() { w.submit(j, end) })
	}
	wg.Wait()
	time.Sleep(time.Until(end.Add(14 * time.Second)))
	w.summarize(jobs, begin)
	state := w.state(bad)
	stuck := w.withoutRuns(jobs)
	listed, noted := w.runs.counts()
	w.runs.mu.Lock()
	idle, most := time.Since(w.runs.busyAt[bad.id]), 0
	for task, n := range w.runs.failed {
		if jobOf(task) == bad.id {
			most = max(most, n)
		}
	}
	w.runs.mu.Unlock()
	w.rec.logf("the job of %d tasks is shown as %s; the most ends failed of one task are %d of %d, and nothing of it has run for %.1f s", poisonTasks, state, most, maxAttempts, idle.Seconds())
	w.rec.logf("other accepted jobs whose next step's turn has come and that have had nothing running for 3 s, on idle runners: %d", stuck)
	w.rec.logf("ends that runners have listed: %d, not taken note of: %d", listed, listed-noted)
	if stuck > 0 || !bad.accepted.IsZero() && state == "running" && idle > 3*time.Second {
		w.rec.logf("rule LOST broken")
		return broken
	}
	return held
}
