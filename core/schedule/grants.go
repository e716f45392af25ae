package schedule

import (
	"cmp"
	"fmt"
	"slices"
	"time"

	"sapphirepoint.example/sapphirepoint/core/workload"
)

// Lending, as seen by the lender. A grant promises room for one job of another shard. It counts as
// used until the job arrives or the grant expires, so that the promises of a scheduler never
// exceed its room.

// grantLifetime is how long a grant counts as used: longer than a job takes from its former
// scheduler by way of its entry process.
const grantLifetime = 250 * time.Millisecond

// Load is what a scheduler reports of its room.
type Load struct {
	// ExpectedWait is how long the runners would take for all waiting and promised work.
	ExpectedWait time.Duration
	// IdleMilliCPU is the usable capacity, in thousandths of a core, that is neither in use nor
	// needed by waiting jobs nor promised.
	IdleMilliCPU int
}

// RoomRequest is another scheduler's request for room. Entry is the process that sent it.
type RoomRequest struct {
	Entry    EntryID
	Borrower int
	Needs    []RoomNeed
}

// GrantRoom answers a RoomRequest of shard To, sent by the process Entry. Room is granted for Jobs
// and for none of the other requested jobs, whose number is Denied.
type GrantRoom struct {
	At     Time
	Entry  EntryID
	To     int
	Jobs   []workload.JobID
	Denied int
	// Load is that of the scheduler after the answer.
	Load Load
}

func (GrantRoom) command() {}

// grant is room promised for a job.
type grant struct {
	need     RoomNeed
	borrower int
	at       Time
}

// work returns the promised work, in time x thousandths of a core.
func (g grant) work() time.Duration {
	step := g.need.Step
	return step.Estimate * time.Duration(step.Tasks*step.Need.MilliCPU)
}

// LendingCounters count jobs since the start of the process. As a borrower: Requested jobs, those
// for which room was Received, the JobsLent of these that hadn't begun meanwhile, and those that
// were HandedBack since the lender was out of reach of their entry process; RequestsExpired counts
// requests. As a lender: jobs that were Granted room, and of these grants
// those Used by an arriving job and those Expired; Denied are the others that were asked for.
type LendingCounters struct {
	Requested, Received, JobsLent, HandedBack uint64
	RequestsExpired                           uint64
	Granted, Denied, Used, Expired            uint64
}

// Plus returns the sum.
func (c LendingCounters) Plus(o LendingCounters) LendingCounters {
	return LendingCounters{
		Requested: c.Requested + o.Requested, Received: c.Received + o.Received,
		JobsLent: c.JobsLent + o.JobsLent, HandedBack: c.HandedBack + o.HandedBack, RequestsExpired: c.RequestsExpired + o.RequestsExpired,
		Granted: c.Granted + o.Granted, Denied: c.Denied + o.Denied, Used: c.Used + o.Used, Expired: c.Expired + o.Expired,
	}
}

// Load returns what the scheduler reports to others of its room.
func (s *Scheduler) Load() Load {
	l := Load{ExpectedWait: s.ExpectedWait()}
	for _, r := range s.runnerList {
		if r.usable(s.now) {
			l.IdleMilliCPU += int(usableShare*float64(r.info.Capacity.MilliCPU)) - r.used.MilliCPU
		}
	}
	for _, j := range s.queue {
		for i := range j.steps {
			if j.ready(i) {
				l.IdleMilliCPU -= waitingTasks(j, i) * j.stepAt(i).Need.MilliCPU
			}
		}
	}
	for _, g := range s.grants {
		l.IdleMilliCPU -= g.need.Step.Tasks * g.need.Step.Need.MilliCPU
	}
	l.IdleMilliCPU = max(0, l.IdleMilliCPU)
	return l
}

// promisedWork returns the work that is promised to jobs of a service; "" for all services.
func (s *Scheduler) promisedWork(service string) time.Duration {
	var sum time.Duration
	for _, g := range s.grants {
		if service == "" || g.need.Service == service {
			sum += g.work()
		}
	}
	return sum
}

// RoomRequested decides for which jobs of another shard there is room. A scheduler that doesn't
// lead ignores the request, which expires at the borrower.
func (s *Scheduler) RoomRequested(now Time, q RoomRequest) {
	s.now = now
	if !s.leading {
		return
	}
	s.expireGrants()
	answer := GrantRoom{At: now, Entry: q.Entry, To: q.Borrower}
	for i, n := range q.Needs {
		delete(s.grants, n.Job)
		if i >= maxNeeds || !n.valid() || !s.canGrant(n) {
			answer.Denied++
			continue
		}
		s.grants[n.Job] = grant{need: n, borrower: q.Borrower, at: now}
		answer.Jobs = append(answer.Jobs, n.Job)
	}
	s.ctr.Lending.Granted += uint64(len(answer.Jobs))
	s.ctr.Lending.Denied += uint64(answer.Denied)
	answer.Load = s.Load()
	s.emit(answer)
}

// maxEstimate bounds the estimate of a need, so that sums of promised work don't overflow.
const maxEstimate = time.Hour

// valid reports whether a need received from another process can be checked against the runners.
func (n RoomNeed) valid() bool {
	step := n.Step
	return step.Tasks > 0 && step.Tasks <= workload.MaxTasks && step.Estimate >= 0 && step.Estimate <= maxEstimate &&
		step.Need.MilliCPU >= 0 && step.Need.MemoryMB >= 0 && step.Need.GPU >= 0
}

// canGrant reports whether a job could begin here before it turns late, after all that waits here
// and all that is promised.
func (s *Scheduler) canGrant(n RoomNeed) bool {
	if s.yielding || s.contested || s.now-s.leadingSince < warmUpTime || s.jobs[n.Job] != nil {
		return false
	}
	p := s.placesWithin(n.Service, n.Slack)
	for _, j := range s.queue {
		if j.work.Service != n.Service || s.heldBack(j) {
			continue
		}
		for i := range j.steps {
			if j.ready(i) && !p.take(j.stepAt(i), waitingTasks(j, i)) {
				return false
			}
		}
	}
	for _, id := range sortedKeys(s.grants) {
		if g := s.grants[id]; g.need.Service == n.Service && !p.take(&g.need.Step, g.need.Step.Tasks) {
			return false
		}
	}
	return p.take(&n.Step, n.Step.Tasks)
}

// waitingTasks counts the waiting tasks of a step.
func waitingTasks(j *job, step int) int {
	n := 0
	for _, t := range j.steps[step] {
		if t.phase == waiting {
			n++
		}
	}
	return n
}

// places are the free resources of a service's usable runners at some time.
type places []place

type place struct {
	runner *runner
	free   workload.Resources
}

// placesWithin returns the resources that are free now or will be within a time, as runs end.
func (s *Scheduler) placesWithin(service string, d time.Duration) places {
	var list places
	for _, r := range s.runnerList {
		if r.info.Service != service || !r.usable(s.now) {
			continue
		}
		free := r.free()
		for _, u := range r.runs {
			if u.task != nil && u.expectedEnd > s.now && u.expectedEnd <= s.now+d {
				free = free.Plus(u.need)
			}
		}
		list = append(list, place{runner: r, free: free})
	}
	return list
}

// take uses the places that a number of tasks need, by best fit, and reports whether there are
// enough.
func (p places) take(step *workload.Step, tasks int) bool {
	onRunner := make(map[*runner]int)
	for range tasks {
		best := -1
		for i := range p {
			if !step.Need.Fits(p[i].free) || !p[i].runner.info.HasLabel(step.Requires) {
				continue
			}
			if step.MaxPerRunner > 0 && onRunner[p[i].runner] >= step.MaxPerRunner {
				continue
			}
			if best < 0 || p[i].free.MilliCPU < p[best].free.MilliCPU {
				best = i
			}
		}
		if best < 0 {
			return false
		}
		p[best].free = p[best].free.Minus(step.Need)
		onRunner[p[best].runner]++
	}
	return true
}

// useGrant ends the grant of a job that has arrived, and reports whether there was one.
func (s *Scheduler) useGrant(id workload.JobID) bool {
	g, ok := s.grants[id]
	if !ok {
		return false
	}
	delete(s.grants, id)
	s.ctr.Lending.Used++
	s.emit(Decision{Event: "room-used", Job: id, Reason: shardReason("by", g.borrower), Age: s.now - g.at})
	return true
}

// expireGrants ends the grants whose jobs haven't arrived in time.
func (s *Scheduler) expireGrants() {
	for _, id := range sortedKeys(s.grants) {
		g := s.grants[id]
		if s.now-g.at < grantLifetime {
			continue
		}
		delete(s.grants, id)
		s.ctr.Lending.Expired++
		s.emit(Decision{Event: "room-expired", Job: id, Reason: shardReason("for", g.borrower), Age: s.now - g.at})
	}
}

// shardReason names a shard in a log line.
func shardReason(relation string, shard int) string {
	return fmt.Sprintf("%s shard %d", relation, shard)
}

// GrantDump is a grant or a request as shown to operators.
type GrantDump struct {
	Job   string `json:"job"`
	Shard int    `json:"shard"`
	AgeMs int64  `json:"age_ms"`
}

// grantsOut lists the grants to other shards by job.
func (s *Scheduler) grantsOut(now Time) []GrantDump {
	var list []GrantDump
	for id, g := range s.grants {
		list = append(list, GrantDump{Job: string(id), Shard: g.borrower, AgeMs: (now - g.at).Milliseconds()})
	}
	slices.SortFunc(list, func(a, b GrantDump) int { return cmp.Compare(a.Job, b.Job) })
	return list
}

// roomRequested lists the jobs for which room is requested from another shard.
func (s *Scheduler) roomRequested(now Time) []GrantDump {
	var list []GrantDump
	if q := s.borrowing.request; q != nil {
		for _, n := range q.needs {
			list = append(list, GrantDump{Job: string(n.Job), Shard: q.to, AgeMs: (now - q.at).Milliseconds()})
		}
	}
	return list
}
