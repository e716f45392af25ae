package schedule

import (
	"maps"
	"time"

	"sapphirepoint.example/sapphirepoint/core/workload"
)

// An entry process may be out of reach of a lender: in a deployment with cells it connects with few
// processes of other cells. Such a process hands a lent job back at once. For outOfReachRetention no
// more room is requested of that lender for jobs of that process.

// outOfReachRetention is how long a lender counts as out of reach of an entry process.
const outOfReachRetention = 10 * time.Second

// lentJob is a job that another shard has: it has granted room for the job, or took it after a refusal
// here.
type lentJob struct {
	// entry is the entry process to which the latest verdict on the job that names the lender was
	// sent, to is the lender's shard, and at is when that verdict was sent.
	entry EntryID
	to    int
	at    Time
	// copied: that verdict was the answer to a copy of the job, which may run in the lender's shard.
	copied bool
}

// route identifies the connection of an entry process with a lender's shard.
type route struct {
	entry EntryID
	to    int
}

// submitLent handles the submission of a job that was lent, and reports whether it has answered it.
// There are three cases:
//
//   - Another scheduler had the job since, and no copy may have gone to the lender: the job stays here.
//     Its entry process hands it in only after the runs there are over.
//   - The entry process hands the job back, since the lender is out of its reach. Nothing of the job
//     has run, so it stays here; but a copy is given up, since the job may run in the lender's shard.
//   - Any other submission is a copy. It is sent to the lender, which knows whether the job runs or
//     has ended. Here the job would run again.
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
	s.sendElsewhere(sub.Entry, sub.Job, l.to)
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

// expireBorrowing drops the entries of lent jobs and of lenders out of reach whose retention is over.
func (s *Scheduler) expireBorrowing() {
	maps.DeleteFunc(s.borrowing.lent, func(_ workload.JobID, l lentJob) bool { return s.now-l.at >= ranRetention })
	expireBefore(s.borrowing.outOfReach, s.now-outOfReachRetention)
}

// mayBorrowFrom reports whether a lender may have room for a job and is in reach of its entry
// process, as far as known.
func (s *Scheduler) mayBorrowFrom(l *lenderState, j *job) bool {
	return l.mayHaveRoom(s.now, j.work.Service) && s.reaches(j.entry, l.Shard)
}

// lendersFor lists the lenders that may take a job: those of the same cell or, if there are none,
// those of other cells.
func (s *Scheduler) lendersFor(j *job) []*lenderState {
	var sameCell, otherCells []*lenderState
	for _, l := range s.borrowing.lenders {
		switch {
		case !s.mayBorrowFrom(l, j):
		case l.SameCell:
			sameCell = append(sameCell, l)
		default:
			otherCells = append(otherCells, l)
		}
	}
	if len(sameCell) > 0 {
		return sameCell
	}
	return otherCells
}
