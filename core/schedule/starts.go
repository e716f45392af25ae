package schedule

import (
	"fmt"
	"time"

	"sapphirepoint.example/sapphirepoint/core/workload"
)

// The results of orders to start and to stop runs.

// answeringRunner returns the runner that has answered an order to start or to stop a run, with its
// clock updated if the known incarnation has answered; nil if the answer is to be ignored, since this scheduler
// doesn't use the runner, the answer says that it comes from another incarnation, or the runner was acquired again
// since the order was sent. In the last case the runner's lists show what has become of the run.
func (s *Scheduler) answeringRunner(id workload.RunnerID, token uint64, clock ClockReading) (*runner, answerOrigin) {
	r := s.runners[id]
	if r == nil || r.gone || !s.leading {
		return nil, unknownIncarnation
	}
	origin := s.checkIncarnation(r, clock, nil)
	switch {
	case origin == laterIncarnation, origin == earlierIncarnation:
		s.dispatch()
		return nil, origin
	case origin == knownIncarnation:
		r.updateClock(clock)
	}
	if token != r.token {
		return nil, origin
	}
	if origin == unknownIncarnation && clock.Milliseconds > 0 {
		s.doubtIncarnation(r, clock)
	}
	return r, origin
}

// Started handles the result of a Start.
func (s *Scheduler) Started(now Time, res StartResult) {
	s.now = now
	r, origin := s.answeringRunner(res.Runner, res.Token, res.Clock)
	if r == nil {
		s.noteEarlierAcceptance(res, origin)
		return
	}
	s.recordLatency(res.Clock.SentAt)
	res.Outcome = r.checkReplaced(res.Outcome, res.Address, s.now)
	r.noteOrder(res.Outcome, res.Connection, res.Clock.SentAt)
	u := r.runs[res.Run]
	if u == nil {
		return
	}
	switch res.Outcome {
	case Accepted:
		s.startAccepted(u, origin)
		return
	case Fenced:
		s.runnerFenced(r)
	case Replaced:
		s.replaced(r, u)
	case Unanswered:
		s.startUnanswered(r, u)
	default:
		s.startRejected(r, u, res.Outcome)
	}
	s.dispatch()
}

// noteEarlierAcceptance confirms a run whose start was accepted under a token that was raised since. The runner
// was not acquired again in between, or the run's latest order would have another token.
func (s *Scheduler) noteEarlierAcceptance(res StartResult, origin answerOrigin) {
	r := s.runners[res.Runner]
	if r == nil || r.gone || res.Outcome != Accepted || origin == laterIncarnation || origin == earlierIncarnation {
		return
	}
	if u := r.runs[res.Run]; u != nil && u.orderToken == res.Token {
		s.startAccepted(u, origin)
	}
}

// startAccepted handles an accepted order to start a run.
func (s *Scheduler) startAccepted(u *run, origin answerOrigin) {
	if origin != knownIncarnation {
		s.acceptedInDoubt(u)
		return
	}
	u.confirm()
}

// confirm records that a run has begun. A list that lacks it doesn't show any more that it hasn't.
func (u *run) confirm() {
	u.confirmed = true
	if u.task != nil {
		u.task.job.ran = true
	}
	if !u.stopped {
		u.awaitList(0)
	}
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
	u.inDoubt = true
	s.stopRun(u, StopUnconfirmed)
}

// longestStop is the longest time from the answer to a stop until the run has ended.
func (s *Scheduler) longestStop() time.Duration { return s.cfg.StopTimeout + lateEndMargin }

// noteStopped records that a run can't start any more and has ended or is about to. The runner's
// list shows how.
func (s *Scheduler) noteStopped(u *run) {
	u.stopped = true
	u.awaitList(s.now + s.longestStop())
	u.askAt = s.now + s.cfg.StopTimeout
	s.requestList(u.runner)
}

// awaitList records from when on a list that lacks the run and its end shows that it is over. The list is
// requested then.
func (u *run) awaitList(at Time) { u.settledAt, u.askAt = at, at }

// startRejected handles an order to start a run that was certainly not carried out. An earlier order
// for the same run may have been.
func (s *Scheduler) startRejected(r *runner, u *run, o CallOutcome) {
	s.noteRejection(r, o)
	rejected := Decision{Event: "start-rejected", Reason: fmt.Sprintf("%s, order %d", o, u.startAttempts), Age: s.now - u.started}
	if u.confirmed || u.startAttempts > 1 {
		s.emitForRun(u, rejected)
		s.repeatRejected(u, o)
		return
	}
	s.dropRunAs(u, rejection(o), rejected)
	if o == Outdated {
		// The run that outdated it may be of an earlier submission of the job, and may still be stopping.
		s.noteLostRun(u, lostRun{overAt: max(s.now+s.longestStop(), r.runsOverAt())})
	}
	t := u.task
	if t == nil {
		return
	}
	switch o {
	case Outdated:
		t.lastNumber += runsPerScheduler
	case Invalid:
		s.finish(t.job, workload.JobFailed, "runners don't understand the task")
		return
	}
	s.requeue(t)
}

// noteRejection records what the rejection of a start shows about its runner.
func (s *Scheduler) noteRejection(r *runner, o CallOutcome) {
	switch o {
	case Unhealthy:
		r.health.failed(s.now, strikesToClose)
	case NoRoom:
		// Runs unknown to this scheduler are there. The list shows which.
		r.markUnresponsive(s.now)
		r.nextHoldAt = s.now
	}
}

// repeatRejected handles a run whose start was rejected though an earlier order for it may have been
// carried out, or may still arrive. The run counts until the runner shows that it is over.
func (s *Scheduler) repeatRejected(u *run, o CallOutcome) {
	s.ctr.RepeatsRejected++
	switch {
	case o == Outdated:
		u.stopping = true
		s.noteStopped(u)
		// The runner lists the run's end, unless it has too many ends for one list.
		u.overAt = s.now + maxRunLife(s.cfg.Lease)
	case u.confirmed:
	case o == TooLate:
		u.inDoubt, u.startExpiredAt = true, s.now
		s.requestList(u.runner)
	default:
		u.inDoubt = true
		s.stopRun(u, StopUnconfirmed)
	}
}

// stopRun orders a run to be stopped, once, and logs why.
func (s *Scheduler) stopRun(u *run, why StopReason) {
	if u.stopping || u.runner.gone || !s.leading {
		return
	}
	u.stopping = true
	s.ctr.Stops[why]++
	s.emitForRun(u, Decision{Event: "run-stop-ordered", Reason: why.String(), Token: u.runner.token, Age: s.now - u.started})
	s.emit(Stop{Runner: u.runner.info.ID, Address: u.runner.info.Address, Token: u.runner.token, Run: u.key, Timeout: s.callTimeout()})
}

// Stopped handles the result of a Stop.
func (s *Scheduler) Stopped(now Time, res StopResult) {
	s.now = now
	r, _ := s.answeringRunner(res.Runner, res.Token, res.Clock)
	if r == nil {
		return
	}
	u := r.runs[res.Run]
	res.Outcome = r.checkReplaced(res.Outcome, res.Address, s.now)
	r.noteOrder(res.Outcome, res.Connection, res.Clock.SentAt)
	switch res.Outcome {
	case Accepted:
		if u != nil {
			s.noteStopped(u)
		}
	case Fenced:
		s.runnerFenced(r)
	case Replaced:
		s.replaced(r, nil)
	default:
		s.unanswered(r)
		if u != nil {
			u.stopping = false
			u.stopAt = now + r.probeInterval(now)
		}
	}
	s.dispatch()
}
