package schedule

import (
	"fmt"
	"math"
	"slices"
	"time"

	"sapphirepoint.example/sapphirepoint/core/ledger"
	"sapphirepoint.example/sapphirepoint/core/workload"
)

// Stored jobs. Their callers are answered as soon as the job is in the store; from then on it must
// be completed, whichever scheduler leads.
//
// An end that a runner lists is acknowledged only when it is in the store: the runner forgets an
// acknowledged end, and a scheduler that doesn't know of it would start the task again.

const (
	// maxPriorRunLife is how long runs of the previous owner may live after a shard was taken
	// from a scheduler that isn't reachable: that scheduler treats its ownership as lost
	// maxProofAge after the last proof and stops its runs within a tick, and the runs on runners
	// that don't answer live as long as a lease.
	maxPriorRunLife = 1300 * time.Millisecond
	// maxProofAge is the age up to which a proof of the ownership holds while a process that may
	// have taken the shard is unreachable.
	maxProofAge = 450 * time.Millisecond
	// priorOwnerSlack covers the tick interval of a previous owner and the transit of its last
	// order.
	priorOwnerSlack = 50 * time.Millisecond
	// storeFailureThreshold is how long all calls to the store must have failed until new stored
	// jobs are refused on arrival: a rejected call is repeated within a tenth of a second.
	storeFailureThreshold = 300 * time.Millisecond
	// unsavedEndsInterval is how often a runner is asked for its lists while some of its ends
	// are being saved. It answers at once then, since it lists these ends again, and saving takes
	// some milliseconds.
	unsavedEndsInterval = 25 * time.Millisecond
	// unloadedInterval is the same while the jobs that the ends belong to aren't loaded.
	unloadedInterval = 150 * time.Millisecond
	// refusalTimeout is how long a refusal waits for a proof of the ownership, which takes a
	// check every tenth of a second and its answer.
	refusalTimeout = 400 * time.Millisecond
	// storeDemandWindow is how long after the last stored job more are expected.
	storeDemandWindow = 5 * time.Second
	// extraRetention is how much longer outcomes are retained than callers may query them.
	extraRetention = 30 * time.Second
)

// never is later than all other times.
const never = Time(math.MaxInt64 / 4)

// stored is the state of a stored job apart from its tasks.
type stored struct {
	// epoch is the ownership under which the job was accepted.
	epoch uint64
	// accepted: the job is in the store.
	accepted bool
	// saving is the sequence of the newest record, saved that of the newest one in the store.
	saving, saved uint64
	failures      []ledger.Failure
	// unseen: contact with a run was lost, the run may have ended successfully, and its task is
	// to be started again. unseenSaved is the sequence of the record that says so.
	unseen      bool
	unseenSaved uint64
	// unseenByPredecessor: the same had happened under the previous owner.
	unseenByPredecessor bool
	// state is the job's state in the store; to and hand are set for a job that moves, as in
	// ledger.Record.
	state    ledger.State
	to, hand int
	// unsettled are runs of done tasks that may not have begun yet, and are being stopped.
	unsettled []*run
	// waiters are the entry processes that wait for the acceptance, with the ends of their
	// callers' timeouts.
	waiters map[EntryID]Time
	// senders are the processes of another shard that have sent the job here, and wait for the
	// acknowledgement that it is in this shard's rows.
	senders []sender
}

// mayStillBegin reports whether a run of a done task may begin yet, be it on a later incarnation of its runner.
func (s *Scheduler) mayStillBegin(st *stored) bool {
	st.unsettled = slices.DeleteFunc(st.unsettled, func(u *run) bool {
		return u.confirmed || u.stopped || u.runner.runs[u.key] != u && !s.lostAndAlive(u)
	})
	return len(st.unsettled) > 0
}

// setDue sets the times of a stored job. It has no deadline: it must be completed however late.
func (j *job) setDue(arrived Time, objective time.Duration) {
	j.arrived = arrived
	j.due = arrived + objective
	j.worthlessAt = arrived + worthlessFactor*objective
	j.deadline = never
}

// tickStored does the periodic work for stored jobs.
func (s *Scheduler) tickStored() {
	s.expireEarly()
	s.resolveRefusals()
	if !s.leading {
		return
	}
	s.tickMoves()
	s.expireRetained()
	if !s.ownsRows() {
		s.stopStoredRuns()
	}
}

// tickStoredJob answers callers whose timeout has ended before the store has answered. The job may
// be in the store, or get there later.
func (s *Scheduler) tickStoredJob(j *job) {
	s.publishOutcome(j)
	s.updateDue(j)
	for _, e := range sortedKeys(j.stored.waiters) {
		if s.now >= j.stored.waiters[e] {
			delete(j.stored.waiters, e)
			s.giveUp(e, j.work.ID, workload.StoreUnavailable, "the store doesn't answer")
		}
	}
}

// cancelStored ends a stored job for its caller. done is false if an OutcomeSaved follows once it is
// in the store.
func (s *Scheduler) cancelStored(id workload.JobID) (state JobState, done bool) {
	if !s.ownsRows() {
		return JobState{Uncertain: true}, true
	}
	if k, ok := s.rows.retained[id]; ok {
		if k.move != nil {
			// The other shard's owner decides once it has the job.
			return JobState{Uncertain: true}, true
		}
		return k.jobState(), k.saving == 0
	}
	if j := s.jobs[id]; j != nil {
		if j.stored.state == ledger.Moving {
			return JobState{Uncertain: true}, true
		}
		s.finish(j, workload.Cancelled, "cancelled")
		s.dispatch()
		return JobState{}, false
	}
	s.retainAndSave(id, ledger.CancelledEarly)
	return JobState{}, false
}

// retainAndSave retains and saves the outcome of a job that this scheduler doesn't have.
func (s *Scheduler) retainAndSave(id workload.JobID, state ledger.State) {
	s.retain(id, state, false)
	k := s.rows.retained[id]
	k.saving = s.saveRecord(ledger.Record{Job: id, State: state})
	s.rows.retained[id] = k
}

// finishStored ends a stored job. Its outcome is published once it is in the store.
func (s *Scheduler) finishStored(j *job, o workload.Outcome, reason string) {
	j.stored.state = stateOf(o)
	j.ended = true
	s.rows.open--
	s.count(o)
	s.dequeue(j)
	s.stopAll(j)
	s.save(j)
	s.emit(Decision{Event: "job-ended", Job: j.work.ID, Reason: cause(o, reason), Age: s.now - j.arrived})
}

func openJobs(n int) string { return fmt.Sprintf("%d open", n) }

func cause(o workload.Outcome, reason string) string {
	if reason == "" {
		return o.String()
	}
	return o.String() + ": " + reason
}

func stateOf(o workload.Outcome) ledger.State {
	switch o {
	case workload.Completed:
		return ledger.Completed
	case workload.Cancelled:
		return ledger.Cancelled
	default:
		return ledger.Failed
	}
}

func outcomeOf(s ledger.State) workload.Outcome {
	switch s {
	case ledger.Completed:
		return workload.Completed
	case ledger.Failed:
		return workload.JobFailed
	default:
		return workload.Cancelled
	}
}

// storedFailure counts a failed run of a stored job once, whichever scheduler started it, and
// reports whether it is new.
func (j *job) storedFailure(k workload.RunKey) bool {
	if j.failureCounted(k) {
		return false
	}
	j.stored.failures = append(j.stored.failures, j.failure(k))
	return true
}

// failureCounted reports whether a failed run of a stored job has been counted.
func (j *job) failureCounted(k workload.RunKey) bool {
	return slices.Contains(j.stored.failures, j.failure(k))
}

func (j *job) failure(k workload.RunKey) ledger.Failure {
	return ledger.Failure{Step: j.stepIndex(k.Task), Index: k.Task.Index, Run: k.Number}
}
