package schedule

import (
	"sapphirepoint.example/sapphirepoint/core/workload"
)

// Acknowledgement of ends. A runner forgets an end that is acknowledged, and lists the others
// again. Ends of stored jobs must be in the store before they are acknowledged.

// listedEnd is an end that has been processed but not acknowledged yet.
type listedEnd struct {
	end workload.End
	// unknown: the end may be that of a stored job that this process doesn't know. If this
	// process was suspended or cut off, another one may have accepted the job meanwhile. So the store
	// must show after unknownSince that this process owns the shard, or that there are no stored
	// jobs; see unproven.go.
	unknown      bool
	unknownSince Time
	// job and sequence are the record that must be in the store first; sequence is 0 if there
	// is none.
	job      workload.JobID
	sequence uint64
	// afterLeaseExpiry: the runner's lease must expire first, since the task was started again
	// elsewhere while contact with this run was lost. A runner whose lease has expired
	// guarantees nothing about its earlier runs; an end listed under a lease that is still
	// held would show that the task ran twice.
	afterLeaseExpiry bool
}

// noted reports whether an end that a runner lists has been processed before.
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

// noteEnd processes an end and records the conditions for its acknowledgement.
func (s *Scheduler) noteEnd(r *runner, e workload.End) {
	l := listedEnd{end: e}
	l.afterLeaseExpiry = s.mayHaveRestarted(e)
	if l.afterLeaseExpiry {
		r.noLeaseUntil = max(r.noLeaseUntil, r.aliveUntil)
	}
	l.unknown, l.unknownSince = s.unknown(e.Run.Task.Job), s.now
	if j := s.applyEnd(r, e); j != nil && j.stored != nil && e.Kind <= workload.Failed {
		l.job, l.sequence = j.work.ID, j.stored.saving
	}
	r.ends = append(r.ends, l)
}

// unknown reports whether a job may be a stored one that another process has accepted.
func (s *Scheduler) unknown(id workload.JobID) bool {
	if s.jobs[id] != nil {
		return false
	}
	if _, ok := s.rows.retained[id]; ok {
		return false
	}
	_, unstored := s.unstored[id]
	return !unstored
}

// mayHaveRestarted reports whether the task of a run that was done, or has failed, may have been
// started again since: by this scheduler, as its state shows; by the scheduler that had started
// the run, as the store shows; by a scheduler between the two; or in another shard.
func (s *Scheduler) mayHaveRestarted(e workload.End) bool {
	if e.Kind > workload.Failed {
		return false
	}
	if k, ended := s.rows.retained[e.Run.Task.Job]; ended {
		// A shard that has the job isn't informed of this end.
		return k.move != nil || e.Kind == workload.Done && k.restarted
	}
	j := s.jobs[e.Run.Task.Job]
	switch {
	case j == nil:
		return false
	case j.moving():
		// The record that is being written doesn't have this end, and may be what the other shard gets.
		return true
	}
	return j.mayHaveRestarted(e.Run) && (e.Kind == workload.Done || !j.failureCounted(e.Run))
}

// recheckEnds processes again the ends whose jobs may be stored ones, now that the stored jobs
// are loaded.
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

// markEndsUnknown marks ends that aren't in the store as possible ends of unknown stored jobs,
// since the records have to be read again.
func (r *runner) markEndsUnknown() {
	for i := range r.ends {
		if r.ends[i].sequence > 0 {
			r.ends[i].unknown, r.ends[i].unknownSince = true, never
		}
	}
}

// acknowledge acknowledges a runner's ends in their order, up to the first that can't be yet. The
// next Hold reports this to the runner.
func (s *Scheduler) acknowledge(r *runner) {
	n := 0
	for n < len(r.ends) && s.canAcknowledge(r, r.ends[n]) {
		r.acknowledged, r.cursorDue = r.ends[n].end.Sequence, true
		n++
	}
	r.ends = r.ends[n:]
	s.boundUnprovenEnds(r)
}

// acknowledgeAll acknowledges the ends of all runners. A runner with no unacknowledged end left is
// sent a Hold at once, which waits there for the next end.
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

// priorOwnerInactiveAt returns the time from which a previous owner that may not know yet that it
// lost the shard starts no more tasks: it treats its ownership as lost once the last proof is
// older than maxProofAge. Until then it could restart a task whose end was acknowledged here.
func (s *Scheduler) priorOwnerInactiveAt() Time {
	return s.rows.priorRunsOverAt - (maxPriorRunLife - maxProofAge - priorOwnerSlack)
}

// canAcknowledge reports whether an end meets the conditions in listedEnd. An end that has a record
// also waits until a previous owner can't restart the task any more.
func (s *Scheduler) canAcknowledge(r *runner, l listedEnd) bool {
	if s.unproven(l) || l.afterLeaseExpiry && s.now <= r.noLeaseUntil {
		return false
	}
	if l.sequence > 0 && s.now < s.priorOwnerInactiveAt() {
		return false
	}
	j := s.jobs[l.job]
	return l.sequence == 0 || j == nil || j.stored.saved >= l.sequence
}
