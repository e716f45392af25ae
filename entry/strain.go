package entry

import (
	"context"
	"runtime"
	"time"
)

const (
	// strainInterval is the pause between two looks at how long work that is
	// ready waits for the processor, and strainWindow the time over which these
	// are averaged: a takeover keeps a small VM busy for a tenth of a second.
	strainInterval = 20 * time.Millisecond
	strainWindow   = 200 * time.Millisecond
)

// watchStrain measures how long work that is ready waits for the processor, and
// tells the node.
//
// A VM may turn slow, or others on its machine take its share. The process then
// does everything, but later each moment; its clock and its timers look sound.
// A goroutine that gives way to all others that are ready shows it: it is back
// within a millisecond or two while the processor keeps up (10 ms in a burst),
// and after 40 to 200 ms while it doesn't.
func (p *Process) watchStrain(ctx context.Context) {
	ticker := time.NewTicker(strainInterval)
	defer ticker.Stop()
	meter := newStrainMeter(time.Now())
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
		if !p.leads.Load() {
			// Nobody else waits for this process, and a VM has fifty looks a second
			// to spare for better things.
			meter = newStrainMeter(time.Now())
			pause(ctx, strainWindow)
			continue
		}
		begin := time.Now()
		runtime.Gosched()
		end := time.Now()
		if mean, whole := meter.add(end, end.Sub(begin)); whole {
			p.post(func(now Time) { p.node.Strained(now, mean) })
		}
	}
}

// strainMeter averages waits over windows of time.
type strainMeter struct {
	begin time.Time
	sum   time.Duration
	count int
}

func newStrainMeter(now time.Time) *strainMeter { return &strainMeter{begin: now} }

// add takes a wait; with the last one of a window it returns the mean.
func (m *strainMeter) add(now time.Time, wait time.Duration) (mean time.Duration, whole bool) {
	m.sum += wait
	m.count++
	if now.Sub(m.begin) < strainWindow {
		return 0, false
	}
	mean = m.sum / time.Duration(m.count)
	*m = strainMeter{begin: now}
	return mean, true
}
