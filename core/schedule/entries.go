package schedule

import "sapphirepoint.example/sapphirepoint/core/workload"

// What entry processes say of their jobs, and what becomes of these when such a process
// ends, falls silent, or is heard again.

// Abandon ends a job whose caller has left. It may come again.
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

// Withdraw takes a job back for another scheduler. What runs goes on, so that
// that one finds it, for as long as that is safe. The runs of a guest are stopped:
// the scheduler that gets it next has other runners, and doesn't find them.
func (s *Scheduler) Withdraw(now Time, entry EntryID, id workload.JobID) {
	s.now = now
	j := s.jobs[id]
	if j == nil || j.entry != entry || j.stored != nil {
		return
	}
	if j.guest {
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
// If its process has ended, their callers send them again after a while, so
// what runs goes on for as long as that is safe; those of guests don't come here
// again. If it only fell silent, it may
// be alive and hand them to another scheduler, which doesn't see what runs
// here; so they are stopped at once.
func (s *Scheduler) EntryLost(now Time, entry EntryID, ended bool) {
	s.now = now
	delete(s.heard, entry)
	if entry == s.awaited {
		s.awaitNoLonger()
	}
	if !ended {
		s.missing[entry.VM()] = now
	}
	s.dropEarly(entry)
	for _, j := range s.jobsInOrder() {
		if j.entry != entry || j.stored != nil {
			continue
		}
		if ended && j.started && !j.guest {
			j.abandonedAt = now + abandonedGrace
			continue
		}
		s.emit(Decision{Event: "job-dropped", Job: j.work.ID, Reason: "entry VM lost"})
		s.forget(j)
	}
	s.dispatch()
}

// SetUnreachable says whether a VM isn't heard that may be alive.
func (s *Scheduler) SetUnreachable(some bool) { s.misses = some }

// SetOtherCellUnreachable says whether a VM of another cell is missing, or was of late. Copies of its
// jobs may come here, of which only that cell's scheduler knows what was run.
func (s *Scheduler) SetOtherCellUnreachable(doubt bool) { s.doubt = doubt }

// EntryDisconnected notes that the connection with an entry VM has ended. Once there is a new
// one it hands in again what it still waits for. What came before and hasn't begun is
// dropped: a process that was frozen finds it in its buffers as it wakes, when it has
// long been given to another scheduler, or its caller told that it wasn't run.
func (s *Scheduler) EntryDisconnected(now Time, entry EntryID) {
	s.now = now
	s.dropEarly(entry)
	for _, j := range s.jobsInOrder() {
		if j.entry == entry && j.stored == nil && !j.started {
			s.emit(Decision{Event: "job-dropped", Job: j.work.ID, Reason: "connection lost"})
			s.forget(j)
		}
	}
}

// EntryAlive notes a sign of life of an entry process.
func (s *Scheduler) EntryAlive(now Time, entry EntryID) { s.heard[entry] = now }

// EntryReachable notes that an entry VM is heard again, perhaps by a new process.
func (s *Scheduler) EntryReachable(now Time, entry EntryID) {
	s.now = now
	if _, ok := s.missing[entry.VM()]; ok {
		delete(s.missing, entry.VM())
		s.unsureUntil = max(s.unsureUntil, now+unsureWindow)
	}
}
