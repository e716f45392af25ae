// Package ledger saves the records of a shard's stored jobs in the platform's store.
//
// One process owns a shard's rows at a time. It takes ownership by changing the ownership
// row, and each of its writes is conditional on the version that resulted. A write of a former
// owner, or one that the store carries out seconds after the wait for its answer has ended,
// therefore has no effect once the shard has been taken again.
//
// After a write without an answer, the ledger renews its ownership, which voids the write if
// it hasn't been carried out yet, and writes the same rows again.
//
// A Ledger does no input or output and reads no clock.
package ledger

import (
	"fmt"
	"time"

	"sapphirepoint.example/sapphirepoint/core/task"
	"sapphirepoint.example/sapphirepoint/core/workload"
)

// Time is a reading of the process's monotonic clock.
type Time = task.Time

const (
	// maxRowsPerWrite limits the rows of one write: the store accepts 100 including the
	// condition.
	maxRowsPerWrite = 96
	// maxWriteBytes limits the size of one write: the store accepts 1 MB, and base64 adds a
	// third.
	maxWriteBytes = 600 << 10
	// maxWritesInFlight limits concurrent writes. One is enough while the store answers
	// within milliseconds; a slow store needs more, since each write carries at most 48 jobs.
	maxWritesInFlight = 4
	// maxBatchWait is how long a record waits for the previous write's answer before it is
	// sent in a concurrent write.
	maxBatchWait = 15 * time.Millisecond
	// retryDelay is the pause after a call that failed.
	retryDelay = 100 * time.Millisecond
	// checkInterval is the time between checks of the ownership if no write confirms it.
	// With a store that answers in 250 ms, the last confirmation is then at most 350 ms old,
	// less than the age at which a scheduler considers its ownership uncertain.
	checkInterval = 100 * time.Millisecond
	// idleCheckInterval applies while no job depends on the ownership, so that its loss is
	// known before the next job arrives.
	idleCheckInterval = time.Second
	// maxChecksInFlight limits concurrent checks.
	maxChecksInFlight = 4
	// reclaimDelay is how long this process, as leader of the shard, leaves its rows to another
	// process that took them. That process acts as leader too; the two have no contact with
	// each other.
	reclaimDelay = 2 * time.Second
)

// phase is the state of the ownership.
type phase uint8

const (
	// idle: the process doesn't lead the shard.
	idle phase = iota
	// claiming: a Claim is in flight or due.
	claiming
	// reading: a Read is in flight or due.
	reading
	// open: records can be written.
	open
	// quiescing: a write got no answer, or the exclusion of VMs is to be changed or renewed. No
	// write is sent, and the ownership is renewed when all writes in flight have returned.
	quiescing
	// lost: another process owns the shard.
	lost
)

// pendingRecord is a record to be saved.
type pendingRecord struct {
	record   Record
	sequence uint64
	queuedAt Time
}

// Ledger saves the records of one shard. It isn't safe for concurrent use.
type Ledger struct {
	now   Time
	phase phase
	// loaded: the records have been read, and no other process has owned the shard since.
	loaded    bool
	ownership Ownership
	claimedAt Time
	lastCall  uint64
	// call is the Claim or Read in flight, 0 if none; due is when the next may be sent.
	call uint64
	due  Time

	// waiting are the records to be sent, and order is the order of their jobs.
	order   []workload.JobID
	waiting map[workload.JobID]*pendingRecord
	// writes are in flight, and jobsInFlight are the jobs in them.
	writes       map[uint64][]*pendingRecord
	jobsInFlight map[workload.JobID]bool
	checks       map[uint64]bool

	exclusion exclusion

	verifiedAt   Time
	checkedAt    Time
	failingSince Time
	// succeededAt is when the latest successful call was sent.
	succeededAt Time
	out         []Command
}

// New returns a ledger of a shard that the process doesn't lead.
func New() *Ledger {
	l := &Ledger{}
	l.clear()
	return l
}

func (l *Ledger) clear() {
	l.loaded = false
	l.exclusion = exclusion{wanted: l.exclusion.wanted}
	l.call, l.due = 0, 0
	l.order = nil
	l.waiting = make(map[workload.JobID]*pendingRecord)
	l.writes = make(map[uint64][]*pendingRecord)
	l.jobsInFlight = make(map[workload.JobID]bool)
	l.checks = make(map[uint64]bool)
}

// Ready returns the commands since the last call.
func (l *Ledger) Ready() []Command {
	out := l.out
	l.out = nil
	return out
}

func (l *Ledger) emit(c Command) { l.out = append(l.out, c) }

func (l *Ledger) nextCall() uint64 {
	l.lastCall++
	return l.lastCall
}

// Acquire claims the shard as the process becomes its leader.
func (l *Ledger) Acquire(now Time) {
	l.now = now
	if l.phase != idle {
		return
	}
	l.clear()
	l.phase = claiming
	l.failingSince = 0
	l.step()
}

// Release ends the ledger's work for the shard as another process becomes the leader. Records
// that aren't in the store yet are dropped.
func (l *Ledger) Release() {
	l.clear()
	l.phase = idle
	l.failingSince = 0
}

// FailingFor is how long all calls to the store have failed; 0 if the latest one succeeded.
func (l *Ledger) FailingFor(now Time) time.Duration {
	if l.failingSince == 0 {
		return 0
	}
	return now - l.failingSince
}

// Save queues a record for writing. It replaces an earlier record of the same job that hasn't
// been sent.
func (l *Ledger) Save(now Time, sequence uint64, r Record) {
	l.now = now
	if l.phase == idle || l.phase == lost {
		return
	}
	e := l.waiting[r.Job]
	if e == nil {
		l.waiting[r.Job] = &pendingRecord{record: r, sequence: sequence, queuedAt: now}
		l.order = append(l.order, r.Job)
		l.step()
		return
	}
	e.replace(r, sequence)
	l.step()
}

// replace sets the record, and retains the job's definition if the new record has none.
func (e *pendingRecord) replace(r Record, sequence uint64) {
	if r.Definition == nil {
		r.Definition = e.record.Definition
	}
	e.record, e.sequence = r, sequence
}

// Uncontested records that no other process can consider itself leader of the shard. A lost shard
// is then claimed again after retryDelay at the latest, without waiting for reclaimDelay.
func (l *Ledger) Uncontested(now Time) {
	if l.phase == lost {
		l.due = min(l.due, now+retryDelay)
	}
}

// Tick sends the calls that are due. inUse means that jobs depend on the ownership, which is then
// checked more often.
func (l *Ledger) Tick(now Time, inUse bool) {
	l.now = now
	if l.phase == lost && now >= l.due {
		l.phase = claiming
	}
	if l.phase == open && l.exclusion.due(now) {
		l.phase = quiescing
	}
	l.step()
	interval := idleCheckInterval
	if inUse {
		interval = checkInterval
	}
	if l.phase == open && now-l.checkedAt >= interval && len(l.checks) < maxChecksInFlight {
		l.checkedAt = now
		call := l.nextCall()
		l.checks[call] = true
		l.emit(Check{Call: call})
	}
}

// step sends the calls that can be sent now.
func (l *Ledger) step() {
	switch {
	case l.call != 0 || l.now < l.due:
	case l.phase == claiming:
		l.call = l.nextCall()
		l.exclusion.claimSent()
		c := Claim{Call: l.call, Excluded: l.exclusion.requested}
		if l.loaded {
			c.Renew = l.ownership.Epoch
		}
		l.emit(c)
	case l.phase == reading:
		l.call = l.nextCall()
		l.emit(Read{Call: l.call})
	case l.phase == open:
		for l.canWrite() {
			l.write()
		}
	case l.phase == quiescing && len(l.writes) == 0:
		l.phase = claiming
		l.step()
	}
}

// canWrite reports whether a write can be sent now. While others are in flight, the next one is
// sent only once its first record has waited for maxBatchWait.
func (l *Ledger) canWrite() bool {
	id, ok := l.nextSendable()
	if !ok || len(l.writes) >= maxWritesInFlight {
		return false
	}
	return len(l.writes) == 0 || l.now-l.waiting[id].queuedAt >= maxBatchWait
}

// nextSendable is the first job with a record that can be sent. Records of one job are sent
// one after the other, since the store may carry out two writes in either order.
func (l *Ledger) nextSendable() (workload.JobID, bool) {
	for _, id := range l.order {
		if !l.jobsInFlight[id] {
			return id, true
		}
	}
	return "", false
}

// write sends as many waiting records as one write may carry, at most one for each job.
func (l *Ledger) write() {
	w := Write{Call: l.nextCall(), Version: l.ownership.Version}
	var entries []*pendingRecord
	var remaining []workload.JobID
	rows, size := 0, 0
	for _, id := range l.order {
		e := l.waiting[id]
		rows += e.record.rowCount()
		size += e.record.size()
		if l.jobsInFlight[id] || rows > maxRowsPerWrite || size > maxWriteBytes && len(entries) > 0 {
			rows -= e.record.rowCount()
			size -= e.record.size()
			remaining = append(remaining, id)
			continue
		}
		entries = append(entries, e)
		w.Records = append(w.Records, e.record)
		delete(l.waiting, id)
		l.jobsInFlight[id] = true
	}
	l.order = remaining
	l.writes[w.Call] = entries
	l.emit(w)
}

// HandleResult takes the result of a call to the store.
func (l *Ledger) HandleResult(now Time, r Result) {
	l.now = now
	switch r := r.(type) {
	case ClaimResult:
		l.handleClaim(r)
	case ReadResult:
		l.handleRead(r)
	case CheckResult:
		l.handleCheck(r)
	case WriteResult:
		l.handleWrite(r)
	default:
		panic(fmt.Sprintf("unknown result %T", r))
	}
}

func (l *Ledger) handleClaim(r ClaimResult) {
	if r.Call != l.call || l.phase != claiming {
		return
	}
	l.call = 0
	if r.Outcome == Superseded && l.loaded {
		l.loseOwnership()
		return
	}
	if r.Outcome != Applied {
		l.recordFailure(r.SentAt)
		l.due = l.now + retryDelay
		return
	}
	l.ownership = r.Ownership
	l.claimedAt = l.now
	l.exclusion.claimApplied(r.SentAt)
	l.recordSuccess(r.SentAt)
	l.phase = reading
	if l.loaded {
		l.phase = open
	}
	l.step()
}

func (l *Ledger) handleRead(r ReadResult) {
	if r.Call != l.call || l.phase != reading {
		return
	}
	l.call = 0
	if r.Outcome != Applied {
		l.recordFailure(l.now)
		l.due = l.now + retryDelay
		return
	}
	l.failingSince = 0
	l.loaded = true
	l.phase = open
	l.emit(Loaded{At: l.now, Epoch: l.ownership.Epoch, ClaimedAt: l.claimedAt, Records: r.Records})
	l.step()
}

func (l *Ledger) handleCheck(r CheckResult) {
	if !l.checks[r.Call] {
		return
	}
	delete(l.checks, r.Call)
	switch {
	case r.Outcome != Applied:
		l.recordFailure(r.SentAt)
	case l.phase == open && r.Version != l.ownership.Version && r.SentAt > l.claimedAt:
		// The check was sent after the last claim was answered, so it can't have read an older
		// version than that of the claim.
		l.loseOwnership()
	case r.Version == l.ownership.Version:
		l.recordSuccess(r.SentAt)
	}
	l.step()
}

func (l *Ledger) handleWrite(r WriteResult) {
	entries, ok := l.writes[r.Call]
	if !ok {
		return
	}
	delete(l.writes, r.Call)
	for _, e := range entries {
		delete(l.jobsInFlight, e.record.Job)
	}
	switch r.Outcome {
	case Applied:
		l.recordSuccess(r.SentAt)
		l.emitSaved(entries)
	case Superseded:
		l.loseOwnership()
		return
	case Rejected:
		l.recordFailure(r.SentAt)
		l.requeue(entries)
		l.due = l.now + retryDelay
	default:
		l.recordFailure(r.SentAt)
		l.requeue(entries)
		l.phase = quiescing
	}
	l.step()
}

func (l *Ledger) emitSaved(entries []*pendingRecord) {
	s := Saved{At: l.now, Records: make([]SavedRecord, len(entries))}
	for i, e := range entries {
		s.Records[i] = SavedRecord{Job: e.record.Job, Sequence: e.sequence}
	}
	l.emit(s)
}

// requeue queues records to be sent again, before the others. A record that a newer one of the same
// job has replaced isn't sent again, but the newer one keeps its definition.
func (l *Ledger) requeue(entries []*pendingRecord) {
	ids := make([]workload.JobID, 0, len(entries)+len(l.order))
	for _, e := range entries {
		id := e.record.Job
		if newer := l.waiting[id]; newer != nil {
			if newer.record.Definition == nil {
				newer.record.Definition = e.record.Definition
			}
			continue
		}
		l.waiting[id] = e
		ids = append(ids, id)
	}
	l.order = append(ids, l.order...)
}

// loseOwnership drops the state of the shard, which another process owns now.
func (l *Ledger) loseOwnership() {
	l.clear()
	l.phase = lost
	l.due = l.now + reclaimDelay
	l.emit(Lost{At: l.now})
}

// recordFailure records a failed call, unless a call that was sent later has succeeded.
func (l *Ledger) recordFailure(sentAt Time) {
	if l.failingSince == 0 && sentAt >= l.succeededAt {
		l.failingSince = max(sentAt, 1)
	}
}

// recordSuccess records that this process owned the shard when the call was sent.
func (l *Ledger) recordSuccess(sentAt Time) {
	l.failingSince = 0
	l.succeededAt = max(l.succeededAt, sentAt)
	if sentAt <= l.verifiedAt {
		return
	}
	l.verifiedAt = sentAt
	l.checkedAt = max(l.checkedAt, sentAt)
	l.emit(Verified{At: l.now, OwnedAt: sentAt})
}
