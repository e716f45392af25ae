//go:build review

package main

import (
	"fmt"
	"slices"
	"sync"
	"time"
)

func init() {
	plays["crash"] = play{site: smallSite, attempts: 4, run: playCrash}
}

const (
	// crashesBeforeLimit is how many runners have to crash under a task until its starts are limited,
	// and startsAfterLimit the number of further starts that break the rule.
	crashesBeforeLimit = 3
	startsAfterLimit   = 3
)

// playCrash sends stored jobs at an even rate. With trouble, the task of one of them crashes each runner
// that starts it; the runner is back three seconds later.
func playCrash(w *world) ([]string, error) {
	const traffic = 40 * time.Second
	step := stepSpec{Count: 1, CPU: 2000, MemMB: 64, EstimateMs: 200, work: 200 * time.Millisecond}
	bad := step
	bad.crash, bad.crashDown = *trouble, 3*time.Second
	var clients sync.WaitGroup
	begin := time.Now()
	var poisonous *jobRecord
	for k := 0; time.Since(begin) < traffic; k++ {
		time.Sleep(time.Until(begin.Add(time.Duration(k) * 100 * time.Millisecond)))
		s := step
		if k == 20 {
			s = bad
		}
		j := w.newJob(fmt.Sprintf("%016x", 0xabc000000+k), jobSpec{Spec: fmt.Sprint("label ", k), Steps: []stepSpec{s}})
		if k == 20 {
			poisonous = j
		}
		clients.Add(1)
		go func() {
			defer clients.Done()
			w.submit(j, k, 3, 1500*time.Millisecond)
		}()
	}
	clients.Wait()
	w.rec.line("traffic has ended")
	if *trouble {
		return w.crashBudget(poisonous.tasks[0]), nil
	}
	return append(w.settle(14*time.Second), w.violations()...), nil
}

// crashBudget checks the limit of the starts of a task that crashes runners.
func (w *world) crashBudget(t *taskRecord) []string {
	w.mu.Lock()
	defer w.mu.Unlock()
	var crashes []time.Time
	for _, r := range t.runs {
		if r.how == "crashed" {
			crashes = append(crashes, r.ended)
		}
	}
	slices.SortFunc(crashes, time.Time.Compare)
	if len(crashes) < crashesBeforeLimit {
		return nil
	}
	after := 0
	for _, r := range t.runs {
		if r.begun.After(crashes[crashesBeforeLimit-1]) {
			after++
		}
	}
	w.rec.line("task %s: %d starts, %d runners crashed, %d starts after the third crash, job state %q", t.name, len(t.runs), len(crashes), after, t.job.state)
	if after < startsAfterLimit {
		return nil
	}
	return []string{fmt.Sprintf("BUDGET: %s was started %d times after three runners had crashed under it (%d starts in all)", t.name, after, len(t.runs))}
}
