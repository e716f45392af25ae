//go:build review3

package main

import (
	"sync"
	"time"
)

// grey: four of 48 runners answer some orders to start with 400 for some seconds, and do nothing; their health is good, and
// the others are sound. No job may be shown as failed, since no run ends failed.
func grey(w *world, trouble bool) verdict {
	const (
		rate     = 60
		traffic  = 15 * time.Second
		greyAt   = 4 * time.Second
		greyTime = 5500 * time.Millisecond
		// The share of the runners, and that of their orders to start which fail.
		greyRunners = 4
		greyShare   = 0.4
	)
	if !w.awaitReady(10 * time.Second) {
		w.rec.logf("the processes aren't ready")
		return failed
	}
	time.Sleep(2 * time.Second)
	begin := time.Now()
	end := begin.Add(traffic)
	var wg sync.WaitGroup
	if trouble {
		wg.Go(func() {
			time.Sleep(greyAt)
			w.rec.logf("%d runners answer a share of %.1f of the orders to start with 400 for %v", greyRunners, greyShare, greyTime)
			w.setGrey(greyRunners, greyShare)
			time.Sleep(greyTime)
			w.setGrey(greyRunners, 0)
			w.rec.logf("all runners are sound again")
		})
	}
	var jobs []*job
	tick := time.NewTicker(time.Second / rate)
	defer tick.Stop()
	for time.Now().Before(end) {
		<-tick.C
		j := &job{id: newID(), body: jobBody{Spec: "label", Steps: steps()}}
		w.setWork(j.id, work{spec: j.body.Spec, cpu: kindCPU, memMB: 64, time: kindTime})
		jobs = append(jobs, j)
		wg.Go(func() { w.submit(j, end.Add(5*time.Second)) })
	}
	wg.Wait()
	time.Sleep(time.Until(end.Add(14 * time.Second)))
	w.summarize(jobs, begin)
	wrong := 0
	w.runs.mu.Lock()
	defer w.runs.mu.Unlock()
	for _, j := range jobs {
		if !j.accepted.IsZero() && j.final == "failed" {
			wrong++
			w.rec.logf("%s is shown as failed", j.id)
		}
	}
	failures := 0
	for _, n := range w.runs.failed {
		failures += n
	}
	w.rec.logf("jobs that were accepted, not cancelled and are shown as failed: %d; runs that ended failed: %d", wrong, failures)
	if wrong > 0 && failures == 0 {
		w.rec.logf("rule LOST broken")
		return broken
	}
	return held
}

// setGrey sets the share of the orders to start that the first runners answer with 400.
func (w *world) setGrey(runners int, share float64) {
	for _, r := range w.runners[:runners] {
		r.mu.Lock()
		r.badStarts = share
		r.mu.Unlock()
	}
}
