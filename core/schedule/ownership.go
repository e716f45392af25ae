package schedule

import "time"

// Ownership of runners: fencing tokens, and the orders that renew leases and read the runners'
// lists.

const (
	// maxProbeInterval bounds the interval between probes of a silent runner, which grows with
	// the silence. The first probe follows at once, since a single order may stay unanswered
	// while the next is answered in milliseconds.
	maxProbeInterval = 500 * time.Millisecond
	// immediateProbeSilence is the silence up to which probes follow at once. While a lease lasts they
	// always do, so that an answer may still renew it.
	immediateProbeSilence = 400 * time.Millisecond
	// orphanCheckInterval is how often a runner with foreign orphans, or with orphans only, is asked for
	// its lists.
	orphanCheckInterval = 30 * time.Millisecond
)

// acquire takes a runner under this scheduler's present token.
func (s *Scheduler) acquire(r *runner) {
	r.release()
	r.token = s.token()
	r.reacquireAt = 0
	r.nextHoldAt = 0
	r.partitioned, r.reachableAt, r.lastAskedAt = false, 0, s.now
	s.hold(r)
}

// hold sends a Hold unless one is in flight.
func (s *Scheduler) hold(r *runner) {
	if r.holdInFlight || r.gone || r.token == 0 {
		return
	}
	if s.partitioned(r) {
		s.checkReachability(r)
		return
	}
	r.holdInFlight = true
	r.holdSentAt = s.now
	h := Hold{
		Runner:       r.info.ID,
		Address:      r.info.Address,
		Token:        r.token,
		Acknowledged: r.ackCursor(s.now),
		Timeout:      s.callTimeout(),

		NewConnection: r.unresponsive,
	}
	// A renewal that stays unanswered may still be carried out. So an unresponsive runner gets
	// none: then the time at which its runs are certainly over stays fixed, and their tasks can
	// be started elsewhere.
	if r.hasTaskRuns() && r.owned && !r.unresponsive && !r.hasForeignOrphans() && s.now > r.noLeaseUntil {
		h.LeaseEnd = r.leaseEnd(s.now, s.cfg.Lease)
		r.noteLease(s.now, s.cfg.Lease)
		if len(r.ends) == 0 {
			h.Wait = s.holdWait()
			h.Timeout += h.Wait
		}
	}
	s.emit(h)
}

// holdWait returns how long a runner may delay the answer to a renewal, so that the next one arrives
// within the lease even if this one stays unanswered.
func (s *Scheduler) holdWait() time.Duration {
	return min(s.cfg.HoldWait, max(0, s.cfg.Lease-s.callTimeout()-leaseMargin))
}

// refuseEarlierOrders raises a runner's token, so that the runner refuses all orders that were sent before once
// it has received one with the new token. Stops among them are sent again.
func (s *Scheduler) refuseEarlierOrders(r *runner) {
	s.term++
	r.token = s.token()
	r.tokenRaised = true
	r.holdInFlight, r.listInFlight = false, false
	for _, u := range r.sortedRuns() {
		if u.stopping && !u.stopped {
			u.stopping, u.stopAt = false, s.now
		}
	}
	s.requestList(r)
}

// requestLists requests the lists of all runners that may have runs of a service at once, and reacquires those that
// another scheduler had: that scheduler has just handed over a job.
func (s *Scheduler) requestLists(service string) {
	if !s.leading {
		return
	}
	for _, r := range s.runnerList {
		if !r.mayServe(service, s.now) || r.gone {
			continue
		}
		if r.token == 0 {
			s.raiseTerm(r)
			s.acquire(r)
			continue
		}
		s.requestList(r)
	}
}

// requestList reads a runner's lists now, beside a renewal that may be waiting there.
func (s *Scheduler) requestList(r *runner) {
	if r.listInFlight || r.gone || !s.leading || r.token == 0 || s.partitioned(r) {
		return
	}
	r.listInFlight = true
	s.emit(Hold{
		Runner: r.info.ID, Address: r.info.Address, Token: r.token, Acknowledged: r.ackCursor(s.now), ListOnly: true,
		NewConnection: r.unresponsive, Timeout: s.callTimeout(),
	})
}

// scheduleHold sends a runner the next Hold, or sets when it is to be sent.
func (s *Scheduler) scheduleHold(r *runner) {
	switch {
	case r.hasForeignOrphans():
		// Nothing can be started before the foreign orphans there are over.
		r.nextHoldAt = s.now + orphanCheckInterval
	case len(r.ends) > 0 && !s.rows.loaded && !s.rows.noStoredJobs:
		r.nextHoldAt = s.now + unloadedInterval
	case len(r.ends) > 0 || s.now <= r.noLeaseUntil:
		r.nextHoldAt = s.now + unsavedEndsInterval
	case r.hasTaskRuns():
		s.hold(r)
	case len(r.runs) > 0:
		r.nextHoldAt = s.now + orphanCheckInterval
	case r.info.EntryExpired || r.unlisted:
		r.nextHoldAt = s.now + expiredCheckInterval
	default:
		r.nextHoldAt = s.now + idleCheckInterval
	}
}

// unanswered handles a Hold or a Stop that stayed unanswered.
func (s *Scheduler) unanswered(r *runner) {
	s.ctr.Unanswered++
	r.markUnresponsive(s.now)
}

// runnerFenced handles a runner that has accepted a higher token. The runs there belong to the
// other scheduler now; their tasks are restarted only when the runs must be over, see lostrun.go.
func (s *Scheduler) runnerFenced(r *runner) {
	s.ctr.Fenced++
	s.emit(Decision{Event: "runner-lost", Runner: r.info.ID, Token: r.token, Reason: "fenced"})
	tasks, owned := r.tasks(), r.owned
	s.noteLostRuns(r)
	s.dropRuns(r, RunnerFenced)
	for _, t := range tasks {
		t.notBefore = s.now + s.cfg.Resend
		s.requeueUnseen(t)
	}
	r.refusedToken = r.token
	r.token = 0
	switch {
	case s.yielding:
	case !owned:
		// The runner had accepted a token of an earlier scheduler whose term wasn't known here.
		s.raiseTerm(r)
		s.acquire(r)
	case s.now-r.acquiredAt > contestedReacquireDelay:
		r.reacquireAt = s.now + reacquireDelay
	default:
		r.reacquireAt = s.now + contestedReacquireDelay
	}
}

// raiseTerm raises the term above that of the scheduler that has taken a runner. The runner doesn't
// report that term, so the step doubles with each refusal.
//
// A term that was raised since for another runner is tried first. When each of some fifty runners
// raised it separately, a process that started later, with a term from its own process number,
// needed many rounds for each runner: 150 ms without service at a restart of all processes. For
// the same reason the term goes above all known versions of rows in the store: no process that
// registered earlier began with a higher one.
func (s *Scheduler) raiseTerm(r *runner) {
	if s.term > r.refusedToken>>numberBits {
		return
	}
	s.term = max(s.term, s.version) + termStep<<min(r.refusals, maxTermDoublings)
	r.refusals++
}

// TakeOverRunners reacquires the runners from a scheduler that has yielded to this one, and requests
// the lists of all others.
func (s *Scheduler) TakeOverRunners(now Time) {
	s.now = now
	s.uncertainUntil = now + takeoverWindow
	s.ReacquireRunners(now)
	for _, r := range s.runnerList {
		s.requestList(r)
	}
}

// ReacquireRunners reacquires the runners that were left to another scheduler, since no other one
// leads.
func (s *Scheduler) ReacquireRunners(now Time) {
	s.now = now
	for _, r := range s.runnerList {
		if r.token == 0 && s.leading && !s.yielding {
			s.raiseTerm(r)
			s.acquire(r)
		}
	}
}

// checkReplaced turns Replaced, the answer to an order that was sent to an address, into Unhealthy if it shows nothing about
// the runner: that isn't the present address of its entry, or the runner may never have been there.
func (r *runner) checkReplaced(o CallOutcome, address string, now Time) CallOutcome {
	if o == Replaced && (address != r.info.Address || !r.wasAt(now)) {
		return Unhealthy
	}
	return o
}

// replaced handles a runner whose incarnation has ended, and with it all its runs. rejected is the run whose start was answered
// so, or nil. If that was the only order for it, the run has never begun, and nothing of it was lost.
func (s *Scheduler) replaced(r *runner, rejected *run) {
	s.emit(Decision{Event: "runner-lost", Runner: r.info.ID, Token: r.token, Reason: "replaced"})
	r.gone = true
	for _, u := range r.sortedRuns() {
		if u == rejected && !u.confirmed && u.startAttempts == 1 {
			continue
		}
		s.noteLoss(u, true)
	}
	tasks := r.tasks()
	s.dropRuns(r, RunnerReplaced)
	for _, t := range tasks {
		s.requeue(t)
	}
}

// tasks lists the tasks that have a run on the runner.
func (r *runner) tasks() []*taskState {
	var list []*taskState
	for _, u := range r.sortedRuns() {
		if u.task != nil {
			list = append(list, u.task)
		}
	}
	return list
}

// probe sends a silent runner another Hold, at once or after an interval.
func (s *Scheduler) probe(r *runner) {
	r.nextHoldAt = s.now
	if interval := r.probeInterval(s.now); interval > 0 && !(r.hasTaskRuns() && s.now < r.leaseOverAt()) {
		r.nextHoldAt = s.now + interval
	} else if !r.holdInFlight {
		s.hold(r)
	}
}

// probeInterval returns how long to wait before an order that a runner has left unanswered is sent again.
func (r *runner) probeInterval(now Time) time.Duration {
	silence := now - max(r.clockAt, r.lastAskedAt)
	if silence <= immediateProbeSilence {
		return 0
	}
	return min(silence/4, maxProbeInterval)
}
