//go:build review

package main

import (
	"fmt"
	"sync"
	"time"
)

func init() {
	plays["grey"] = play{site: smallSite, attempts: 4, run: playGrey}
}

const (
	// greyRunners of the 48 runners fail all that they start for greyTime.
	greyRunners = 3
	greyTime    = 6500 * time.Millisecond
	// largeJobTasks is the size of the largest jobs that are expected.
	largeJobTasks = 980
)

// playGrey sends stored jobs of two small steps at an even rate. One of the jobs is large: a step of many
// small tasks, and one task after it. With trouble, some runners fail all that they start from just before
// the large job comes.
func playGrey(w *world) ([]string, error) {
	const (
		traffic  = 30 * time.Second
		interval = 500 * time.Millisecond
		largeAt  = 8
	)
	small := []stepSpec{
		{Count: 1, CPU: 500, MemMB: 64, EstimateMs: 200, work: 200 * time.Millisecond},
		{Count: 1, CPU: 500, MemMB: 64, EstimateMs: 200, work: 200 * time.Millisecond, DependsOn: []int{0}},
	}
	large := []stepSpec{
		{Count: largeJobTasks, CPU: 60, MemMB: 32, EstimateMs: 300, work: 300 * time.Millisecond},
		{Count: 1, CPU: 500, MemMB: 64, EstimateMs: 200, work: 200 * time.Millisecond, DependsOn: []int{0}},
	}
	var clients sync.WaitGroup
	begin := time.Now()
	for k := 0; time.Since(begin) < traffic; k++ {
		time.Sleep(time.Until(begin.Add(time.Duration(k) * interval)))
		steps := small
		if k == largeAt {
			steps = large
			if *trouble {
				w.rec.line("FAULT %d of %d runners fail all that they start", greyRunners, len(w.runners))
				w.setFailing(greyRunners, true)
				time.AfterFunc(greyTime, func() {
					w.setFailing(greyRunners, false)
					w.rec.line("the runners are sound again")
				})
			}
		}
		j := w.newJob(fmt.Sprintf("%016x", 0xabc000000+k), jobSpec{Spec: fmt.Sprint("label ", k), Steps: steps})
		if k == largeAt {
			w.rec.line("the large job is %s", j.id)
		}
		clients.Add(1)
		go func() {
			defer clients.Done()
			w.submit(j, k, 3, 1500*time.Millisecond)
		}()
	}
	clients.Wait()
	w.rec.line("traffic has ended")
	broken := w.settle(14 * time.Second)
	return append(broken, w.violations()...), nil
}

// setFailing sets whether the first n runners fail all that they start.
func (w *world) setFailing(n int, on bool) {
	for _, r := range w.runners[:n] {
		r.mu.Lock()
		r.failing = on
		r.mu.Unlock()
	}
}
