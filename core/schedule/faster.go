package schedule

import (
	"cmp"
	"slices"
	"time"

	"sapphirepoint.example/sapphirepoint/core/workload"
)

// A task that finds room only on slow runners may wait until a faster one has room. The slow runner
// is left to a task that has more time.

const (
	// minWaitGain is how much more probable it must be on the faster runner that a task ends within
	// its job's objective, for the task to wait. Estimates are off by a factor of 1.5, so small
	// gains are uncertain.
	minWaitGain = 0.35
	// maxWaiting bounds the tasks that wait for faster runners in one call of dispatch, and so
	// the time for the search.
	maxWaiting = 64
	// overrunShare is how much longer a run is assumed to take that has taken longer than expected,
	// as a share of the time that it has taken.
	overrunShare = 0.25
)

// occupancy is the use of a part of a runner's resources until they are free again.
type occupancy struct {
	until Time
	need  workload.Resources
}

// runnerOccupancy is what is free on a runner, and what its runs and the tasks that wait for it
// occupy, ordered by the end. free is negative while more tasks wait for the runner than have room.
type runnerOccupancy struct {
	free     workload.Resources
	occupied []occupancy
}

func compareOccupancies(a, b occupancy) int {
	return cmp.Or(cmp.Compare(a.until, b.until), cmp.Compare(a.need.MilliCPU, b.need.MilliCPU), cmp.Compare(a.need.MemoryMB, b.need.MemoryMB))
}

// occupy adds the occupancy of a task that has been started or waits.
func (l *runnerOccupancy) occupy(until Time, need workload.Resources) {
	l.free = l.free.Minus(need)
	o := occupancy{until, need}
	at, _ := slices.BinarySearchFunc(l.occupied, o, compareOccupancies)
	l.occupied = slices.Insert(l.occupied, at, o)
}

// waitsForFaster reports whether a task should wait for a faster runner than the best one that has
// room, and reserves the room that it waits for.
func (p *placer) waitsForFaster(t *taskState, best *runner) bool {
	if p.waiting >= maxWaiting || t.job.stored != nil {
		return false
	}
	minProbability := p.inTime(t, best, p.s.now) + minWaitGain
	if minProbability >= 1 {
		return false
	}
	faster, from, end := p.firstToEnd(t, best)
	if faster == nil || p.inTime(t, faster, from) <= minProbability {
		return false
	}
	p.waiting++
	p.occupancyOf(faster).occupy(end, t.step().Need)
	return true
}

// firstToEnd returns, of the runners that are faster than another one and have no room now, the one
// on which a task is expected to end first, and when it would start and end there; nil if there is
// none.
func (p *placer) firstToEnd(t *taskState, than *runner) (first *runner, from, end Time) {
	for _, r := range p.s.runnerList {
		if r.health.pace() >= than.health.pace() || !p.mayWaitFor(t, r) {
			continue
		}
		at := p.freeAt(r, t.step().Need)
		if e := at + p.s.duration(t, r); first == nil || e < end {
			first, from, end = r, at, e
		}
	}
	return first, from, end
}

// mayWaitFor reports whether a runner has no room for a task now, and the task would be started
// there if it had. A runner that has room isn't waited for: placement preferred another one to it.
func (p *placer) mayWaitFor(t *taskState, r *runner) bool {
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
	list := p.occupancyOf(r)
	free, at := list.free, p.s.now
	for _, o := range list.occupied {
		if need.Fits(free) {
			break
		}
		free, at = free.Plus(o.need), max(at, o.until)
	}
	return at
}

// occupancyOf returns the occupancy of a runner. It is computed once in a call of dispatch.
func (p *placer) occupancyOf(r *runner) *runnerOccupancy {
	list := p.occupied[r]
	if list != nil {
		return list
	}
	list = &runnerOccupancy{free: r.free(), occupied: make([]occupancy, 0, len(r.runs)+1)}
	for _, u := range r.runs {
		end := u.expectedEnd
		if end < p.s.now {
			end = p.s.now + time.Duration(overrunShare*float64(p.s.now-u.started))
		}
		list.occupied = append(list.occupied, occupancy{end, u.need})
	}
	slices.SortFunc(list.occupied, compareOccupancies)
	p.occupied[r] = list
	return list
}

// noteStart adds the occupancy of a task that has been started.
func (p *placer) noteStart(u *run) {
	if list := p.occupied[u.runner]; list != nil {
		list.occupy(u.expectedEnd, u.need)
	}
}
