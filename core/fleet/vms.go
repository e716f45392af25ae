package fleet

import (
	"slices"

	"sapphirepoint.example/sapphirepoint/core/schedule"
)

// SetVMs says which VMs have entry processes, this one included. Some may be
// gone for good.
func (n *Node) SetVMs(now Time, vms []string) {
	n.vms = vms
	n.view.Found(now)
	for vm := range n.unheard {
		if !slices.Contains(vms, vm) {
			delete(n.unheard, vm)
		}
	}
}

// noteUnheard notes since when no process of a VM is heard. One that isn't may
// live behind a cut, and lead there, also if this process has never heard it.
func (n *Node) noteUnheard(now Time) {
	heard := map[string]bool{schedule.EntryID(n.Self()).VM(): true}
	for id := range n.linked {
		// With the connection alone it isn't known whom the process follows.
		if n.view.Report(id).Number > 0 {
			heard[schedule.EntryID(id).VM()] = true
		}
	}
	for _, vm := range n.vms {
		if heard[vm] {
			delete(n.unheard, vm)
		} else if _, known := n.unheard[vm]; !known {
			n.unheard[vm] = now
		}
	}
	n.view.SetComplete(n.hearsAll())
}

// hearsAll reports whether a process of every other VM is heard.
func (n *Node) hearsAll() bool { return n.vms != nil && len(n.unheard) == 0 }

// missesSome reports whether a VM isn't heard that may be alive.
func (n *Node) missesSome(now Time) bool {
	for _, since := range n.unheard {
		if now-since < schedule.MissingMost {
			return true
		}
	}
	return false
}
