package schedule

import (
	"slices"
	"time"

	"sapphirepoint.example/sapphirepoint/core/workload"
)

const (
	// maxEndsPerList is the most ends that a runner lists at once. A list of that length may be
	// incomplete.
	maxEndsPerList = 500
	// maxLease is the longest lease that a runner grants to any scheduler, and so bounds the
	// life of runs found under another scheduler's lease.
	maxLease = 1000 * time.Millisecond
)

// Held handles the result of a Hold.
func (s *Scheduler) Held(now Time, res HoldResult) {
	s.now = now
	r := s.runners[res.Runner]
	if r == nil || r.gone || !s.leading {
		return
	}
	if res.ReachabilityOnly {
		s.handleReachability(r, res)
		return
	}
	if res.Token != r.token {
		return
	}
	if s.heldByOtherIncarnation(r, res) {
		s.noteEarlierIncarnation(r, res)
		s.dispatch()
		return
	}
	r.noteAnsweredHold(res)
	silence := s.now - r.clockAt
	// A rejection doesn't say whose it is.
	if res.Outcome == Accepted || r.originOfAnswer(res.Clock) == knownIncarnation {
		r.updateClock(res.Clock)
	}
	res.Outcome = r.checkReplaced(res.Outcome, res.Address, s.now)
	switch res.Outcome {
	case Accepted:
		if res.Clock.SentAt > r.addressSince {
			r.answeredAddress = r.info.Address
		}
		r.answered(res.Clock.SentAt)
		r.host = host{}
		s.noteAnswerAfterSilence(r, silence)
		s.settleDoubt(r, res.Clock.SentAt)
		s.applyLists(r, res)
		s.dispatch()
		if !r.holdInFlight {
			s.scheduleHold(r)
		}
	case Fenced:
		s.runnerFenced(r)
	case Replaced:
		s.replaced(r, nil)
		s.dispatch()
	default:
		r.noteSilence(res)
		s.unanswered(r)
		if res.Outcome != Unanswered {
			// Another order sent at once would be rejected at once, in a loop.
			r.nextHoldAt = s.now + orphanCheckInterval
			return
		}
		s.probe(r)
	}
}

// noteAnsweredHold records that a Hold isn't under way any more.
func (r *runner) noteAnsweredHold(res HoldResult) {
	if res.ListOnly {
		r.listInFlight = false
		return
	}
	r.holdInFlight = false
}

// applyLists processes a runner's lists of ended and running runs.
func (s *Scheduler) applyLists(r *runner, res HoldResult) {
	first := !r.owned
	r.owned = true
	r.runningAsOf = max(r.runningAsOf, res.Clock.SentAt)
	complete := len(res.Ends) < maxEndsPerList
	if complete {
		r.listAsOf = max(r.listAsOf, res.Clock.SentAt)
	}
	if first {
		r.acquiredAt = s.now
		r.refusals = 0
		s.emit(Decision{Event: "runner-acquired", Runner: r.info.ID, Token: r.token, Age: s.now - r.holdSentAt})
	}
	if first || r.tokenRaised {
		// Until now another scheduler may have given it a lease.
		r.noteLease(s.now, maxLease)
		r.tokenRaised = false
	}
	for _, e := range res.Ends {
		if !r.noted(e.Sequence) {
			r.noteRecentEnd(e.Run, s.now)
			s.noteEnd(r, e)
		}
	}
	s.acknowledge(r)
	r.cursorDue = slices.ContainsFunc(res.Ends, func(e workload.End) bool { return e.Sequence <= r.acknowledged })
	listed := make(map[workload.RunKey]bool, len(res.Running))
	for _, k := range res.Running {
		if r.endedSince(k, res.Clock.SentAt) {
			continue
		}
		listed[k] = true
		s.noteListedRun(r, k, res.Clock.SentAt)
		r.runs[k].noteCheckpoint(res.Checkpoints[k])
	}
	if complete {
		s.dropUnlisted(r, listed, res.Clock.SentAt)
	}
	s.checkOverrun(r, res)
	r.noteExpiredStarts()
	if complete && res.Clock.SentAt >= r.acquiredAt+s.longestStop() {
		r.settledListAsOf = max(r.settledListAsOf, res.Clock.SentAt)
	}
}

// dropUnlisted drops runs that aren't on a complete list of the runner, requested at sentAt, and that are over or
// can't begin any more in this incarnation. If that isn't certain, since their orders may still be carried out
// under another lease, it makes the runner refuse these orders.
func (s *Scheduler) dropUnlisted(r *runner, listed map[workload.RunKey]bool, sentAt Time) {
	refuse := false
	for _, u := range r.sortedRuns() {
		switch {
		case listed[u.key]:
		case u.task == nil && sentAt < r.startInvalidAt(u):
		case u.stopped:
			s.dropAbsent(u, StoppedUnlisted, sentAt)
		case u.stopping || u.confirmed || u.orderToken == 0:
		case u.orderToken == r.token && u.acceptedAt > 0 && sentAt >= u.acceptedAt:
			// The list is of the known incarnation, so that one has accepted the start, and may not list the run yet.
			u.acceptedAt = 0
			s.startUnanswered(r, u)
		case u.orderToken == r.token:
			refuse = refuse || u.startExpiredAt > 0 && u.startExpiredAt <= sentAt
		default:
			s.noteRefusedStart(u)
			s.dropAbsent(u, NeverBegun, sentAt)
		}
	}
	if refuse {
		s.refuseEarlierOrders(r)
	}
}

// noteRefusedStart records that the runner refuses the orders to start an unconfirmed run by now. A run that has
// begun before may be missing on its list for a moment.
func (s *Scheduler) noteRefusedStart(u *run) {
	if u.settledAt == 0 {
		u.awaitList(s.now + s.longestStop())
	}
}

// dropAbsent drops a run that isn't on a list which was requested at sentAt, if that is late enough to show that
// the run is over in this incarnation. An order to start it may still reach a later one, which knows neither of the stop
// nor of the clock by which the start has expired. So the run counts as lost until no such order is valid any more and
// the runner has listed its runs then.
func (s *Scheduler) dropAbsent(u *run, why DropReason, sentAt Time) {
	if sentAt < u.settledAt {
		return
	}
	s.dropRun(u, why)
	if invalidAt := u.runner.startInvalidAt(u); sentAt < invalidAt {
		u.delayTask(invalidAt)
		s.noteLostRun(u, lostRun{overAt: s.now + longestLateLife, listFrom: invalidAt})
	}
	if u.task != nil {
		s.requeue(u.task)
	}
}

// noteListedRun records a run that a runner lists.
func (s *Scheduler) noteListedRun(r *runner, k workload.RunKey, requestedAt Time) {
	u := r.runs[k]
	if u == nil {
		u = s.addListedRun(r, k)
	}
	u.confirm()
	u.listedAt = max(u.listedAt, requestedAt)
	if u.task == nil {
		s.checkListedOrphan(u, requestedAt)
	}
}

// addListedRun adds a run that another scheduler has started, and assigns it to its task.
func (s *Scheduler) addListedRun(r *runner, k workload.RunKey) *run {
	u := &run{key: k, runner: r, started: s.now, confirmed: true, startedElsewhere: true, stopAt: s.now + orphanGrace}
	r.add(u)
	s.noteOtherStart(r, k)
	s.forgetLoss(r, k, true)
	s.ranJobs[k.Task.Job] = ranJob{at: s.now}
	if j := s.jobs[k.Task.Job]; j != nil {
		j.onlyHere = false
		s.adopt(j, u)
	}
	return u
}

// noteCheckpoint records the newest checkpoint of a run. A task that is started again resumes from
// it.
func (u *run) noteCheckpoint(checkpoint string) {
	if checkpoint == "" {
		return
	}
	u.checkpoint = checkpoint
	if u.task != nil {
		u.task.checkpoint = checkpoint
	}
}

// applyEnd processes an end that a runner lists, and returns the job if it is known.
func (s *Scheduler) applyEnd(r *runner, e workload.End) *job {
	u := r.runs[e.Run]
	if u != nil {
		r.drop(u)
	}
	s.checkListedEnd(r, u, e)
	t := s.taskOf(u, e.Run)
	if t == nil {
		s.endedUnknown(e)
		return nil
	}
	t.job.noteRun(e.Run)
	s.forgetLoss(r, e.Run, u == nil || u.startedElsewhere)
	if u != nil && t.run == u {
		t.assumedLoss = nil
	}
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
		// An earlier scheduler had started the run.
		s.runFailed(t, r, e.Run)
	}
	return t.job
}

// endedUnknown records the end of a run whose job isn't known, or has no such task.
func (s *Scheduler) endedUnknown(e workload.End) {
	id := e.Run.Task.Job
	s.ranJobs[id] = ranJob{at: s.now, onlyHere: s.knowsAllRuns(s.ranJobs[id])}
	if e.Kind == workload.Done {
		s.doneWithoutJob[e.Run.Task] = doneRun{number: e.Run.Number, at: s.now}
	}
}

// runEnded handles an unsuccessful end of a task's run.
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
	s.noteEarlierRun(u, "run-ended "+e.Kind.String(), nil)
	s.awaitRepeatedOrder(u)
	s.requeue(t)
}

// taskOf finds the task of a run, which may have been started by another scheduler.
func (s *Scheduler) taskOf(u *run, k workload.RunKey) *taskState {
	if u != nil && u.task != nil {
		return u.task
	}
	if j := s.jobs[k.Task.Job]; j != nil {
		return j.task(k.Task)
	}
	return nil
}

// taskDone handles the successful end of a task, in a run u on a runner r if these are known. If
// the task has another run, that run is stopped.
func (s *Scheduler) taskDone(t *taskState, r *runner, u *run) {
	s.ctr.Done++
	t.job.ran = true
	if u != nil && u.task == t {
		t.job.recordRunTime(t.name, s.now-u.started, u.runner)
	}
	if u != nil && u.task == t && !u.stopping {
		s.learnRun(t, u)
	}
	if t.run != nil && t.run != u {
		s.stopOtherRun(t)
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

// stopOtherRun stops the run of a task that another run has completed.
func (s *Scheduler) stopOtherRun(t *taskState) {
	u := t.run
	u.setTask(nil)
	u.stopAt = s.now
	if st := t.job.stored; st != nil {
		st.unsettled = append(st.unsettled, u)
	}
	s.stopRun(u, StopTaskDone)
}

// runFailed counts a failure against the task and the runner. After failures on two runners the
// task itself counts as the cause, and the earlier runners' failures are undone.
func (s *Scheduler) runFailed(t *taskState, r *runner, k workload.RunKey) {
	if t.job.stored != nil && (t.job.ended || !t.job.storedFailure(k)) {
		return
	}
	s.ctr.FailedRuns++
	t.job.begun, t.job.ran = true, true
	t.failures++
	if len(t.failedOn) == 0 {
		r.health.failed(s.now, 1)
	} else {
		for _, f := range t.failedOn {
			if f != r {
				f.health.undoStrike()
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
