package schedule

import "time"

// The placement of a task with which runners were lost: where nothing else runs, and only once its job's record says where.

const (
	// aloneTimeout is how long such a task waits for a runner without runs.
	aloneTimeout = 2 * time.Second
	// runnersPerReservation is the number of runners of which one may be kept free for such a task.
	runnersPerReservation = 16
)

// placeSuspect chooses a runner without runs for a task with which runners were lost. It reserves one if
// there is none, and falls back to any runner after a while.
func (p *placer) placeSuspect(t *taskState) *runner {
	if t.suspectSince == 0 {
		t.suspectSince = p.s.now
	}
	if r := p.idleRunner(t); r != nil {
		r.reserved = t
		return r
	}
	if p.s.now-t.suspectSince >= aloneTimeout {
		return p.placeAmongOthers(t)
	}
	p.reserveRunner(t)
	return nil
}

// idleRunner returns the best runner without runs for a suspect, or the one that is reserved for it; nil if there
// is none.
func (p *placer) idleRunner(t *taskState) *runner {
	var best *runner
	for _, r := range p.s.runnerList {
		if len(r.runs) > 0 || !p.mayRunAlone(t, r) {
			continue
		}
		if r.reservation() == t {
			return r
		}
		if best == nil || p.cost(t, r) < p.cost(t, best) {
			best = r
		}
	}
	return best
}

// reserveRunner keeps a runner free for a suspect, unless one is already or enough are for others: the one whose
// runs are expected to end first.
func (p *placer) reserveRunner(t *taskState) {
	var best *runner
	reserved := 0
	for _, r := range p.s.runnerList {
		if owner := r.reservation(); owner != nil && owner.phase == waiting {
			reserved++
		}
		if !p.mayRunAlone(t, r) {
			continue
		}
		if r.reservation() == t {
			return
		}
		if best == nil || r.idleAt() < best.idleAt() {
			best = r
		}
	}
	if best != nil && reserved < max(1, len(p.s.runnerList)/runnersPerReservation) {
		best.reserved = t
	}
}

// placeAmongOthers chooses any runner for a task: the one that its record names, if it still has room.
func (p *placer) placeAmongOthers(t *taskState) *runner {
	if t.atRisk != nil {
		r := p.s.runners[t.atRisk.runner]
		if r != nil && p.mayRunOn(t, r) {
			return r
		}
	}
	return p.place(t)
}

// declared reports whether the record of a task's job says on which runner the task is started next. Otherwise
// the next owner of the shard wouldn't know which runner was lost with it. While the store is unavailable to all
// processes none can take the shard, so the task doesn't wait.
func (s *Scheduler) declared(t *taskState, r *runner) bool {
	st := t.job.stored
	if st == nil {
		return true
	}
	l := loss{runner: r.info.ID, incarnation: r.incarnationStart, at: s.now, begun: true}
	if t.atRisk == nil || !t.atRisk.sameRunner(l) {
		t.atRisk = &l
		s.save(t.job)
		t.atRiskSaved = st.saving
	}
	return st.saved >= t.atRiskSaved || s.rows.failingFor > storeFailureThreshold && s.uncontested()
}

// mayRunAlone reports whether a task could run on a runner if nothing else did, and the runner isn't reserved
// for another one.
func (p *placer) mayRunAlone(t *taskState, r *runner) bool {
	step := t.step()
	if r.info.Service != t.job.work.Service || !r.usable(p.s.now) || !step.Need.Fits(r.info.Capacity) {
		return false
	}
	owner := r.reservation()
	return r.info.HasLabel(step.Requires) && (owner == nil || owner == t)
}

// idleAt returns when the runs on a runner are expected to have ended.
func (r *runner) idleAt() Time {
	at := Time(0)
	for _, u := range r.runs {
		at = max(at, u.expectedEnd)
	}
	return at
}

// reservation returns the task that runs alone on the runner, or is to; nil if there is none.
func (r *runner) reservation() *taskState {
	t := r.reserved
	if t == nil {
		return nil
	}
	waits := t.phase == waiting && !t.job.ended
	runsHere := t.run != nil && t.run.runner == r
	if !waits && !runsHere {
		r.reserved = nil
	}
	return r.reserved
}
