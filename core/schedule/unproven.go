package schedule

import (
	"slices"
	"time"
)

// Unproven ends. A process may know of no stored jobs, and list the end of a run whose job it doesn't know. Another process
// may have accepted the first stored jobs without its knowledge, beyond a network partition for instance. So the end is
// acknowledged only once the store, read after the end was listed, has no stored jobs.

const (
	// maxUnprovenEnds bounds the ends that a runner lists repeatedly while the store is unavailable. It is well
	// below maxEndsPerList, the number beyond which a runner doesn't list new ends.
	maxUnprovenEnds = 100
	// unprovenEndsTimeout is how long the store may take to answer before the bound applies.
	unprovenEndsTimeout = time.Second
)

// unproven reports whether an end may still be that of a stored job that this process doesn't know.
func (s *Scheduler) unproven(l listedEnd) bool {
	switch {
	case !l.unknown:
		return false
	case s.rows.loaded:
		return s.rows.verifiedAt < l.unknownSince
	}
	return s.rows.noStoredJobsAt < l.unknownSince
}

// RunnersWithUnprovenEnds returns the number of runners that have unproven ends, for which the store has to be read. It
// is 0 if there may be stored jobs: then the shard's rows are claimed, and show to which jobs the ends belong.
func (s *Scheduler) RunnersWithUnprovenEnds() int {
	n := 0
	if !s.leading || !s.rows.noStoredJobs {
		return n
	}
	for _, r := range s.runnerList {
		if slices.ContainsFunc(r.ends, s.unproven) {
			n++
		}
	}
	return n
}

// boundUnprovenEnds acknowledges unproven ends after the runner's lease has expired, if there are too many. A scheduler
// may start a task again whose end was listed under a lease that has expired since.
func (s *Scheduler) boundUnprovenEnds(r *runner) {
	if !s.rows.noStoredJobs || len(r.ends) < maxUnprovenEnds || !s.unproven(r.ends[0]) {
		return
	}
	if s.now-r.ends[0].unknownSince < unprovenEndsTimeout {
		return
	}
	s.emit(Decision{
		Event: "ends-unproven", Runner: r.info.ID, Token: r.token,
		Reason: "the store can't be read; the lease expires", Age: s.now - r.ends[0].unknownSince,
	})
	for i := range r.ends {
		if s.unproven(r.ends[i]) {
			r.ends[i].unknown, r.ends[i].afterLeaseExpiry = false, true
		}
	}
	r.noLeaseUntil = max(r.noLeaseUntil, r.aliveUntil)
}
