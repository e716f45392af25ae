package fleet

import (
	"maps"
	"time"

	"sapphirepoint.example/sapphirepoint/core/schedule"
)

// A caller whose entry VM has died or is cut off resubmits its job, possibly to another
// cell. The schedulers of that cell don't notice the loss of the VM, and would answer that no
// task of the job was run, which they can't know. Therefore heartbeats report that a VM is
// unreachable or was until recently (Heartbeat.UncertainFor). Processes in all cells then treat
// it as uncertain whether a new job has run elsewhere, and a job that isn't run ends with the
// outcome GaveUp instead of NotRun. The report reaches all cells over the connections between
// them before the caller resubmits:
//
//	the VM counts as lost in its cell      450 ms after its last message, and a tick
//	heartbeats within and between cells    150 ms each, four of them at most
//	callers resubmit a job                 1,300 ms after their connection broke

const (
	// uncertaintyPeriod is how long after a VM was unreachable copies of its jobs may
	// arrive.
	uncertaintyPeriod = 4 * time.Second
	// relayedUncertaintyDecay is subtracted from the remaining time that another process
	// reports. A report is older on arrival than it states, so without this two processes
	// would prolong each other's uncertainty for ever.
	relayedUncertaintyDecay = 100 * time.Millisecond
)

// updateUncertainty reports whether copies of jobs may arrive whose tasks were started in
// another cell. missing says that a VM of the cell is unreachable and may be alive.
func (n *Node) updateUncertainty(now Time, missing bool) bool {
	if !n.layout.HasCells() {
		return false
	}
	maps.DeleteFunc(n.lostVMs, func(_ string, since Time) bool { return now-since >= schedule.UnreachableTimeout })
	// A VM without a seat isn't connected with its whole cell, so some VMs are always
	// unreachable from it.
	if missing && n.seated || len(n.lostVMs) > 0 {
		n.uncertainUntil = now + uncertaintyPeriod
	}
	return now < n.uncertainUntil
}

// extendUncertainty applies the remaining time of uncertainty that another process reports.
func (n *Node) extendUncertainty(now Time, remaining time.Duration) {
	n.uncertainUntil = max(n.uncertainUntil, now+remaining-relayedUncertaintyDecay)
}
