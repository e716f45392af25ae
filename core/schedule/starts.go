package schedule

import (
	"fmt"
	"time"

	"sapphirepoint.example/sapphirepoint/core/workload"
)

// The results of orders to start and to stop runs.

// stopSlack is added to StopTimeout: a run that was stopped counts as over after both.
const stopSlack = 20 * time.Millisecond

// answeringRunner returns the runner that has answered an order to start or to stop a run, with its
// clock updated; nil if the answer is to be ignored, since this scheduler doesn't use the runner or
// another incarnation of the runner has answered.
func (s *Scheduler) answeringRunner(id workload.RunnerID, clock ClockReading) *runner {
	r := s.runners[id]
	if r == nil || r.gone || !s.leading {
		return nil
	}
	if !s.checkIncarnation(r, clock.IncarnationStart) {
		s.dispatch()
		return nil
	}
	r.updateClock(clock)
	return r
}

// Started handles the result of a Start.
func (s *Scheduler) Started(now Time, res StartResult) {
	s.now = now
	r := s.answeringRunner(res.Runner, res.Clock)
	if r == nil {
		return
	}
	s.recordLatency(res.Clock.SentAt)
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
		s.runnerFenced(r)
	case Replaced:
		s.replaced(r)
	case Unanswered:
		s.startUnanswered(r, u)
	default:
		s.startRejected(r, u, res.Outcome)
	}
	s.dispatch()
}

// startUnanswered sends a start again. If that stays unanswered too it stops the run, so that the
// task can be started on another runner.
func (s *Scheduler) startUnanswered(r *runner, u *run) {
	if u.confirmed {
		return
	}
	s.ctr.Unanswered++
	s.emit(Decision{Event: "start-unanswered", Job: u.key.Task.Job, Run: u.key, Runner: r.info.ID, Age: s.now - u.started})
	if u.task != nil && !u.stopping && u.startAttempts < maxStartAttempts && !r.unresponsive && !r.hasForeignOrphans() && !r.evacuated {
		s.ctr.StartsRepeated++
		s.sendStart(u)
		return
	}
	r.markUnresponsive(s.now)
	s.stopRun(u)
}

// secondStartRejected handles a start that was refused after an earlier order for the same run had
// stayed unanswered. The earlier order may have been carried out, and the run may have ended; or
// the order may still arrive.
func (s *Scheduler) secondStartRejected(r *runner, u *run, o CallOutcome) {
	s.ctr.RepeatsRejected++
	s.emit(Decision{Event: "start-rejected", Job: u.key.Task.Job, Run: u.key, Runner: r.info.ID, Reason: "second order: " + o.String(), Age: s.now - u.started})
	if o != Outdated {
		s.stopRun(u)
		return
	}
	u.stopping = true
	s.noteStopped(u, s.now)
}

// noteStopped records that a run can't start any more and has ended or is about to. The runner's
// list shows how.
func (s *Scheduler) noteStopped(u *run, at Time) {
	u.stopped = true
	u.stoppedAt = at
	u.overAt = s.now + s.cfg.StopTimeout + stopSlack
	s.requestList(u.runner)
}

// startRejected handles a start that has certainly not been carried out.
func (s *Scheduler) startRejected(r *runner, u *run, o CallOutcome) {
	if u.startAttempts > 1 && u.ofStoredJob() {
		s.secondStartRejected(r, u, o)
		return
	}
	t := u.task
	if u.startAttempts > 1 {
		s.ctr.RepeatsRejected++
	}
	reason := fmt.Sprintf("%s, order %d", o, u.startAttempts)
	s.dropRunAs(u, rejection(o), Decision{Event: "start-rejected", Reason: reason, Age: s.now - u.started})
	switch o {
	case Unhealthy:
		r.health.failed(s.now, strikesToClose)
	case NoRoom:
		// Runs unknown to this scheduler are there. The list shows which.
		r.markUnresponsive(s.now)
		r.nextHoldAt = s.now
	case Outdated:
		if t != nil {
			t.lastNumber += runsPerScheduler
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

// Stopped handles the result of a Stop.
func (s *Scheduler) Stopped(now Time, res StopResult) {
	s.now = now
	r := s.answeringRunner(res.Runner, res.Clock)
	if r == nil {
		return
	}
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
		s.runnerFenced(r)
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
