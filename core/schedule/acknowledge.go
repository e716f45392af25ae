package schedule

import (
	"sapphirepoint.example/sapphirepoint/core/workload"
)

// Acknowledging ends. A runner forgets an end that is acknowledged, and lists
// the others again. Those of stored jobs must be in the store before.

// listedEnd is an end that is noted here and not acknowledged yet.
type listedEnd struct {
	end workload.End
	// unknown: it can't be told yet whether it is that of a stored job. This
	// process may have been frozen, and another one have accepted the job
	// meanwhile; so it must be seen to own the shard after unknownSince.
	unknown      bool
	unknownSince Time
	// job and sequence are the record that has to be in the store; 0 if none.
	job      workload.JobID
	sequence uint64
	// afterLapse: the runner's lease must have lapsed before, since the task was
	// started again elsewhere while this run was out of sight. A runner whose
	// lease has lapsed promises nothing about what it did before; the end of one
	// that is still held would show that the task was run twice.
	afterLapse bool
}

// noted reports whether an end that a runner lists was seen before.
func (r *runner) noted(sequence uint64) bool {
	if sequence <= r.acknowledged {
		return true
	}
	for _, e := range r.ends {
		if e.end.Sequence == sequence {
			return true
		}
	}
	return false
}

// noteEnd takes an end, and what must happen before it is acknowledged.
func (s *Scheduler) noteEnd(r *runner, e workload.End) {
	l := listedEnd{end: e}
	l.afterLapse = s.mayHaveRestarted(e)
	if l.afterLapse {
		r.noLeaseUntil = max(r.noLeaseUntil, r.aliveUntil)
	}
	l.unknown, l.unknownSince = s.unknown(e.Run.Task.Job), s.now
	if j := s.applyEnd(r, e); j != nil && j.stored != nil && e.Kind <= workload.Failed {
		l.job, l.sequence = j.work.ID, j.stored.saving
	}
	r.ends = append(r.ends, l)
}

// unknown reports whether a job may be a stored one that another process has
// accepted.
func (s *Scheduler) unknown(id workload.JobID) bool {
	if s.rows.noStoredJobs || s.jobs[id] != nil {
		return false
	}
	if _, ok := s.rows.retained[id]; ok {
		return false
	}
	_, unstored := s.unstored[id]
	return !unstored
}

// mayHaveRestarted reports whether the task of a run that ended well may have
// been started again since: here, as is known; by the scheduler that had started the
// run, as the store knows; or by one between that and this one.
func (s *Scheduler) mayHaveRestarted(e workload.End) bool {
	k, ended := s.rows.retained[e.Run.Task.Job]
	if ended && k.move != nil {
		// What it says doesn't come to the shard that has the job.
		return e.Kind <= workload.Failed
	}
	if e.Kind != workload.Done {
		return false
	}
	if ended {
		return k.restarted
	}
	j := s.jobs[e.Run.Task.Job]
	if j == nil || j.stored == nil {
		return false
	}
	t := j.task(e.Run.Task)
	if t == nil {
		return false
	}
	hand := e.Run.Number / runsPerScheduler
	return t.lastStarted > e.Run.Number || hand < j.priorSchedulers-1 || hand < j.priorSchedulers && j.stored.unseenByPredecessor
}

// recheckEnds looks again at ends whose jobs may be stored ones, now that these
// are known.
func (s *Scheduler) recheckEnds() {
	for _, r := range s.runnerList {
		ends := r.ends
		r.ends = nil
		for _, l := range ends {
			if !l.unknown {
				r.ends = append(r.ends, l)
				continue
			}
			s.noteEnd(r, l.end)
		}
	}
	s.acknowledgeAll()
}

// markEndsUnknown marks ends that aren't in the store as ones that may be those of
// stored jobs, whose records have to be read again.
func (r *runner) markEndsUnknown() {
	for i := range r.ends {
		if r.ends[i].sequence > 0 {
			r.ends[i].unknown, r.ends[i].unknownSince = true, never
		}
	}
}

// acknowledge moves the cursor over all ends that may be forgotten.
func (s *Scheduler) acknowledge(r *runner) {
	n := 0
	for n < len(r.ends) && s.canAcknowledge(r, r.ends[n]) {
		r.acknowledged = r.ends[n].end.Sequence
		n++
	}
	r.ends = r.ends[n:]
}

// acknowledgeAll moves all cursors. A runner that need list nothing again is
// asked at once to wait for the next end.
func (s *Scheduler) acknowledgeAll() {
	for _, r := range s.runnerList {
		if len(r.ends) == 0 {
			continue
		}
		s.acknowledge(r)
		if len(r.ends) == 0 && r.owned && len(r.runs) > 0 && !r.hasForeignOrphans() {
			s.hold(r)
		}
	}
}

// priorOwnerInactiveAt is when an owner before, that may not know yet that the shard was
// taken from it, starts nothing any more: it doubts its ownership custodyAge after it was
// last proved. Until then it could start a task again whose end were acknowledged here.
func (s *Scheduler) priorOwnerInactiveAt() Time {
	return s.rows.priorRunsOverAt - (maxPriorRunLife - maxProofAge - priorOwnerSlack)
}

func (s *Scheduler) canAcknowledge(r *runner, l listedEnd) bool {
	if l.unknown && !(s.rows.loaded && s.rows.verifiedAt >= l.unknownSince) || l.afterLapse && s.now <= r.noLeaseUntil {
		return false
	}
	if l.sequence > 0 && s.now < s.priorOwnerInactiveAt() {
		return false
	}
	j := s.jobs[l.job]
	return l.sequence == 0 || j == nil || j.stored.saved >= l.sequence
}
