// Package bench measures policies against each other in virtual time: the
// same stream of jobs goes to the real decision code of several entry
// processes, driven by small fakes of the network and the upstreams, and to
// reference policies that stand in this package alone.
package bench

import (
	"container/heap"
	"time"

	"sapphirepoint.example/sapphirepoint/core/dispatch"
)

// clock runs actions in order of virtual time.
type clock struct {
	now    time.Duration
	seq    uint64
	events eventHeap
}

type event struct {
	at  time.Duration
	seq uint64
	run func()
}

type eventHeap []event

func (h eventHeap) Len() int { return len(h) }
func (h eventHeap) Less(i, j int) bool {
	if h[i].at != h[j].at {
		return h[i].at < h[j].at
	}
	return h[i].seq < h[j].seq
}
func (h eventHeap) Swap(i, j int) { h[i], h[j] = h[j], h[i] }
func (h *eventHeap) Push(x any)   { *h = append(*h, x.(event)) }
func (h *eventHeap) Pop() any {
	old := *h
	last := old[len(old)-1]
	old[len(old)-1] = event{}
	*h = old[:len(old)-1]
	return last
}

func (c *clock) after(delay time.Duration, run func()) {
	c.at(c.now+delay, run)
}

func (c *clock) at(at time.Duration, run func()) {
	c.seq++
	heap.Push(&c.events, event{at, c.seq, run})
}

// run goes on until a time, or until nothing is left to do.
func (c *clock) run(until time.Duration) {
	for len(c.events) > 0 && c.events[0].at <= until {
		e := heap.Pop(&c.events).(event)
		c.now = e.at
		e.run()
	}
}

// wakeUp ticks a core when its next timer is due.
type coreTicker struct {
	// at is the tick that stands; 0 if none does.
	at time.Duration
}

// schedule sets the tick for the core's next timer unless one stands already.
func (w *coreTicker) schedule(c *clock, core *dispatch.Core, executeCommands func()) {
	at, ok := core.NextTimer()
	if !ok || w.at > c.now && w.at <= at {
		return
	}
	at = max(at, c.now)
	w.at = at
	c.at(at, func() {
		if w.at != at {
			return
		}
		w.at = 0
		core.Tick(c.now)
		executeCommands()
	})
}
