package schedule

import "time"

// Ownership of runners: fencing tokens, and the orders that renew leases and
// read what a runner lists.

const (
	// maxProbeInterval bounds the pause between looks at a silent runner. It grows
	// with the silence: the first follows at once, since a single order may be
	// left unanswered while the next is answered in milliseconds.
	maxProbeInterval = 500 * time.Millisecond
	// immediateProbeSilence is the silence up to which there is no pause.
	immediateProbeSilence = 400 * time.Millisecond
	// orphanCheckInterval is how often a runner with runs of unknown jobs is looked
	// at.
	orphanCheckInterval = 30 * time.Millisecond
)

// acquire asks a runner to obey this scheduler's token from now on.
func (s *Scheduler) acquire(r *runner) {
	r.release()
	r.token = s.token()
	r.reacquireAt = 0
	r.nextHoldAt = 0
	r.partitioned, r.reachableAt, r.lastAskedAt = false, 0, s.now
	s.hold(r)
}

// hold sends a renewal unless one is on its way.
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
	}
	// A renewal that stays unanswered may still be carried out. So while in
	// doubt none is given: then the time at which the runs are surely over
	// doesn't move, and they can be started elsewhere.
	if len(r.runs) > 0 && r.owned && !r.unresponsive && !r.hasForeignOrphans() && s.now > r.noLeaseUntil {
		h.LeaseEnd = r.leaseEnd(s.now, s.cfg.Lease)
		r.noteLease(s.now, s.cfg.Lease)
		if len(r.ends) == 0 {
			h.Wait = s.cfg.HoldWait
			h.Timeout += h.Wait
		}
	}
	s.emit(h)
}

// requestLists reads the lists of all runners of a service at once, and takes back
// those that another scheduler had: it has just handed over a job.
func (s *Scheduler) requestLists(service string) {
	if !s.leading {
		return
	}
	for _, r := range s.runnerList {
		if r.info.Service != service || r.gone {
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

// requestList reads a runner's lists now, beside a renewal that may wait there.
func (s *Scheduler) requestList(r *runner) {
	if r.listInFlight || r.gone || !s.leading || r.token == 0 || s.partitioned(r) {
		return
	}
	r.listInFlight = true
	s.emit(Hold{Runner: r.info.ID, Address: r.info.Address, Token: r.token, Acknowledged: r.ackCursor(s.now), ListOnly: true, Timeout: s.callTimeout()})
}

func (s *Scheduler) scheduleHold(r *runner) {
	switch {
	case r.hasForeignOrphans():
		// Nothing can be started before what runs there is over.
		r.nextHoldAt = s.now + orphanCheckInterval
	case len(r.ends) > 0 && !s.rows.loaded && !s.rows.noStoredJobs:
		r.nextHoldAt = s.now + unloadedInterval
	case len(r.ends) > 0 || s.now <= r.noLeaseUntil:
		r.nextHoldAt = s.now + unsavedEndsInterval
	case len(r.runs) > 0:
		s.hold(r)
	case r.info.Lapsed || r.unlisted:
		r.nextHoldAt = s.now + lapsedCheck
	default:
		r.nextHoldAt = s.now + idleCheckInterval
	}
}

func (s *Scheduler) unanswered(r *runner) {
	s.ctr.Unanswered++
	r.markUnresponsive(s.now)
}

// runnerFenced handles a runner that obeys a higher token. What ran there is the other
// scheduler's now; it is started again only when it must be over.
func (s *Scheduler) runnerFenced(r *runner) {
	s.ctr.Fenced++
	s.emit(Decision{Event: "runner-lost", Runner: r.info.ID, Token: r.token, Reason: "fenced"})
	tasks, owned := r.tasks(), r.owned
	r.release()
	for _, t := range tasks {
		t.notBefore = s.now + s.cfg.Resend
		s.requeueUnseen(t)
	}
	r.refusedToken = r.token
	r.token = 0
	switch {
	case s.yielding:
	case !owned:
		// It has obeyed the scheduler before, whose term wasn't known.
		s.raiseTerm(r)
		s.acquire(r)
	case s.now-r.acquiredAt > contestedReacquireDelay:
		r.reacquireAt = s.now + reacquireDelay
	default:
		r.reacquireAt = s.now + contestedReacquireDelay
	}
}

// raiseTerm goes above the term of whoever has taken a runner. The runner doesn't
// say which that is, so the step doubles with each refusal.
//
// A term that was raised since, for another runner, is tried first. Each of
// some fifty runners raised it by itself once, and a process that started
// later, with a term from its own number, then needed many rounds for each
// runner: at a restart of all, 150 ms in which nothing was served. For the same
// reason the term goes above all versions of the store's rows that are known: no
// process that registered before has begun with a higher one.
func (s *Scheduler) raiseTerm(r *runner) {
	if s.term > r.refusedToken>>numberBits {
		return
	}
	s.term = max(s.term, s.version) + termStep<<min(r.refusals, maxTermDoublings)
	r.refusals++
}

// TakeOverRunners takes the runners back from a scheduler that has yielded to this one,
// and looks which others it had.
func (s *Scheduler) TakeOverRunners(now Time) {
	s.now = now
	s.uncertainUntil = now + takeoverWindow
	s.ReacquireRunners(now)
	for _, r := range s.runnerList {
		s.requestList(r)
	}
}

// ReacquireRunners takes back the runners that were left to another scheduler, since it
// turns out that nobody else leads.
func (s *Scheduler) ReacquireRunners(now Time) {
	s.now = now
	for _, r := range s.runnerList {
		if r.token == 0 && s.leading && !s.yielding {
			s.raiseTerm(r)
			s.acquire(r)
		}
	}
}

// replaced handles a lifetime of a runner that is over, with all that ran.
func (s *Scheduler) replaced(r *runner) {
	s.emit(Decision{Event: "runner-lost", Runner: r.info.ID, Token: r.token, Reason: "replaced"})
	r.gone = true
	tasks := r.tasks()
	r.release()
	for _, t := range tasks {
		s.requeue(t)
	}
}

// tasks lists the tasks whose runs are on the runner.
func (r *runner) tasks() []*taskState {
	var list []*taskState
	for _, u := range r.sortedRuns() {
		if u.task != nil {
			list = append(list, u.task)
		}
	}
	return list
}

// probe looks at a silent runner again, at once or after a pause.
func (s *Scheduler) probe(r *runner) {
	r.nextHoldAt = s.now
	if silence := s.now - r.clockAt; silence > immediateProbeSilence {
		r.nextHoldAt = s.now + min(silence/4, maxProbeInterval)
	} else if !r.holdInFlight {
		s.hold(r)
	}
}
