package schedule

import (
	"fmt"
	"math"
	"slices"
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
	// state is what the job has come to.
	state ledger.State
	// waiters are to be told of the acceptance, until the times given.
	waiters map[EntryID]Time
}

// kept is the outcome of a stored job.
type kept struct {
	state ledger.State
	at    Time
	// restarted: a task was started more than once.
	restarted bool
	// saving is the sequence of a record that isn't in the store yet; 0 if it is.
	saving uint64
}

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

type earlySubmission struct {
	Submission
	at Time
}

func newCustody() custody {
	return custody{kept: make(map[workload.JobID]kept), early: make(map[workload.JobID][]earlySubmission)}
}

// SetNoStored says whether the deployment surely has no stored jobs.
func (s *Scheduler) SetNoStored(none bool) { s.custody.none = none }

// surelyNone reports whether no stored job can be anywhere. One that isn't heard
// may just have accepted the first.
func (s *Scheduler) surelyNone() bool { return s.custody.none && s.allHeard }

// SetStoreTrouble says how long all calls to the store have failed.
func (s *Scheduler) SetStoreTrouble(d time.Duration) { s.custody.failingFor = d }

// Keeps reports whether something depends on the ownership of the shard's rows:
// open jobs, ends that wait to be acknowledged, or what callers are told.
func (s *Scheduler) Keeps() bool {
	if s.custody.none {
		return false
	}
	return s.custody.open > 0 || !s.certain(s.now) || slices.ContainsFunc(s.list, func(r *runner) bool { return len(r.ends) > 0 })
}

// NeedsStore reports whether callers wait for what the store doesn't have yet.
func (s *Scheduler) NeedsStore() bool {
	return s.custody.open > 0 || len(s.custody.early) > 0 || s.custody.askedAt > 0 && s.now-s.custody.askedAt < needStore
}

// Verified notes that this process owned the shard's rows at a time.
func (s *Scheduler) Verified(now, at Time) {
	s.now = now
	s.custody.verifiedAt = max(s.custody.verifiedAt, at)
	s.settleRefusals()
	s.acknowledgeAll()
}

// sure reports whether no other process can have taken the shard's rows. That is
// known for a while after a call to the store has shown it. It is also known
// while all processes that could are heard, since they follow this one; those
// that weren't heard before may have taken them meanwhile.
func (s *Scheduler) sure() bool {
	c := &s.custody
	proved := s.now-c.verifiedAt <= custodyAge
	return c.loaded && (proved || s.allHeard && c.verifiedAt >= s.allHeardSince)
}

// certain reports whether no other process can have accepted a job before a
// given time that isn't known here. While all processes are heard this one knows
// all; else it must be seen to own the shard's rows after that time.
func (s *Scheduler) certain(at Time) bool {
	c := &s.custody
	return c.loaded && (s.allHeard && c.verifiedAt >= s.allHeardSince || c.verifiedAt >= at)
}

// SetAllHeard says whether this process hears all others of the deployment.
func (s *Scheduler) SetAllHeard(now Time, all bool) {
	if all && !s.allHeard {
		s.allHeardSince = now
	}
	s.allHeard = all
}

// submitStored takes a stored job, or another copy of one.
func (s *Scheduler) submitStored(sub Submission) {
	id := sub.Job.ID
	s.custody.askedAt = s.now
	if !s.custody.loaded {
		s.submitEarly(sub)
		return
	}
	if k, ok := s.custody.kept[id]; ok && (k.saving > 0 || !s.sure()) {
		s.answer(sub.Entry, id, workload.GaveUp, "the job's end is being written")
		return
	}
	if k, ok := s.custody.kept[id]; ok {
		s.answer(sub.Entry, id, workload.Accepted, "known")
		if k.state == ledger.Refused {
			// From now on its caller may ask for it.
			s.keepAndSave(id, ledger.Cancelled)
		}
		return
	}
	if j := s.jobs[id]; j != nil {
		s.submitAgain(j, sub)
		return
	}
	s.ctr.Submitted++
	j := newJob(sub.Job, s.now)
	j.entry = sub.Entry
	j.deadline = never
	j.due = s.now + sub.Due
	j.useless = s.now + lateFactor*sub.Due
	s.timed(j)
	if !s.sure() {
		s.answer(sub.Entry, id, workload.GaveUp, "another process may schedule")
		return
	}
	if reason := s.storedRefusal(j); reason != "" {
		s.refuse(Answer{Entry: sub.Entry, Job: id, Outcome: workload.NotRun, Reason: reason, RetryAfter: s.retryAfter(j)})
		return
	}
	j.stored = &stored{epoch: s.custody.epoch, waiters: map[EntryID]Time{sub.Entry: s.now + sub.Patience}}
	s.jobs[id] = j
	s.custody.open++
	s.save(j)
}

// refusal is one that waits until it is certain that it is true.
type refusal struct {
	answer Answer
	since  Time
}

// refuse tells a caller that its job isn't accepted. If another process may have
// accepted a copy of it, the ownership is proved first.
func (s *Scheduler) refuse(a Answer) {
	s.custody.refusals = append(s.custody.refusals, refusal{answer: a, since: s.now})
	s.settleRefusals()
}

// settleRefusals gives the refusals that are certain, and those that can't be.
func (s *Scheduler) settleRefusals() {
	s.custody.refusals = slices.DeleteFunc(s.custody.refusals, func(r refusal) bool {
		r.answer.At = s.now
		switch {
		case s.certain(r.since):
			s.count(workload.NotRun)
		case s.now-r.since > refusalWait:
			r.answer.Outcome = workload.GaveUp
			s.count(workload.GaveUp)
		default:
			return false
		}
		s.emit(r.answer)
		return true
	})
}

func (s *Scheduler) submitAgain(j *job, sub Submission) {
	if j.stored == nil || j.stored.accepted {
		s.answer(sub.Entry, j.work.ID, workload.Accepted, "known")
		return
	}
	j.stored.waiters[sub.Entry] = s.now + sub.Patience
}

// storedRefusal is the reason why a job isn't accepted; "" if it is. Nothing of
// it has been written, so a refusal is true.
func (s *Scheduler) storedRefusal(j *job) string {
	if s.custody.failingFor > storeTrouble {
		return "the store doesn't answer"
	}
	return s.refusal(j)
}

// submitEarly keeps a submission until it can be told whether the job is known.
func (s *Scheduler) submitEarly(sub Submission) {
	id := sub.Job.ID
	if s.leading && s.custody.failingFor > storeTrouble {
		s.answer(sub.Entry, id, workload.GaveUp, "the store doesn't answer")
		return
	}
	s.custody.early[id] = append(s.custody.early[id], earlySubmission{Submission: sub, at: s.now})
}

// expireEarly answers callers to whom nothing can be said.
func (s *Scheduler) expireEarly() {
	for _, id := range sortedKeys(s.custody.early) {
		for _, e := range s.custody.early[id] {
			if s.now-e.at > min(limboWait, e.Patience) {
				s.answer(e.Entry, id, workload.GaveUp, "the stored jobs couldn't be read")
				delete(s.custody.early, id)
			}
		}
	}
}

// save has the store keep how far a job is, and returns the record's sequence.
func (s *Scheduler) save(j *job) uint64 {
	j.stored.saving = s.saveRecord(j.record())
	return j.stored.saving
}

func (s *Scheduler) saveRecord(r ledger.Record) uint64 {
	s.custody.sequence++
	s.emit(Save{At: s.now, Sequence: s.custody.sequence, Record: r})
	return s.custody.sequence
}

func (j *job) record() ledger.Record {
	r := ledger.Record{Job: j.work.ID, Epoch: j.stored.epoch, State: j.stored.state, Restarted: j.restarted}
	if !j.stored.accepted {
		r.Work = j.work
	}
	if r.State != ledger.Open {
		return r
	}
	r.Failures = append(r.Failures, j.stored.failures...)
	r.Done = make([]ledger.Bits, len(j.steps))
	for i, tasks := range j.steps {
		r.Done[i] = ledger.NewBits(len(tasks))
		for n, t := range tasks {
			if t.phase == done {
				r.Done[i].Set(n)
			}
		}
	}
	return r
}

// Saved notes what is in the store.
func (s *Scheduler) Saved(now Time, list []ledger.SavedRecord) {
	s.now = now
	for _, rec := range list {
		if j := s.jobs[rec.Job]; j != nil && j.stored != nil {
			s.savedJob(j, rec.Sequence)
			continue
		}
		if k, ok := s.custody.kept[rec.Job]; ok && rec.Sequence >= k.saving {
			k.saving = 0
			s.custody.kept[rec.Job] = k
			s.emit(Settled{Job: rec.Job, State: k.jobState()})
		}
	}
	s.acknowledgeAll()
	s.dispatch()
}

func (s *Scheduler) savedJob(j *job, sequence uint64) {
	j.stored.saved = max(j.stored.saved, sequence)
	if !j.stored.accepted {
		j.stored.accepted = true
		for _, e := range sortedKeys(j.stored.waiters) {
			s.answer(e, j.work.ID, workload.Accepted, "")
		}
		j.stored.waiters = nil
		s.enqueue(j)
	}
	if j.ended && j.stored.saved == j.stored.saving {
		s.keep(j.work.ID, j.stored.state, j.restarted)
		delete(s.jobs, j.work.ID)
		s.emit(Settled{Job: j.work.ID, State: s.custody.kept[j.work.ID].jobState()})
	}
}

func (s *Scheduler) keep(id workload.JobID, state ledger.State, restarted bool) {
	if _, ok := s.custody.kept[id]; !ok {
		s.custody.keptOrder = append(s.custody.keptOrder, id)
	}
	s.custody.kept[id] = kept{state: state, restarted: restarted, at: s.now}
}

// forgetKept drops outcomes that nobody may ask for any more.
func (s *Scheduler) forgetKept() {
	for len(s.custody.keptOrder) > 0 {
		id := s.custody.keptOrder[0]
		if s.now-s.custody.kept[id].at < s.cfg.Retention+keptExtra {
			return
		}
		s.custody.keptOrder = s.custody.keptOrder[1:]
		delete(s.custody.kept, id)
		s.saveRecord(ledger.Record{Job: id, State: ledger.Forgotten})
	}
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

// Loaded takes all records of the shard, which this process has just taken.
func (s *Scheduler) Loaded(now Time, l ledger.Loaded) {
	s.now = now
	s.custody.loaded = true
	s.custody.epoch = l.Epoch
	s.custody.knownFrom = s.knownFrom(l.ClaimedAt)
	s.listsWanted = now
	open := 0
	for _, r := range l.Records {
		if r.State != ledger.Open {
			s.keep(r.Job, r.State, r.Restarted)
			continue
		}
		open++
		s.restore(r)
	}
	s.emit(Decision{Event: "stored-jobs-loaded", Token: l.Epoch, Reason: openJobs(open), Age: now - l.ClaimedAt})
	s.settleEnds()
	if open > 0 {
		for _, r := range s.list {
			s.look(r)
		}
	}
	early := s.custody.early
	s.custody.early = make(map[workload.JobID][]earlySubmission)
	for _, id := range sortedKeys(early) {
		s.submitCopies(early[id])
	}
	s.dispatch()
}

// submitCopies decides on a job that has come once or more. If it is refused,
// all copies are: a caller who was told that it doesn't run would see it run.
func (s *Scheduler) submitCopies(list []earlySubmission) {
	id := list[0].Job.ID
	s.submitStored(list[0].Submission)
	_, known := s.custody.kept[id]
	known = known || s.jobs[id] != nil
	for _, e := range list[1:] {
		if known {
			s.submitStored(e.Submission)
			continue
		}
		s.emit(Answer{At: s.now, Entry: e.Entry, Job: id, Outcome: workload.NotRun, Reason: "a copy was refused", RetryAfter: retryLeast})
	}
}

// restore takes up a job that another scheduler had.
func (s *Scheduler) restore(r ledger.Record) {
	if r.Work == nil || s.jobs[r.Job] != nil {
		return
	}
	j := newJob(r.Work, s.now)
	j.stored = &stored{epoch: r.Epoch, accepted: true, failures: r.Failures}
	j.started, j.restarted = true, r.Restarted
	j.handed = int(s.custody.epoch - r.Epoch)
	j.knownFrom = s.custody.knownFrom
	j.listsSince = s.now
	j.arrived = s.now - r.Age
	j.due, j.useless, j.deadline = j.arrived+r.Work.Objective, j.arrived+lateFactor*r.Work.Objective, never
	s.timed(j)
	s.jobs[r.Job] = j
	s.custody.open++
	j.each(func(t *taskState) {
		t.lastNumber = j.handed * runsPerHand
		if i := j.stepIndex(t.name); i < len(r.Done) && r.Done[i].Has(t.name.Index) {
			t.setPhase(done)
			j.begun = true
		}
	})
	for _, f := range r.Failures {
		if f.Step < len(j.steps) && f.Index < len(j.steps[f.Step]) {
			j.steps[f.Step][f.Index].failures++
			j.begun = true
		}
	}
	if s.attach(j) {
		s.save(j)
	}
	s.checkRestored(j)
}

// knownFrom is when nothing can be alive any more that schedulers before have
// started and that this one can't see. It sees all on the runners that it knows;
// there may be others, in a failure domain that is cut off from the store.
func (s *Scheduler) knownFrom(claimedAt Time) Time {
	if p := s.custody.before; p != nil && p.Epoch > 0 && p.Epoch+1 == s.custody.epoch {
		return s.now + p.Unknown
	}
	return claimedAt + storedUnknown
}

// checkRestored ends a job whose last record the scheduler before had no time to
// write.
func (s *Scheduler) checkRestored(j *job) {
	if j.complete() {
		s.finish(j, workload.Completed, "all tasks had ended")
		return
	}
	hopeless := false
	j.each(func(t *taskState) { hopeless = hopeless || t.phase != done && t.failures >= j.attempts() })
	if hopeless {
		s.finish(j, workload.JobFailed, "a task had failed as often as its queue allows")
		return
	}
	s.enqueue(j)
}

// CustodyLost drops all stored jobs: another process has taken them. It finds
// what runs on the runners that it reaches, and starts the rest again when that
// must be over, so what runs here is stopped.
func (s *Scheduler) CustodyLost(now Time) {
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

// tickStored does what is due for stored jobs.
func (s *Scheduler) tickStored() {
	s.expireEarly()
	s.settleRefusals()
	if !s.leading {
		return
	}
	s.forgetKept()
	if !s.sure() {
		s.stopUnsure()
	}
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

// tickStoredJob answers callers whose patience has ended before the store has
// answered. The job may be in the store, or come there.
func (s *Scheduler) tickStoredJob(j *job) {
	s.timed(j)
	for _, e := range sortedKeys(j.stored.waiters) {
		if s.now >= j.stored.waiters[e] {
			delete(j.stored.waiters, e)
			s.answer(e, j.work.ID, workload.GaveUp, "the store doesn't answer")
		}
	}
}

// cancelStored ends a stored job for its caller. done is false if a Settled
// follows when the store has it.
func (s *Scheduler) cancelStored(id workload.JobID) (state JobState, done bool) {
	if s.surelyNone() {
		return JobState{}, true
	}
	if !s.sure() {
		return JobState{Unsure: true}, true
	}
	if k, ok := s.custody.kept[id]; ok {
		return k.jobState(), k.saving == 0
	}
	if j := s.jobs[id]; j != nil {
		s.finish(j, workload.Cancelled, "cancelled")
		s.dispatch()
		return JobState{}, false
	}
	s.keepAndSave(id, ledger.Refused)
	return JobState{}, false
}

// keepAndSave keeps the outcome of a job that isn't in hand.
func (s *Scheduler) keepAndSave(id workload.JobID, state ledger.State) {
	s.keep(id, state, false)
	k := s.custody.kept[id]
	k.saving = s.saveRecord(ledger.Record{Job: id, State: state})
	s.custody.kept[id] = k
}

func (k kept) jobState() JobState {
	if k.saving > 0 {
		return JobState{Unsure: true}
	}
	return JobState{Known: k.state != ledger.Refused, Ended: true, Outcome: outcomeOf(k.state)}
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
