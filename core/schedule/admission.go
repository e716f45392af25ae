package schedule

import (
	"fmt"
	"hash/fnv"
	"math"
	"time"
)

// Admission answers overload, as a burst at full load or a domain left with a
// third of the runners: a job whose answer would be worth nothing by the time
// that its turn comes is refused as it arrives. Its caller learns that at once,
// and its work isn't in the way of those that can be served.

const (
	// packing is the share of all processors that is counted with: tasks are large
	// against a runner, so a part of each stays empty.
	packing = 0.8
	// leastChance is the chance of being done in time below which a job is
	// refused: four callers in five would wait for nothing, and the work would
	// be in the way of others.
	leastChance = 0.2
	// listsTime is how long runners take to list what they run, connections to them
	// being opened first; one that hasn't by then can't be reached.
	listsTime = 150 * time.Millisecond
	// retryLeast and retryMost bound when a refused caller may come back.
	retryLeast = time.Second
	retryMost  = 10 * time.Second
)

// refusal is the reason why a job can't be served in time; "" if it can. Then
// hopeless says that no other scheduler could serve it either.
func (s *Scheduler) refusal(j *job) (reason string, hopeless bool) {
	if j.started {
		return "", false
	}
	if s.hopeless(j) {
		return "too little time is left", true
	}
	if !s.leading {
		return "", false
	}
	if s.closed(j.work.Service) {
		return evacuatedReason, false
	}
	if s.now-s.since < settleTime {
		return "", false
	}
	capacity := s.capacity(j.work.Service)
	if capacity == 0 {
		return "no runner can be reached", false
	}
	if !s.fitsSomewhere(j) {
		return "no runner has what a task needs", false
	}
	wait := s.backlog(j) / time.Duration(capacity)
	if reason := s.overcommitted(j, capacity); reason != "" {
		return reason, false
	}
	if wait > 0 && s.now+wait+j.remaining > j.useless {
		return fmt.Sprintf("wait of %v expected", wait.Round(time.Millisecond)), false
	}
	return "", false
}

// NoRunnersWait is the wait that a scheduler tells of which reaches no runner.
const NoRunnersWait = time.Minute

// Wait is how long all that waits here would take the runners. Other entry VMs go
// by it when their own scheduler has no room.
func (s *Scheduler) Wait() time.Duration {
	capacity, work := 0, time.Duration(0)
	for _, r := range s.list {
		if r.usable(s.now) {
			capacity += r.info.Capacity.MilliCPU
		}
	}
	if capacity == 0 {
		return NoRunnersWait
	}
	for _, j := range s.queue {
		work += s.waitingWork(j)
	}
	return work / time.Duration(max(1, int(float64(capacity)*packing)))
}

// mostBacklog is the longest that all stored jobs of a service that wait may take
// together, those that are late already included. They can't be dropped, so
// without a bound a burst would pile up work that nobody waits for any more. A
// second of it is made up for in the lulls of ten seconds at nine tenths of the
// full load.
const mostBacklog = time.Second

// overcommitted is the reason why no more can be accepted; "" if it can.
func (s *Scheduler) overcommitted(j *job, capacity int) string {
	if !j.work.Stored {
		return ""
	}
	work := s.queuedWork(j.work.Service, func(q *job) bool { return q.stored != nil })
	if backlog := work / time.Duration(capacity); backlog > mostBacklog {
		return fmt.Sprintf("accepted work for %v waits", backlog.Round(time.Millisecond))
	}
	return ""
}

// hopeless reports whether a job will hardly be done before its caller leaves,
// even on the fastest runners. One that is held back, since runners can't be asked
// what they run, doesn't begin before all that an earlier scheduler may have
// started is over.
func (s *Scheduler) hopeless(j *job) bool {
	begin := s.now
	if s.now-j.listsSince > listsTime && s.heldBack(j) {
		begin = max(begin, j.knownFrom)
	}
	return chance(j.remaining, s.fastestPace(j.work.Service), j.deadline-begin) < leastChance
}

func (s *Scheduler) fastestPace(service string) float64 {
	fastest := math.Inf(1)
	for _, r := range s.list {
		if r.info.Service == service && r.usable(s.now) {
			fastest = min(fastest, r.health.pace())
		}
	}
	if math.IsInf(fastest, 1) {
		return 1
	}
	return fastest
}

// capacity is the processors of a service that can be in use, in thousandths.
func (s *Scheduler) capacity(service string) int {
	n := 0
	for _, r := range s.list {
		if r.info.Service == service && r.usable(s.now) {
			n += r.info.Capacity.MilliCPU
		}
	}
	return int(float64(n) * packing)
}

// backlog is the work that waits ahead of a job, in time x thousandths of a
// core. Jobs that are late come after all that aren't; and those that are held
// back, as another scheduler may have started them, wait for that and not for
// room. Counted, they had nearly all jobs of a cut off failure domain refused for
// half a second, while its runners had room.
func (s *Scheduler) backlog(j *job) time.Duration {
	return s.queuedWork(j.work.Service, func(q *job) bool {
		return q.before(j) && !q.late(s.now) && !s.heldBack(q)
	})
}

// queuedWork is the work that waits of some jobs of a service.
func (s *Scheduler) queuedWork(service string, some func(*job) bool) time.Duration {
	var sum time.Duration
	for _, q := range s.queue {
		if q.work.Service == service && some(q) {
			sum += s.waitingWork(q)
		}
	}
	return sum
}

// waitingWork is the work of the tasks of a job that are due and wait.
func (s *Scheduler) waitingWork(j *job) time.Duration {
	var sum time.Duration
	for i := range j.steps {
		if !s.begun(j, i) {
			break
		}
		step, n := j.stepAt(i), 0
		for _, t := range j.steps[i] {
			if t.phase == waiting {
				n++
			}
		}
		sum += step.Estimate * time.Duration(n*step.Need.MilliCPU)
	}
	return sum
}

func (s *Scheduler) fitsSomewhere(j *job) bool {
	for _, step := range j.work.Steps {
		fits := false
		for _, r := range s.list {
			if r.info.Service == j.work.Service && r.info.HasLabel(step.Requires) && step.Need.Fits(r.info.Capacity) {
				fits = true
				break
			}
		}
		if !fits {
			return false
		}
	}
	return true
}

// retryAfter spreads refused callers over the time that the backlog takes: if
// all came back at the same moment they would be refused again.
func (s *Scheduler) retryAfter(j *job) time.Duration {
	wait := retryLeast
	if capacity := s.capacity(j.work.Service); capacity > 0 {
		wait += s.backlog(j) / time.Duration(capacity)
	}
	h := fnv.New32a()
	_, _ = h.Write([]byte(j.work.ID))
	spread := time.Duration(h.Sum32()%1000) * time.Millisecond
	return min(wait+spread*wait/time.Second, retryMost)
}
