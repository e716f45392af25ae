package schedule

import (
	"slices"
	"time"

	"sapphirepoint.example/sapphirepoint/core/workload"
)

// Row ownership: whether the scheduler has loaded the stored jobs of its shard, and how certain
// it is that no other process has taken over the shard's rows in the store.

// rows is the scheduler's state of the shard's rows in the store.
type rows struct {
	// noStoredJobs: the deployment has no stored jobs, as far as this process knows. noStoredJobsAt is
	// the latest time at which the store is known to have had none.
	noStoredJobs   bool
	noStoredJobsAt Time
	// loaded: the shard's records have been loaded. epoch is that of the ownership under which
	// they were, see ledger.Ownership.
	loaded bool
	epoch  uint64
	// verifiedAt is the latest time at which this process is proved to have owned the rows.
	verifiedAt Time
	// failingFor is how long all calls to the store have failed.
	failingFor time.Duration
	// sequence is that of the last record that was saved.
	sequence uint64
	// retained are the outcomes of ended jobs; retainedOrder has their ids, oldest first.
	retained      map[workload.JobID]retained
	retainedOrder []workload.JobID
	// early are submissions that arrived before the shard's records were loaded.
	early map[workload.JobID][]earlySubmission
	// moving are jobs that haven't been acknowledged yet by the shard that they move to.
	moving map[workload.JobID]*move
	// movedAway are waiting jobs that another shard has acknowledged lately.
	movedAway []movedAway
	// open is the number of stored jobs that haven't ended.
	open int
	// refusals are held back until they are certain, see refuse.
	refusals []refusal
	// lastRequestAt is when a stored job was last submitted or moved here.
	lastRequestAt Time
	// predecessor is the Progress of the last leader; nil if it sent none.
	predecessor *Progress
	// priorRunsOverAt is when all runs that earlier owners started are certainly over.
	priorRunsOverAt Time
	// silentRunsOverAt is when they are on silent runners. The leases of a previous owner that
	// has retired are over by then too.
	silentRunsOverAt Time
}

func newRows() rows {
	return rows{
		retained: make(map[workload.JobID]retained),
		early:    make(map[workload.JobID][]earlySubmission),
		moving:   make(map[workload.JobID]*move),
	}
}

// SetNoStoredJobs sets whether the deployment is known to have no stored jobs.
func (s *Scheduler) SetNoStoredJobs(noStoredJobs bool) { s.rows.noStoredJobs = noStoredJobs }

// NoStoredJobsAt records that the store had no stored jobs at the given time.
func (s *Scheduler) NoStoredJobsAt(now, at Time) {
	s.now = now
	s.rows.noStoredJobsAt = max(s.rows.noStoredJobsAt, at)
	s.acknowledgeAll()
}

// SetStoreFailingFor sets how long all calls to the store have failed.
func (s *Scheduler) SetStoreFailingFor(d time.Duration) { s.rows.failingFor = d }

// RowsLoaded reports whether the jobs that earlier schedulers have accepted are loaded.
func (s *Scheduler) RowsLoaded() bool { return s.rows.loaded }

// DependsOnRowOwnership reports whether the ownership of the shard's rows matters at present: for
// open jobs, jobs that move to another shard, ends that wait for acknowledgement, or answers to
// callers.
func (s *Scheduler) DependsOnRowOwnership() bool {
	if s.rows.noStoredJobs {
		return false
	}
	return s.rows.open+len(s.rows.moving) > 0 || !s.knowsAllAccepted(s.now) || slices.ContainsFunc(s.runnerList, func(r *runner) bool { return len(r.ends) > 0 })
}

// NeedsStore reports whether callers wait, or are expected soon to wait, for a write to the store.
func (s *Scheduler) NeedsStore() bool {
	return s.rows.open+len(s.rows.moving) > 0 || len(s.rows.early) > 0 || s.rows.lastRequestAt > 0 && s.now-s.rows.lastRequestAt < storeDemandWindow
}

// RowOwnershipVerified records that this process owned the shard's rows at the given time.
func (s *Scheduler) RowOwnershipVerified(now, at Time) {
	s.now = now
	s.rows.verifiedAt = max(s.rows.verifiedAt, at)
	s.resolveRefusals()
	s.acknowledgeAll()
}

// ownsRows reports whether no other process can have taken the shard's rows. This holds for
// maxProofAge after a call to the store has proved it. It also holds while all processes that
// could take the rows are reachable, since they follow this one; after one was unreachable a new
// proof is needed, since it may have taken the rows meanwhile.
func (s *Scheduler) ownsRows() bool { return s.ownedSince(s.now - maxProofAge) }

// ownedSince reports whether the ownership was proved at the given time or later, or no process
// can have taken the rows since the last proof.
func (s *Scheduler) ownedSince(since Time) bool {
	return s.rows.loaded && (s.uncontested() || s.rows.verifiedAt >= since)
}

// uncontested reports whether no other process can lead the shard: all have been reachable since
// before the last proof of ownership, and none is about to become leader.
func (s *Scheduler) uncontested() bool {
	return s.allReachable && s.rows.verifiedAt >= s.allReachableSince && !s.contested
}

// knowsAllAccepted reports whether no other process can have accepted, before the given time, a
// copy of a job that arrives here. While all processes are reachable this one knows all accepted
// jobs; otherwise its ownership of the rows must be proved after that time. A caller sends a copy
// so late that a process which took the rows for the first copy is known by then.
func (s *Scheduler) knowsAllAccepted(at Time) bool { return s.ownedSince(at) }

// ownershipProvedSince reports whether the store has shown that no other process had accepted,
// by the given time, a job that isn't known here. That all VMs are reachable doesn't show it: a
// VM whose process was killed counts as reachable until the missing heartbeats are noticed. Its
// next process may by then lead before this one has received a heartbeat from it, and accept a
// job whose state the caller queries here at once.
func (s *Scheduler) ownershipProvedSince(at Time) bool {
	return s.rows.loaded && s.rows.verifiedAt >= at
}

// SetAllReachable sets whether this process can reach all other processes of the deployment that
// could take the shard's rows, and since when.
func (s *Scheduler) SetAllReachable(all bool, since Time) {
	s.allReachable, s.allReachableSince = all, since
}

// SetContested sets whether another process is about to become leader in place of this one. That
// process may take the shard's rows and accept jobs before this one is informed.
func (s *Scheduler) SetContested(contested bool) { s.contested = contested }

// RowOwnershipLost drops all stored jobs because another process has taken the rows. That process
// continues the runs that it finds on the runners that it reaches, and restarts the other tasks
// when their runs must be over; so the runs here are stopped.
func (s *Scheduler) RowOwnershipLost(now Time) {
	s.now = now
	s.emit(Decision{Event: "stored-jobs-lost", Token: s.rows.epoch, Reason: openJobs(s.rows.open)})
	for _, j := range s.sortedJobs() {
		if j.stored == nil {
			continue
		}
		for _, e := range sortedKeys(j.stored.waiters) {
			s.giveUp(e, j.work.ID, workload.NotLeading, "another process schedules")
		}
		s.forget(j)
	}
	for _, r := range s.rows.refusals {
		s.giveUp(r.answer.Entry, r.answer.Job, workload.NotLeading, "another process schedules")
	}
	for _, r := range s.runnerList {
		r.markEndsUnknown()
	}
	predecessor, epoch := s.rows.predecessor, s.rows.epoch
	s.dropRows()
	if predecessor != nil && predecessor.Epoch > epoch {
		// The process that took the rows has retired already.
		s.rows.predecessor = predecessor
	}
}

// dropRows clears the state of the store's rows.
func (s *Scheduler) dropRows() {
	before := s.rows
	s.rows = newRows()
	s.rows.sequence = before.sequence
	s.rows.noStoredJobs, s.rows.noStoredJobsAt = before.noStoredJobs, before.noStoredJobsAt
}

// stopStoredRuns stops the runs of stored jobs: another process may have taken the shard, and
// restarts tasks whose runs it doesn't see. Tasks that were stopped needlessly are started again
// once the ownership is proved.
func (s *Scheduler) stopStoredRuns() {
	for _, r := range s.runnerList {
		for _, u := range r.sortedRuns() {
			if u.task != nil && u.task.job.stored != nil {
				s.stopRun(u, StopNotOwner)
			}
		}
	}
}
