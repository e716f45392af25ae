package deployment

import "time"

// extendLease moves the lease's expiry to ms on the runner's clock, but never to an earlier time
// and at most maxLease ahead. The caller holds the lock.
func (r *Runner) extendLease(ms int64) {
	until := r.timeOf(min(ms, r.clock()+maxLease.Milliseconds()))
	if !until.After(r.leaseEnd) {
		return
	}
	r.markEndedRuns()
	r.leaseEnd = until
	wait := max(0, time.Until(until)+r.faults.KillDelay)
	due := time.Now().Add(wait)
	i := r.current
	time.AfterFunc(wait, func() { r.expireLease(i, until, due) })
}

// leaseExpired reports whether the lease has expired. The caller holds the lock.
func (r *Runner) leaseExpired() bool { return !time.Now().Before(r.leaseEnd) }

// markEndedRuns sets LeaseExpired of the ended runs once the lease has expired. The caller holds the lock.
func (r *Runner) markEndedRuns() {
	if !r.leaseExpired() {
		return
	}
	for i := range r.endedRuns {
		r.endedRuns[i].LeaseExpired = true
	}
}

// expireLease ends all runs of an incarnation, unless it has ended or its lease has been extended since the timer
// was set. end is when the lease expired, due when the timer was to fire.
func (r *Runner) expireLease(i *incarnation, end, due time.Time) {
	timerDelay := time.Since(due)
	if !r.lockAwakeIn(i) {
		return
	}
	defer r.mu.Unlock()
	r.expiries.MaxTimerDelay = max(r.expiries.MaxTimerDelay, timerDelay)
	if !end.Equal(r.leaseEnd) {
		return
	}
	r.markEndedRuns()
	if len(r.running) > 0 {
		r.expiries.KillDelays = append(r.expiries.KillDelays, time.Since(end))
	}
	for s := range r.running {
		r.endRun(s, "lapsed")
	}
}
