package ledger

import (
	"time"

	"sapphirepoint.example/sapphirepoint/core/workload"
)

// Writes of records to the store.

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
)

// canWrite reports whether a write can be sent now. While others are in flight, the next one is
// sent only once its first record has waited for maxBatchWait.
func (l *Ledger) canWrite() bool {
	id, ok := l.nextSendable()
	if !ok || len(l.writes) >= maxWritesInFlight {
		return false
	}
	return len(l.writes) == 0 || l.now-l.waiting[id].queuedAt >= maxBatchWait
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
