package schedule

import (
	"slices"

	"sapphirepoint.example/sapphirepoint/core/ledger"
	"sapphirepoint.example/sapphirepoint/core/workload"
)

// Accepting stored jobs, and refusing them truthfully.

// submitStored takes a stored job, or another copy of one.
func (s *Scheduler) submitStored(sub Submission) {
	id := sub.Job.ID
	s.custody.askedAt = s.now
	if !s.custody.loaded {
		s.submitEarly(sub)
		return
	}
	if k, ok := s.custody.kept[id]; ok {
		s.submitEnded(sub, k)
		return
	}
	if j := s.jobs[id]; j != nil {
		s.submitAgain(j, sub)
		return
	}
	s.ctr.Submitted++
	j := newJob(sub.Job, s.now)
	j.entry = sub.Entry
	j.setDue(s.now, sub.RemainingObjective)
	s.timed(j)
	if !s.sure() {
		s.answer(sub.Entry, id, workload.GaveUp, "another process may schedule")
		return
	}
	if reason := s.storedRefusal(j); reason != "" {
		s.refuse(Answer{Entry: sub.Entry, Job: id, Outcome: workload.NotRun, Reason: reason, RetryAfter: s.retryAfter(j)})
		return
	}
	j.stored = &stored{epoch: s.custody.epoch, waiters: map[EntryID]Time{sub.Entry: s.now + sub.RemainingTimeout}}
	s.jobs[id] = j
	s.custody.open++
	s.save(j)
}

// submitEnded takes another copy of a job that has ended.
func (s *Scheduler) submitEnded(sub Submission, k kept) {
	id := sub.Job.ID
	if k.saving > 0 || !s.sure() {
		s.answer(sub.Entry, id, workload.GaveUp, "the job's end is being written")
		return
	}
	s.answer(sub.Entry, id, workload.Accepted, "known")
	if k.state == ledger.CancelledEarly {
		// From now on its caller may ask for it.
		s.keepAndSave(id, ledger.Cancelled)
	}
}

// submitAgain takes another copy of a job in hand.
func (s *Scheduler) submitAgain(j *job, sub Submission) {
	if j.stored == nil || j.stored.accepted {
		s.answer(sub.Entry, j.work.ID, workload.Accepted, "known")
		return
	}
	j.stored.waiters[sub.Entry] = s.now + sub.RemainingTimeout
}

// storedRefusal is the reason why a job isn't accepted; "" if it is. Nothing of
// it has been written, so a refusal is true.
func (s *Scheduler) storedRefusal(j *job) string {
	if s.custody.failingFor > storeTrouble {
		return "the store doesn't answer"
	}
	reason, _ := s.refusal(j)
	return reason
}

// refusal is one that waits until it is certain that it is true.
type refusal struct {
	answer Answer
	since  Time
}

// refuse tells a caller that its job isn't accepted. If another process may have
// accepted a copy of it, the ownership is proved first.
func (s *Scheduler) refuse(a Answer) {
	s.custody.refusals = append(s.custody.refusals, refusal{answer: a, since: s.now})
	s.settleRefusals()
}

// settleRefusals gives the refusals that are certain, and those that can't be.
func (s *Scheduler) settleRefusals() {
	s.custody.refusals = slices.DeleteFunc(s.custody.refusals, func(r refusal) bool {
		r.answer.At = s.now
		switch {
		case s.certain(r.since):
			s.count(workload.NotRun)
		case s.now-r.since > refusalWait:
			r.answer.Outcome = workload.GaveUp
			s.count(workload.GaveUp)
		default:
			return false
		}
		s.emit(r.answer)
		return true
	})
}

// earlySubmission is one that came before the stored jobs were known.
type earlySubmission struct {
	Submission
	at Time
}

// submitEarly keeps a submission until it can be told whether the job is known.
func (s *Scheduler) submitEarly(sub Submission) {
	id := sub.Job.ID
	if s.leading && s.custody.failingFor > storeTrouble {
		s.answer(sub.Entry, id, workload.GaveUp, "the store doesn't answer")
		return
	}
	s.custody.early[id] = append(s.custody.early[id], earlySubmission{Submission: sub, at: s.now})
}

// dropEarly forgets the submissions of an entry process that has ended or is silent.
func (s *Scheduler) dropEarly(entry EntryID) {
	for _, id := range sortedKeys(s.custody.early) {
		s.custody.early[id] = slices.DeleteFunc(s.custody.early[id], func(e earlySubmission) bool { return e.Entry == entry })
		if len(s.custody.early[id]) == 0 {
			delete(s.custody.early, id)
		}
	}
}

// expireEarly answers callers to whom nothing can be said.
func (s *Scheduler) expireEarly() {
	for _, id := range sortedKeys(s.custody.early) {
		rest := slices.DeleteFunc(s.custody.early[id], func(e earlySubmission) bool {
			expired := s.now-e.at > min(limboWait, e.RemainingTimeout)
			if expired {
				s.answer(e.Entry, id, workload.GaveUp, "the stored jobs couldn't be read")
			}
			return expired
		})
		if s.custody.early[id] = rest; len(rest) == 0 {
			delete(s.custody.early, id)
		}
	}
}

// submitCopies decides on a job that has come once or more. If it is refused,
// all copies are: a caller who was told that it doesn't run would see it run.
func (s *Scheduler) submitCopies(list []earlySubmission) {
	id := list[0].Job.ID
	s.submitStored(list[0].Submission)
	_, known := s.custody.kept[id]
	known = known || s.jobs[id] != nil
	for _, e := range list[1:] {
		if known {
			s.submitStored(e.Submission)
			continue
		}
		s.refuse(Answer{Entry: e.Entry, Job: id, Outcome: workload.NotRun, Reason: "a copy was refused", RetryAfter: retryLeast})
	}
}
