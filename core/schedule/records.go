package schedule

import (
	"sapphirepoint.example/sapphirepoint/core/ledger"
	"sapphirepoint.example/sapphirepoint/core/workload"
)

// Records of stored jobs in the store, and retained outcomes of those that have ended.

// retained is the outcome of a stored job.
type retained struct {
	state ledger.State
	// at is since when the outcome is retained.
	at Time
	// restarted: a task was started more than once.
	restarted bool
	// saving is the sequence of a record that isn't in the store yet; 0 if it is.
	saving uint64
	// move is set for a job that has gone to another shard.
	move *move
}

// jobState returns the state that callers get. An id that was cancelled before its job arrived is
// reported as not known.
func (k retained) jobState() JobState {
	if k.move != nil {
		return JobState{Known: true, Begun: true}
	}
	if k.saving > 0 {
		return JobState{Uncertain: true}
	}
	return JobState{Known: k.state != ledger.CancelledEarly, Ended: true, Outcome: outcomeOf(k.state)}
}

// save writes the state of a job to the store.
func (s *Scheduler) save(j *job) { j.stored.saving = s.saveRecord(j.record()) }

// saveRecord writes a record to the store, and returns its sequence.
func (s *Scheduler) saveRecord(r ledger.Record) uint64 {
	s.rows.sequence++
	s.emit(Save{At: s.now, Sequence: s.rows.sequence, Record: r})
	return s.rows.sequence
}

func (j *job) record() ledger.Record {
	r := ledger.Record{Job: j.work.ID, Epoch: j.stored.epoch, State: j.stored.state, Restarted: j.restarted, Unseen: j.stored.unseen, To: j.stored.to, Hand: j.stored.hand}
	if !j.stored.accepted {
		r.Definition = j.work
	}
	if !r.State.NeedsDefinition() {
		return r
	}
	r.Failures = append(r.Failures, j.stored.failures...)
	r.Losses = j.recordedLosses()
	r.Done = make([]ledger.Bits, len(j.steps))
	for i, tasks := range j.steps {
		r.Done[i] = ledger.NewBits(len(tasks))
		for n, t := range tasks {
			if t.phase == done {
				r.Done[i].Set(n)
			}
		}
	}
	return r
}

// Saved handles records that are now in the store.
func (s *Scheduler) Saved(now Time, list []ledger.SavedRecord) {
	s.now = now
	for _, rec := range list {
		if j := s.jobs[rec.Job]; j != nil && j.stored != nil {
			s.savedJob(j, rec.Sequence)
			continue
		}
		if k, ok := s.rows.retained[rec.Job]; ok && rec.Sequence >= k.saving {
			k.saving = 0
			s.rows.retained[rec.Job] = k
			s.emit(OutcomeSaved{Job: rec.Job, State: k.jobState()})
		}
	}
	s.acknowledgeAll()
	s.dispatch()
}

func (s *Scheduler) savedJob(j *job, sequence uint64) {
	j.stored.saved = max(j.stored.saved, sequence)
	if !j.stored.accepted {
		j.stored.accepted = true
		s.acknowledgeMove(j)
		for _, e := range sortedKeys(j.stored.waiters) {
			s.answer(e, j.work.ID, workload.Accepted, "")
		}
		j.stored.waiters = nil
		s.resume(j)
	}
	s.publishOutcome(j)
}

// publishOutcome reports the outcome of an ended job once it is in the store, a previous owner that
// may not know yet that it lost the shard can't start tasks of it any more, and, if the job is
// completed, no start of it is under way.
func (s *Scheduler) publishOutcome(j *job) {
	if !j.ended || j.stored.saved < j.stored.saving || j.priorSchedulers > 0 && s.now < s.priorOwnerInactiveAt() {
		return
	}
	if j.stored.state == ledger.Completed && s.mayStillBegin(j.stored) {
		return
	}
	s.retain(j.work.ID, j.stored.state, j.restarted)
	if j.stored.state == ledger.Moving {
		s.retainMove(j.movingRecord(), s.now-j.arrived)
	}
	s.remove(j.work.ID)
	s.emit(OutcomeSaved{Job: j.work.ID, State: s.rows.retained[j.work.ID].jobState()})
}

// retain retains the outcome of a stored job; retainResult does so for other jobs.
func (s *Scheduler) retain(id workload.JobID, state ledger.State, restarted bool) {
	if _, ok := s.rows.retained[id]; !ok {
		s.rows.retainedOrder = append(s.rows.retainedOrder, id)
	}
	s.rows.retained[id] = retained{state: state, restarted: restarted, at: s.now}
}

// expireRetained drops outcomes that callers may not query any more.
func (s *Scheduler) expireRetained() {
	for len(s.rows.retainedOrder) > 0 {
		id := s.rows.retainedOrder[0]
		if s.now-s.rows.retained[id].at < s.cfg.Retention+extraRetention {
			return
		}
		if s.retainsMove(id) {
			s.rows.retainedOrder = append(s.rows.retainedOrder[1:], id)
			continue
		}
		s.rows.retainedOrder = s.rows.retainedOrder[1:]
		delete(s.rows.retained, id)
		s.saveRecord(ledger.Record{Job: id, State: ledger.Forgotten})
	}
}
