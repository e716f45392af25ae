package schedule

import (
	"slices"

	"sapphirepoint.example/sapphirepoint/core/workload"
)

// Jobs of this shard that are in other shards: lent ones, and those that this scheduler refused and
// another took. A scheduler knows which jobs it has lent. Entry processes report the jobs that they
// handed in elsewhere, to each new leader again; a retiring leader reports those that it knows of.
//
// A copy may come to a new leader before the report. It is started like a new job, from which it can't
// be distinguished, and stopped when the report comes. If a new leader started nothing before it had all
// reports, callers would wait after each change of the leader, for a heartbeat interval or until a lost
// entry process counts as lost.

// JobElsewhere is a job of this shard that is, or was until recently, in another shard.
type JobElsewhere struct {
	Job workload.JobID
	// Shard has the job, and Entry handed it in there.
	Shard int
	Entry EntryID
	// Copied: a copy of the job may have been handed in there by another process.
	Copied bool
}

// NoteElsewhere records jobs of this shard that are in other shards. Copies of them are sent there.
func (s *Scheduler) NoteElsewhere(now Time, list []JobElsewhere) {
	s.now = now
	for _, e := range list {
		s.noteElsewhere(e)
	}
	s.dispatch()
}

func (s *Scheduler) noteElsewhere(e JobElsewhere) {
	s.logInTwoShards(e)
	l, known := s.borrowing.lent[e.Job]
	copied := e.Copied || known && (l.copied || l.entry != e.Entry)
	s.borrowing.lent[e.Job] = lentJob{entry: e.Entry, to: e.Shard, at: s.now, copied: copied}
	s.emit(Decision{Event: "job-in-other-shard", Job: e.Job, Reason: shardReason("shard", e.Shard)})
	if j := s.jobs[e.Job]; j != nil && j.stored == nil && j.entry != e.Entry {
		// A copy has come before the report, and may have been started.
		s.forget(j)
		s.sendElsewhere(j.entry, j.work, e.Shard)
	}
}

// sendElsewhere has an entry process hand a copy of a job in to the shard that has the job. While a run
// of the job may be alive here, the copy is given up instead: the other shard doesn't know of that run,
// and if the job has ended there it would start the copy beside it.
func (s *Scheduler) sendElsewhere(entry EntryID, job *workload.Job, to int) {
	if s.orphanAlive(job.ID) {
		s.emit(Answer{
			At: s.now, Entry: entry, Job: job.ID, Queue: job.Queue, Outcome: workload.GaveUp,
			Cause: workload.LackOfRoom, Reason: "it is in another shard, and a run of it may be alive here",
			RetryAfter: minRetryAfter,
		})
		return
	}
	s.borrowing.lent[job.ID] = lentJob{entry: entry, to: to, at: s.now, copied: true}
	s.emit(Answer{
		At: s.now, Entry: entry, Job: job.ID, Queue: job.Queue, Outcome: workload.GaveUp,
		Cause: workload.LackOfRoom, Reason: "it is in another shard",
		RetryAfter: minRetryAfter, NoRoom: true, Lent: true, Lender: to,
	})
}

// orphanAlive reports whether an orphan of a job may be alive here, or a lost run.
func (s *Scheduler) orphanAlive(id workload.JobID) bool {
	for _, r := range s.runnerList {
		if len(r.orphansOf(id)) > 0 {
			return true
		}
	}
	for task, lost := range s.lostRuns {
		if task.Job == id && slices.ContainsFunc(lost, s.mayBeAlive) {
			return true
		}
	}
	return false
}

// Elsewhere lists the jobs of this shard that are known to be in other shards, or were during the last ranRetention.
func (s *Scheduler) Elsewhere() []JobElsewhere {
	var list []JobElsewhere
	for _, id := range sortedKeys(s.borrowing.lent) {
		l := s.borrowing.lent[id]
		list = append(list, JobElsewhere{Job: id, Shard: l.to, Entry: l.entry, Copied: l.copied})
	}
	return list
}

// refusedHere reports whether a retained result only says that a job was refused here and went to
// another shard.
func (s *Scheduler) refusedHere(id workload.JobID, r result) bool {
	_, elsewhere := s.borrowing.lent[id]
	return elsewhere && r.outcome == workload.NotRun
}

// SetTakesLent sets whether an entry process takes its jobs to a lender. One of an earlier version
// takes the verdict for a refusal, and may take the job to a third shard beside a copy at the lender.
func (s *Scheduler) SetTakesLent(entry EntryID, takes bool) {
	if takes {
		delete(s.borrowing.refusesLent, entry)
		return
	}
	s.borrowing.refusesLent[entry] = true
}
