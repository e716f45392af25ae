package schedule

import (
	"cmp"
	"fmt"
	"slices"
	"time"

	"sapphirepoint.example/sapphirepoint/core/workload"
)

// Lending, as seen by the lender. A grant promises room for one job of another shard. The room counts
// as used until the job arrives or the grant expires, so that the promises of a scheduler never
// exceed its room.

// grantLifetime is how long room stays promised: longer than a job takes from its former scheduler
// to the lender by way of its entry process.
const grantLifetime = 250 * time.Millisecond

// Load is what a scheduler reports of its room.
type Load struct {
	// ExpectedWait is how long the runners would take for all waiting and promised work.
	ExpectedWait time.Duration
	// IdleMilliCPU is the usable capacity, in thousandths of a core, that is neither in use nor
	// needed by waiting jobs nor promised.
	IdleMilliCPU int
	// RefusesMoves: the scheduler accepts no moved jobs at present, since it can't save them.
	RefusesMoves bool
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
	// At is when the request was decided.
	At     Time
	Entry  EntryID
	To     int
	Jobs   []workload.JobID
	Denied int
	// Load is that of the scheduler after the answer.
	Load Load
}

func (GrantRoom) command() {}

// grant is room promised for a job of the shard borrower.
type grant struct {
	need     RoomNeed
	borrower int
	at       Time
}

// work returns the estimated work of the job's first step, in time x thousandths of a core.
func (g grant) work() time.Duration {
	step := g.need.Step
	return workOf(step.Estimate, step.Tasks*step.Need.MilliCPU)
}

// LendingCounters count jobs, and RequestsExpired requests, since the start of the process.
//
// As a borrower: jobs for which room was Requested; those for which it was Received; of these the
// JobsLent, which hadn't begun meanwhile; and those HandedBack, since the lender was out of reach of
// their entry process. As a lender: jobs that were Granted or Denied room, and of the grants those
// Used by an arriving job and those Expired.
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
	l := Load{ExpectedWait: s.ExpectedWait(), RefusesMoves: !s.AcceptsMoves()}
	for _, r := range s.runnerList {
		if r.usable(s.now) {
			l.IdleMilliCPU += int(usableShare*float64(r.info.Capacity.MilliCPU)) - r.used.MilliCPU
		}
	}
	l.IdleMilliCPU = max(0, l.IdleMilliCPU-s.neededMilliCPU()-s.promisedMilliCPU())
	return l
}

// neededMilliCPU returns what the waiting tasks of all ready steps need, in thousandths of a core.
func (s *Scheduler) neededMilliCPU() int {
	sum := 0
	for _, j := range s.queue {
		for i := range j.steps {
			if s.occurrenceDue(j, i) && j.ready(i) {
				sum += waitingTasks(j, i) * j.stepAt(i).Need.MilliCPU
			}
		}
	}
	return sum
}

// promisedMilliCPU returns what is promised to jobs of other shards, in thousandths of a core.
func (s *Scheduler) promisedMilliCPU() int {
	sum := 0
	for _, g := range s.grants {
		sum += g.need.Step.Tasks * g.need.Step.Need.MilliCPU
	}
	return sum
}

// promisedWork returns the work that is promised to jobs of a service; "" for all services.
func (s *Scheduler) promisedWork(service string) time.Duration {
	var sum time.Duration
	for _, g := range s.grants {
		if service == "" || g.need.Service == service {
			sum = addWork(sum, g.work())
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
	return s.takeForQueue(p, n.Service) && s.takeForGrants(p, n.Service) && p.take(&n.Step, n.Step.Tasks)
}

// takeForQueue uses the places that the waiting jobs of a service need, and reports whether there
// are enough.
func (s *Scheduler) takeForQueue(p places, service string) bool {
	for _, j := range s.queue {
		if j.work.Service != service || s.heldBack(j) {
			continue
		}
		for i := range j.steps {
			if s.occurrenceDue(j, i) && j.ready(i) && !p.take(j.stepAt(i), waitingTasks(j, i)) {
				return false
			}
		}
	}
	return true
}

// takeForGrants does the same for the promises to jobs of a service.
func (s *Scheduler) takeForGrants(p places, service string) bool {
	for _, id := range sortedKeys(s.grants) {
		if g := s.grants[id]; g.need.Service == service && !p.take(&g.need.Step, g.need.Step.Tasks) {
			return false
		}
	}
	return true
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

// place is what is free on one runner.
type place struct {
	runner *runner
	free   workload.Resources
}

// placesWithin returns the resources that are free now, and those of the runs that are expected to
// end within a time.
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
	taken := make(map[*runner]int)
	for range tasks {
		best := p.bestFit(step, taken)
		if best == nil {
			return false
		}
		best.free = best.free.Minus(step.Need)
		taken[best.runner]++
	}
	return true
}

// bestFit returns the place with the least free processors that has room for one more task of a
// step; nil if there is none. taken counts the step's tasks on each runner.
func (p places) bestFit(step *workload.Step, taken map[*runner]int) *place {
	var best *place
	for i := range p {
		at := &p[i]
		switch {
		case !step.Need.Fits(at.free), !at.runner.info.HasLabel(step.Requires):
		case step.MaxPerRunner > 0 && taken[at.runner] >= step.MaxPerRunner:
		case best == nil || at.free.MilliCPU < best.free.MilliCPU:
			best = at
		}
	}
	return best
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

// shardReason is the reason in a log line that names a shard.
func shardReason(relation string, shard int) string {
	return fmt.Sprintf("%s shard %d", relation, shard)
}

// GrantDump is a grant to another shard, or a request for room for a job, as shown to operators.
type GrantDump struct {
	Job   string `json:"job"`
	Shard int    `json:"shard"`
	AgeMs int64  `json:"age_ms"`
}

// dumpGrants lists the grants to other shards by job.
func (s *Scheduler) dumpGrants(now Time) []GrantDump {
	var list []GrantDump
	for id, g := range s.grants {
		list = append(list, GrantDump{Job: string(id), Shard: g.borrower, AgeMs: (now - g.at).Milliseconds()})
	}
	slices.SortFunc(list, func(a, b GrantDump) int { return cmp.Compare(a.Job, b.Job) })
	return list
}

// dumpRequest lists the jobs for which room is requested of another shard.
func (s *Scheduler) dumpRequest(now Time) []GrantDump {
	var list []GrantDump
	if q := s.borrowing.request; q != nil {
		for _, n := range q.needs {
			list = append(list, GrantDump{Job: string(n.Job), Shard: q.to, AgeMs: (now - q.at).Milliseconds()})
		}
	}
	return list
}
