package schedule

import (
	"maps"
	"time"

	"sapphirepoint.example/sapphirepoint/core/workload"
)

// An entry process may be out of reach of a lender: in a deployment with cells it connects with few
// processes of other cells. Such a process hands a lent job back at once, and no more room is
// requested of that lender for its jobs for a while.

// outOfReachRetention is how long a lender counts as out of reach of an entry process.
const outOfReachRetention = 10 * time.Second

// lentJob is a job for which another shard has granted room.
type lentJob struct {
	// entry is the process that was last told to hand the job in to the shard to, and at when.
	entry EntryID
	to    int
	at    Time
	// copied: a copy of the job has arrived here since.
	copied bool
}

// route is the way of a job from its entry process to a lender.
type route struct {
	entry EntryID
	to    int
}

// submitLent handles the submission of a job that was lent, and reports whether that is all. A copy
// follows the job to the lender, which knows whether it has ended or runs: here it would run again.
// A job that its entry process hands back stays here, and so does one of which the lender was lost:
// its runs there are waited for. Neither holds once a copy may have gone to the lender.
func (s *Scheduler) submitLent(sub Submission) bool {
	id := sub.Job.ID
	l, ok := s.borrowing.lent[id]
	switch {
	case !ok:
		return false
	case sub.PriorSubmissions > 0 && !l.copied && l.entry == sub.Entry:
		delete(s.borrowing.lent, id)
		return false
	case sub.HandedBack && l.entry == sub.Entry:
		s.handedBack(id, l)
		if l.copied {
			s.giveUp(sub.Entry, id, workload.NoScheduler, "it is in another shard, which is out of reach")
		}
		return l.copied
	}
	s.borrowing.lent[id] = lentJob{entry: sub.Entry, to: l.to, at: s.now, copied: true}
	s.emit(Answer{
		At: s.now, Entry: sub.Entry, Job: id, Queue: sub.Job.Queue, Outcome: workload.GaveUp,
		Cause: workload.LackOfRoom, Reason: "it is in another shard",
		RetryAfter: minRetryAfter, NoRoom: true, Lent: true, Lender: l.to,
	})
	return true
}

// handedBack records that an entry process couldn't hand a lent job in to the lender.
func (s *Scheduler) handedBack(id workload.JobID, l lentJob) {
	if !l.copied {
		delete(s.borrowing.lent, id)
	}
	s.borrowing.outOfReach[route{entry: l.entry, to: l.to}] = s.now
	s.ctr.Lending.HandedBack++
	s.emit(Decision{Event: "lent-job-handed-back", Job: id, Reason: shardReason("out of reach:", l.to), Age: s.now - l.at})
}

// reaches reports whether an entry process may hand jobs in to a lender.
func (s *Scheduler) reaches(entry EntryID, to int) bool {
	_, out := s.borrowing.outOfReach[route{entry: entry, to: to}]
	return !out
}

// expireReach drops old entries.
func (s *Scheduler) expireReach() {
	maps.DeleteFunc(s.borrowing.lent, func(_ workload.JobID, l lentJob) bool { return s.now-l.at >= ranRetention })
	expireBefore(s.borrowing.outOfReach, s.now-outOfReachRetention)
}

// mayLendTo reports whether a lender may have room for a job and be in reach of its entry process.
func (s *Scheduler) mayLendTo(l *lender, j *job) bool {
	return l.hasRoom(s.now, j.work.Service) && s.reaches(j.entry, l.Shard)
}

// lendersFor lists the lenders that may take a job: those of the same cell, or else all.
func (s *Scheduler) lendersFor(j *job) []*lender {
	var near, far []*lender
	for _, l := range s.borrowing.lenders {
		switch {
		case !s.mayLendTo(l, j):
		case l.SameCell:
			near = append(near, l)
		default:
			far = append(far, l)
		}
	}
	if len(near) > 0 {
		return near
	}
	return far
}
