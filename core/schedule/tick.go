package schedule

import (
	"cmp"
	"maps"
	"time"

	"sapphirepoint.example/sapphirepoint/core/ordered"
	"sapphirepoint.example/sapphirepoint/core/workload"
)

// Tick does the periodic work. It is called every few tens of milliseconds.
func (s *Scheduler) Tick(now Time) {
	s.now = now
	s.expire()
	s.expireResent()
	s.expireGrants()
	s.tickStored()
	if !s.leading {
		s.refuseWithoutLeader()
		return
	}
	// Jobs come first: one that is dropped now renews no lease.
	for _, j := range s.sortedJobs() {
		s.tickJob(j)
	}
	for _, r := range s.runnerList {
		s.tickRunner(r)
	}
	s.askForHandoverLists()
	s.askForLostRuns()
	s.forgetRunners()
	s.tickUnlisted()
	s.refreshEntries()
	s.refuseEvacuated()
	s.refuseLate()
	s.dispatch()
	s.tickBorrowing()
}

// refuseWithoutLeader answers GaveUp to jobs that were handed in to a process that doesn't become
// leader in time.
func (s *Scheduler) refuseWithoutLeader() {
	for _, j := range s.sortedJobs() {
		if j.stored == nil && s.now-j.arrived > leadershipTimeout {
			s.finishRefused(j, workload.GaveUp, workload.NotLeading, "this process doesn't lead")
		}
	}
}

func (s *Scheduler) tickJob(j *job) {
	if j.stored != nil {
		s.tickStoredJob(j)
		return
	}
	switch {
	case j.abandonedAt > 0 && s.now >= j.abandonedAt:
		s.emit(Decision{Event: "job-dropped", Job: j.work.ID, Reason: "entry process ended"})
		s.forget(j)
	case s.now >= j.deadline:
		s.finishRefused(j, workload.NotRun, workload.TimeUp, "time is up")
	case !j.started && (s.hopeless(j) || j.worthless(s.now) && j.late(s.now)):
		s.finishRefused(j, workload.NotRun, workload.TooLittleTime, "too little time is left")
	case s.waitsInVain(j):
		s.finishRefused(j, workload.NotRun, workload.RunnerSilent, "a task may still run on a runner that doesn't answer")
	case j.idle() && s.hopeless(j):
		// Its caller would wait in vain, and is told at once.
		s.finishRefused(j, workload.NotRun, workload.TooLittleTime, "too little time is left")
	}
}

func (s *Scheduler) tickRunner(r *runner) {
	if r.gone {
		return
	}
	s.tickPace(r)
	if r.token == 0 {
		if r.reacquireAt > 0 && s.now >= r.reacquireAt {
			s.raiseTerm(r)
			s.acquire(r)
		}
		return
	}
	if !r.holdInFlight && s.now >= r.nextHoldAt {
		s.hold(r)
	}
	if len(r.runs) > 0 {
		s.askAfterLease(r)
	}
	s.noteSilentLosses(r)
	s.tickEntryStart(r)
	if s.runsOver(r) {
		s.lapseRuns(r)
		return
	}
	for _, u := range r.sortedRuns() {
		s.tickRun(r, u)
	}
}

// lapseRuns drops the runs of a silent runner, see runsOver. Orders to start them that are still under way
// must not be carried out under a later lease.
func (s *Scheduler) lapseRuns(r *runner) {
	unconfirmed := false
	for _, u := range r.sortedRuns() {
		unconfirmed = unconfirmed || !u.confirmed
		if invalidAt := r.startInvalidAt(u); invalidAt > 0 {
			s.noteLostRun(u, lostRun{overAt: r.mayLiveUntil(u), listFrom: invalidAt})
		}
		if u.task == nil {
			s.dropRun(u, LeaseOver)
			continue
		}
		s.ctr.Lapsed++
		s.noteLoss(u, false)
		s.dropRunAs(u, LeaseOver, Decision{Event: "run-lapsed", Reason: "runner is silent", Age: s.now - r.clockAt, Detail: r.describeSilence(s.now)})
		if s.mayLose(u.task.job.entry) {
			// The entry VM may be cut off together with the runner. Then the scheduler on that
			// side may have adopted the run, and the job will shortly be dropped here.
			u.task.notBefore = s.now + entryRecoveryDelay
		}
		s.requeueUnseen(u.task)
	}
	if unconfirmed {
		s.refuseEarlierOrders(r)
	}
}

// tickRun repeats a stop that wasn't carried out, drops a run that must be over, and stops an orphan whose
// time is over or an overdue run.
func (s *Scheduler) tickRun(r *runner, u *run) {
	s.askAbout(r, u)
	switch {
	case u.stopped && u.listedAt >= u.settledAt:
		// The runner has accepted the stop, and still lists the run.
		u.stopping, u.stopped = false, false
		u.awaitList(0)
		s.stopRun(u, StopStillListed)
	case u.stopped && u.overAt > 0 && s.now >= u.overAt && !u.ofStoredJob() && r.runningAsOf >= u.settledAt:
		s.dropRun(u, StopTimedOut)
		if u.task != nil {
			s.requeue(u.task)
		}
	case u.startedElsewhere && u.task == nil && !s.rows.loaded && !s.rows.noStoredJobs:
		// It may belong to a stored job that isn't loaded yet. No lease is granted meanwhile.
	case u.task == nil && u.stopAt > 0 && s.now >= u.stopAt:
		s.stopRun(u, StopOrphan)
	case u.task != nil && !u.stopping && !u.confirmed && u.stopAt > 0 && s.now >= u.stopAt:
		s.stopRun(u, StopUnconfirmed)
	case u.task != nil && !u.stopping && u.overdueAt > 0 && s.now >= max(u.overdueAt, u.stopAt):
		s.stopOverdue(u)
	}
}

// askAbout requests the list that shows whether a run is over, when it is time. An unresponsive runner is asked
// by its probes.
func (s *Scheduler) askAbout(r *runner, u *run) {
	if u.askAt == 0 || s.now < u.askAt || r.unresponsive {
		return
	}
	u.askAt = s.now + orphanCheckInterval
	s.requestList(r)
}

// stopOverdue stops a run that takes far longer than estimated, so that its task is started on
// another runner: tasks hang on some runners that are otherwise healthy.
func (s *Scheduler) stopOverdue(u *run) {
	t := u.task
	if s.now+t.step().Estimate > t.job.deadline {
		return
	}
	s.noteOverdue(t, u)
	s.stopRun(u, StopOverdue)
}

// noteOverdue records that a run is overdue, once however often it is ordered to stop.
func (s *Scheduler) noteOverdue(t *taskState, u *run) {
	if u.overdue {
		return
	}
	u.overdue = true
	r := u.runner
	s.ctr.Overstayed++
	t.overstays++
	t.failedOn = append(t.failedOn, r)
	r.health.failed(s.now, strikesToClose)
	if expected := s.expected(t, r); expected > 0 {
		s.noteRatio(r, t, float64(s.now-u.started)/float64(expected))
	}
	s.emit(Decision{Event: "run-overdue", Job: u.key.Task.Job, Run: u.key, Runner: r.info.ID, Age: s.now - u.started})
}

// expireInterval is how often some thousand entries are checked for expiry; keeping an entry for
// that much longer does no harm.
const expireInterval = time.Second

// expire drops old outcomes and other entries whose retention is over.
func (s *Scheduler) expire() {
	for len(s.resultOrder) > 0 {
		id := s.resultOrder[0]
		if s.now-s.results[id].at < resultRetention {
			break
		}
		delete(s.results, id)
		s.resultOrder = s.resultOrder[1:]
	}
	s.refused.expire(s.now - resultRetention)
	if s.now-s.expiredAt < expireInterval {
		return
	}
	s.expiredAt = s.now
	expireBefore(s.cancelled, s.now-resultRetention)
	expireBefore(s.unreachable, s.now-UnreachableTimeout)
	maps.DeleteFunc(s.ranJobs, func(_ workload.JobID, r ranJob) bool { return r.at < s.now-ranRetention })
	expireBefore(s.unstored, s.now-ranRetention)
	oldestDone := s.now - s.cfg.Resend - leadershipTimeout
	maps.DeleteFunc(s.doneWithoutJob, func(_ workload.TaskName, d doneRun) bool { return d.at < oldestDone })
	s.expireBorrowing()
	s.drops.expire(s.now - dropRetention)
	s.expirePriorRuns()
	s.expirePossibleRuns()
	s.expireLostRuns()
}

func expireBefore[K comparable](m map[K]Time, oldest Time) {
	maps.DeleteFunc(m, func(_ K, at Time) bool { return at < oldest })
}

// sortedRuns lists the runs by their keys.
func (r *runner) sortedRuns() []*run {
	return ordered.Values(r.runs, compareRuns)
}

func compareRuns(a, b *run) int { return compareKeys(a.key, b.key) }

func compareKeys(a, b workload.RunKey) int {
	return cmp.Or(compareTasks(a.Task, b.Task), cmp.Compare(a.Number, b.Number))
}

func compareTasks(a, b workload.TaskName) int {
	return cmp.Or(
		cmp.Compare(a.Job, b.Job),
		cmp.Compare(a.Occurrence, b.Occurrence),
		cmp.Compare(a.Step, b.Step),
		cmp.Compare(a.Index, b.Index),
	)
}
