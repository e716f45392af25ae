package schedule

import (
	"slices"

	"sapphirepoint.example/sapphirepoint/core/ledger"
	"sapphirepoint.example/sapphirepoint/core/workload"
)

// Restoring the stored jobs of a previous owner.

// Loaded handles the records of the shard, which this process has just taken over.
func (s *Scheduler) Loaded(now Time, l ledger.Loaded) {
	s.now = now
	s.rows.loaded = true
	s.rows.epoch = l.Epoch
	s.rows.priorRunsOverAt = s.priorRunsOverAt(l.ClaimedAt)
	s.rows.silentRunsOverAt = silentRunsOver(l.ClaimedAt + maxPriorRunLife)
	s.noteSilentRunsOver(s.rows.silentRunsOverAt)
	s.handoverListsAt = now
	open := 0
	for _, r := range l.Records {
		if r.State != ledger.Open {
			s.retain(r.Job, r.State, r.Restarted)
			if r.State == ledger.Moving || r.State == ledger.Moved {
				s.retainMove(r, r.Age)
			}
			continue
		}
		open++
		s.restore(r)
	}
	s.emit(Decision{Event: "stored-jobs-loaded", Token: l.Epoch, Reason: openJobs(open), Age: now - l.ClaimedAt})
	s.recheckEnds()
	if open > 0 {
		for _, r := range s.runnerList {
			s.requestList(r)
		}
	}
	early := s.rows.early
	s.rows.early = make(map[workload.JobID][]earlySubmission)
	for _, id := range sortedKeys(early) {
		s.submitCopies(early[id])
	}
	s.dispatch()
}

// restore adds a job that another scheduler had.
func (s *Scheduler) restore(r ledger.Record) {
	if r.Definition == nil || s.jobs[r.Job] != nil {
		return
	}
	j := s.restored(r)
	if s.attach(j) {
		s.save(j)
	}
	s.resume(j)
}

// restored builds a job from its record and adds it to the scheduler's jobs.
func (s *Scheduler) restored(r ledger.Record) *job {
	j := newJob(r.Definition, s.now)
	j.stored = &stored{epoch: r.Epoch, accepted: true, failures: r.Failures, unseen: r.Unseen, unseenByPredecessor: r.Unseen}
	j.started = true
	j.restarted = r.Restarted || s.restartedByPredecessor(r.Job)
	j.priorSchedulers = int(s.rows.epoch - r.Epoch)
	j.priorRunsOverAt = s.rows.priorRunsOverAt
	j.silentRunsOverAt = s.rows.silentRunsOverAt
	s.awaitHandoverLists(j)
	j.setDue(s.now-r.Age, r.Definition.Objective)
	s.updateDue(j)
	s.add(j)
	s.rows.open++
	j.eachTask(func(t *taskState) {
		t.lastNumber = j.priorSchedulers * runsPerScheduler
		if i := j.stepIndex(t.name); i < len(r.Done) && r.Done[i].Has(t.name.Index) {
			t.setPhase(done)
			j.begun, j.ran = true, true
		}
	})
	for _, f := range r.Failures {
		if f.Step < len(j.steps) && f.Index < len(j.steps[f.Step]) {
			j.steps[f.Step][f.Index].failures++
			j.begun, j.ran = true, true
		}
	}
	s.restoreLosses(j, r.Losses)
	return j
}

// restartedByPredecessor reports whether the previous leader has reported that a task of a job was
// started more than once.
func (s *Scheduler) restartedByPredecessor(id workload.JobID) bool {
	p := s.rows.predecessor
	return p != nil && slices.Contains(p.Restarted, id)
}

// priorRunsOverAt returns when all runs that earlier owners have started and this one can't see are
// over. It sees all runs on the runners that it knows; there may be others in a failure domain
// that is cut off from the store.
func (s *Scheduler) priorRunsOverAt(claimedAt Time) Time {
	if p := s.rows.predecessor; p != nil && p.Epoch > 0 && p.Epoch+1 == s.rows.epoch {
		return s.now + p.PriorRunsTTL
	}
	return claimedAt + maxPriorRunLife
}

// resume continues a job that is in the store, or ends it if the previous owner had no time to
// write its last record.
func (s *Scheduler) resume(j *job) {
	if j.complete() {
		s.finish(j, workload.Completed, "all tasks had ended")
		return
	}
	hopeless := false
	j.eachTask(func(t *taskState) { hopeless = hopeless || t.phase != done && t.failures >= j.attempts() })
	if hopeless {
		s.finish(j, workload.JobFailed, "a task had failed as often as its queue allows")
		return
	}
	s.enqueue(j)
}
