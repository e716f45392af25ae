package entry

import (
	"context"
	"runtime"
	"slices"
	"time"
)

const (
	// starvationSampleInterval is the pause between two measurements of how long a
	// runnable goroutine waits for the CPU. A median is taken over starvationWindow and
	// at least minStarvationSamples measurements. The window is longer than the 100 ms
	// for which taking over as leader keeps a small VM busy.
	starvationSampleInterval = 20 * time.Millisecond
	starvationWindow         = 200 * time.Millisecond
	minStarvationSamples     = 3
)

// watchCPUStarvation measures how long a runnable goroutine waits for the CPU, and
// passes the medians to the node.
//
// A VM may become slow, or other VMs on its machine may take its share of the CPU. The
// process then still does everything, but with a growing delay, while its clock and its
// timers seem normal. The time that runtime.Gosched takes to return shows the delay: a
// millisecond or two while there is enough CPU (10 ms in a burst), 40 to 200 ms while
// there isn't.
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
			// No other process waits for this one, so the VM is spared the fifty
			// measurements a second.
			meter = newStarvationMeter(time.Now())
			pause(ctx, starvationWindow)
			continue
		}
		begin := time.Now()
		runtime.Gosched()
		end := time.Now()
		if median, complete := meter.add(end, end.Sub(begin)); complete {
			p.post(func(now Time) { p.node.RecordCPUWait(now, median) })
		}
	}
}

// starvationMeter computes the median of waits over windows of time: a single pause of
// the process, however long, doesn't show that the VM is slow.
type starvationMeter struct {
	start time.Time
	waits []time.Duration
}

func newStarvationMeter(now time.Time) *starvationMeter { return &starvationMeter{start: now} }

// add adds a wait; if that completes a window, it returns the window's median.
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
