package schedule

import (
	"fmt"
	"slices"
	"time"

	"sapphirepoint.example/sapphirepoint/core/ledger"
	"sapphirepoint.example/sapphirepoint/core/workload"
)

// Moving stored jobs. A shard may lose its runners, as when those of a failure domain are
// taken away, or have too few left for what it has accepted. Another shard does it then:
//
//  1. The job's record says where it goes. From then on nobody starts it here.
//  2. It is given to the owner of that shard, again and again until it is in its rows.
//  3. The record says that it has arrived. Questions go on to that shard.
//
// Whoever owns the shard goes on where the owner before was.

const (
	// moveAfter is how long a job must have stood still: runners that are only slow to
	// answer, or asked for by a new owner, are back sooner, and the backlog that is
	// accepted takes a second.
	moveAfter = 1500 * time.Millisecond
	// movesMost bounds what is moved in one tick, since the other shard tells only with
	// its next heartbeat how much waits there by then.
	movesMost = 1
	// moveRetry is how often a job is given that hasn't arrived.
	moveRetry = 300 * time.Millisecond
	// moveKept is how long it is known where a job went: longer than any is asked for.
	moveKept = time.Hour
)

// move is a job on its way to another shard, or there.
type move struct {
	record  ledger.Record
	arrived bool
	// age is that of the job at the time since.
	age   time.Duration
	since Time
	// giveAt is when the job is given next.
	giveAt Time
}

// MovedJob is an accepted job that comes from another shard.
type MovedJob struct {
	// From is that shard.
	From int
	Job  *workload.Job
	// Age is the time since the job was accepted.
	Age time.Duration
	// Hand counts the owners before, of all shards; run numbers begin above all of theirs.
	Hand int
	// Done, Failures and Unseen are as in a ledger.Record.
	Done     []ledger.Bits
	Failures []ledger.Failure
	Unseen   bool
}

// sender is a process that has given a job of a shard.
type sender struct {
	entry EntryID
	shard int
}

// SetAlternate says in which other shard a job would wait least, and for how long; -1 if no
// other one is in reach.
func (s *Scheduler) SetAlternate(shard int, wait time.Duration) {
	s.alternate, s.alternateWait = shard, wait
}

// tickMoves gives away what can't be done here.
func (s *Scheduler) tickMoves() {
	if !s.custody.loaded || !s.sure() {
		return
	}
	s.moveStranded()
	for _, id := range sortedKeys(s.custody.moving) {
		if m := s.custody.moving[id]; s.now >= m.giveAt {
			m.giveAt = s.now + moveRetry
			s.emit(MoveJob{At: s.now, To: m.record.To, MovedJob: s.movedJob(m)})
		}
	}
}

// moveStranded moves jobs that have waited for long while another shard has room.
func (s *Scheduler) moveStranded() {
	moved := 0
	for _, j := range slices.Clone(s.queue) {
		if j.stored == nil {
			continue
		}
		if !s.standsStill(j) {
			j.stillSince = 0
			continue
		}
		if j.stillSince == 0 {
			j.stillSince = s.now
		}
		if moved < movesMost && s.now-j.stillSince >= moveAfter && s.roomElsewhere(j) {
			moved++
			s.moveAway(j)
		}
	}
}

// standsStill reports whether tasks of a job are due, and nothing of it can be alive.
func (s *Scheduler) standsStill(j *job) bool {
	if s.now < j.knownFrom || s.waitingWork(j) == 0 {
		return false
	}
	over := true
	j.each(func(t *taskState) { over = over && t.phase != running && t.notBefore <= s.now })
	return over
}

// roomElsewhere reports whether a job would begin sooner in another shard: nothing
// waits there, or there are no runners for it here.
func (s *Scheduler) roomElsewhere(j *job) bool {
	if s.alternate < 0 {
		return false
	}
	return s.alternateWait == 0 || s.alternateWait < NoRunnersWait && s.capacity(j.work.Service) == 0
}

// moveAway ends a job here, for another shard to do it.
func (s *Scheduler) moveAway(j *job) {
	j.ended, j.restarted = true, true
	j.stored.state, j.stored.to = ledger.Moving, s.alternate
	j.stored.hand = int(s.custody.epoch-j.stored.epoch) + 1
	s.custody.open--
	s.dequeue(j)
	s.save(j)
	s.emit(Decision{
		Event: "stored-job-moving", Job: j.work.ID, Age: s.now - j.stillSince,
		Reason: fmt.Sprintf("to shard %d, where it waits %v; %d thousandths of a core here", s.alternate, s.alternateWait, s.capacity(j.work.Service)),
	})
}

// movingRecord is what another shard needs to go on with the job.
func (j *job) movingRecord() ledger.Record {
	r := j.record()
	r.Definition = j.work
	return r
}

// keepMove keeps where a job goes or has gone; its outcome is kept already.
func (s *Scheduler) keepMove(r ledger.Record, age time.Duration) {
	m := &move{record: r, arrived: r.State == ledger.Moved, age: age, since: s.now}
	k := s.custody.kept[r.Job]
	k.move, k.restarted = m, true
	s.custody.kept[r.Job] = k
	if !m.arrived {
		s.custody.moving[r.Job] = m
	}
}

// keepsMove reports whether it is still to be known where a job went.
func (s *Scheduler) keepsMove(id workload.JobID) bool {
	k := s.custody.kept[id]
	if k.move == nil || k.move.arrived && s.now-k.move.since >= moveKept {
		return false
	}
	k.at = s.now
	s.custody.kept[id] = k
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
		Unseen:   r.Unseen,
	}
}

// MoveAcknowledged notes that a job is in the rows of the shard that it was given to.
func (s *Scheduler) MoveAcknowledged(now Time, id workload.JobID) {
	s.now = now
	m := s.custody.moving[id]
	if m == nil {
		return
	}
	delete(s.custody.moving, id)
	m.arrived = true
	m.record.Done, m.record.Failures, m.record.Definition = nil, nil, nil
	m.record.State = ledger.Moved
	k := s.custody.kept[id]
	k.state = ledger.Moved
	k.saving = s.saveRecord(m.record)
	s.custody.kept[id] = k
	s.emit(Decision{Event: "stored-job-moved", Job: id, Reason: fmt.Sprintf("to shard %d", m.record.To), Age: now - m.since})
}

// MovedTo is the shard to which a job goes, and whether it has arrived there.
func (s *Scheduler) MovedTo(id workload.JobID) (shard int, arrived, moved bool) {
	k, ok := s.custody.kept[id]
	if !ok || k.move == nil {
		return 0, false, false
	}
	return k.move.record.To, k.move.arrived, true
}

// AcceptMovedJob takes a job of another shard. One that can't be taken now is given again.
func (s *Scheduler) AcceptMovedJob(now Time, from EntryID, m MovedJob) {
	s.now = now
	id := m.Job.ID
	s.custody.askedAt = now
	if !s.leading || !s.custody.loaded || !s.sure() {
		return
	}
	if k, ok := s.custody.kept[id]; ok && !k.returns(m) {
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
			s.tellTaken(j)
		}
		return
	}
	s.takeIn(from, m)
}

// returns reports whether a job comes back that has gone from here: it has had more
// owners since. Else it is the same move once more, whose answer was lost.
func (k kept) returns(m MovedJob) bool { return k.move != nil && m.Hand > k.move.record.Hand }

// takeIn goes on with a job of another shard, and has it saved first.
func (s *Scheduler) takeIn(from EntryID, m MovedJob) {
	id := m.Job.ID
	s.dropKept(id)
	j := s.restored(ledger.Record{
		Job: id, Definition: m.Job, Age: m.Age, Epoch: s.custody.epoch - uint64(m.Hand),
		Done: m.Done, Failures: m.Failures, Unseen: m.Unseen, Restarted: true,
	})
	j.knownFrom = s.now
	j.stored.accepted = false
	j.stored.senders = []sender{{entry: from, shard: m.From}}
	s.attach(j)
	s.save(j)
	s.emit(Decision{Event: "stored-job-taken", Job: id, Reason: fmt.Sprintf("from shard %d", m.From), Age: m.Age})
}

// dropKept forgets that a job has gone, since it is back.
func (s *Scheduler) dropKept(id workload.JobID) {
	if _, ok := s.custody.kept[id]; !ok {
		return
	}
	delete(s.custody.kept, id)
	delete(s.custody.moving, id)
	s.custody.keptOrder = slices.DeleteFunc(s.custody.keptOrder, func(o workload.JobID) bool { return o == id })
}

// tellTaken tells those that have given a job that it is in the store here.
func (s *Scheduler) tellTaken(j *job) {
	for _, g := range j.stored.senders {
		s.emit(MoveAck{At: s.now, To: g.entry, Shard: g.shard, Job: j.work.ID})
	}
	j.stored.senders = nil
}
