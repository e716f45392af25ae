package fleet

import (
	"math"
	"slices"

	"sapphirepoint.example/sapphirepoint/core/schedule"
)

// A VM that is gone for good stays on the list of members. For stored jobs it counts as
// harmless once the store refuses it the shard's rows; see ledger.Ledger.Exclude.

// never is the time of what hasn't happened.
const never = Time(math.MaxInt64)

// longUnheard lists the VMs of the cell that haven't been heard for so long that they
// are taken to be gone for good, in order.
func (n *Node) longUnheard(now Time) []string {
	var list []string
	for vm, since := range n.unheard {
		if now-since >= schedule.UnreachableTimeout {
			list = append(list, vm)
		}
	}
	slices.Sort(list)
	return list
}

// noteOthersHeard notes since when all VMs are heard but those that are gone.
func (n *Node) noteOthersHeard(now Time, gone []string) {
	switch all := n.vms != nil && len(n.unheard) == len(gone); {
	case !all:
		n.othersHeardSince = never
	case n.othersHeardSince == never:
		n.othersHeardSince = now
	}
}

// rivalsHeardSince is since when a process of every VM is heard that could take a
// shard's rows: the store refuses them to those of gone that the owner has excluded.
func (n *Node) rivalsHeardSince(now Time, s *shard, gone []string) (since Time, all bool) {
	if n.othersHeardSince == never || len(gone) == 0 {
		return n.othersHeardSince, n.othersHeardSince != never
	}
	since, all = s.ledger.Excludes(now, gone)
	return max(since, n.othersHeardSince), all
}
