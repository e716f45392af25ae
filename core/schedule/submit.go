package schedule

import (
	"cmp"
	"time"

	"sapphirepoint.example/sapphirepoint/core/workload"
)

// Submission hands a job in.
type Submission struct {
	Job   *workload.Job
	Entry EntryID
	// SentAt is the earliest time at which it may have been sent; 0 if it was sent just now.
	SentAt Time
	// RemainingObjective and RemainingTimeout are what is left of the latency objective and of
	// the time that the caller waits.
	RemainingObjective time.Duration
	RemainingTimeout   time.Duration
	// PriorSubmissions counts how often the entry VM handed the job in before, to this
	// scheduler or others.
	PriorSubmissions int
	// PriorRunsTTL is how much longer runs that an earlier scheduler has started may be alive.
	PriorRunsTTL time.Duration
	// Domain is the failure domain of the entry VM; "" if it isn't known.
	Domain string
	// Foreign: the job belongs to another shard, which receives copies of it.
	Foreign bool
	// HandedBack: the job was lent by this scheduler, and its entry process can't reach the lender.
	HandedBack bool
}

// worthlessFactor times its objective is the time after which a job's answer has no value, by the
// users' terms.
const worthlessFactor = 3

// runsPerScheduler is the distance between the run numbers of successive schedulers: each starts
// above all numbers that the previous one may have used. Rejected starts use numbers too.
const runsPerScheduler = 1_000_000

// Submit handles the submission of a job, which may be a copy of a known one.
func (s *Scheduler) Submit(now Time, sub Submission) {
	s.now = now
	s.EntryAlive(cmp.Or(sub.SentAt, now), sub.Entry)
	if sub.Job.Stored {
		s.submitStored(sub)
		return
	}
	s.logCopy(sub)
	id := sub.Job.ID
	if r, ok := s.results[id]; ok && !s.refusedHere(id, r) {
		s.answer(sub.Entry, id, s.outcomeForCopy(r), "known")
		return
	}
	if _, ok := s.cancelled[id]; ok {
		s.answer(sub.Entry, id, workload.Cancelled, "cancelled before it came")
		return
	}
	if s.submitLent(sub) {
		return
	}
	if j := s.jobs[id]; j != nil {
		s.submitCopy(j, sub)
		return
	}
	s.submitNew(sub)
}

// submitCopy handles the submission of a job that is known and hasn't ended.
func (s *Scheduler) submitCopy(j *job, sub Submission) {
	j.entry = sub.Entry
	j.abandonedAt = 0
	j.withdrawn = false
	j.deadline = max(j.deadline, s.now+sub.RemainingTimeout)
	s.notePriorSubmissions(j, sub)
	if j.waiting > 0 && sub.PriorSubmissions > 0 {
		// It may have been withdrawn, and comes back from the next scheduler.
		s.enqueue(j)
	}
	s.dispatch()
}

// submitNew handles the submission of a job that isn't known.
func (s *Scheduler) submitNew(sub Submission) {
	s.ctr.Submitted++
	j := s.newSubmitted(sub)
	s.add(j)
	s.attach(j)
	if j.complete() {
		s.finish(j, workload.Completed, "all tasks had ended")
		return
	}
	s.noteOffered(j)
	j.granted = s.useGrant(j.work.ID)
	if s.refuseNew(j) {
		return
	}
	s.enqueue(j)
	s.dispatch()
	s.requestRoom()
}

// newSubmitted returns the job of a submission.
func (s *Scheduler) newSubmitted(sub Submission) *job {
	j := newJob(sub.Job, s.now)
	j.entry, j.domain, j.foreign = sub.Entry, sub.Domain, sub.Foreign
	j.deadline = s.now + sub.RemainingTimeout
	// A job that isn't done when its caller has left has no value, however long its objective.
	j.due = min(s.now+sub.RemainingObjective, j.deadline)
	// The objective counts from the caller's first send, so a part of it may be over.
	j.worthlessAt = min(s.now+sub.RemainingObjective+(worthlessFactor-1)*sub.Job.Objective, j.deadline)
	s.setExpected(j)
	s.notePriorSubmissions(j, sub)
	s.recallPriorRuns(j)
	ran, ok := s.ranJobs[sub.Job.ID]
	if ok || s.hasLostRun(j) {
		j.started = true
	}
	j.onlyHere = true
	if ok && !s.knowsAllRuns(ran) {
		s.noteRunsElsewhere(j)
	}
	return j
}

// noteRunsElsewhere records that an earlier scheduler may have started tasks of a job, on runners that haven't listed their
// runs, and may have ordered runs to stop until the runners obeyed this one.
func (s *Scheduler) noteRunsElsewhere(j *job) {
	j.onlyHere = false
	j.silentRunsOverAt = max(j.silentRunsOverAt, s.allSilentRunsOverAt)
	if s.now-s.leadingSince < warmUpTimeout+s.longestStop() {
		s.awaitHandoverLists(j)
	}
}

// refuseNew refuses a job that can't be served in time, and reports whether it did. A job for which
// another shard may have room isn't refused yet (see job.awaitsRoom). A job for which room was
// granted here is refused only if too little time is left.
func (s *Scheduler) refuseNew(j *job) bool {
	cause, reason := s.refusal(j)
	hopeless := cause == workload.TooLittleTime
	if cause == workload.NotRefused || j.granted && cause == workload.LackOfRoom {
		return false
	}
	j.awaitsRoom = !hopeless && cause != workload.LackOfMemory && s.mayBorrow(j)
	if j.awaitsRoom {
		return false
	}
	j.noRoom = !hopeless
	s.finishRefused(j, workload.NotRun, cause, reason)
	return true
}

// notePriorSubmissions records that other schedulers may have started tasks of a job, if its entry
// process handed it in before.
func (s *Scheduler) notePriorSubmissions(j *job, sub Submission) {
	if sub.PriorSubmissions <= j.priorSchedulers {
		return
	}
	j.priorSchedulers = sub.PriorSubmissions
	j.started = true
	j.priorRunsOverAt = s.now + sub.PriorRunsTTL
	j.silentRunsOverAt = silentRunsOver(j.priorRunsOverAt)
	s.noteSilentRunsOver(j.silentRunsOverAt)
	s.awaitHandoverLists(j)
	j.eachTask(func(t *taskState) { t.lastNumber = max(t.lastNumber, sub.PriorSubmissions*runsPerScheduler) })
	s.requestLists(j.work.Service)
}

// attach assigns the runs and ends that runners list for a job, and reports whether it found ends.
func (s *Scheduler) attach(j *job) bool {
	found := false
	j.eachTask(func(t *taskState) {
		if d, ok := s.doneWithoutJob[t.name]; ok {
			delete(s.doneWithoutJob, t.name)
			j.started, j.begun = true, true
			j.noteRun(workload.RunKey{Task: t.name, Number: d.number})
			t.setPhase(done)
			found = true
		}
	})
	for _, r := range s.runnerList {
		for _, u := range r.orphansOf(j.work.ID) {
			s.adopt(j, u)
		}
	}
	return found
}

// adopt makes an orphan the current run of its task, or stops it if the task has another run.
func (s *Scheduler) adopt(j *job, u *run) {
	t := j.task(u.key.Task)
	if t != nil {
		t.lastNumber = max(t.lastNumber, u.key.Number)
	}
	if t == nil || t.phase != waiting || j.ended {
		u.stopAt = s.now
		return
	}
	s.ctr.Adopted++
	j.started, j.begun = true, true
	j.ran = j.ran || u.confirmed
	t.lastStarted = max(t.lastStarted, u.key.Number)
	j.noteRun(u.key)
	t.checkpoint = u.checkpoint
	u.setTask(t)
	if u.confirmed {
		u.stopAt = 0
	}
	t.run = u
	t.setPhase(running)
	u.runner.reserve(u, t.step().Need)
	u.overdueAt = s.overdueAt(t, u.runner)
	u.expectedEnd = s.now + s.duration(t, u.runner)
	s.noteNextRun(u)
	s.emit(Decision{Event: "run-adopted", Job: j.work.ID, Run: u.key, Runner: u.runner.info.ID, Token: u.runner.token})
}

// reserve sets the resources that a run uses once its task is known.
func (r *runner) reserve(u *run, need workload.Resources) {
	r.used = r.used.Minus(u.need).Plus(need)
	u.need = need
}

// answer reports the outcome of a job that is known to the sender of a copy, or the acceptance of a
// stored job.
func (s *Scheduler) answer(to EntryID, id workload.JobID, o workload.Outcome, reason string) {
	a := Answer{At: s.now, Entry: to, Job: id, Outcome: o, Reason: reason}
	if o == workload.NotRun || o == workload.GaveUp {
		a.Cause = workload.CopyRefused
	}
	s.emit(a)
}

// finishRefused ends a job that is refused or given up.
func (s *Scheduler) finishRefused(j *job, o workload.Outcome, cause workload.RefusalCause, reason string) {
	j.refusedFor = cause
	s.finish(j, o, reason)
}

// giveUp answers GaveUp for a job that this scheduler doesn't have.
func (s *Scheduler) giveUp(to EntryID, id workload.JobID, cause workload.RefusalCause, reason string) {
	s.emit(Answer{At: s.now, Entry: to, Job: id, Outcome: workload.GaveUp, Cause: cause, Reason: reason})
}

// finish reports the final outcome of a job and stops its remaining runs.
func (s *Scheduler) finish(j *job, o workload.Outcome, reason string) {
	if j.ended {
		return
	}
	if j.stored != nil {
		s.finishStored(j, o, reason)
		return
	}
	if o == workload.NotRun && s.mayHaveRun(j) {
		o = workload.GaveUp
	}
	a := Answer{
		At: s.now, Entry: j.entry, Job: j.work.ID, Queue: j.work.Queue,
		Outcome: o, Cause: j.refusedFor, Reason: reason, Runs: j.runs, NoRoom: j.noRoom,
	}
	a.Work, a.Estimate = j.longestWork(), j.work.CriticalPath()
	a.LongestRunner, a.RelativePace = s.slowestOf(j, a)
	if j.runs > 0 {
		a.Waited = j.firstRun - j.arrived
	}
	if o == workload.NotRun || o == workload.GaveUp {
		a.RetryAfter = s.retryAfter(j)
	}
	s.count(o)
	s.forget(j)
	if o != workload.GaveUp {
		s.retainResult(j.work.ID, o)
	}
	s.emit(a)
}

// slowestOf returns the runner of a job's longest run, and its pace divided by that of the service's
// fastest runner, if the job's runs took far longer than estimated. For other jobs it returns nothing:
// there are many, and each comparison goes through all runners.
func (s *Scheduler) slowestOf(j *job, a Answer) (workload.RunnerID, float64) {
	if j.longestRunner == nil || a.Work <= slowRunFactor*a.Estimate {
		return "", 0
	}
	fastest := max(s.fastestPace(j.work.Service), minPace)
	return j.longestRunner.info.ID, j.longestRunner.health.pace() / fastest
}

// mayHaveRun reports whether a task of a job has run, or may have.
//
// A caller whose entry VM has died sends its job again. If the scheduler that had the job is lost
// too, no trace of it may be left: the ends that it acknowledged aren't listed any more. Or that
// scheduler is cut off, and the caller isn't. So for some time after a takeover, and while another
// process is unreachable, such a job can't be distinguished from a new one, and its caller must
// not be told that nothing was run.
func (s *Scheduler) mayHaveRun(j *job) bool {
	return j.started || s.uncertain()
}

// uncertain reports whether a copy of a job may arrive here that has run elsewhere.
func (s *Scheduler) uncertain() bool {
	return s.now < s.uncertainUntil || len(s.unreachable) > 0 || s.anyUnreachable || s.otherCellUnreachable
}

// outcomeForCopy returns the answer to a copy of a job that has ended here. A job that was refused
// here may have found room in another shard before its entry VM was lost.
func (s *Scheduler) outcomeForCopy(r result) workload.Outcome {
	if r.outcome == workload.NotRun && s.uncertain() {
		return workload.GaveUp
	}
	return r.outcome
}

// forget drops a job and stops its runs, which stay known as orphans until they have ended.
func (s *Scheduler) forget(j *job) {
	j.ended = true
	s.noteRan(j)
	s.remove(j.work.ID)
	s.dequeue(j)
	s.stopAll(j)
}

// stopAll stops all runs of a job, which become orphans.
func (s *Scheduler) stopAll(j *job) {
	j.eachTask(func(t *taskState) {
		if t.run == nil {
			return
		}
		t.run.setTask(nil)
		t.run.stopAt = s.now
		s.stopRun(t.run, StopJobEnded)
		t.run = nil
	})
}

// noteRan remembers that tasks of a job have run, or may have. The caller may send the job again,
// and must not be told then that nothing was run.
func (s *Scheduler) noteRan(j *job) {
	if j.started {
		s.ranJobs[j.work.ID] = ranJob{at: s.now, onlyHere: s.leading && j.onlyHere && j.priorSchedulers == 0}
	}
	if j.stored == nil {
		s.unstored[j.work.ID] = s.now
	}
	s.rememberPriorRuns(j)
}

func (s *Scheduler) count(o workload.Outcome) {
	switch o {
	case workload.Completed:
		s.ctr.Completed++
	case workload.JobFailed:
		s.ctr.Failed++
	case workload.Cancelled:
		s.ctr.Cancelled++
	case workload.NotRun:
		s.ctr.Refused++
	case workload.GaveUp:
		s.ctr.GaveUp++
	}
}

func (s *Scheduler) retainResult(id workload.JobID, o workload.Outcome) {
	if _, ok := s.results[id]; !ok {
		s.resultOrder = append(s.resultOrder, id)
	}
	s.results[id] = result{outcome: o, at: s.now}
}

// Cancel ends a job for its caller, and returns its state. A job that arrives later under the id
// doesn't run. done is false if the outcome isn't in the store yet; an OutcomeSaved follows then.
func (s *Scheduler) Cancel(now Time, id workload.JobID) (state JobState, done bool) {
	s.now = now
	if j := s.jobs[id]; j != nil && j.stored == nil {
		s.finish(j, workload.Cancelled, "cancelled")
		s.dispatch()
	}
	if r, ok := s.results[id]; ok {
		return JobState{Known: true, Ended: true, Outcome: r.outcome}, true
	}
	s.cancelled[id] = now
	return s.cancelStored(id)
}

// JobState is the state of a job as reported to callers.
type JobState struct {
	// Uncertain: it is not known at present whether there is such a job.
	Uncertain bool
	Known     bool
	// Begun: a start of one of its tasks is known to have been ordered.
	Begun bool
	// Ending: it has ended, and its outcome is being written to the store.
	Ending bool
	// Running: none of its tasks waits for a runner.
	Running bool
	Ended   bool
	// Outcome is set if the job has ended.
	Outcome workload.Outcome
}

// Open reports whether the state may still change: the job hasn't ended, or isn't known for certain.
func (s JobState) Open() bool { return s.Uncertain || s.Known && !s.Ended }

// State returns the state of a job for a caller who asked at the given time.
func (s *Scheduler) State(id workload.JobID, asked Time) JobState {
	if r, ok := s.results[id]; ok {
		return JobState{Known: true, Ended: true, Outcome: r.outcome}
	}
	if k, ok := s.rows.retained[id]; ok {
		return k.jobState()
	}
	j := s.jobs[id]
	if j == nil {
		return JobState{Uncertain: !s.ownershipProvedSince(asked)}
	}
	if j.stored != nil && !j.stored.accepted {
		return JobState{Uncertain: true}
	}
	return JobState{Known: true, Begun: j.begun, Ending: j.ended, Running: j.waiting == 0}
}
