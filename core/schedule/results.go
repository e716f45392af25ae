package schedule

import (
	"time"

	"sapphirepoint.example/sapphirepoint/core/workload"
)

const (
	// endsPerList is how many ends a runner lists at most. There may be more
	// behind a list of that length.
	endsPerList = 500
	// stopSlack is added to the longest time that a stop takes.
	stopSlack = 20 * time.Millisecond
	// leaseLimit is the longest lease that a runner grants to anybody; runs
	// found under another scheduler's lease live no longer than that.
	leaseLimit = 1000 * time.Millisecond
)

// Held takes what came of a Hold.
func (s *Scheduler) Held(now Time, res HoldResult) {
	s.now = now
	r := s.runners[res.Runner]
	if r == nil || r.gone || !s.leading {
		return
	}
	if res.ReachabilityOnly {
		s.present(r, res)
		return
	}
	if res.Token != r.token {
		return
	}
	if !s.sameLife(r, res.Clock.Born) {
		s.dispatch()
		return
	}
	if res.ListOnly {
		r.looking = false
	} else {
		r.holding = false
	}
	silence := s.now - r.clockAt
	r.sawClock(res.Clock)
	switch res.Outcome {
	case Accepted:
		r.answered(res.Clock.SentAt)
		s.answersAgain(r, silence)
		s.listed(r, res)
		s.dispatch()
		if r.listedAt < s.listsWanted {
			s.look(r)
		}
		if !r.holding {
			s.nextHold(r)
		}
	case Fenced:
		s.lose(r)
	case Replaced:
		s.replaced(r)
		s.dispatch()
	default:
		s.unanswered(r)
		s.probe(r)
	}
}

// listed reads a runner's lists of what ended and what runs.
func (s *Scheduler) listed(r *runner, res HoldResult) {
	first := !r.owned
	r.owned = true
	whole := len(res.Ends) < endsPerList
	if whole {
		r.listedAt = max(r.listedAt, res.Clock.SentAt)
	}
	if first {
		r.acquiredAt = s.now
		r.refusals = 0
		r.aliveUntil = max(r.aliveUntil, s.now+longestLife(leaseLimit))
		s.emit(Decision{Event: "runner-acquired", Runner: r.info.ID, Token: r.token, Age: s.now - r.heldAt})
	}
	for _, e := range res.Ends {
		if !r.noted(e.Sequence) {
			s.note(r, e)
		}
	}
	s.acknowledge(r)
	listed := make(map[workload.RunKey]bool, len(res.Running))
	for _, k := range res.Running {
		listed[k] = true
		s.seen(r, k)
		r.runs[k].noteCheckpoint(res.Checkpoints[k])
	}
	if whole {
		s.dropStopped(r, listed, res.Clock.SentAt)
	}
}

// dropStopped gives up runs that the runner had promised to stop before it was
// asked for the list, and that aren't on it: they had never come there.
func (s *Scheduler) dropStopped(r *runner, listed map[workload.RunKey]bool, sentAt Time) {
	for _, u := range r.inOrder() {
		if !u.stopped || u.stoppedAt > sentAt || listed[u.key] {
			continue
		}
		r.drop(u)
		if u.task != nil {
			s.requeue(u.task)
		}
	}
}

// seen notes a run that a runner lists.
func (s *Scheduler) seen(r *runner, k workload.RunKey) {
	if u := r.runs[k]; u != nil {
		u.confirmed = true
		return
	}
	u := &run{key: k, runner: r, started: s.now, confirmed: true, found: true, stopAt: s.now + orphanGrace}
	r.add(u)
	s.ran[k.Task.Job] = s.now
	if j := s.jobs[k.Task.Job]; j != nil {
		s.adopt(j, u)
	}
}

// noteCheckpoint takes the newest checkpoint of a run. A task that is started
// again goes on from there.
func (u *run) noteCheckpoint(checkpoint string) {
	if checkpoint == "" {
		return
	}
	u.checkpoint = checkpoint
	if u.task != nil {
		u.task.checkpoint = checkpoint
	}
}

// ended acts on an end that a runner lists, and returns the job if it is known.
func (s *Scheduler) ended(r *runner, e workload.End) *job {
	u := r.runs[e.Run]
	if u != nil {
		r.drop(u)
	}
	t := s.taskOf(u, e.Run)
	if t == nil {
		s.endedUnknown(e)
		return nil
	}
	t.job.noteRun(e.Run)
	if e.Checkpoint != "" && (t.run == nil || t.run == u) {
		t.checkpoint = e.Checkpoint
	}
	switch {
	case t.phase == done:
	case e.Kind == workload.Done:
		s.taskDone(t, r, u)
	case u != nil && t.run == u:
		s.runEnded(t, u, e)
	case e.Kind == workload.Failed && t.job.stored != nil:
		// A scheduler before this one has started it.
		s.runFailed(t, r, e.Run)
	}
	return t.job
}

func (s *Scheduler) endedUnknown(e workload.End) {
	s.ran[e.Run.Task.Job] = s.now
	if e.Kind == workload.Done {
		s.found[e.Run.Task] = s.now
	}
}

// runEnded handles the end of a task's run that hasn't done it.
func (s *Scheduler) runEnded(t *taskState, u *run, e workload.End) {
	switch e.Kind {
	case workload.Failed:
		s.runFailed(t, u.runner, e.Run)
	case workload.LeaseExpired:
		s.ctr.Lapsed++
	}
	if t.job.ended {
		return
	}
	s.emit(Decision{Event: "run-ended", Job: t.name.Job, Run: e.Run, Runner: u.runner.info.ID, Reason: e.Kind.String(), Age: s.now - u.started})
	s.requeue(t)
}

// taskOf finds the task of a run, which may be one that this scheduler hasn't
// started.
func (s *Scheduler) taskOf(u *run, k workload.RunKey) *taskState {
	if u != nil && u.task != nil {
		return u.task
	}
	if j := s.jobs[k.Task.Job]; j != nil {
		return j.task(k.Task)
	}
	return nil
}

func (s *Scheduler) taskDone(t *taskState, r *runner, u *run) {
	s.ctr.Done++
	if u != nil && u.task == t {
		t.job.ran(t.name, s.now-u.started)
	}
	if u != nil && u.task == t && !u.stopping {
		r.health.succeeded(s.now, s.now-u.started, t.step().Estimate)
	}
	if t.run != nil && t.run != u {
		other := t.run
		other.setTask(nil)
		other.stopAt = s.now
		s.stopRun(other)
	}
	t.run = nil
	t.setPhase(done)
	if t.job.waiting == 0 {
		s.dequeue(t.job)
	}
	switch {
	case t.job.complete():
		s.finish(t.job, workload.Completed, "")
	case t.job.stored != nil && !t.job.ended:
		s.save(t.job)
	}
}

// runFailed counts a failure against the task and the runner. A task that has
// failed on two runners is taken to be at fault itself.
func (s *Scheduler) runFailed(t *taskState, r *runner, k workload.RunKey) {
	if t.job.stored != nil && (t.job.ended || !t.job.storedFailure(k)) {
		return
	}
	s.ctr.FailedRuns++
	t.job.begun = true
	t.failures++
	if len(t.failedOn) == 0 {
		r.health.failed(s.now, 1)
	} else {
		for _, f := range t.failedOn {
			if f != r {
				f.health.pardon()
			}
		}
	}
	t.failedOn = append(t.failedOn, r)
	switch {
	case t.failures >= t.job.attempts():
		s.finish(t.job, workload.JobFailed, "a task failed as often as its queue allows")
	case t.job.stored != nil:
		s.save(t.job)
	}
}

// Started takes what came of a Start.
func (s *Scheduler) Started(now Time, res StartResult) {
	s.now = now
	r := s.runners[res.Runner]
	if r == nil || r.gone || !s.leading {
		return
	}
	if !s.sameLife(r, res.Clock.Born) {
		s.dispatch()
		return
	}
	r.sawClock(res.Clock)
	s.took(res.Clock.SentAt)
	if res.Outcome != Unanswered {
		r.answered(res.Clock.SentAt)
	}
	u := r.runs[res.Run]
	if u == nil {
		return
	}
	switch res.Outcome {
	case Accepted:
		u.confirmed = true
		return
	case Fenced:
		s.lose(r)
	case Replaced:
		s.replaced(r)
	case Unanswered:
		s.startUnanswered(r, u)
	default:
		s.startRejected(r, u, res.Outcome)
	}
	s.dispatch()
}

// startUnanswered sends a start again, and if that isn't answered either has the
// run stopped, so that the task can be started on another runner.
func (s *Scheduler) startUnanswered(r *runner, u *run) {
	if u.confirmed {
		return
	}
	s.ctr.Unanswered++
	s.emit(Decision{Event: "start-unanswered", Job: u.key.Task.Job, Run: u.key, Runner: r.info.ID, Age: s.now - u.started})
	if u.task != nil && !u.stopping && u.tries < startTries && !r.inDoubt && !r.strange() && !r.evacuated {
		s.sendStart(u)
		return
	}
	r.doubt(s.now)
	s.stopRun(u)
}

// secondStartRejected handles a start that was refused after an earlier order for
// the same run had stayed unanswered. That one may have been carried out, and the
// run have ended; or it may come late.
func (s *Scheduler) secondStartRejected(r *runner, u *run, o CallOutcome) {
	s.emit(Decision{Event: "start-rejected", Job: u.key.Task.Job, Run: u.key, Runner: r.info.ID, Reason: "second order: " + o.String(), Age: s.now - u.started})
	if o != Outdated {
		s.stopRun(u)
		return
	}
	u.stopping = true
	s.noteStopped(u, s.now)
}

// noteStopped notes that a run can't begin any more and has ended, or will in a
// moment. The runner's list tells how.
func (s *Scheduler) noteStopped(u *run, at Time) {
	u.stopped = true
	u.stoppedAt = at
	u.goneAt = s.now + s.cfg.StopTimeout + stopSlack
	s.look(u.runner)
}

// startRejected handles a start that surely hasn't happened.
func (s *Scheduler) startRejected(r *runner, u *run, o CallOutcome) {
	if u.tries > 1 && u.ofStoredJob() {
		s.secondStartRejected(r, u, o)
		return
	}
	r.drop(u)
	t := u.task
	s.emit(Decision{Event: "start-rejected", Job: u.key.Task.Job, Run: u.key, Runner: r.info.ID, Reason: o.String(), Age: s.now - u.started})
	switch o {
	case Unhealthy:
		r.health.failed(s.now, strikesToClose)
	case NoRoom:
		// Something runs there that isn't known here. A look tells what.
		r.doubt(s.now)
		r.holdNext = s.now
	case Outdated:
		if t != nil {
			t.lastNumber += runsPerHand
		}
	case Invalid:
		if t != nil {
			s.finish(t.job, workload.JobFailed, "runners don't understand the task")
			return
		}
	}
	if t != nil {
		s.requeue(t)
	}
}

// stopRun orders a run to be stopped, once.
func (s *Scheduler) stopRun(u *run) {
	if u.stopping || u.runner.gone || !s.leading {
		return
	}
	u.stopping = true
	s.emit(Stop{Runner: u.runner.info.ID, Address: u.runner.info.Address, Token: u.runner.token, Run: u.key, Timeout: s.callTimeout()})
}

// Stopped takes what came of a Stop.
func (s *Scheduler) Stopped(now Time, res StopResult) {
	s.now = now
	r := s.runners[res.Runner]
	if r == nil || r.gone || !s.leading {
		return
	}
	if !s.sameLife(r, res.Clock.Born) {
		s.dispatch()
		return
	}
	r.sawClock(res.Clock)
	u := r.runs[res.Run]
	if res.Outcome != Unanswered {
		r.answered(res.Clock.SentAt)
	}
	switch res.Outcome {
	case Accepted:
		if u != nil {
			s.noteStopped(u, res.Clock.ReceivedAt)
		}
	case Fenced:
		s.lose(r)
	case Replaced:
		s.replaced(r)
	default:
		s.unanswered(r)
		if u != nil {
			u.stopping = false
			u.stopAt = now
		}
	}
	s.dispatch()
}
