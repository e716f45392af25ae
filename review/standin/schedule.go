//go:build review

package main

import (
	"fmt"
	"sync"
	"time"
)

func init() {
	plays["schedule"] = play{site: smallSite, attempts: 4, run: playSchedule}
}

const (
	// scheduledJobs is the number of scheduled jobs. Each has occurrences every period, staggered evenly.
	scheduledJobs = 200
	occurrences   = 720
	period        = 5 * time.Second
	// outageTime is how long the store is down.
	outageTime = 4500 * time.Millisecond
	// finishTime is finish_s: jobs are asked for that long after the end of the traffic.
	finishTime = 14 * time.Second
)

// playSchedule sends scheduled jobs, each of which runs two short steps every few seconds. With trouble,
// the platform's store is down once.
func playSchedule(w *world) ([]string, error) {
	const (
		outageAt = 15 * time.Second
		length   = 70 * time.Second
	)
	steps := []stepSpec{
		{Count: 1, CPU: 500, MemMB: 64, EstimateMs: 100, work: 100 * time.Millisecond},
		{Count: 1, CPU: 500, MemMB: 64, EstimateMs: 100, work: 100 * time.Millisecond, DependsOn: []int{0}},
	}
	begin := time.Now()
	first := begin.Add(2 * period)
	var clients sync.WaitGroup
	for k := range scheduledJobs {
		due := first.Add(time.Duration(k) * period / scheduledJobs)
		j := w.newJob(fmt.Sprintf("%016x", 0xabc000000+k), jobSpec{
			Spec: fmt.Sprint("schedule ", k), Steps: steps, Times: occurrences, StartAtMs: due.UnixMilli(), IntervalMs: period.Milliseconds(),
		})
		clients.Add(1)
		go func() {
			defer clients.Done()
			time.Sleep(time.Duration(k) * 25 * time.Millisecond)
			w.submit(j, k, 3, 1500*time.Millisecond)
		}()
	}
	clients.Wait()
	w.rec.line("%d of %d scheduled jobs are accepted", len(w.accepted()), scheduledJobs)
	time.Sleep(time.Until(begin.Add(outageAt)))
	if *trouble {
		w.rec.line("FAULT the store is down")
		w.gate.set(true, false, 0)
		time.Sleep(outageTime)
		w.gate.set(false, false, 0)
		w.rec.line("the store is up")
	}
	time.Sleep(time.Until(begin.Add(length)))
	w.askAll()
	broken := append(w.stuck(begin.Add(outageAt+outageTime+finishTime)), w.seen...)
	return append(broken, w.violations()...), nil
}
