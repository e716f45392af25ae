package schedule

import (
	"slices"
	"time"

	"sapphirepoint.example/sapphirepoint/core/workload"
)

// Custody is the hold of a scheduler on the stored jobs of its shard: whether it
// knows them, and how certain it is that no other process has taken them.

// rows is the scheduler's hold on the shard's rows in the store.
type rows struct {
	// noStoredJobs: the deployment has no stored jobs.
	noStoredJobs bool
	loaded       bool
	epoch        uint64
	// verifiedAt is when the ownership was last proved.
	verifiedAt Time
	// failingFor is how long all calls to the store have failed.
	failingFor    time.Duration
	sequence      uint64
	retained      map[workload.JobID]retained
	retainedOrder []workload.JobID
	// early are submissions that came before the shard's records were read.
	early map[workload.JobID][]earlySubmission
	// moving are jobs that haven't arrived yet in the shard that they go to.
	moving map[workload.JobID]*move
	// open is the number of stored jobs that haven't ended.
	open int
	// refusals wait until they are certain.
	refusals []refusal
	// lastRequestAt is when a stored job last came.
	lastRequestAt Time
	// predecessor is what the last leader has said as it retired; nil if it hasn't.
	predecessor *Progress
	// priorRunsOverAt is when runs are surely over that other owners have started.
	priorRunsOverAt Time
}

func newRows() rows {
	return rows{
		retained: make(map[workload.JobID]retained),
		early:    make(map[workload.JobID][]earlySubmission),
		moving:   make(map[workload.JobID]*move),
	}
}

// SetNoStoredJobs says whether the deployment surely has no stored jobs.
func (s *Scheduler) SetNoStoredJobs(noStoredJobs bool) { s.rows.noStoredJobs = noStoredJobs }

// SetStoreFailingFor says how long all calls to the store have failed.
func (s *Scheduler) SetStoreFailingFor(d time.Duration) { s.rows.failingFor = d }

// DependsOnRowOwnership reports whether something depends on the ownership of the shard's rows:
// open jobs and those that go to another shard, ends that wait to be acknowledged, or what
// callers are told.
func (s *Scheduler) DependsOnRowOwnership() bool {
	if s.rows.noStoredJobs {
		return false
	}
	return s.rows.open+len(s.rows.moving) > 0 || !s.knowsAllAccepted(s.now) || slices.ContainsFunc(s.runnerList, func(r *runner) bool { return len(r.ends) > 0 })
}

// NeedsStore reports whether callers wait for what the store doesn't have yet.
func (s *Scheduler) NeedsStore() bool {
	return s.rows.open+len(s.rows.moving) > 0 || len(s.rows.early) > 0 || s.rows.lastRequestAt > 0 && s.now-s.rows.lastRequestAt < storeDemandWindow
}

// RowOwnershipVerified notes that this process owned the shard's rows at a time.
func (s *Scheduler) RowOwnershipVerified(now, at Time) {
	s.now = now
	s.rows.verifiedAt = max(s.rows.verifiedAt, at)
	s.resolveRefusals()
	s.acknowledgeAll()
}

// ownsRows reports whether no other process can have taken the shard's rows. That is
// known for a while after a call to the store has shown it. It is also known
// while all processes that could are heard, since they follow this one; those
// that weren't heard before may have taken them meanwhile.
func (s *Scheduler) ownsRows() bool { return s.ownedSince(s.now - maxProofAge) }

// ownedSince reports whether the ownership was proved at a time or later, or nobody can
// have taken the rows since it was.
func (s *Scheduler) ownedSince(since Time) bool {
	return s.rows.loaded && (s.uncontested() || s.rows.verifiedAt >= since)
}

// uncontested reports whether all other processes follow this one.
func (s *Scheduler) uncontested() bool {
	return s.allReachable && s.rows.verifiedAt >= s.allReachableSince && !s.contested
}

// knowsAllAccepted reports whether no other process can have accepted, before a given time,
// a copy of a job that comes here. While all processes are heard this one knows
// all; else it must be seen to own the shard's rows after that time. A caller sends
// a copy so late that a process which took the rows for the first one is known of.
func (s *Scheduler) knowsAllAccepted(at Time) bool { return s.ownedSince(at) }

// ownershipProvedSince reports whether the store has shown that no other process had accepted
// a job by a given time that isn't known here. That all VMs are heard doesn't
// show it: one whose process was killed is heard until its silence is noticed. Its
// next process may lead by then without being heard, accept a job, and the job's
// caller asks for it here at once.
func (s *Scheduler) ownershipProvedSince(at Time) bool {
	return s.rows.loaded && s.rows.verifiedAt >= at
}

// SetAllReachable says whether this process hears all others of the deployment that could
// take the shard's rows, and since when.
func (s *Scheduler) SetAllReachable(all bool, since Time) {
	s.allReachable, s.allReachableSince = all, since
}

// SetContested says whether another process is about to lead in place of this one.
// It may take the shard's rows, and accept jobs, before this one hears that it does.
func (s *Scheduler) SetContested(contested bool) { s.contested = contested }

// RowOwnershipLost drops all stored jobs: another process has taken them. It finds
// what runs on the runners that it reaches, and starts the rest again when that
// must be over, so what runs here is stopped.
func (s *Scheduler) RowOwnershipLost(now Time) {
	s.now = now
	s.emit(Decision{Event: "stored-jobs-lost", Token: s.rows.epoch, Reason: openJobs(s.rows.open)})
	for _, j := range s.sortedJobs() {
		if j.stored == nil {
			continue
		}
		for _, e := range sortedKeys(j.stored.waiters) {
			s.answer(e, j.work.ID, workload.GaveUp, "another process schedules")
		}
		s.forget(j)
	}
	for _, r := range s.rows.refusals {
		s.answer(r.answer.Entry, r.answer.Job, workload.GaveUp, "another process schedules")
	}
	for _, r := range s.runnerList {
		r.markEndsUnknown()
	}
	s.dropRows()
}

// dropRows forgets all that is known of the store's rows.
func (s *Scheduler) dropRows() {
	sequence, noStoredJobs := s.rows.sequence, s.rows.noStoredJobs
	s.rows = newRows()
	s.rows.sequence, s.rows.noStoredJobs = sequence, noStoredJobs
}

// stopStoredRuns stops the runs of stored jobs: another process may have taken the
// shard, and will start them again where it doesn't see them. What was stopped
// in vain is started again when the ownership is proved.
func (s *Scheduler) stopStoredRuns() {
	for _, r := range s.runnerList {
		for _, u := range r.sortedRuns() {
			if u.task != nil && u.task.job.stored != nil {
				s.stopRun(u)
			}
		}
	}
}
