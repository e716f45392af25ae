package ledger

import "sapphirepoint.example/sapphirepoint/core/workload"

// Records that wait to be written.

// pendingRecord is a record to be saved.
type pendingRecord struct {
	record   Record
	sequence uint64
	queuedAt Time
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
