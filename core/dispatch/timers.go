package dispatch

import (
	"container/heap"

	"sapphirepoint.example/sapphirepoint/core/task"
)

// timer runs an action at a time. Actions check for themselves whether what
// they were set for still stands.
type timer struct {
	at  task.Time
	seq uint64
	run func()
}

type timerHeap []timer

func (h timerHeap) Len() int { return len(h) }
func (h timerHeap) Less(i, j int) bool {
	if h[i].at != h[j].at {
		return h[i].at < h[j].at
	}
	return h[i].seq < h[j].seq
}
func (h timerHeap) Swap(i, j int) { h[i], h[j] = h[j], h[i] }
func (h *timerHeap) Push(x any)   { *h = append(*h, x.(timer)) }
func (h *timerHeap) Pop() any {
	old := *h
	last := old[len(old)-1]
	old[len(old)-1] = timer{}
	*h = old[:len(old)-1]
	return last
}

// after sets a timer.
func (c *Core) after(delay task.Time, run func()) {
	c.timerSeq++
	heap.Push(&c.timers, timer{c.now + delay, c.timerSeq, run})
}

func (c *Core) runTimers() {
	for len(c.timers) > 0 && c.timers[0].at <= c.now {
		t := heap.Pop(&c.timers).(timer)
		t.run()
	}
}

// NextTimer is the time at which Tick should be called next.
func (c *Core) NextTimer() (task.Time, bool) {
	if len(c.timers) == 0 {
		return 0, false
	}
	return c.timers[0].at, true
}
