package fleet

import (
	"maps"
	"time"

	"sapphirepoint.example/sapphirepoint/core/schedule"
)

// A caller whose entry VM has died, or is cut off, sends its job again, and perhaps to
// another cell. Its schedulers don't miss that VM, and would tell the caller that
// nothing of the job was run, which they can't know. So processes tell each other in
// heartbeats that a VM is missing, or was of late. The word comes to all cells by the
// connections between them before the caller does:
//
//	the VM is missed by its cell       450 ms after its last word, and a tick
//	heartbeats within and between      150 ms each, four of them at most
//	callers send a job again           1,300 ms after their connection broke

const (
	// uncertaintyPeriod is how long after a VM was missed copies of its jobs may come.
	uncertaintyPeriod = 4 * time.Second
	// relayedUncertaintyDecay is taken off what was heard. Else two processes would keep each
	// other in doubt, as each word is a little older than it says.
	relayedUncertaintyDecay = 100 * time.Millisecond
)

// updateUncertainty reports whether copies of jobs may come of which something has run in another
// cell, and notes the reasons that this process sees itself.
func (n *Node) updateUncertainty(now Time, missing bool) bool {
	if !n.layout.Divided() {
		return false
	}
	maps.DeleteFunc(n.lostVMs, func(_ string, since Time) bool { return now-since >= schedule.MissingMost })
	// A VM without a seat isn't connected with all of its cell, and misses some always.
	if missing && n.seated || len(n.lostVMs) > 0 {
		n.uncertainUntil = now + uncertaintyPeriod
	}
	return now < n.uncertainUntil
}

// extendUncertainty takes the doubt of another process.
func (n *Node) extendUncertainty(now Time, remaining time.Duration) {
	n.uncertainUntil = max(n.uncertainUntil, now+remaining-relayedUncertaintyDecay)
}
