package schedule

import (
	"cmp"
	"slices"
	"time"

	"sapphirepoint.example/sapphirepoint/core/workload"
)

// A task that finds room only on slow runners may wait for a faster one. The slow runner is left
// to a task that has more time.

const (
	// waitGain is the gain in the probability that the task ends within its job's objective from
	// which it waits. Estimates are off by a factor of 1.5, so small gains are uncertain.
	waitGain = 0.35
	// maxWaiting bounds the tasks that wait for faster runners in one call of dispatch, and so
	// the time for the search.
	maxWaiting = 64
	// overrunShare is the share of its elapsed time that a run which has taken longer than
	// expected is assumed to take still.
	overrunShare = 0.25
)

// claim is the use of a runner's resources until they are free again.
type claim struct {
	until Time
	need  workload.Resources
}

// claimList is what is free on a runner, and the claims of its runs and of the tasks that wait for
// it, ordered by their ends.
type claimList struct {
	free   workload.Resources
	claims []claim
}

func compareClaims(a, b claim) int {
	return cmp.Or(cmp.Compare(a.until, b.until), cmp.Compare(a.need.MilliCPU, b.need.MilliCPU), cmp.Compare(a.need.MemoryMB, b.need.MemoryMB))
}

// reserve adds the claim of a task that waits.
func (l *claimList) reserve(until Time, need workload.Resources) {
	l.free = l.free.Minus(need)
	c := claim{until, need}
	at, _ := slices.BinarySearchFunc(l.claims, c, compareClaims)
	l.claims = slices.Insert(l.claims, at, c)
}

// waitsForFaster reports whether a task should wait for a faster runner than the best one that has
// room, and reserves the room that it waits for.
func (p *placer) waitsForFaster(t *taskState, best *runner) bool {
	if p.waiting >= maxWaiting || t.job.stored != nil {
		return false
	}
	most := p.inTime(t, best, p.s.now) + waitGain
	if most >= 1 {
		return false
	}
	var fastest *runner
	var from, ends Time
	for _, r := range p.s.runnerList {
		if r.health.pace() >= best.health.pace() || !p.worthWaiting(t, r) {
			continue
		}
		at := p.freeAt(r, t.step().Need)
		if end := at + p.s.duration(t, r); fastest == nil || end < ends {
			fastest, from, ends = r, at, end
		}
	}
	if fastest == nil || p.inTime(t, fastest, from) <= most {
		return false
	}
	p.waiting++
	p.claims(fastest).reserve(ends, t.step().Need)
	return true
}

// worthWaiting reports whether a task would be started on a runner if it had room. One that has
// room now was not the best one.
func (p *placer) worthWaiting(t *taskState, r *runner) bool {
	step := t.step()
	return r.info.Service == t.job.work.Service && r.usable(p.s.now) && !r.health.suspect() && !slices.Contains(t.failedOn, r) &&
		step.Need.Fits(r.info.Capacity) && !step.Need.Fits(r.free()) && r.info.HasLabel(step.Requires) && p.withinSpreadLimit(t, r)
}

// duration returns how long a task is expected to run on a runner.
func (s *Scheduler) duration(t *taskState, r *runner) time.Duration {
	return time.Duration(float64(s.expected(t, r)) * r.health.pace())
}

// inTime is the probability that a task which starts on a runner at a time ends within its job's
// objective.
func (p *placer) inTime(t *taskState, r *runner, at Time) float64 {
	return completionProbability(p.s.duration(t, r), 1, t.job.due-at)
}

// freeAt returns when a runner is expected to have room for a need, after its runs and the tasks
// that wait for it.
func (p *placer) freeAt(r *runner, need workload.Resources) Time {
	list := p.claims(r)
	free, at := list.free, p.s.now
	for _, c := range list.claims {
		if need.Fits(free) {
			break
		}
		free, at = free.Plus(c.need), max(at, c.until)
	}
	return at
}

// claims returns the claims on a runner.
func (p *placer) claims(r *runner) *claimList {
	list := p.claimed[r]
	if list != nil {
		return list
	}
	list = &claimList{free: r.free(), claims: make([]claim, 0, len(r.runs)+1)}
	for _, u := range r.runs {
		end := u.expectedEnd
		if end < p.s.now {
			end = p.s.now + time.Duration(overrunShare*float64(p.s.now-u.started))
		}
		list.claims = append(list.claims, claim{end, u.need})
	}
	slices.SortFunc(list.claims, compareClaims)
	p.claimed[r] = list
	return list
}

// noteStart adds the claim of a task that has been started.
func (p *placer) noteStart(u *run) {
	if list := p.claimed[u.runner]; list != nil {
		list.reserve(u.expectedEnd, u.need)
	}
}
