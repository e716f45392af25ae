package entry

import (
	"context"
	"runtime"
	"slices"
	"time"
)

const (
	// starvationSampleInterval is the pause between two looks at how long work that is
	// ready waits for the processor; strainWindow and strainLooks are the time and
	// the number of looks of which the median counts: a takeover keeps a small VM
	// busy for a tenth of a second.
	starvationSampleInterval = 20 * time.Millisecond
	starvationWindow         = 200 * time.Millisecond
	minStarvationSamples     = 3
)

// watchCPUStarvation measures how long work that is ready waits for the processor, and
// tells the node.
//
// A VM may turn slow, or others on its machine take its share. The process then
// does everything, but later each moment; its clock and its timers look sound.
// A goroutine that gives way to all others that are ready shows it: it is back
// within a millisecond or two while the processor keeps up (10 ms in a burst),
// and after 40 to 200 ms while it doesn't.
func (p *Process) watchCPUStarvation(ctx context.Context) {
	ticker := time.NewTicker(starvationSampleInterval)
	defer ticker.Stop()
	meter := newStarvationMeter(time.Now())
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
		if !p.leads.Load() {
			// Nobody else waits for this process, and a VM has fifty looks a second
			// to spare for better things.
			meter = newStarvationMeter(time.Now())
			pause(ctx, starvationWindow)
			continue
		}
		begin := time.Now()
		runtime.Gosched()
		end := time.Now()
		if median, whole := meter.add(end, end.Sub(begin)); whole {
			p.post(func(now Time) { p.node.Strained(now, median) })
		}
	}
}

// starvationMeter takes the median of waits over windows of time: a single pause of the
// process, however long, is no sign of a slow VM.
type starvationMeter struct {
	start time.Time
	waits []time.Duration
}

func newStarvationMeter(now time.Time) *starvationMeter { return &starvationMeter{start: now} }

// add takes a wait; with the last one of a window it returns the median.
func (m *starvationMeter) add(now time.Time, wait time.Duration) (median time.Duration, complete bool) {
	m.waits = append(m.waits, wait)
	if now.Sub(m.start) < starvationWindow || len(m.waits) < minStarvationSamples {
		return 0, false
	}
	slices.Sort(m.waits)
	median = m.waits[len(m.waits)/2]
	m.start, m.waits = now, m.waits[:0]
	return median, true
}
