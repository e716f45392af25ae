package schedule

import (
	"sort"
	"time"

	"sapphirepoint.example/sapphirepoint/core/workload"
)

const (
	// missWeight weighs the probability that a task isn't done in time on a runner against the
	// fit: a probability of one tenth costs as much as a runner that would stay entirely free.
	missWeight = 10.0
	// lateWeight weighs the probability that the task ends after its job's objective.
	lateWeight = 5.0
	// slowRunnerGain is the gain of placing a task that has time on a slower runner, which
	// leaves the faster ones to more urgent tasks. Runners slower than maxPreferredPace times the
	// usual gain no more, and cost slowRunnerPenalty.
	slowRunnerGain    = 0.6
	maxPreferredPace  = 1.5
	slowRunnerPenalty = 5.0
	// remoteDomainPenalty keeps tasks in the failure domain of their caller while there is room;
	// it outweighs any gain by fit. If a domain is cut off, runs beyond the partition must end
	// before their tasks can be restarted, which takes longer than callers wait.
	remoteDomainPenalty = 1.0
	// overdueFactor and overdueSlack define when a run counts as stuck. Run times spread by a
	// factor of 1.5 about their estimates, which are off by as much, so three times the estimate
	// is rare for a normal run.
	overdueFactor = 3
	overdueSlack  = 200 * time.Millisecond
)

// placer chooses runners during one call of dispatch.
type placer struct {
	s *Scheduler
	// smallestUnplaced is the smallest need that found no room, by service. Tasks that need as
	// much or more skip the search.
	smallestUnplaced map[string]workload.Resources
	// median is the median pace of the runners, by service.
	median map[string]float64
	// waiting counts the tasks that wait for faster runners, and occupied is what runs and those
	// tasks occupy of the runners.
	waiting  int
	occupied map[*runner]*runnerOccupancy
	// awaitedRunners caches runnersToAwait by service.
	awaitedRunners map[string][]*runner
}

func newPlacer(s *Scheduler) *placer {
	return &placer{
		s: s, smallestUnplaced: make(map[string]workload.Resources), median: make(map[string]float64),
		occupied: make(map[*runner]*runnerOccupancy), awaitedRunners: make(map[string][]*runner),
	}
}

// full reports whether tasks that need no more than those of a step have found no room.
func (p *placer) full(step *workload.Step, service string) bool {
	need, ok := p.smallestUnplaced[service]
	return ok && need.Fits(step.Need)
}

// place chooses a runner for a task; nil if there is no room, or if it waits for a faster one.
//
// It uses best fit: a task of two fifths of a runner leaves room for another one only if both are
// placed on the same runner; on two runners each would leave a gap that is too small for a third.
// Among runners that fit equally well the faster one is chosen.
func (p *placer) place(t *taskState) *runner {
	step := t.step()
	plain := step.Requires == "" && step.MaxPerRunner == 0 && len(t.failedOn) == 0
	service := t.job.work.Service
	if plain && p.full(step, service) {
		return nil
	}
	var best *runner
	var lowest float64
	for _, r := range p.s.runnerList {
		if !p.mayRunOn(t, r) {
			continue
		}
		if c := p.cost(t, r); best == nil || c < lowest {
			best, lowest = r, c
		}
	}
	if best == nil && plain {
		p.smallestUnplaced[service] = step.Need
	}
	if best != nil && p.waitsForFaster(t, best) {
		return nil
	}
	return best
}

// mayRunOn reports whether a task can be started on a runner now.
func (p *placer) mayRunOn(t *taskState, r *runner) bool {
	return p.admits(t, r) && t.step().Need.Fits(r.free()) && p.withinSpreadLimit(t, r)
}

// admits reports whether a runner is usable for a task, whatever else runs there.
func (p *placer) admits(t *taskState, r *runner) bool {
	if r.info.Service != t.job.work.Service || !r.usable(p.s.now) || !r.info.HasLabel(t.step().Requires) {
		return false
	}
	suspect := r.reservation()
	return suspect == nil || suspect == t
}

// withinSpreadLimit reports whether the runner may take one more task of the step.
func (p *placer) withinSpreadLimit(t *taskState, r *runner) bool {
	limit := t.step().MaxPerRunner
	if limit == 0 {
		return true
	}
	n := 0
	for k := range r.runs {
		if k.Task.Job == t.name.Job && k.Task.Occurrence == t.name.Occurrence && k.Task.Step == t.name.Step {
			n++
		}
	}
	return n < limit
}

const (
	// Penalties that rank a runner behind all healthy ones.
	suspectPenalty  = 10.0
	failedOnPenalty = 100.0
)

// cost returns the cost of placing a task on a runner. The runner with the lowest cost is chosen.
func (p *placer) cost(t *taskState, r *runner) float64 {
	left := r.free().Minus(t.step().Need).MilliCPU
	c := float64(left) / float64(max(1, r.info.Capacity.MilliCPU))
	pace := r.health.pace() * p.s.remoteFactor(t, r) * p.s.queueRatio(t.job)
	c += missWeight * (1 - completionProbability(t.step().Estimate, pace, t.job.deadline-p.s.now))
	c += lateWeight * (1 - completionProbability(t.step().Estimate, pace, t.job.due-p.s.now))
	relative := r.health.pace() * p.s.remoteFactor(t, r) / p.usualPace(r.info.Service)
	c -= slowRunnerGain * min(relative, maxPreferredPace)
	c += slowRunnerPenalty * max(0, relative-maxPreferredPace)
	if t.job.domain != "" && r.info.Domain != t.job.domain {
		c += remoteDomainPenalty
	}
	if r.health.suspect() {
		c += suspectPenalty * float64(1+len(r.runs))
	}
	for _, f := range t.failedOn {
		if f == r {
			c += failedOnPenalty
		}
	}
	return c
}

// usualPace returns the median pace of a service's runners.
func (p *placer) usualPace(service string) float64 {
	if m, ok := p.median[service]; ok {
		return m
	}
	m := p.s.medianPace(service)
	p.median[service] = m
	return m
}

// medianPace returns the median pace of a service's runners; 1 if there are none.
func (s *Scheduler) medianPace(service string) float64 {
	var paces []float64
	for _, r := range s.runnerList {
		if r.info.Service == service && r.owned {
			paces = append(paces, r.health.pace())
		}
	}
	if len(paces) == 0 {
		return 1
	}
	sort.Float64s(paces)
	return max(paces[len(paces)/2], minPace)
}

// remoteFactor returns the factor by which the task takes longer there for lack of its data.
func (s *Scheduler) remoteFactor(t *taskState, r *runner) float64 {
	if rack := t.step().PreferredRack; rack != "" && rack != r.info.Rack {
		return s.cfg.RemoteFactor
	}
	return 1
}

// overdueAt returns when a run that starts now counts as stuck (see overdueFactor). Each run of the
// task that was stopped as overdue adds as much time again.
func (s *Scheduler) overdueAt(t *taskState, r *runner) Time {
	estimate := float64(t.step().Estimate) * max(1, r.health.pace()*s.queueRatio(t.job)) * s.remoteFactor(t, r)
	limit := time.Duration(estimate)*overdueFactor + overdueSlack
	return s.now + limit*time.Duration(1+t.overstays)
}

// start starts a task on a runner.
func (s *Scheduler) start(t *taskState, r *runner) {
	t.lastNumber++
	t.lastStarted = t.lastNumber
	u := &run{
		key:     workload.RunKey{Task: t.name, Number: t.lastNumber},
		runner:  r,
		task:    t,
		need:    t.step().Need,
		started: s.now,
	}
	u.overdueAt = s.overdueAt(t, r)
	u.expectedEnd = s.now + s.duration(t, r)
	t.job.noteRun(u.key)
	t.run = u
	t.setPhase(running)
	j := t.job
	j.started, j.begun = true, true
	if j.runs == 0 {
		j.firstRun = s.now
	}
	j.runs++
	s.ctr.Starts++
	r.add(u)
	s.closeDrops(u)
	s.noteNextRun(u)
	s.logMissingLists(u)
	s.logStartedAgain(u)
	s.sendStart(u)
	s.hold(r)
}

// sendStart orders the runner of a run to start it.
func (s *Scheduler) sendStart(u *run) {
	r := u.runner
	if u.startAttempts == 0 {
		// A second order has the same lease end, so that the time at which the run is certainly
		// over stays fixed.
		u.leaseEnd = r.leaseEnd(s.now, s.cfg.Lease)
		r.noteLease(s.now, s.cfg.Lease)
	}
	u.startAttempts++
	u.orderedAt, u.orderToken = s.now, r.token
	s.emit(Start{
		Runner:     r.info.ID,
		Address:    r.info.Address,
		Token:      r.token,
		Run:        u.key,
		Spec:       u.task.job.work.Spec,
		Checkpoint: u.task.checkpoint,
		LeaseEnd:   u.leaseEnd,
		Timeout:    s.callTimeout(),
	})
}
