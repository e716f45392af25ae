package fleet

import (
	"slices"
	"time"

	"sapphirepoint.example/sapphirepoint/core/workload"
)

// While the store is away runners can't renew their entries, and some lapse though
// the runners are sound. Their entries are back within two seconds of the store's
// return; without them jobs would be refused for want of room until then. So entries
// that go in those moments are kept, marked:
//
//	the entry                                | kept
//	-----------------------------------------|--------------------------------------
//	goes while the store is well             | no
//	goes as the store has just been away     | for lapsedTime, while the runner answers
//	had said that it drains                  | no
//	is there, and names no runner to use     | no
//	comes back                               | it is an entry like any other

const (
	// lapsedRetention is how long such an entry is kept: those of sound runners are
	// back within two seconds of the store's return, and the list is read every
	// 0.6 s by those who need it.
	lapsedRetention = 2500 * time.Millisecond
	// recentStoreFailure is how long ago the last call to the store may have failed for
	// it to have just been away. A call that is left unanswered is given up after
	// 2 s, by when the store may be back.
	recentStoreFailure = 2500 * time.Millisecond
)

// StoreFailed notes that a call to the store has failed.
func (n *Node) StoreFailed(now Time) { n.storeFailedAt = now }

// retainLapsed adds to a list that was read from the store the runners that it lacks
// since the store was away.
func (n *Node) retainLapsed(now Time, list RunnerList) RunnerList {
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
		at, lapsed := n.lapsedSince[r.ID]
		if !lapsed {
			at = now
		}
		if present[r.ID] || r.Draining || !lapsed && !storeFailedRecently || now-at >= lapsedRetention {
			continue
		}
		since[r.ID] = at
		r.Lapsed = true
		list.Runners = append(list.Runners, r)
	}
	n.lapsedSince = since
	slices.SortFunc(list.Runners, workload.CompareRunners)
	return list
}

// recordLapsed notes which runners of a list that another process has told are kept.
func (n *Node) recordLapsed(now Time, list RunnerList) {
	since := make(map[workload.RunnerID]Time)
	for _, r := range list.Runners {
		if !r.Lapsed {
			continue
		}
		since[r.ID] = now
		if at, known := n.lapsedSince[r.ID]; known {
			since[r.ID] = at
		}
	}
	n.lapsedSince = since
}
