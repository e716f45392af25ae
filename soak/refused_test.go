package soak

import (
	"testing"
	"time"
)

// Guards against tasks that run twice when hosts refuse connections while their runners go on with their runs, and
// end them late after their leases.
func TestSoakRefusedConnections(t *testing.T) {
	soakOnly(t, scenario{
		faults:       []fault{runnersRefuse(3)},
		extraRunTime: 700 * time.Millisecond, killDelay: 200 * time.Millisecond, killDelaySpread: 300 * time.Millisecond,
	})
}

// runnersRefuse lets the proxies of one in so many runners refuse connections for a while. The runners go on.
func runnersRefuse(oneIn int) fault {
	return fault{"runners refuse connections", func(w *world) {
		for _, r := range w.runners {
			if w.rng.IntN(oneIn) > 0 || r.proxy.Refuses() {
				continue
			}
			r.proxy.Refuse()
			w.runAfter(w.randomDuration(600, 3000), func() { w.listenAgain(r) })
		}
	}}
}

// listenAgain ends a refusal of connections.
func (w *world) listenAgain(r *proxiedRunner) {
	if err := r.proxy.Listen(); err != nil {
		w.checker.reportViolation("the soak test itself failed: %v", err)
	}
}
