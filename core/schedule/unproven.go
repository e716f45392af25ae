package schedule

import (
	"slices"
	"time"
)

// Ends of runs whose jobs aren't known, where no stored jobs are known either. Another process may have accepted the first
// ones without this one's knowledge, so the store has to show whose ends they are.

const (
	// maxUnprovenEnds bounds the ends that a runner lists again and again while the store can't be read. It is
	// well below maxEndsPerList, beyond which new ends aren't listed.
	maxUnprovenEnds = 100
	// unprovenEndsTimeout is how long the store has to show whose ends they are.
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

// UnprovenEnds returns the number of runners whose ends wait until the store shows that it has no
// stored jobs. It is 0 if the shard's rows show whose ends they are.
func (s *Scheduler) UnprovenEnds() int {
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

// boundUnprovenEnds lets a runner's lease expire if too many ends wait there for the store: ends that were listed
// before bind nobody then, and may be acknowledged.
func (s *Scheduler) boundUnprovenEnds(r *runner) {
	if !s.rows.noStoredJobs || len(r.ends) < maxUnprovenEnds || !s.unproven(r.ends[0]) {
		return
	}
	if s.now-r.ends[0].unknownSince < unprovenEndsTimeout {
		return
	}
	s.emit(Decision{Event: "ends-unproven", Runner: r.info.ID, Token: r.token, Reason: "the store can't be read; the lease expires", Age: s.now - r.ends[0].unknownSince})
	for i := range r.ends {
		if s.unproven(r.ends[i]) {
			r.ends[i].unknown, r.ends[i].afterLeaseExpiry = false, true
		}
	}
	r.noLeaseUntil = max(r.noLeaseUntil, r.aliveUntil)
}
