package soak

import (
	"flag"
	"testing"
	"time"
)

var backlog = flag.Int("soak.backlog", 4, "length of the queue of new connections to a runner, in TestSoakFullQueues")

// Guards against tasks that run twice because starved runners with full queues count as out of reach.
func TestSoakFullQueues(t *testing.T) {
	soakOnly(t, scenario{
		faults: []fault{runnersStarvedWithFullQueue(4)}, extraRunTime: 300 * time.Millisecond,
		minRunners: wideRunners, wide: wideJobs{shortShare: 0.4}, backlog: *backlog,
	})
}

// runnersStarvedWithFullQueue lets one in so many runners do nothing for longer than their leases last. Nor are new
// connections to them accepted, so that these fill the queue.
func runnersStarvedWithFullQueue(oneIn int) fault {
	return fault{"runners starved with a full queue", func(w *world) {
		for _, r := range w.runners {
			if w.rng.IntN(oneIn) == 0 {
				d := w.randomDuration(700, 1100)
				r.proxy.Pause(d)
				r.runner.Starve(d)
			}
		}
	}}
}
