//go:build review3

package main

import (
	"fmt"
	"strings"
	"sync"
	"time"
)

// labelData is a spec of 4,000 bytes, the most that the pages allow: commands of a label printer, in control characters.
var labelData = strings.Repeat("\x1b\x1d\x02\x0e", 1000)

const (
	// kindCPU is what a task needs, in thousandths of a core, and kindTime how long it takes.
	kindCPU  = 27000
	kindTime = 60 * time.Millisecond
)

// steps are eight tasks, as on the sheet, in two steps of four.
func steps() []step {
	first := step{Count: 4, CPU: kindCPU, MemMB: 64, EstimateMs: int(kindTime.Milliseconds())}
	second := first
	second.DependsOn = []int{0}
	return []step{first, second}
}

// withoutRuns counts the accepted jobs of which a task's turn has come, since all tasks of the step before have ended well,
// and nothing has been at work for 3 s.
func (w *world) withoutRuns(jobs []*job) int {
	w.runs.mu.Lock()
	defer w.runs.mu.Unlock()
	n := 0
	for _, j := range jobs {
		if j.accepted.IsZero() || time.Since(w.runs.busyAt[j.id]) < 3*time.Second {
			continue
		}
		if w.runs.allDone(j, 0) && !w.runs.allDone(j, 1) {
			n++
			w.rec.logf("nothing runs of %s, accepted %.1f s ago, shown as %s", j.id, time.Since(j.accepted).Seconds(), j.final)
		}
	}
	return n
}

// summarize records what became of the jobs.
func (w *world) summarize(jobs []*job, calmFrom time.Time) {
	var accepted, late, refused, open, lateOpen int
	for _, j := range jobs {
		switch {
		case !j.accepted.IsZero():
			accepted++
			if j.accepted.After(calmFrom) {
				late++
			}
		case j.refused:
			refused++
		default:
			open++
			if j.firstSent.After(calmFrom) {
				lateOpen++
			}
		}
	}
	states := map[string]int{}
	var mu sync.Mutex
	var wg sync.WaitGroup
	slots := make(chan struct{}, 32)
	asked := 0
	for _, j := range jobs {
		if j.accepted.IsZero() || asked == maxAsked {
			continue
		}
		asked++
		wg.Go(func() {
			slots <- struct{}{}
			defer func() { <-slots }()
			s := w.state(j)
			w.rec.logf("GET %s: %s", j.id, s)
			mu.Lock()
			defer mu.Unlock()
			states[s]++
		})
	}
	wg.Wait()
	tooLarge, largest, ok := w.store.limits()
	w.rec.logf("jobs: %d sent, %d accepted (%d of them in the calm part), %d refused, %d without an answer that settles it (%d of them sent in the calm part)", len(jobs), accepted, late, refused, open, lateOpen)
	w.rec.logf("states of the first %d accepted ones: %v", asked, states)
	w.rec.logf("store: %d transactions applied, %d over a limit, the largest of %d bytes", ok, tooLarge, largest)
}

// maxAsked bounds the jobs whose states are asked for.
const maxAsked = 12000

// allDone reports whether all tasks of a step have ended well. The caller holds the lock.
func (l *runLog) allDone(j *job, step int) bool {
	for i := range j.body.Steps[step].Count {
		if l.done[fmt.Sprintf("%s.0.%d.%d", j.id, step, i)] == 0 {
			return false
		}
	}
	return true
}
