package schedule

import (
	"slices"
	"time"

	"sapphirepoint.example/sapphirepoint/core/ledger"
	"sapphirepoint.example/sapphirepoint/core/workload"
)

// Acceptance and refusal of stored jobs. A caller is told that its job was refused only when it
// is certain that no copy of the job runs.

// copyRefused is the reason given for workload.CopyRefused.
const copyRefused = "a copy was refused"

// submitStored handles the submission of a stored job, which may be a copy of a known one.
func (s *Scheduler) submitStored(sub Submission) {
	id := sub.Job.ID
	s.rows.lastRequestAt = s.now
	if !s.rows.loaded {
		s.submitEarly(sub)
		return
	}
	if s.submitKnown(sub) {
		return
	}
	s.ctr.Submitted++
	j := newJob(sub.Job, s.now)
	j.entry = sub.Entry
	j.setDue(s.now, sub.RemainingObjective)
	s.updateDue(j)
	if !s.ownsRows() {
		s.giveUp(sub.Entry, id, workload.NotLeading, "another process may schedule")
		return
	}
	if cause, reason := s.storedRefusal(j); cause != workload.NotRefused {
		s.refuse(sub, cause, reason, s.retryAfter(j))
		return
	}
	j.stored = &stored{epoch: s.rows.epoch, waiters: map[EntryID]Time{sub.Entry: s.now + sub.RemainingTimeout}}
	s.add(j)
	s.rows.open++
	s.save(j)
}

// submitKnown handles a copy of a job that is known, and reports whether it is.
func (s *Scheduler) submitKnown(sub Submission) bool {
	if k, ok := s.rows.retained[sub.Job.ID]; ok {
		s.submitEnded(sub, k)
		return true
	}
	if j := s.jobs[sub.Job.ID]; j != nil {
		s.submitAgain(j, sub)
		return true
	}
	return false
}

// submitEnded handles a copy of a job that has ended.
func (s *Scheduler) submitEnded(sub Submission, k retained) {
	id := sub.Job.ID
	if k.saving > 0 || !s.ownsRows() {
		s.giveUp(sub.Entry, id, workload.StoreUnavailable, "the job's end is being written")
		return
	}
	s.answer(sub.Entry, id, workload.Accepted, "known")
	if k.state == ledger.CancelledEarly {
		// Queries find the job from now on. Until it arrived they were told that no such job is
		// known, see retained.jobState.
		s.retainAndSave(id, ledger.Cancelled)
	}
}

// submitAgain handles a copy of a job that hasn't ended.
func (s *Scheduler) submitAgain(j *job, sub Submission) {
	if j.stored == nil || j.stored.accepted {
		s.answer(sub.Entry, j.work.ID, workload.Accepted, "known")
		return
	}
	j.stored.waiters[sub.Entry] = max(j.stored.waiters[sub.Entry], s.now+sub.RemainingTimeout)
}

// storedRefusal returns why a job isn't accepted; NotRefused and "" if it is. No record of the job
// has been written at that point, so the job can be refused safely.
func (s *Scheduler) storedRefusal(j *job) (workload.RefusalCause, string) {
	if s.refused.refusedElsewhere(j.work.ID, j.entry) {
		return workload.CopyRefused, copyRefused
	}
	if s.rows.failingFor > storeFailureThreshold {
		return workload.StoreUnavailable, "the store doesn't answer"
	}
	return s.refusal(j)
}

// refusal is a refusal that is held back until it is certain that no other process has accepted
// a copy of the job.
type refusal struct {
	submission Submission
	answer     Answer
	since      Time
}

// refuse refuses a job. If another process may have accepted a copy of it, the answer waits
// until this process's ownership of the rows is proved.
func (s *Scheduler) refuse(sub Submission, cause workload.RefusalCause, reason string, retryAfter time.Duration) {
	a := Answer{
		Entry: sub.Entry, Job: sub.Job.ID, Queue: sub.Job.Queue, Outcome: workload.NotRun,
		Cause: cause, Reason: reason, RetryAfter: retryAfter,
	}
	s.rows.refusals = append(s.rows.refusals, refusal{submission: sub, answer: a, since: s.now})
	s.resolveRefusals()
}

// resolveRefusals answers the refused submissions whose outcome is certain, or that have waited for too
// long.
func (s *Scheduler) resolveRefusals() {
	s.rows.refusals = slices.DeleteFunc(s.rows.refusals, s.resolveRefusal)
}

// resolveRefusal answers a refused submission if it can be answered, and reports whether it did. If a copy
// of the job was accepted meanwhile, the submission is treated as one that comes now: its caller must
// not be told that the job never runs. One that stays uncertain for refusalTimeout is answered GaveUp.
func (s *Scheduler) resolveRefusal(r refusal) bool {
	if s.submitKnown(r.submissionAt(s.now)) {
		return true
	}
	r.answer.At = s.now
	switch {
	case s.knowsAllAccepted(r.since):
		s.rememberRefused(r.submission)
	case s.now-r.since > refusalTimeout:
		r.answer.Outcome = workload.GaveUp
	default:
		return false
	}
	s.count(r.answer.Outcome)
	s.emit(r.answer)
	return true
}

// rememberRefused records that the caller of a submission is told that its job never runs. One that was
// handed in before is told to ask again instead, see gateway.Gateway.HandleVerdict.
func (s *Scheduler) rememberRefused(sub Submission) {
	if sub.PriorSubmissions == 0 {
		s.refused.add(sub.Job.ID, sub.Entry, s.now)
	}
}

// submissionAt returns the refused submission with the times that remain at now.
func (r refusal) submissionAt(now Time) Submission {
	sub := r.submission
	sub.RemainingObjective -= now - r.since
	sub.RemainingTimeout -= now - r.since
	return sub
}

// earlySubmission is a submission that arrived before the stored jobs were loaded.
type earlySubmission struct {
	Submission
	at Time
}

// submitEarly keeps a submission until the stored jobs are loaded.
func (s *Scheduler) submitEarly(sub Submission) {
	id := sub.Job.ID
	if s.leading && s.rows.failingFor > storeFailureThreshold {
		s.giveUp(sub.Entry, id, workload.StoreUnavailable, "the store doesn't answer")
		return
	}
	s.rows.early[id] = append(s.rows.early[id], earlySubmission{Submission: sub, at: s.now})
}

// dropEarly drops the submissions of an entry process that has ended or is unreachable.
func (s *Scheduler) dropEarly(entry EntryID) {
	for _, id := range sortedKeys(s.rows.early) {
		s.rows.early[id] = slices.DeleteFunc(s.rows.early[id], func(e earlySubmission) bool { return e.Entry == entry })
		if len(s.rows.early[id]) == 0 {
			delete(s.rows.early, id)
		}
	}
}

// expireEarly answers GaveUp to submissions that have waited too long for the stored jobs.
func (s *Scheduler) expireEarly() {
	for _, id := range sortedKeys(s.rows.early) {
		rest := slices.DeleteFunc(s.rows.early[id], func(e earlySubmission) bool {
			expired := s.now-e.at > min(leadershipTimeout, e.RemainingTimeout)
			if expired {
				s.giveUp(e.Entry, id, workload.StoreUnavailable, "the stored jobs couldn't be read")
			}
			return expired
		})
		if s.rows.early[id] = rest; len(rest) == 0 {
			delete(s.rows.early, id)
		}
	}
}

// submitCopies decides on all early submissions of one job. If the first is refused all are:
// otherwise a caller who was told that the job doesn't run would see it run.
func (s *Scheduler) submitCopies(list []earlySubmission) {
	id := list[0].Job.ID
	s.submitStored(list[0].Submission)
	_, known := s.rows.retained[id]
	known = known || s.jobs[id] != nil
	for _, e := range list[1:] {
		if known {
			s.submitStored(e.Submission)
			continue
		}
		s.refuse(e.Submission, workload.CopyRefused, copyRefused, minRetryAfter)
	}
}
