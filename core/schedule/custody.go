package schedule

import (
	"slices"
	"time"

	"sapphirepoint.example/sapphirepoint/core/workload"
)

// Custody is the hold of a scheduler on the stored jobs of its shard: whether it
// knows them, and how certain it is that no other process has taken them.

// custody is the scheduler's hold on the shard's rows in the store.
type custody struct {
	// none: the deployment has no stored jobs.
	none   bool
	loaded bool
	epoch  uint64
	// verifiedAt is when the ownership was last proved.
	verifiedAt Time
	// failingFor is how long all calls to the store have failed.
	failingFor time.Duration
	sequence   uint64
	kept       map[workload.JobID]kept
	keptOrder  []workload.JobID
	// early are submissions that came before the shard's records were read.
	early map[workload.JobID][]earlySubmission
	// moving are jobs that haven't arrived yet in the shard that they go to.
	moving map[workload.JobID]*move
	// open is the number of stored jobs that haven't ended.
	open int
	// refusals wait until they are certain.
	refusals []refusal
	// askedAt is when a stored job last came.
	askedAt Time
	// before is what the last leader has said as it retired; nil if it hasn't.
	before *Progress
	// knownFrom is when runs are surely over that other owners have started.
	knownFrom Time
}

func newCustody() custody {
	return custody{
		kept:   make(map[workload.JobID]kept),
		early:  make(map[workload.JobID][]earlySubmission),
		moving: make(map[workload.JobID]*move),
	}
}

// SetNoStoredJobs says whether the deployment surely has no stored jobs.
func (s *Scheduler) SetNoStoredJobs(none bool) { s.custody.none = none }

// SetStoreFailingFor says how long all calls to the store have failed.
func (s *Scheduler) SetStoreFailingFor(d time.Duration) { s.custody.failingFor = d }

// DependsOnRowOwnership reports whether something depends on the ownership of the shard's rows:
// open jobs and those that go to another shard, ends that wait to be acknowledged, or what
// callers are told.
func (s *Scheduler) DependsOnRowOwnership() bool {
	if s.custody.none {
		return false
	}
	return s.custody.open+len(s.custody.moving) > 0 || !s.certain(s.now) || slices.ContainsFunc(s.list, func(r *runner) bool { return len(r.ends) > 0 })
}

// NeedsStore reports whether callers wait for what the store doesn't have yet.
func (s *Scheduler) NeedsStore() bool {
	return s.custody.open+len(s.custody.moving) > 0 || len(s.custody.early) > 0 || s.custody.askedAt > 0 && s.now-s.custody.askedAt < needStore
}

// RowOwnershipVerified notes that this process owned the shard's rows at a time.
func (s *Scheduler) RowOwnershipVerified(now, at Time) {
	s.now = now
	s.custody.verifiedAt = max(s.custody.verifiedAt, at)
	s.settleRefusals()
	s.acknowledgeAll()
}

// sure reports whether no other process can have taken the shard's rows. That is
// known for a while after a call to the store has shown it. It is also known
// while all processes that could are heard, since they follow this one; those
// that weren't heard before may have taken them meanwhile.
func (s *Scheduler) sure() bool { return s.owns(s.now - custodyAge) }

// owns reports whether the ownership was proved at a time or later, or nobody can
// have taken the rows since it was.
func (s *Scheduler) owns(since Time) bool {
	return s.custody.loaded && (s.unopposed() || s.custody.verifiedAt >= since)
}

// unopposed reports whether all other processes follow this one.
func (s *Scheduler) unopposed() bool {
	return s.allHeard && s.custody.verifiedAt >= s.allHeardSince && !s.contested
}

// certain reports whether no other process can have accepted, before a given time,
// a copy of a job that comes here. While all processes are heard this one knows
// all; else it must be seen to own the shard's rows after that time. A caller sends
// a copy so late that a process which took the rows for the first one is known of.
func (s *Scheduler) certain(at Time) bool { return s.owns(at) }

// proved reports whether the store has shown that no other process had accepted
// a job by a given time that isn't known here. That all VMs are heard doesn't
// show it: one whose process was killed is heard until its silence is noticed. Its
// next process may lead by then without being heard, accept a job, and the job's
// caller asks for it here at once.
func (s *Scheduler) proved(at Time) bool { return s.custody.loaded && s.custody.verifiedAt >= at }

// SetAllReachable says whether this process hears all others of the deployment that could
// take the shard's rows, and since when.
func (s *Scheduler) SetAllReachable(all bool, since Time) { s.allHeard, s.allHeardSince = all, since }

// SetContested says whether another process is about to lead in place of this one.
// It may take the shard's rows, and accept jobs, before this one hears that it does.
func (s *Scheduler) SetContested(contested bool) { s.contested = contested }

// RowOwnershipLost drops all stored jobs: another process has taken them. It finds
// what runs on the runners that it reaches, and starts the rest again when that
// must be over, so what runs here is stopped.
func (s *Scheduler) RowOwnershipLost(now Time) {
	s.now = now
	s.emit(Decision{Event: "stored-jobs-lost", Token: s.custody.epoch, Reason: openJobs(s.custody.open)})
	for _, j := range s.jobsInOrder() {
		if j.stored == nil {
			continue
		}
		for _, e := range sortedKeys(j.stored.waiters) {
			s.answer(e, j.work.ID, workload.GaveUp, "another process schedules")
		}
		s.forget(j)
	}
	for _, r := range s.custody.refusals {
		s.answer(r.answer.Entry, r.answer.Job, workload.GaveUp, "another process schedules")
	}
	for _, r := range s.list {
		r.unsettleEnds()
	}
	s.dropCustody()
}

// dropCustody forgets all that is known of the store's rows.
func (s *Scheduler) dropCustody() {
	sequence, none := s.custody.sequence, s.custody.none
	s.custody = newCustody()
	s.custody.sequence, s.custody.none = sequence, none
}

// stopUnsure stops the runs of stored jobs: another process may have taken the
// shard, and will start them again where it doesn't see them. What was stopped
// in vain is started again when the ownership is proved.
func (s *Scheduler) stopUnsure() {
	for _, r := range s.list {
		for _, u := range r.inOrder() {
			if u.task != nil && u.task.job.stored != nil {
				s.stopRun(u)
			}
		}
	}
}
