package soak

import (
	"fmt"
	"testing"
	"time"
)

// Guards against tasks that run twice when hosts drop requests for new connections, as beyond a cut, while their runners
// go on with their runs and end them late after their leases.
func TestSoakDroppedConnections(t *testing.T) {
	// Its many runners and callers would delay the runs of other tests beside it.
	program := buildEntry(t)
	for i := range *seeds {
		seed := *first + uint64(i)
		t.Run(fmt.Sprint(seed), func(t *testing.T) {
			t.Parallel()
			runSoak(t, program, seed, droppedConnections(connectionsDropped(4)))
		})
	}
}

const (
	// cutRunners and cutCallers are so many that some runs are in progress as their leases end.
	cutRunners = 48
	cutCallers = 24
)

// droppedConnections is a scenario of wide jobs on runners that end runs late, whose hosts may drop connections.
func droppedConnections(faults ...fault) scenario {
	return scenario{
		faults: faults, minRunners: cutRunners, minDomains: 3, callers: cutCallers, wide: wideJobs{shortShare: 0.4}, backlog: 1,
		extraRunTime: 700 * time.Millisecond, killDelay: 200 * time.Millisecond, killDelaySpread: 300 * time.Millisecond,
	}
}

// connectionsDropped lets the hosts of one in so many runners drop connections for longer than a lease. The runners go on.
func connectionsDropped(oneIn int) fault {
	name := "hosts drop connections"
	if oneIn == 1 {
		name = "all hosts drop connections"
	}
	return fault{name, func(w *world) {
		for _, r := range w.runners {
			if w.rng.IntN(oneIn) > 0 {
				continue
			}
			d := w.randomDuration(700, 2500)
			go r.proxy.DropConnections(d)
			if w.links != nil {
				w.links.dropConnections(r.runner.ID, d)
			}
		}
	}}
}
