// Package bench compares scheduling policies in virtual time. The same stream of jobs is given to the
// real decision code of several entry processes, with small fakes of the network and the upstreams,
// and to reference policies that exist only in this package.
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

// event is an action at a time. Events at the same time run in the order of seq.
type event struct {
	at  time.Duration
	seq uint64
	run func()
}

// eventHeap has the next event first.
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

// after schedules an action after a delay.
func (c *clock) after(delay time.Duration, run func()) {
	c.at(c.now+delay, run)
}

// at schedules an action at a time.
func (c *clock) at(at time.Duration, run func()) {
	c.seq++
	heap.Push(&c.events, event{at, c.seq, run})
}

// run executes events until the given time, or until none is left.
func (c *clock) run(until time.Duration) {
	for len(c.events) > 0 && c.events[0].at <= until {
		e := heap.Pop(&c.events).(event)
		c.now = e.at
		e.run()
	}
}

// coreTicker calls Tick of a dispatch.Core, the decision code of one entry process, when the core's
// next timer is due.
type coreTicker struct {
	// at is when the next tick is scheduled; 0 if none is.
	at time.Duration
}

// schedule schedules a tick for the core's next timer unless an earlier or equal one is scheduled.
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
