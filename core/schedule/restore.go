package schedule

import (
	"sapphirepoint.example/sapphirepoint/core/ledger"
	"sapphirepoint.example/sapphirepoint/core/workload"
)

// Taking up the stored jobs of a scheduler before.

// Loaded takes all records of the shard, which this process has just taken.
func (s *Scheduler) Loaded(now Time, l ledger.Loaded) {
	s.now = now
	s.custody.loaded = true
	s.custody.epoch = l.Epoch
	s.custody.knownFrom = s.knownFrom(l.ClaimedAt)
	s.listsWanted = now
	open := 0
	for _, r := range l.Records {
		if r.State != ledger.Open {
			s.keep(r.Job, r.State, r.Restarted)
			if r.State == ledger.Moving || r.State == ledger.Moved {
				s.keepMove(r, r.Age)
			}
			continue
		}
		open++
		s.restore(r)
	}
	s.emit(Decision{Event: "stored-jobs-loaded", Token: l.Epoch, Reason: openJobs(open), Age: now - l.ClaimedAt})
	s.settleEnds()
	if open > 0 {
		for _, r := range s.list {
			s.look(r)
		}
	}
	early := s.custody.early
	s.custody.early = make(map[workload.JobID][]earlySubmission)
	for _, id := range sortedKeys(early) {
		s.submitCopies(early[id])
	}
	s.dispatch()
}

// restore takes up a job that another scheduler had.
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

// restored is a job as its record says.
func (s *Scheduler) restored(r ledger.Record) *job {
	j := newJob(r.Definition, s.now)
	j.stored = &stored{epoch: r.Epoch, accepted: true, failures: r.Failures, unseen: r.Unseen, unseenBefore: r.Unseen}
	j.started, j.restarted = true, r.Restarted
	j.handed = int(s.custody.epoch - r.Epoch)
	j.knownFrom = s.custody.knownFrom
	j.listsSince = s.now
	j.setDue(s.now-r.Age, r.Definition.Objective)
	s.timed(j)
	s.jobs[r.Job] = j
	s.custody.open++
	j.each(func(t *taskState) {
		t.lastNumber = j.handed * runsPerHand
		if i := j.stepIndex(t.name); i < len(r.Done) && r.Done[i].Has(t.name.Index) {
			t.setPhase(done)
			j.begun = true
		}
	})
	for _, f := range r.Failures {
		if f.Step < len(j.steps) && f.Index < len(j.steps[f.Step]) {
			j.steps[f.Step][f.Index].failures++
			j.begun = true
		}
	}
	return j
}

// knownFrom is when nothing can be alive any more that schedulers before have
// started and that this one can't see. It sees all on the runners that it knows;
// there may be others, in a failure domain that is cut off from the store.
func (s *Scheduler) knownFrom(claimedAt Time) Time {
	if p := s.custody.before; p != nil && p.Epoch > 0 && p.Epoch+1 == s.custody.epoch {
		return s.now + p.PriorRunsTTL
	}
	return claimedAt + storedUnknown
}

// resume goes on with a job that is in the store, or ends it if a scheduler before had
// no time to write its last record.
func (s *Scheduler) resume(j *job) {
	if j.complete() {
		s.finish(j, workload.Completed, "all tasks had ended")
		return
	}
	hopeless := false
	j.each(func(t *taskState) { hopeless = hopeless || t.phase != done && t.failures >= j.attempts() })
	if hopeless {
		s.finish(j, workload.JobFailed, "a task had failed as often as its queue allows")
		return
	}
	s.enqueue(j)
}
