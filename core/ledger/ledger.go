// Package ledger keeps what must last of a shard's jobs in the platform's store.
//
// One process owns a shard's rows at a time. It takes them by changing the
// ownership row, and each of its writes is conditional on the version that this
// change gave. So a write of a former owner, or one that the store carries out
// seconds after its answer was given up, changes nothing once the shard has been
// taken again.
//
// A write without an answer is settled by taking the shard again, which makes it
// void if it hasn't been carried out yet, and by writing the same rows again.
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
	// mostRows is the number of rows in one write: the store takes 100 with the
	// condition.
	mostRows = 96
	// mostBytes is the size of one write: the store takes 1 MB, and base64 adds
	// a third.
	mostBytes = 600 << 10
	// mostWrites is the number of writes on their way. One at a time is enough
	// while the store answers in some milliseconds; a slow one gets more, since
	// each carries 48 jobs at most.
	mostWrites = 4
	// linger is how long a record waits for the write before to be answered
	// until it is sent beside it.
	linger = 15 * time.Millisecond
	// retryPause is the pause after a call that failed.
	retryPause = 100 * time.Millisecond
	// checkInterval is how often the ownership is checked if no write does it.
	// With a store that answers in a quarter of a second it is then known to
	// within 350 ms, less than the time after which a scheduler doubts it.
	checkInterval = 100 * time.Millisecond
	// idleCheckInterval is the same while nothing depends on the ownership, so
	// that its loss is known before the next job comes.
	idleCheckInterval = time.Second
	// mostChecks bounds the checks on their way.
	mostChecks = 4
	// reclaimPause is how long a shard is left to another process that took it
	// while this one thinks that it leads: they can't hear each other.
	reclaimPause = 2 * time.Second
)

// phase is what the ledger is at.
type phase uint8

const (
	// idle: the process doesn't lead the shard.
	idle phase = iota
	// claiming: a Claim is on its way, or due.
	claiming
	// reading: a Read is on its way, or due.
	reading
	// open: records are written.
	open
	// settling: a write stays unanswered, or VMs are to be excluded; the shard is
	// taken again when all writes are back.
	settling
	// lost: another process has the shard.
	lost
)

// entry is a record that is to be saved.
type entry struct {
	record   Record
	sequence uint64
	since    Time
}

// Ledger is the state. It isn't safe for concurrent use.
type Ledger struct {
	now   Time
	phase phase
	// loaded: the records have been read under an ownership that no other
	// process has interrupted.
	loaded    bool
	ownership Ownership
	claimedAt Time
	lastCall  uint64
	// call is the Claim or Read on its way, due when the next may be sent.
	call uint64
	due  Time

	// waiting are records to be sent, in order.
	order   []workload.JobID
	waiting map[workload.JobID]*entry
	// writes are on their way, and busy the jobs in them.
	writes map[uint64][]*entry
	busy   map[workload.JobID]bool
	checks map[uint64]bool

	exclusion exclusion

	verifiedAt   Time
	checkedAt    Time
	failingSince Time
	// succeededAt is when the latest call was sent that succeeded.
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
	l.waiting = make(map[workload.JobID]*entry)
	l.writes = make(map[uint64][]*entry)
	l.busy = make(map[workload.JobID]bool)
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

// Acquire takes the shard.
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

// Release leaves the shard to another process. What isn't in the store yet isn't
// saved.
func (l *Ledger) Release() {
	l.clear()
	l.phase = idle
	l.failingSince = 0
}

// FailingFor is how long all calls to the store have failed; 0 if the last one
// hasn't.
func (l *Ledger) FailingFor(now Time) time.Duration {
	if l.failingSince == 0 {
		return 0
	}
	return now - l.failingSince
}

// Save has a record written. A later record of the same job replaces one that
// hasn't been sent.
func (l *Ledger) Save(now Time, sequence uint64, r Record) {
	l.now = now
	if l.phase == idle || l.phase == lost {
		return
	}
	e := l.waiting[r.Job]
	if e == nil {
		l.waiting[r.Job] = &entry{record: r, sequence: sequence, since: now}
		l.order = append(l.order, r.Job)
		l.step()
		return
	}
	e.replace(r, sequence)
	l.step()
}

// replace keeps the job's work of a record that wasn't sent.
func (e *entry) replace(r Record, sequence uint64) {
	if r.Definition == nil {
		r.Definition = e.record.Definition
	}
	e.record, e.sequence = r, sequence
}

// Uncontested says that no other process can think that it leads the shard, so
// that it needn't be left to one.
func (l *Ledger) Uncontested(now Time) {
	if l.phase == lost {
		l.due = min(l.due, now+retryPause)
	}
}

// Tick does what is due. keeps says that jobs depend on the ownership, so that
// it is to be checked.
func (l *Ledger) Tick(now Time, keeps bool) {
	l.now = now
	if l.phase == lost && now >= l.due {
		l.phase = claiming
	}
	if l.phase == open && l.exclusion.due(now) {
		l.phase = settling
	}
	l.step()
	interval := idleCheckInterval
	if keeps {
		interval = checkInterval
	}
	if l.phase == open && now-l.checkedAt >= interval && len(l.checks) < mostChecks {
		l.checkedAt = now
		call := l.nextCall()
		l.checks[call] = true
		l.emit(Check{Call: call})
	}
}

// step sends what can be sent now.
func (l *Ledger) step() {
	switch {
	case l.call != 0 || l.now < l.due:
	case l.phase == claiming:
		l.call = l.nextCall()
		l.exclusion.ask()
		c := Claim{Call: l.call, Excluded: l.exclusion.asked}
		if l.loaded {
			c.Renew = l.ownership.Epoch
		}
		l.emit(c)
	case l.phase == reading:
		l.call = l.nextCall()
		l.emit(Read{Call: l.call})
	case l.phase == open:
		for l.mayWrite() {
			l.write()
		}
	case l.phase == settling && len(l.writes) == 0:
		l.phase = claiming
		l.step()
	}
}

// mayWrite reports whether a write is to be sent now.
func (l *Ledger) mayWrite() bool {
	id, ok := l.nextFree()
	if !ok || len(l.writes) >= mostWrites {
		return false
	}
	return len(l.writes) == 0 || l.now-l.waiting[id].since >= linger
}

// nextFree is the first job with a record to be sent. Records of one job are
// sent one after the other, since two writes may be carried out in any order.
func (l *Ledger) nextFree() (workload.JobID, bool) {
	for _, id := range l.order {
		if !l.busy[id] {
			return id, true
		}
	}
	return "", false
}

func (l *Ledger) write() {
	w := Write{Call: l.nextCall(), Version: l.ownership.Version}
	var entries []*entry
	var rest []workload.JobID
	rows, size := 0, 0
	for _, id := range l.order {
		e := l.waiting[id]
		rows += e.record.weight()
		size += e.record.size()
		if l.busy[id] || rows > mostRows || size > mostBytes && len(entries) > 0 {
			rows -= e.record.weight()
			size -= e.record.size()
			rest = append(rest, id)
			continue
		}
		entries = append(entries, e)
		w.Records = append(w.Records, e.record)
		delete(l.waiting, id)
		l.busy[id] = true
	}
	l.order = rest
	l.writes[w.Call] = entries
	l.emit(w)
}

// HandleResult takes what came of a call to the store.
func (l *Ledger) HandleResult(now Time, r Result) {
	l.now = now
	switch r := r.(type) {
	case ClaimResult:
		l.claimed(r)
	case ReadResult:
		l.read(r)
	case CheckResult:
		l.checked(r)
	case WriteResult:
		l.written(r)
	default:
		panic(fmt.Sprintf("unknown result %T", r))
	}
}

func (l *Ledger) claimed(r ClaimResult) {
	if r.Call != l.call || l.phase != claiming {
		return
	}
	l.call = 0
	if r.Outcome == Superseded && l.loaded {
		l.supersede()
		return
	}
	if r.Outcome != Applied {
		l.failed(r.SentAt)
		l.due = l.now + retryPause
		return
	}
	l.ownership = r.Ownership
	l.claimedAt = l.now
	l.exclusion.granted(r.SentAt)
	l.succeeded(r.SentAt)
	l.phase = reading
	if l.loaded {
		l.phase = open
	}
	l.step()
}

func (l *Ledger) read(r ReadResult) {
	if r.Call != l.call || l.phase != reading {
		return
	}
	l.call = 0
	if r.Outcome != Applied {
		l.failed(l.now)
		l.due = l.now + retryPause
		return
	}
	l.failingSince = 0
	l.loaded = true
	l.phase = open
	l.emit(Loaded{At: l.now, Epoch: l.ownership.Epoch, ClaimedAt: l.claimedAt, Records: r.Records})
	l.step()
}

func (l *Ledger) checked(r CheckResult) {
	if !l.checks[r.Call] {
		return
	}
	delete(l.checks, r.Call)
	switch {
	case r.Outcome != Applied:
		l.failed(r.SentAt)
	case l.phase == open && r.Version != l.ownership.Version && r.SentAt > l.claimedAt:
		l.supersede()
	case r.Version == l.ownership.Version:
		l.succeeded(r.SentAt)
	}
	l.step()
}

func (l *Ledger) written(r WriteResult) {
	entries, ok := l.writes[r.Call]
	if !ok {
		return
	}
	delete(l.writes, r.Call)
	for _, e := range entries {
		delete(l.busy, e.record.Job)
	}
	switch r.Outcome {
	case Applied:
		l.succeeded(r.SentAt)
		l.saved(entries)
	case Superseded:
		l.supersede()
		return
	case Rejected:
		l.failed(r.SentAt)
		l.putBack(entries)
		l.due = l.now + retryPause
	default:
		l.failed(r.SentAt)
		l.putBack(entries)
		l.phase = settling
	}
	l.step()
}

func (l *Ledger) saved(entries []*entry) {
	s := Saved{At: l.now, Records: make([]SavedRecord, len(entries))}
	for i, e := range entries {
		s.Records[i] = SavedRecord{Job: e.record.Job, Sequence: e.sequence}
	}
	l.emit(s)
}

// putBack has records sent again, before the others.
func (l *Ledger) putBack(entries []*entry) {
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

// supersede gives up the shard: what this process knows of it is old.
func (l *Ledger) supersede() {
	l.clear()
	l.phase = lost
	l.due = l.now + reclaimPause
	l.emit(Lost{At: l.now})
}

// failed notes a call that failed, unless a later one has succeeded meanwhile.
func (l *Ledger) failed(sentAt Time) {
	if l.failingSince == 0 && sentAt >= l.succeededAt {
		l.failingSince = max(sentAt, 1)
	}
}

// succeeded notes that this process owned the shard when a call was sent.
func (l *Ledger) succeeded(sentAt Time) {
	l.failingSince = 0
	l.succeededAt = max(l.succeededAt, sentAt)
	if sentAt <= l.verifiedAt {
		return
	}
	l.verifiedAt = sentAt
	l.checkedAt = max(l.checkedAt, sentAt)
	l.emit(Verified{At: l.now, OwnedAt: sentAt})
}
