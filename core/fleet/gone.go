package fleet

import (
	"math"
	"slices"

	"sapphirepoint.example/sapphirepoint/core/schedule"
)

// A VM that was removed stays on the list of members, and is never reachable again. While a VM
// of the cell is unreachable it may have taken over a shard's rows, so the owner of the rows has
// to prove its ownership by calls to the store, and stored jobs stop whenever the store is
// unavailable. A VM that is presumed gone no longer has that effect once the store refuses it the
// ownership of the shard's rows; see ledger.Ledger.Exclude.

// never stands for the time of an event that hasn't happened.
const never = Time(math.MaxInt64)

// presumedGone lists, in order, the VMs of the cell that have been unreachable for so long
// that they are presumed to be removed.
func (n *Node) presumedGone(now Time) []string {
	var list []string
	for vm, since := range n.unreachableSince {
		if now-since >= schedule.UnreachableTimeout {
			list = append(list, vm)
		}
	}
	slices.Sort(list)
	return list
}

// updateOthersReachable updates othersReachableSince.
func (n *Node) updateOthersReachable(now Time, gone []string) {
	switch all := n.cellVMs != nil && len(n.unreachableSince) == len(gone); {
	case !all:
		n.othersReachableSince = never
	case n.othersReachableSince == never:
		n.othersReachableSince = now
	}
}

// rivalsReachableSince is since when every VM that could take over a shard's rows has been
// reachable. VMs in gone, those presumed to be removed, don't count if the owner of the rows has
// excluded them: the store refuses them the rows.
func (n *Node) rivalsReachableSince(now Time, s *shard, gone []string) (since Time, all bool) {
	if n.othersReachableSince == never || len(gone) == 0 {
		return n.othersReachableSince, n.othersReachableSince != never
	}
	since, all = s.ledger.Excludes(now, gone)
	return max(since, n.othersReachableSince), all
}
