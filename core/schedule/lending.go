package schedule

import (
	"hash/fnv"
	"iter"
	"slices"
	"time"

	"sapphirepoint.example/sapphirepoint/core/workload"
)

// Lending, as seen by the borrower. A scheduler with more work than room asks the scheduler of
// another shard for room for jobs that would begin too late here. It gives up a job for which room
// is granted, and the job's entry process hands the job in to the lender.
//
// Only jobs move of which nothing can have been started. A job that was given up counts as possibly
// run from then on, so that a copy of it isn't answered with NotRun here while the lender runs it.

const (
	// maxDenials is how many lenders may deny room for a job. Then it is decided here at once whether
	// the job is refused: with many lenders one of them always reports room that it may not have.
	maxDenials = 3
	// maxNeeds bounds the jobs in a request.
	maxNeeds = 16
	// requestInterval is the shortest time between two requests, or between two searches of the
	// queue for jobs that need room. Jobs that need room meanwhile are asked for together.
	requestInterval = 20 * time.Millisecond
	// requestTimeout is how long the scheduler waits for the answer to a request.
	requestTimeout = 150 * time.Millisecond
	// toleratedWaitDivisor divides the time from a job's arrival until it turns late: room is
	// requested for a job that would wait for longer than the quotient. The rest of that time is a
	// margin for the lender's estimate.
	toleratedWaitDivisor = 4
	// workOffFactor and workOffMargin bound the wait that a lender may have reported and be over
	// with by now: this factor times the age of the report, plus the margin. Estimates are off, and
	// a lender's capacity counts only a part of its runners (see usableShare).
	workOffFactor = 2
	workOffMargin = 50 * time.Millisecond
)

// Lender is another shard with a reachable leader, and its load as that leader last reported it.
type Lender struct {
	// Shard is the index of the shard.
	Shard int
	// SameCell: the shard belongs to this scheduler's cell. Such shards are asked first.
	SameCell bool
	// Load is the reported load.
	Load Load
	// Age is the age of the report.
	Age time.Duration
}

// RoomNeed is a job for which room is requested.
type RoomNeed struct {
	Job     workload.JobID
	Service string
	// Step is the job's first step, for whose tasks the room is needed.
	Step workload.Step
	// Slack is how long the job may still wait before it begins.
	Slack time.Duration
}

// RequestRoom asks the scheduler of shard To for room for jobs.
type RequestRoom struct {
	// At is when the request was made.
	At    Time
	To    int
	Needs []RoomNeed
	// ReportAge is the age of the report by which the lender was chosen.
	ReportAge time.Duration
}

// RoomGrant is the answer of a lender.
type RoomGrant struct {
	// Lender is the lender's shard, and Jobs are the jobs for which it grants room. It denies room
	// for the other jobs of the request.
	Lender int
	Jobs   []workload.JobID
}

func (RequestRoom) command() {}

// lenderState is a Lender, and what its answers since its report have shown.
type lenderState struct {
	Lender
	reportedAt Time
	// answeredAt is when the lender last answered a request, or when a request to it expired. A
	// report received before then doesn't replace what the answer has shown.
	answeredAt Time
	// exhausted are the services for which the lender didn't grant all that was requested.
	exhausted map[string]bool
}

// mayHaveRoom reports whether the lender may have room for a service: it has reported some, or the
// work that waited there when it reported may be done by now.
func (l *lenderState) mayHaveRoom(now Time, service string) bool {
	if l.exhausted[service] {
		return false
	}
	return l.Load.IdleMilliCPU > 0 || l.Load.ExpectedWait <= workOffFactor*(now-l.reportedAt)+workOffMargin
}

// roomRequest is a request that hasn't been answered yet.
type roomRequest struct {
	to    int
	at    Time
	needs []RoomNeed
}

// includes reports whether room is requested for a job; false if there is no request.
func (q *roomRequest) includes(id workload.JobID) bool {
	return q != nil && slices.ContainsFunc(q.needs, func(n RoomNeed) bool { return n.Job == id })
}

// borrowing is the state of a scheduler that asks others for room.
type borrowing struct {
	// lenders are in the order of their shards.
	lenders []*lenderState
	// request is the request without an answer yet; nil if there is none. No other one is made
	// before nextRequestAt.
	request       *roomRequest
	nextRequestAt Time
	// lent are the jobs that other shards have, or had during the last ranRetention, whether they were
	// lent or went there after a refusal; see NoteElsewhere. outOfReach is when a lender
	// was found to be out of reach of an entry process.
	lent       map[workload.JobID]lentJob
	outOfReach map[route]Time
	// refusesLent are the entry processes that don't take jobs to lenders.
	refusesLent map[EntryID]bool
}

func newBorrowing() borrowing {
	return borrowing{
		lent:        make(map[workload.JobID]lentJob),
		outOfReach:  make(map[route]Time),
		refusesLent: make(map[EntryID]bool),
	}
}

// SetLenders sets which other shards may lend room. What a lender's answers have shown is kept until
// a later report of it arrives.
func (s *Scheduler) SetLenders(now Time, list []Lender) {
	s.now = now
	known := s.borrowing.lenders
	s.borrowing.lenders = make([]*lenderState, 0, len(list))
	for _, l := range list {
		updated := &lenderState{Lender: l, reportedAt: now - l.Age, exhausted: make(map[string]bool)}
		i := slices.IndexFunc(known, func(k *lenderState) bool { return k.Shard == l.Shard })
		if i >= 0 {
			updated.answeredAt = known[i].answeredAt
			if updated.reportedAt <= known[i].answeredAt {
				updated.Load, updated.exhausted = known[i].Load, known[i].exhausted
			}
		}
		s.borrowing.lenders = append(s.borrowing.lenders, updated)
	}
	slices.SortFunc(s.borrowing.lenders, func(a, b *lenderState) int { return a.Shard - b.Shard })
}

// chooseLender chooses by the power of two choices: of two lenders, the one with more idle room; nil
// if the list is empty. The two follow from the id of a job, so that borrowers with the same reports
// ask different lenders.
func chooseLender(list []*lenderState, id workload.JobID) *lenderState {
	if len(list) == 0 {
		return nil
	}
	h := fnv.New64a()
	_, _ = h.Write([]byte(id))
	n := h.Sum64()
	first := int(n % uint64(len(list)))
	if len(list) == 1 {
		return list[first]
	}
	second := (first + 1 + int(n>>32%uint64(len(list)-1))) % len(list)
	a, b := list[first], list[second]
	if b.Load.IdleMilliCPU > a.Load.IdleMilliCPU {
		return b
	}
	return a
}

// lendable reports whether a job may be given to another scheduler: nothing of it can have been
// started, here or elsewhere, and its entry process takes it to the lender.
func (s *Scheduler) lendable(j *job) bool {
	if s.borrowing.refusesLent[j.entry] {
		return false
	}
	return j.stored == nil && !j.started && !j.begun && j.priorSchedulers == 0 && !j.foreign &&
		!j.withdrawn && j.abandonedAt == 0 && !j.ended && j.work.Times == 0
}

// mayBorrow reports whether a job that has no room here may still get some elsewhere.
func (s *Scheduler) mayBorrow(j *job) bool {
	if !s.lendable(j) || s.allEvacuated(j.work.Service) || !s.canRequest() || j.denials >= maxDenials {
		return false
	}
	return s.borrowing.request.includes(j.work.ID) || len(s.lendersFor(j)) > 0
}

// canRequest reports whether the scheduler may ask others for room: it leads and will go on to, and
// its own capacity is known (see warmUpTime).
func (s *Scheduler) canRequest() bool {
	return s.leading && !s.yielding && len(s.borrowing.lenders) > 0 && s.now-s.leadingSince >= warmUpTime
}

// requestRoom asks a lender for room for the jobs that would begin too late here, if no request is
// open and the last search of the queue is requestInterval ago.
func (s *Scheduler) requestRoom() {
	b := &s.borrowing
	if !s.canRequest() || b.request != nil || s.now < b.nextRequestAt || len(s.queue) == 0 {
		return
	}
	b.nextRequestAt = s.now + requestInterval
	l, needs := s.neededRoom()
	if l == nil {
		return
	}
	b.request = &roomRequest{to: l.Shard, at: s.now, needs: needs}
	s.ctr.Lending.Requested += uint64(len(needs))
	s.emit(RequestRoom{At: s.now, To: l.Shard, Needs: needs, ReportAge: s.now - l.reportedAt})
}

// neededRoom chooses a lender for the first job that would begin too late here, and lists the jobs
// for which that lender may have room, maxNeeds at most. It returns nil if no lender may have room.
func (s *Scheduler) neededRoom() (l *lenderState, needs []RoomNeed) {
	for j := range s.jobsBeginningTooLate() {
		if l == nil {
			l = chooseLender(s.lendersFor(j), j.work.ID)
		}
		if l != nil && s.mayBorrowFrom(l, j) {
			needs = append(needs, s.roomNeed(j))
		}
		if len(needs) == maxNeeds {
			break
		}
	}
	return l, needs
}

// jobsBeginningTooLate goes through the jobs that may be lent and would begin too late here, in the
// order of service. Ahead of a job are those of its service that are served before it, except for
// jobs that are gone through themselves and late jobs of which nothing is done.
func (s *Scheduler) jobsBeginningTooLate() iter.Seq[*job] {
	return func(yield func(*job) bool) {
		ahead := make(map[string]time.Duration)
		capacity := make(map[string]int)
		for _, j := range s.queue {
			service := j.work.Service
			if _, known := capacity[service]; !known {
				capacity[service] = s.capacity(service)
			}
			switch {
			case s.heldBack(j):
			case s.lendable(j) && j.denials < maxDenials && !j.worthless(s.now) && s.beginsTooLate(j, ahead[service], capacity[service]):
				if !yield(j) {
					return
				}
			case !j.late(s.now) || j.partlyDone():
				ahead[service] += s.waitingWork(j)
			}
		}
	}
}

// beginsTooLate reports whether a job would wait for too large a part of the time until it turns
// late, with the work ahead of it and the usable processors (in thousandths of a core) that do it.
func (s *Scheduler) beginsTooLate(j *job, ahead time.Duration, capacity int) bool {
	if j.awaitsRoom || capacity == 0 {
		return true
	}
	tolerated := (j.lateAt() - j.arrived) / toleratedWaitDivisor
	return s.now+ahead/time.Duration(capacity) > j.arrived+tolerated
}

// roomNeed describes the room that a job needs to begin before it turns late.
func (s *Scheduler) roomNeed(j *job) RoomNeed {
	return RoomNeed{
		Job: j.work.ID, Service: j.work.Service,
		Step: j.work.Steps[0], Slack: max(0, j.lateAt()-s.now),
	}
}

// RoomGranted handles a lender's answer. A grant for a job that has been started here meanwhile, or
// isn't known any more, is ignored, and expires at the lender.
func (s *Scheduler) RoomGranted(now Time, g RoomGrant) {
	s.now = now
	if !s.leading {
		return
	}
	q := s.borrowing.request
	if q == nil || q.to != g.Lender {
		// The request has expired, and what was granted expires at the lender.
		return
	}
	s.borrowing.request = nil
	s.applyAnswer(q, g.Jobs)
	for _, id := range g.Jobs {
		s.ctr.Lending.Received++
		if j := s.jobs[id]; j != nil && q.includes(id) && s.lendable(j) {
			s.lend(j, g.Lender)
		}
	}
	s.refuseAwaiting()
	s.requestRoom()
}

// applyAnswer corrects a lender's report by its answer to a request.
func (s *Scheduler) applyAnswer(q *roomRequest, granted []workload.JobID) {
	l := s.lender(q.to)
	if l == nil {
		return
	}
	l.answeredAt = s.now
	for _, n := range q.needs {
		if !slices.Contains(granted, n.Job) {
			l.exhausted[n.Service] = true
			s.noteDenial(n.Job)
			continue
		}
		l.Load.IdleMilliCPU = max(0, l.Load.IdleMilliCPU-n.Step.Tasks*n.Step.Need.MilliCPU)
	}
}

// noteDenial counts a lender's denial of room for a job.
func (s *Scheduler) noteDenial(id workload.JobID) {
	if j := s.jobs[id]; j != nil {
		j.denials++
	}
}

// lender returns the state of a lender; nil if its shard can't lend at present.
func (s *Scheduler) lender(shard int) *lenderState {
	for _, l := range s.borrowing.lenders {
		if l.Shard == shard {
			return l
		}
	}
	return nil
}

// lend ends a job here, since a lender has granted room for it. No result is retained: the job may
// run in the lender's shard.
func (s *Scheduler) lend(j *job, to int) {
	outcome := workload.NotRun
	if s.mayHaveRun(j) {
		outcome = workload.GaveUp
	}
	a := Answer{
		At: s.now, Entry: j.entry, Job: j.work.ID, Queue: j.work.Queue,
		Outcome: outcome, Cause: workload.LackOfRoom, Reason: "room is lent by another shard",
		Estimate: j.work.CriticalPath(), RetryAfter: s.retryAfter(j),
		NoRoom: true, Lent: true, Lender: to, Held: s.now - j.arrived,
	}
	s.ctr.Lending.JobsLent++
	s.forget(j)
	s.ranJobs[j.work.ID] = ranJob{at: s.now}
	s.borrowing.lent[j.work.ID] = lentJob{entry: j.entry, to: to, at: s.now}
	s.emit(a)
}

// tickBorrowing does the periodic work of borrowing.
func (s *Scheduler) tickBorrowing() {
	s.expireRequest()
	s.requestRoom()
	s.refuseAwaiting()
}

// expireRequest ends a request that stays without an answer, as if the lender had denied all of it.
func (s *Scheduler) expireRequest() {
	q := s.borrowing.request
	if q == nil || s.now-q.at < requestTimeout {
		return
	}
	s.borrowing.request = nil
	s.ctr.Lending.RequestsExpired++
	s.emit(Decision{Event: "room-request-expired", Reason: shardReason("to", q.to), Age: s.now - q.at})
	s.applyAnswer(q, nil)
}

// refuseAwaiting decides again on the jobs that had no room here on arrival and were queued since
// another shard might have some, once no shard may have any.
func (s *Scheduler) refuseAwaiting() {
	for _, j := range slices.Clone(s.queue) {
		if !j.awaitsRoom || s.mayBorrow(j) {
			continue
		}
		j.awaitsRoom = false
		if cause, reason := s.refusal(j); cause != workload.NotRefused {
			j.noRoom = cause != workload.TooLittleTime
			s.finishRefused(j, workload.NotRun, cause, reason)
		}
	}
}
