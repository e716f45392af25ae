package schedule

import (
	"sapphirepoint.example/sapphirepoint/core/ledger"
	"sapphirepoint.example/sapphirepoint/core/workload"
)

// What the store has of stored jobs, and what is kept of those that have ended.

// kept is the outcome of a stored job.
type kept struct {
	state ledger.State
	at    Time
	// restarted: a task was started more than once.
	restarted bool
	// saving is the sequence of a record that isn't in the store yet; 0 if it is.
	saving uint64
	// move is set for a job that has gone to another shard.
	move *move
}

func (k kept) jobState() JobState {
	if k.move != nil {
		return JobState{Known: true, Begun: true}
	}
	if k.saving > 0 {
		return JobState{Unsure: true}
	}
	return JobState{Known: k.state != ledger.CancelledEarly, Ended: true, Outcome: outcomeOf(k.state)}
}

// save has the store keep how far a job is.
func (s *Scheduler) save(j *job) { j.stored.saving = s.saveRecord(j.record()) }

// saveRecord has the store keep a record, and returns its sequence.
func (s *Scheduler) saveRecord(r ledger.Record) uint64 {
	s.custody.sequence++
	s.emit(Save{At: s.now, Sequence: s.custody.sequence, Record: r})
	return s.custody.sequence
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

// Saved notes what is in the store.
func (s *Scheduler) Saved(now Time, list []ledger.SavedRecord) {
	s.now = now
	for _, rec := range list {
		if j := s.jobs[rec.Job]; j != nil && j.stored != nil {
			s.savedJob(j, rec.Sequence)
			continue
		}
		if k, ok := s.custody.kept[rec.Job]; ok && rec.Sequence >= k.saving {
			k.saving = 0
			s.custody.kept[rec.Job] = k
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
		s.tellTaken(j)
		for _, e := range sortedKeys(j.stored.waiters) {
			s.answer(e, j.work.ID, workload.Accepted, "")
		}
		j.stored.waiters = nil
		s.resume(j)
	}
	s.settle(j)
}

// settle shows what has come of a job that has ended, when the store has it and an owner
// before, that may not know yet that it isn't the owner any more, starts nothing of it.
func (s *Scheduler) settle(j *job) {
	if !j.ended || j.stored.saved < j.stored.saving || j.handed > 0 && s.now < s.ownersQuietFrom() {
		return
	}
	s.keep(j.work.ID, j.stored.state, j.restarted)
	if j.stored.state == ledger.Moving {
		s.keepMove(j.movingRecord(), s.now-j.arrived)
	}
	delete(s.jobs, j.work.ID)
	s.emit(OutcomeSaved{Job: j.work.ID, State: s.custody.kept[j.work.ID].jobState()})
}

func (s *Scheduler) keep(id workload.JobID, state ledger.State, restarted bool) {
	if _, ok := s.custody.kept[id]; !ok {
		s.custody.keptOrder = append(s.custody.keptOrder, id)
	}
	s.custody.kept[id] = kept{state: state, restarted: restarted, at: s.now}
}

// forgetKept drops outcomes that nobody may ask for any more.
func (s *Scheduler) forgetKept() {
	for len(s.custody.keptOrder) > 0 {
		id := s.custody.keptOrder[0]
		if s.now-s.custody.kept[id].at < s.cfg.Retention+keptExtra {
			return
		}
		if s.keepsMove(id) {
			s.custody.keptOrder = append(s.custody.keptOrder[1:], id)
			continue
		}
		s.custody.keptOrder = s.custody.keptOrder[1:]
		delete(s.custody.kept, id)
		s.saveRecord(ledger.Record{Job: id, State: ledger.Forgotten})
	}
}
