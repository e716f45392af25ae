package schedule

import "time"

// Ownership of runners: fencing tokens, and the orders that renew leases and
// read what a runner lists.

const (
	// probeMost bounds the pause between looks at a silent runner. It grows
	// with the silence: the first follows at once, since a single order may be
	// left unanswered while the next is answered in milliseconds.
	probeMost = 500 * time.Millisecond
	// probeAtOnce is the silence up to which there is no pause.
	probeAtOnce = 400 * time.Millisecond
	// strangeCheck is how often a runner with runs of unknown jobs is looked
	// at.
	strangeCheck = 30 * time.Millisecond
)

// acquire asks a runner to obey this scheduler's token from now on.
func (s *Scheduler) acquire(r *runner) {
	r.release()
	r.token = s.token()
	r.reacquireAt = 0
	r.holdNext = 0
	r.apart, r.presentAt, r.askedFrom = false, 0, s.now
	s.hold(r)
}

// hold sends a renewal unless one is on its way.
func (s *Scheduler) hold(r *runner) {
	if r.holding || r.gone || r.token == 0 {
		return
	}
	if s.apart(r) {
		s.askPresence(r)
		return
	}
	r.holding = true
	r.heldAt = s.now
	h := Hold{
		Runner:       r.info.ID,
		Address:      r.info.Address,
		Token:        r.token,
		Acknowledged: r.cursor(s.now),
		Timeout:      s.callTimeout(),
	}
	// A renewal that stays unanswered may still be carried out. So while in
	// doubt none is given: then the time at which the runs are surely over
	// doesn't move, and they can be started elsewhere.
	if len(r.runs) > 0 && r.owned && !r.inDoubt && !r.strange() && s.now > r.withheldUntil {
		h.LeaseEnd = r.leaseEnd(s.now, s.cfg.Lease)
		r.grant(s.now, s.cfg.Lease)
		if len(r.ends) == 0 {
			h.Wait = s.cfg.HoldWait
			h.Timeout += h.Wait
		}
	}
	s.emit(h)
}

// lookAtAll reads the lists of all runners of a service at once, and takes back
// those that another scheduler had: it has just handed over a job.
func (s *Scheduler) lookAtAll(service string) {
	if !s.leading {
		return
	}
	for _, r := range s.list {
		if r.info.Service != service || r.gone {
			continue
		}
		if r.token == 0 {
			s.outbid(r)
			s.acquire(r)
			continue
		}
		s.look(r)
	}
}

// look reads a runner's lists now, beside a renewal that may wait there.
func (s *Scheduler) look(r *runner) {
	if r.looking || r.gone || !s.leading || r.token == 0 || s.apart(r) {
		return
	}
	r.looking = true
	s.emit(Hold{Runner: r.info.ID, Address: r.info.Address, Token: r.token, Acknowledged: r.cursor(s.now), ListOnly: true, Timeout: s.callTimeout()})
}

func (s *Scheduler) nextHold(r *runner) {
	switch {
	case r.strange():
		// Nothing can be started before what runs there is over.
		r.holdNext = s.now + strangeCheck
	case len(r.ends) > 0 && !s.custody.loaded && !s.custody.none:
		r.holdNext = s.now + unloadedCheck
	case len(r.ends) > 0 || s.now <= r.withheldUntil:
		r.holdNext = s.now + unsavedCheck
	case len(r.runs) > 0:
		s.hold(r)
	case r.info.Lapsed || r.unlisted:
		r.holdNext = s.now + lapsedCheck
	default:
		r.holdNext = s.now + idleCheck
	}
}

func (s *Scheduler) unanswered(r *runner) {
	s.ctr.Unanswered++
	r.doubt(s.now)
}

// lose handles a runner that obeys a higher token. What ran there is the other
// scheduler's now; it is started again only when it must be over.
func (s *Scheduler) lose(r *runner) {
	s.ctr.Fenced++
	s.emit(Decision{Event: "runner-lost", Runner: r.info.ID, Token: r.token, Reason: "fenced"})
	tasks, owned := r.tasks(), r.owned
	r.release()
	for _, t := range tasks {
		t.notBefore = s.now + s.cfg.Resend
		s.requeueUnseen(t)
	}
	r.refused = r.token
	r.token = 0
	switch {
	case s.yielding:
	case !owned:
		// It has obeyed the scheduler before, whose term wasn't known.
		s.outbid(r)
		s.acquire(r)
	case s.now-r.acquiredAt > reacquireWait:
		r.reacquireAt = s.now + fencedWait
	default:
		r.reacquireAt = s.now + reacquireWait
	}
}

// outbid goes above the term of whoever has taken a runner. The runner doesn't
// say which that is, so the step doubles with each refusal.
//
// A term that was raised since, for another runner, is tried first. Each of
// some fifty runners raised it by itself once, and a process that started
// later, with a term from its own number, then needed many rounds for each
// runner: at a restart of all, 150 ms in which nothing was served. For the same
// reason the term goes above all versions of the store's rows that are known: no
// process that registered before has begun with a higher one.
func (s *Scheduler) outbid(r *runner) {
	if s.term > r.refused>>numberBits {
		return
	}
	s.term = max(s.term, s.version) + termStep<<min(r.refusals, termDoublings)
	r.refusals++
}

// TakeOverRunners takes the runners back from a scheduler that has yielded to this one,
// and looks which others it had.
func (s *Scheduler) TakeOverRunners(now Time) {
	s.now = now
	s.unsureUntil = now + unsureWindow
	s.ReacquireRunners(now)
	for _, r := range s.list {
		s.look(r)
	}
}

// ReacquireRunners takes back the runners that were left to another scheduler, since it
// turns out that nobody else leads.
func (s *Scheduler) ReacquireRunners(now Time) {
	s.now = now
	for _, r := range s.list {
		if r.token == 0 && s.leading && !s.yielding {
			s.outbid(r)
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
	for _, u := range r.inOrder() {
		if u.task != nil {
			list = append(list, u.task)
		}
	}
	return list
}

// probe looks at a silent runner again, at once or after a pause.
func (s *Scheduler) probe(r *runner) {
	r.holdNext = s.now
	if silence := s.now - r.clockAt; silence > probeAtOnce {
		r.holdNext = s.now + min(silence/4, probeMost)
	} else if !r.holding {
		s.hold(r)
	}
}
