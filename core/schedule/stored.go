package schedule

import (
	"fmt"
	"math"
	"time"

	"sapphirepoint.example/sapphirepoint/core/ledger"
	"sapphirepoint.example/sapphirepoint/core/workload"
)

// Stored jobs. Their callers are answered as soon as the job is in the store;
// from then on it must be done, whoever schedules.
//
// What a runner lists as ended is acknowledged only when the store has it: the
// runner forgets it then, and a scheduler that didn't know would start the task
// again.

const (
	// storedUnknown is how long after a shard was taken from a scheduler that
	// isn't heard runs may be alive that it has started: it doubts its
	// ownership custodyAge after it was last sure of it, stops its runs within
	// a tick, and those on runners that don't answer live as long as a lease.
	storedUnknown = 1300 * time.Millisecond
	// custodyAge is how old the last proof of the ownership may be while a
	// process is missing that may have taken the shard.
	custodyAge = 450 * time.Millisecond
	// ownerSlack is what an owner's doubt may come late, by its ticks and by the way
	// of its last order.
	ownerSlack = 50 * time.Millisecond
	// storeTrouble is how long all calls to the store must have failed until
	// new stored jobs are refused at arrival: a call that was turned away is
	// repeated within a tenth of a second.
	storeTrouble = 300 * time.Millisecond
	// unsavedCheck is how often a runner is asked for its lists while some of
	// its ends are being saved. It answers at once then, since it lists these
	// ends again, and saving takes some milliseconds.
	unsavedCheck = 25 * time.Millisecond
	// unloadedCheck is the same while the jobs aren't known to which its ends
	// belong.
	unloadedCheck = 150 * time.Millisecond
	// refusalWait is how long a refusal waits for a proof of the ownership, which
	// takes a check every tenth of a second and its answer.
	refusalWait = 400 * time.Millisecond
	// needStore is how long after the last stored job more are expected.
	needStore = 5 * time.Second
	// keptExtra is how much longer outcomes are kept than callers may ask.
	keptExtra = 30 * time.Second
)

// never is later than all times.
const never = Time(math.MaxInt64 / 4)

// stored is what the scheduler knows of a stored job beside its tasks.
type stored struct {
	// epoch is the ownership under which it was accepted.
	epoch uint64
	// accepted: it is in the store.
	accepted bool
	// saving is the sequence of the newest record, saved that of the newest one
	// in the store.
	saving, saved uint64
	failures      []ledger.Failure
	// unseen: a run went out of sight and may have ended well, and its task is to be
	// started again. unseenSaved is the sequence of the record that says so.
	unseen      bool
	unseenSaved uint64
	// unseenBefore: so did the owner before.
	unseenBefore bool
	// state is what the job has come to; to and hand are set for one that moves, as in
	// ledger.Record.
	state    ledger.State
	to, hand int
	// waiters are to be told of the acceptance, until the times given.
	waiters map[EntryID]Time
	// senders are to be told that a job of their shard has arrived here.
	senders []sender
}

// setDue gives a stored job its times. However late it is, it must be done.
func (j *job) setDue(arrived Time, objective time.Duration) {
	j.arrived = arrived
	j.due = arrived + objective
	j.useless = arrived + lateFactor*objective
	j.deadline = never
}

// tickStored does what is due for stored jobs.
func (s *Scheduler) tickStored() {
	s.expireEarly()
	s.settleRefusals()
	if !s.leading {
		return
	}
	s.tickMoves()
	s.forgetKept()
	if !s.sure() {
		s.stopUnsure()
	}
}

// tickStoredJob answers callers whose patience has ended before the store has
// answered. The job may be in the store, or come there.
func (s *Scheduler) tickStoredJob(j *job) {
	s.settle(j)
	s.timed(j)
	for _, e := range sortedKeys(j.stored.waiters) {
		if s.now >= j.stored.waiters[e] {
			delete(j.stored.waiters, e)
			s.answer(e, j.work.ID, workload.GaveUp, "the store doesn't answer")
		}
	}
}

// cancelStored ends a stored job for its caller. done is false if an OutcomeSaved
// follows when the store has it.
func (s *Scheduler) cancelStored(id workload.JobID) (state JobState, done bool) {
	if !s.sure() {
		return JobState{Unsure: true}, true
	}
	if k, ok := s.custody.kept[id]; ok {
		if k.move != nil {
			// The other shard's owner decides, once it has the job.
			return JobState{Unsure: true}, true
		}
		return k.jobState(), k.saving == 0
	}
	if j := s.jobs[id]; j != nil {
		if j.stored.state == ledger.Moving {
			return JobState{Unsure: true}, true
		}
		s.finish(j, workload.Cancelled, "cancelled")
		s.dispatch()
		return JobState{}, false
	}
	s.keepAndSave(id, ledger.CancelledEarly)
	return JobState{}, false
}

// keepAndSave keeps the outcome of a job that isn't in hand.
func (s *Scheduler) keepAndSave(id workload.JobID, state ledger.State) {
	s.keep(id, state, false)
	k := s.custody.kept[id]
	k.saving = s.saveRecord(ledger.Record{Job: id, State: state})
	s.custody.kept[id] = k
}

// finishStored ends a stored job. It is shown as ended when the store has it.
func (s *Scheduler) finishStored(j *job, o workload.Outcome, reason string) {
	j.stored.state = stateOf(o)
	j.ended = true
	s.custody.open--
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

// storedFailure counts a failed run of a stored job once, whoever has started
// it, and reports whether it is new.
func (j *job) storedFailure(k workload.RunKey) bool {
	f := ledger.Failure{Step: j.stepIndex(k.Task), Index: k.Task.Index, Run: k.Number}
	for _, known := range j.stored.failures {
		if known == f {
			return false
		}
	}
	j.stored.failures = append(j.stored.failures, f)
	return true
}
