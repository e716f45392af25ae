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

// presumedGone lists the VMs of the cell that haven't been heard for so long that they
// are taken to be gone for good, in order.
func (n *Node) presumedGone(now Time) []string {
	var list []string
	for vm, since := range n.unreachableSince {
		if now-since >= schedule.MissingMost {
			list = append(list, vm)
		}
	}
	slices.Sort(list)
	return list
}

// updateOthersReachable notes since when all VMs are heard but those that are gone.
func (n *Node) updateOthersReachable(now Time, gone []string) {
	switch all := n.cellVMs != nil && len(n.unreachableSince) == len(gone); {
	case !all:
		n.othersReachableSince = never
	case n.othersReachableSince == never:
		n.othersReachableSince = now
	}
}

// rivalsReachableSince is since when a process of every VM is heard that could take a
// shard's rows: the store refuses them to those of gone that the owner has excluded.
func (n *Node) rivalsReachableSince(now Time, s *shard, gone []string) (since Time, all bool) {
	if n.othersReachableSince == never || len(gone) == 0 {
		return n.othersReachableSince, n.othersReachableSince != never
	}
	since, all = s.ledger.Excludes(now, gone)
	return max(since, n.othersReachableSince), all
}
