package fleet

import (
	"slices"
	"time"

	"sapphirepoint.example/sapphirepoint/core/workload"
)

// While the store is unavailable runners can't renew their entries on the platform's list, and
// some entries expire although the runners are healthy. They are renewed within two seconds of
// the store's return; without them jobs would be refused until then for lack of capacity.
// Therefore entries that disappear around an outage are retained and marked as expired:
//
//	the entry                                     | retained
//	----------------------------------------------|-----------------------------------------
//	disappears while the store is available       | no
//	disappears around an outage of the store      | for expiredRetention, while the runner answers
//	had marked its runner as draining             | no
//	exists, but isn't used                        | no
//	reappears                                     | it becomes a normal entry again

const (
	// expiredRetention is how long an expired entry is retained. Healthy runners renew
	// theirs within two seconds of the store's return, and processes that need the list
	// read it every 0.6 s.
	expiredRetention = 2500 * time.Millisecond
	// recentStoreFailure is how long after a failed call to the store an entry that
	// disappears counts as expired. An unanswered call is given up after 2 s, by which time
	// the store may be available again.
	recentStoreFailure = 2500 * time.Millisecond
)

// StoreFailed records that a call to the store failed.
func (n *Node) StoreFailed(now Time) { n.storeFailedAt = now }

// retainExpired adds to a list read from the store the runners that are missing from it
// because of a store outage.
func (n *Node) retainExpired(now Time, list RunnerList) RunnerList {
	present := make(map[workload.RunnerID]bool, len(list.Runners))
	for _, r := range list.Runners {
		present[r.ID] = true
	}
	for _, id := range list.Unreadable {
		present[id] = true
	}
	storeFailedRecently := n.storeFailedAt > 0 && now-n.storeFailedAt < recentStoreFailure
	since := make(map[workload.RunnerID]Time)
	for _, r := range n.runners.Runners {
		at, expired := n.expiredSince[r.ID]
		if !expired {
			at = now
		}
		if present[r.ID] || r.Draining || !expired && !storeFailedRecently || now-at >= expiredRetention {
			continue
		}
		since[r.ID] = at
		r.EntryExpired = true
		list.Runners = append(list.Runners, r)
	}
	n.expiredSince = since
	slices.SortFunc(list.Runners, workload.CompareRunners)
	return list
}

// recordExpired records which runners of a list from another process are retained as expired.
func (n *Node) recordExpired(now Time, list RunnerList) {
	since := make(map[workload.RunnerID]Time)
	for _, r := range list.Runners {
		if !r.EntryExpired {
			continue
		}
		since[r.ID] = now
		if at, known := n.expiredSince[r.ID]; known {
			since[r.ID] = at
		}
	}
	n.expiredSince = since
}
