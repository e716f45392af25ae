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

// retryDelay is the pause after a call that failed.
const retryDelay = 100 * time.Millisecond

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
