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
	// doubtTime is how long after a VM was missed copies of its jobs may come.
	doubtTime = 4 * time.Second
	// relayLoss is taken off what was heard. Else two processes would keep each
	// other in doubt, as each word is a little older than it says.
	relayLoss = 100 * time.Millisecond
)

// doubts reports whether copies of jobs may come of which something has run in another
// cell, and notes the reasons that this process sees itself.
func (n *Node) doubts(now Time, misses bool) bool {
	if !n.layout.HasCells() {
		return false
	}
	maps.DeleteFunc(n.lost, func(_ string, since Time) bool { return now-since >= schedule.UnreachableTimeout })
	// A VM without a seat isn't connected with all of its cell, and misses some always.
	if misses && n.seated || len(n.lost) > 0 {
		n.doubtUntil = now + doubtTime
	}
	return now < n.doubtUntil
}

// hearDoubt takes the doubt of another process.
func (n *Node) hearDoubt(now Time, remaining time.Duration) {
	n.doubtUntil = max(n.doubtUntil, now+remaining-relayLoss)
}
