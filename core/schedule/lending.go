package schedule

import (
	"hash/fnv"
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
	// maxNeeds bounds the jobs in a request.
	maxNeeds = 16
	// requestInterval is the shortest time between two requests, or between two searches of the
	// queue for jobs that need room. Jobs that need room meanwhile are asked for together.
	requestInterval = 20 * time.Millisecond
	// requestTimeout is how long the scheduler waits for the answer to a request.
	requestTimeout = 150 * time.Millisecond
	// toleratedWaitShare divides the time until a job turns late: room is requested for a job that
	// waits for longer than this part of it. The rest is for the lender's estimate to be wrong.
	toleratedWaitShare = 4
	// workOffFactor is how much sooner than it expects a lender may have done the work that waits
	// there, since estimates are off and a part of its runners isn't counted. workOffMargin is the
	// same for a short wait.
	workOffFactor = 2
	workOffMargin = 50 * time.Millisecond
)

// Lender is another shard with a reachable leader, and its load as that leader last reported it.
type Lender struct {
	Shard int
	// SameCell: the shard belongs to this scheduler's cell. Such shards are asked first.
	SameCell bool
	Load     Load
	// Age is the age of the report.
	Age time.Duration
}

// RoomNeed is a job for which room is requested.
type RoomNeed struct {
	Job      workload.JobID
	Service  string
	Priority int
	// Step is the job's first step, for whose tasks the room is needed.
	Step workload.Step
	// Slack is how long the job may still wait before it begins.
	Slack time.Duration
}

// RequestRoom asks the scheduler of shard To for room for jobs.
type RequestRoom struct {
	At    Time
	To    int
	Needs []RoomNeed
	// ReportAge is the age of the report by which the lender was chosen.
	ReportAge time.Duration
}

// RoomGrant is the answer of a lender: the jobs for which it has room.
type RoomGrant struct {
	Lender int
	Jobs   []workload.JobID
}

func (RequestRoom) command() {}

// lender is a Lender with what this scheduler has learned since its report.
type lender struct {
	Lender
	reportedAt Time
	// answeredAt is when it last answered a request, or failed to. A report received before then
	// doesn't replace what was learned by the answer.
	answeredAt Time
	// exhausted are the services for which it didn't grant all that was requested.
	exhausted map[string]bool
}

// hasRoom reports whether the lender may have room for a service: it has reported some, or the work
// that waited there when it reported may be done by now.
func (l *lender) hasRoom(now Time, service string) bool {
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

func (q *roomRequest) has(id workload.JobID) bool {
	return q != nil && slices.ContainsFunc(q.needs, func(n RoomNeed) bool { return n.Job == id })
}

// borrowing is the state of a scheduler that asks others for room.
type borrowing struct {
	// lenders are in the order of their shards.
	lenders       []*lender
	request       *roomRequest
	nextRequestAt Time
	// lent are the jobs that were lent, for ranRetention, and outOfReach is when a lender was found
	// to be out of reach of an entry process.
	lent       map[workload.JobID]lentJob
	outOfReach map[route]Time
}

func newBorrowing() borrowing {
	return borrowing{lent: make(map[workload.JobID]lentJob), outOfReach: make(map[route]Time)}
}

// SetLenders sets which other shards may lend room.
func (s *Scheduler) SetLenders(now Time, list []Lender) {
	s.now = now
	known := s.borrowing.lenders
	s.borrowing.lenders = make([]*lender, 0, len(list))
	for _, l := range list {
		updated := &lender{Lender: l, reportedAt: now - l.Age, exhausted: make(map[string]bool)}
		i := slices.IndexFunc(known, func(k *lender) bool { return k.Shard == l.Shard })
		if i >= 0 {
			updated.answeredAt = known[i].answeredAt
			if updated.reportedAt <= known[i].answeredAt {
				updated.Load, updated.exhausted = known[i].Load, known[i].exhausted
			}
		}
		s.borrowing.lenders = append(s.borrowing.lenders, updated)
	}
	slices.SortFunc(s.borrowing.lenders, func(a, b *lender) int { return a.Shard - b.Shard })
}

// chooseLender chooses by the power of two choices: of two lenders, that with more idle room; nil if
// there is none. The two follow from the id of a job, so that borrowers with the same reports ask
// different lenders.
func chooseLender(list []*lender, id workload.JobID) *lender {
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
// started, here or elsewhere.
func (s *Scheduler) lendable(j *job) bool {
	return j.stored == nil && !j.started && !j.begun && j.priorSchedulers == 0 && !j.foreign &&
		!j.withdrawn && j.abandonedAt == 0 && !j.ended && j.work.Times == 0
}

// mayBorrow reports whether a job that has no room here may still get some elsewhere.
func (s *Scheduler) mayBorrow(j *job) bool {
	if !s.lendable(j) || s.allEvacuated(j.work.Service) || !s.canRequest() {
		return false
	}
	return s.borrowing.request.has(j.work.ID) || len(s.lendersFor(j)) > 0
}

// canRequest reports whether the scheduler knows its own runners well enough to ask others.
func (s *Scheduler) canRequest() bool {
	return s.leading && !s.yielding && len(s.borrowing.lenders) > 0 && s.now-s.leadingSince >= warmUpTime
}

// requestRoom asks a lender for room for the jobs that would begin too late here.
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

// neededRoom lists the jobs that would begin too late here, maxNeeds at most, and chooses a lender
// for them. Ahead of a job are those of its service that are served before it.
func (s *Scheduler) neededRoom() (l *lender, needs []RoomNeed) {
	ahead := make(map[string]time.Duration)
	capacity := make(map[string]int)
	for _, j := range s.queue {
		service := j.work.Service
		if _, known := capacity[service]; !known {
			capacity[service] = s.capacity(service)
		}
		if s.heldBack(j) {
			continue
		}
		if s.lendable(j) && !j.worthless(s.now) && s.beginsTooLate(j, ahead[service], capacity[service]) {
			if l == nil {
				l = chooseLender(s.lendersFor(j), j.work.ID)
			}
			if l != nil && s.mayLendTo(l, j) {
				needs = append(needs, s.roomNeed(j))
			}
			if len(needs) == maxNeeds {
				break
			}
			continue
		}
		if !j.late(s.now) || j.partlyDone() {
			ahead[service] += s.waitingWork(j)
		}
	}
	return l, needs
}

// beginsTooLate reports whether a job turns late before the runners have done the work ahead of it.
func (s *Scheduler) beginsTooLate(j *job, ahead time.Duration, capacity int) bool {
	if j.awaitsRoom || capacity == 0 {
		return true
	}
	tolerated := (j.lateAt() - j.arrived) / toleratedWaitShare
	return s.now+ahead/time.Duration(capacity) > j.arrived+tolerated
}

func (s *Scheduler) roomNeed(j *job) RoomNeed {
	return RoomNeed{
		Job: j.work.ID, Service: j.work.Service, Priority: j.work.Priority,
		Step: j.work.Steps[0], Slack: max(0, j.lateAt()-s.now),
	}
}

// RoomGranted handles a lender's answer. Jobs that have been started here meanwhile, or aren't
// known any more, stay as they are; what was granted for them expires at the lender.
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
		if j := s.jobs[id]; j != nil && q.has(id) && s.lendable(j) {
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
			continue
		}
		l.Load.IdleMilliCPU = max(0, l.Load.IdleMilliCPU-n.Step.Tasks*n.Step.Need.MilliCPU)
	}
}

func (s *Scheduler) lender(shard int) *lender {
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
		At: s.now, Entry: j.entry, Job: j.work.ID, Queue: j.work.Queue, Outcome: outcome, Cause: workload.LackOfRoom, Reason: "room is lent by another shard",
		Estimate: j.work.CriticalPath(), RetryAfter: s.retryAfter(j), NoRoom: true, Lent: true, Lender: to, Held: s.now - j.arrived,
	}
	s.ctr.Lending.JobsLent++
	s.forget(j)
	s.ranJobs[j.work.ID] = s.now
	s.borrowing.lent[j.work.ID] = lentJob{entry: j.entry, to: to, at: s.now}
	s.emit(a)
}

// tickBorrowing ends a request without an answer, and asks for room that is needed.
func (s *Scheduler) tickBorrowing() {
	if q := s.borrowing.request; q != nil && s.now-q.at >= requestTimeout {
		s.borrowing.request = nil
		s.ctr.Lending.RequestsExpired++
		s.emit(Decision{Event: "room-request-expired", Reason: shardReason("to", q.to), Age: s.now - q.at})
		s.applyAnswer(q, nil)
	}
	s.requestRoom()
	s.refuseAwaiting()
}

// refuseAwaiting decides again on the jobs that were kept on arrival only because another shard
// might have room for them, once none has.
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
