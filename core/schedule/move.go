package schedule

import (
	"fmt"
	"slices"
	"time"

	"sapphirepoint.example/sapphirepoint/core/ledger"
	"sapphirepoint.example/sapphirepoint/core/workload"
)

// Moves of stored jobs to another shard. A shard may lose its runners, for instance when those of a
// failure domain are removed, or have too few left for the jobs that it has accepted. Such a job
// moves in three steps:
//
//  1. The job's record names the new shard. From then on no task of it is started here.
//  2. The job is sent to the owner of that shard repeatedly until it is in that shard's rows.
//  3. The record says that it has arrived. Queries are forwarded to that shard.
//
// A new owner of the shard continues from the step that the previous owner had reached.

const (
	// moveAfter is how long a job must have been stalled. Runners that are only slow to answer,
	// or that a new owner is acquiring, are back sooner, and the accepted backlog takes a second.
	moveAfter = 1500 * time.Millisecond
	// maxMovesPerTick bounds the moves per tick, since only the next heartbeat of the other
	// shard shows how much waits there then.
	maxMovesPerTick = 1
	// moveRetryInterval is how often a job that hasn't arrived is sent again.
	moveRetryInterval = 300 * time.Millisecond
	// moveRetention is how long the destination of a job is remembered: longer than callers may
	// query any job.
	moveRetention = time.Hour
)

// move is a job that is moving, or has moved, to another shard.
type move struct {
	record  ledger.Record
	arrived bool
	// age is the job's age at the time since.
	age   time.Duration
	since Time
	// nextSendAt is when the job is sent next.
	nextSendAt Time
}

// MovedJob is an accepted job that arrives from another shard.
type MovedJob struct {
	// From is that shard.
	From int
	Job  *workload.Job
	// Age is the time since the job was accepted.
	Age time.Duration
	// Hand counts the previous owners of all shards; run numbers begin above all of theirs.
	Hand int
	// Done, Failures, Losses and Unseen have the same meaning as in ledger.Record.
	Done     []ledger.Bits
	Failures []ledger.Failure
	Losses   []ledger.Loss
	Unseen   bool
}

// sender is a process that has sent a job of a shard.
type sender struct {
	entry EntryID
	shard int
}

// SetAlternate sets the other shard in which a job would wait least, and that wait; -1 if no other
// shard is reachable.
func (s *Scheduler) SetAlternate(shard int, wait time.Duration) {
	s.alternate, s.alternateWait = shard, wait
}

// tickMoves begins moves of stalled jobs, and sends jobs that haven't arrived again.
func (s *Scheduler) tickMoves() {
	if !s.rows.loaded || !s.ownsRows() {
		return
	}
	s.moveStalled()
	for _, id := range sortedKeys(s.rows.moving) {
		if m := s.rows.moving[id]; s.now >= m.nextSendAt {
			m.nextSendAt = s.now + moveRetryInterval
			s.emit(MoveJob{At: s.now, To: m.record.To, MovedJob: s.movedJob(m)})
		}
	}
}

// moveStalled moves jobs that have been stalled for moveAfter while another shard has room.
func (s *Scheduler) moveStalled() {
	moved := 0
	p := newPlacer(s)
	for _, j := range slices.Clone(s.queue) {
		if j.stored == nil {
			continue
		}
		if !s.stalled(p, j) {
			j.stalledSince = 0
			continue
		}
		if j.stalledSince == 0 {
			j.stalledSince = s.now
		}
		if moved < maxMovesPerTick && s.now-j.stalledSince >= moveAfter && s.soonerElsewhere(j) {
			moved++
			s.beginMove(j)
		}
	}
}

// stalled reports whether tasks of a job are due, and no run of it can be alive.
func (s *Scheduler) stalled(p *placer, j *job) bool {
	if s.now < j.priorRunsOverAt || s.waitingWork(j) == 0 || p.anyStepMayRun(j) {
		return false
	}
	over := true
	j.eachTask(func(t *taskState) { over = over && t.phase != running && t.notBefore <= s.now && !s.lostRunAlive(t) })
	return over
}

// soonerElsewhere reports whether a job would start sooner in another shard: nothing waits there,
// or this shard has no runners for it.
func (s *Scheduler) soonerElsewhere(j *job) bool {
	if s.alternate < 0 {
		return false
	}
	return s.alternateWait == 0 || s.alternateWait < NoRunnersWait && s.capacity(j.work.Service) == 0
}

// beginMove ends a job here and assigns it to another shard.
func (s *Scheduler) beginMove(j *job) {
	j.ended, j.restarted = true, true
	j.stored.state, j.stored.to = ledger.Moving, s.alternate
	j.stored.hand = int(s.rows.epoch-j.stored.epoch) + 1
	s.rows.open--
	s.dequeue(j)
	s.save(j)
	s.emit(Decision{
		Event: "stored-job-moving", Job: j.work.ID, Age: s.now - j.stalledSince,
		Reason: fmt.Sprintf("to shard %d with an expected wait of %v; usable capacity here: %d thousandths of a core", s.alternate, s.alternateWait, s.capacity(j.work.Service)),
	})
}

// moving reports whether the job's record, with the shard that it moves to, is being written.
func (j *job) moving() bool { return j.stored != nil && j.stored.state == ledger.Moving }

// movingRecord returns the record with all that another shard needs to continue the job.
func (j *job) movingRecord() ledger.Record {
	r := j.record()
	r.Definition = j.work
	return r
}

// retainMove records where a job moves or has moved; its outcome is retained already.
func (s *Scheduler) retainMove(r ledger.Record, age time.Duration) {
	m := &move{record: r, arrived: r.State == ledger.Moved, age: age, since: s.now}
	k := s.rows.retained[r.Job]
	k.move, k.restarted = m, true
	s.rows.retained[r.Job] = k
	if !m.arrived {
		s.rows.moving[r.Job] = m
	}
}

// retainsMove reports whether the destination of a job must still be remembered.
func (s *Scheduler) retainsMove(id workload.JobID) bool {
	k := s.rows.retained[id]
	if k.move == nil || k.move.arrived && s.now-k.move.since >= moveRetention {
		return false
	}
	k.at = s.now
	s.rows.retained[id] = k
	return true
}

func (s *Scheduler) movedJob(m *move) MovedJob {
	r := m.record
	return MovedJob{
		Job:      r.Definition,
		Age:      m.age + s.now - m.since,
		Hand:     r.Hand,
		Done:     r.Done,
		Failures: r.Failures,
		Losses:   r.Losses,
		Unseen:   r.Unseen,
	}
}

// MoveAcknowledged records that a job is in the rows of the shard that it was sent to.
func (s *Scheduler) MoveAcknowledged(now Time, id workload.JobID) {
	s.now = now
	m := s.rows.moving[id]
	if m == nil {
		return
	}
	delete(s.rows.moving, id)
	m.arrived = true
	if !m.record.Begun() {
		s.rows.movedAway = append(s.rows.movedAway, movedAway{queue: m.record.Definition.Queue, until: now + movedAwayOverlap})
	}
	m.record.Done, m.record.Failures, m.record.Losses, m.record.Definition = nil, nil, nil, nil
	m.record.State = ledger.Moved
	k := s.rows.retained[id]
	k.state = ledger.Moved
	k.saving = s.saveRecord(m.record)
	s.rows.retained[id] = k
	s.emit(Decision{Event: "stored-job-moved", Job: id, Reason: fmt.Sprintf("to shard %d", m.record.To), Age: now - m.since})
}

// MovedTo returns the shard to which a job moves, and whether it has arrived there.
func (s *Scheduler) MovedTo(id workload.JobID) (shard int, arrived, moved bool) {
	k, ok := s.rows.retained[id]
	if !ok || k.move == nil {
		return 0, false, false
	}
	return k.move.record.To, k.move.arrived, true
}

// AcceptsMoves reports whether jobs of other shards are accepted: this scheduler owns its rows, and the
// store answers it. A shard whose rows aren't loaded knows of none of its own jobs, and seems idle.
func (s *Scheduler) AcceptsMoves() bool {
	return s.leading && s.rows.loaded && s.ownsRows() && s.rows.failingFor <= storeFailureThreshold
}

// AcceptMovedJob accepts a job of another shard. If that isn't possible now, the job is sent again.
func (s *Scheduler) AcceptMovedJob(now Time, from EntryID, m MovedJob) {
	s.now = now
	id := m.Job.ID
	s.rows.lastRequestAt = now
	if !s.leading || !s.rows.loaded || !s.ownsRows() {
		return
	}
	if k, ok := s.rows.retained[id]; ok && !k.isReturn(m) {
		if k.saving == 0 {
			s.emit(MoveAck{At: s.now, To: from, Shard: m.From, Job: id})
		}
		return
	}
	if j := s.jobs[id]; j != nil {
		if j.stored == nil {
			return
		}
		j.stored.senders = append(j.stored.senders, sender{entry: from, shard: m.From})
		if j.stored.accepted {
			s.acknowledgeMove(j)
		}
		return
	}
	s.acceptMoved(from, m)
}

// isReturn reports whether a job that had moved away comes back: it has had more owners since.
// Otherwise this is the same move repeated, since its acknowledgement was lost.
func (k retained) isReturn(m MovedJob) bool { return k.move != nil && m.Hand > k.move.record.Hand }

// acceptMoved restores a job of another shard and saves it before any of its tasks is started.
func (s *Scheduler) acceptMoved(from EntryID, m MovedJob) {
	id := m.Job.ID
	s.dropRetained(id)
	j := s.restored(ledger.Record{
		Job: id, Definition: m.Job, Age: m.Age, Epoch: s.rows.epoch - uint64(m.Hand),
		Done: m.Done, Failures: m.Failures, Losses: m.Losses, Unseen: m.Unseen, Restarted: true,
	})
	// It was moved when no run of it could be alive.
	j.priorRunsOverAt, j.silentRunsOverAt = s.now, 0
	j.stored.accepted = false
	j.stored.waiters = make(map[EntryID]Time)
	j.stored.senders = []sender{{entry: from, shard: m.From}}
	s.attach(j)
	s.save(j)
	s.emit(Decision{Event: "stored-job-taken", Job: id, Reason: fmt.Sprintf("from shard %d", m.From), Age: m.Age})
}

// dropRetained removes the record of a job's move, since the job is back.
func (s *Scheduler) dropRetained(id workload.JobID) {
	if _, ok := s.rows.retained[id]; !ok {
		return
	}
	delete(s.rows.retained, id)
	delete(s.rows.moving, id)
	s.rows.retainedOrder = slices.DeleteFunc(s.rows.retainedOrder, func(o workload.JobID) bool { return o == id })
}

// acknowledgeMove reports to the senders of a job that it is in the store here.
func (s *Scheduler) acknowledgeMove(j *job) {
	for _, g := range j.stored.senders {
		s.emit(MoveAck{At: s.now, To: g.entry, Shard: g.shard, Job: j.work.ID})
	}
	j.stored.senders = nil
}
