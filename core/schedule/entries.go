package schedule

import "sapphirepoint.example/sapphirepoint/core/workload"

// Events of entry processes, and their effect on the jobs that those processes handed in.

// Abandon drops a job whose caller has left. The caller may send it again.
func (s *Scheduler) Abandon(now Time, entry EntryID, id workload.JobID) {
	s.now = now
	j := s.jobs[id]
	if j == nil || j.entry != entry || j.stored != nil {
		return
	}
	s.ctr.Cancelled++
	s.emit(Decision{Event: "job-dropped", Job: id, Reason: "caller left"})
	s.forget(j)
	s.dispatch()
}

// Withdraw gives a job up to another scheduler. The job's runs go on for as long as that is safe
// (abandonedGrace), so that the other scheduler finds them. The runs of a foreign job are stopped:
// its next scheduler uses other runners and doesn't find them.
func (s *Scheduler) Withdraw(now Time, entry EntryID, id workload.JobID) {
	s.now = now
	j := s.jobs[id]
	if j == nil || j.entry != entry || j.stored != nil {
		return
	}
	if j.foreign {
		s.forget(j)
		s.dispatch()
		return
	}
	j.withdrawn = true
	j.abandonedAt = now + abandonedGrace
	s.dequeue(j)
}

// EntryLost drops the jobs of an entry VM.
//
// If the entry process has ended, callers send these jobs again after a while, so their runs go
// on for as long as that is safe (abandonedGrace). The runs of foreign jobs are stopped, since
// copies of those jobs don't arrive here but in the shard that they belong to. If the process is
// only unreachable, it may be alive and hand its jobs to another scheduler, which doesn't see the
// runs here; so they are stopped at once.
func (s *Scheduler) EntryLost(now Time, entry EntryID, ended bool) {
	s.now = now
	s.noteResent(entry)
	delete(s.lastContact, entry)
	delete(s.heardAt, entry)
	delete(s.borrowing.refusesLent, entry)
	if entry == s.progressFrom {
		s.stopAwaiting()
	}
	if !ended {
		s.unreachable[entry.VM()] = now
	}
	s.dropEarly(entry)
	for _, j := range s.sortedJobs() {
		if j.entry != entry || j.stored != nil {
			continue
		}
		if ended && j.started && !j.foreign {
			j.abandonedAt = now + abandonedGrace
			continue
		}
		s.emit(Decision{Event: "job-dropped", Job: j.work.ID, Reason: "entry VM lost"})
		s.forget(j)
	}
	s.dispatch()
}

// SetUnreachable sets whether a VM that may be alive is unreachable.
func (s *Scheduler) SetUnreachable(unreachable bool) { s.anyUnreachable = unreachable }

// SetOtherCellUnreachable sets whether a VM of another cell is unreachable, or was recently. Copies
// of that cell's jobs may arrive here, and only its scheduler knows what has run of them.
func (s *Scheduler) SetOtherCellUnreachable(otherCellUnreachable bool) {
	s.otherCellUnreachable = otherCellUnreachable
}

// EntryDisconnected records that the connection with an entry VM has ended. Over a new connection
// the entry VM hands in again the jobs that it still waits for. Jobs that arrived before and
// haven't started are dropped: a suspended process reads them from its buffers when it resumes,
// long after they were given to another scheduler or their callers were told that they weren't
// run.
func (s *Scheduler) EntryDisconnected(now Time, entry EntryID) {
	s.now = now
	s.noteResent(entry)
	s.dropEarly(entry)
	for _, j := range s.sortedJobs() {
		if j.entry == entry && j.stored == nil && !j.started {
			s.emit(Decision{Event: "job-dropped", Job: j.work.ID, Reason: "connection lost"})
			s.forget(j)
		}
	}
}

// EntryAlive records a message of an entry process, which was sent at a time or later.
func (s *Scheduler) EntryAlive(sentAt Time, entry EntryID) {
	s.lastContact[entry] = max(s.lastContact[entry], sentAt)
}

// EntryHears records that an entry process has received a message that this process sent at a time or later.
func (s *Scheduler) EntryHears(sentAt Time, entry EntryID) {
	s.heardAt[entry] = max(s.heardAt[entry], sentAt)
}

// mayLose reports whether an entry process may count this process as lost, and may have given its jobs to another
// scheduler, which sees only the runs that exist by then. It does so after maxSilence, before this process counts it
// as lost if the connection fails in one direction first. Processes of earlier versions don't report what they hear.
func (s *Scheduler) mayLose(entry EntryID) bool {
	heardAt, reported := s.heardAt[entry]
	return s.now-s.lastContact[entry] > maxHeartbeatAge || reported && s.now-heardAt > maxEchoAge
}

// EntryReachable records that an entry VM is reachable again, perhaps with a new process.
func (s *Scheduler) EntryReachable(now Time, entry EntryID) {
	s.now = now
	if _, ok := s.unreachable[entry.VM()]; ok {
		delete(s.unreachable, entry.VM())
		s.uncertainUntil = max(s.uncertainUntil, now+takeoverWindow)
	}
}
