package dispatch

import (
	"container/heap"

	"sapphirepoint.example/sapphirepoint/core/task"
)

// timer runs a function at a given time.
type timer struct {
	at  task.Time
	seq uint64
	run func()
	// index is the position in the heap, -1 after removal.
	index int
}

type timerHeap []*timer

func (h timerHeap) Len() int { return len(h) }
func (h timerHeap) Less(i, j int) bool {
	if h[i].at != h[j].at {
		return h[i].at < h[j].at
	}
	return h[i].seq < h[j].seq
}
func (h timerHeap) Swap(i, j int) {
	h[i], h[j] = h[j], h[i]
	h[i].index = i
	h[j].index = j
}
func (h *timerHeap) Push(x any) {
	t := x.(*timer)
	t.index = len(*h)
	*h = append(*h, t)
}
func (h *timerHeap) Pop() any {
	old := *h
	last := old[len(old)-1]
	old[len(old)-1] = nil
	*h = old[:len(old)-1]
	last.index = -1
	return last
}

// after schedules run after a delay.
func (c *Core) after(delay task.Time, run func()) *timer {
	c.timerSeq++
	t := &timer{at: c.now + delay, seq: c.timerSeq, run: run}
	heap.Push(&c.timers, t)
	return t
}

// cancelTimer removes a timer that has not run. Without it the timers of answered
// requests would hold memory until their deadlines.
func (c *Core) cancelTimer(t *timer) {
	if t != nil && t.index >= 0 {
		heap.Remove(&c.timers, t.index)
	}
}

func (c *Core) runTimers() {
	for len(c.timers) > 0 && c.timers[0].at <= c.now {
		t := heap.Pop(&c.timers).(*timer)
		t.run()
	}
}

// NextTimer returns the time at which Tick must be called next; false if no timer is set.
func (c *Core) NextTimer() (task.Time, bool) {
	if len(c.timers) == 0 {
		return 0, false
	}
	return c.timers[0].at, true
}
