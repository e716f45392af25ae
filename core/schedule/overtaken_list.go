package schedule

import (
	"slices"
	"time"

	"sapphirepoint.example/sapphirepoint/core/workload"
)

// Two requests for a runner's lists may be under way at a time, and the newer list may arrive first. A
// run that the older list shows as running may be on the newer one as ended.

// listDelay is the longest time from a request for the lists to its answer: the longest timeout of an
// order, and the wait for an end.
const listDelay = time.Second

// recentEnd is a run whose end was listed at a time.
type recentEnd struct {
	run workload.RunKey
	at  Time
}

// noteRecentEnd records that the end of a run was listed.
func (r *runner) noteRecentEnd(k workload.RunKey, now Time) {
	r.recentEnds = slices.DeleteFunc(r.recentEnds, func(e recentEnd) bool { return now-e.at > listDelay })
	r.recentEnds = append(r.recentEnds, recentEnd{run: k, at: now})
}

// endedSince reports whether the end of a run was listed after a request for the lists was sent.
func (r *runner) endedSince(k workload.RunKey, sentAt Time) bool {
	return slices.ContainsFunc(r.recentEnds, func(e recentEnd) bool { return e.run == k && e.at >= sentAt })
}
