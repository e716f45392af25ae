package schedule

import "time"

// The placement of tasks with which runners were lost. One that has lost several is a suspect: it is started on a runner
// without other runs, so that it crashes no other task's run, and no other task can be the cause of a crash.

const (
	// suspectTimeout is how long a suspect waits for a runner without runs.
	suspectTimeout = 2 * time.Second
	// runnersPerReservation is the number of runners of which one may be reserved for a suspect.
	runnersPerReservation = 16
)

// choose chooses a runner for a task that may have losses; nil if the task can't be started now.
func (p *placer) choose(t *taskState) *runner {
	var r *runner
	switch {
	case len(t.losses) == 0:
		return p.place(t)
	case len(t.losses) < suspectLosses:
		r = p.placeAmongOthers(t)
	default:
		r = p.placeSuspect(t)
	}
	if r == nil || !p.s.startRecorded(t, r) {
		return nil
	}
	return r
}

// placeSuspect chooses a runner without runs for a suspect. If there is none it reserves a runner, and
// after suspectTimeout it chooses any.
func (p *placer) placeSuspect(t *taskState) *runner {
	if t.suspectSince == 0 {
		t.suspectSince = p.s.now
	}
	if r := p.idleRunner(t); r != nil {
		r.reserved = t
		return r
	}
	if p.s.now-t.suspectSince >= suspectTimeout {
		return p.placeAmongOthers(t)
	}
	p.reserveRunner(t)
	return nil
}

// idleRunner returns a runner without runs for a suspect: the one that is reserved for it, or the best one; nil if
// there is none.
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

// reserveRunner reserves the runner for a suspect whose runs are expected to end first, unless one is reserved for it
// already, or too many are for others. No other task is started on a reserved runner.
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

// placeAmongOthers chooses any runner for a task: preferably the one that the job's record names already.
func (p *placer) placeAmongOthers(t *taskState) *runner {
	if t.assumedLoss == nil {
		return p.place(t)
	}
	if r := p.s.runners[t.assumedLoss.runner]; r != nil && p.mayRunOn(t, r) {
		return r
	}
	return p.place(t)
}

// startRecorded reports whether the record of a stored job names the runner on which a task is started next, and saves
// one that does if not. Otherwise the next owner of the shard wouldn't know with which runner the run was lost. While
// the store is unavailable to all processes none can take the shard, so the task doesn't wait.
func (s *Scheduler) startRecorded(t *taskState, r *runner) bool {
	st := t.job.stored
	if st == nil {
		return true
	}
	l := loss{runner: r.info.ID, incarnation: r.incarnationStart, at: s.now, begun: true}
	if t.assumedLoss == nil || !t.assumedLoss.sameRunner(l) {
		t.assumedLoss = &l
		s.save(t.job)
		t.assumedLossSaved = st.saving
	}
	return st.saved >= t.assumedLossSaved || s.rows.failingFor > storeFailureThreshold && s.uncontested()
}

// mayRunAlone reports whether a task could be started on a runner if nothing else ran there.
func (p *placer) mayRunAlone(t *taskState, r *runner) bool {
	return p.admits(t, r) && t.step().Need.Fits(r.info.Capacity)
}

// idleAt returns when all runs on the runner are expected to have ended.
func (r *runner) idleAt() Time {
	at := Time(0)
	for _, u := range r.runs {
		at = max(at, u.expectedEnd)
	}
	return at
}

// reservation returns the suspect that the runner is reserved for: it waits for the runner, or runs there. nil if
// there is none.
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
