package schedule

import (
	"fmt"
	"hash/fnv"
	"math"
	"sort"
	"time"

	"sapphirepoint.example/sapphirepoint/core/workload"
)

const (
	// packing is the share of all processors that can be in use: tasks take
	// two fifths of a runner or more, so a part of each stays empty.
	packing = 0.8
	// waitTolerance is the share of its objective, in percent, that any job may
	// wait: estimates are off by a factor of 1.5.
	waitTolerance = 15
	// leastChance is the chance of being done in time below which a job is
	// refused: four callers in five would wait for nothing, and the work would
	// be in the way of others.
	leastChance = 0.2
	// retryLeast and retryMost bound when a refused caller may come back.
	retryLeast = time.Second
	retryMost  = 10 * time.Second
)

// latestStart is when a job must begin to end within its objective, if its
// estimate is right. It can be before its arrival.
func (j *job) latestStart() Time { return j.due - j.remaining }

// late reports whether a job has waited too long to end within its objective.
// One whose estimate leaves it no time to wait isn't late as it arrives: it
// needs to begin at once, and estimates are often too long.
func (j *job) late(now Time) bool {
	return now > max(j.latestStart(), j.arrived+j.tolerance())
}

// tolerance is how long any job may wait.
func (j *job) tolerance() time.Duration { return (j.due - j.arrived) * waitTolerance / 100 }

// enqueue puts a job into the queue, which is in the order of latest starts.
func (s *Scheduler) enqueue(j *job) {
	if j.queued || j.ended || j.withdrawn {
		return
	}
	j.queued = true
	at := sort.Search(len(s.queue), func(i int) bool { return j.before(s.queue[i]) })
	s.queue = append(s.queue, nil)
	copy(s.queue[at+1:], s.queue[at:])
	s.queue[at] = j
}

// before is the order of service: what must begin first comes first.
func (j *job) before(o *job) bool {
	if a, b := j.latestStart(), o.latestStart(); a != b {
		return a < b
	}
	return j.work.ID < o.work.ID
}

func (s *Scheduler) dequeue(j *job) {
	if !j.queued {
		return
	}
	j.queued = false
	for i, q := range s.queue {
		if q == j {
			s.queue = append(s.queue[:i], s.queue[i+1:]...)
			return
		}
	}
}

// jobsInOrder lists the jobs by id, so that what is done to each comes in the
// same order every time.
func (s *Scheduler) jobsInOrder() []*job {
	list := make([]*job, 0, len(s.jobs))
	for _, j := range s.jobs {
		list = append(list, j)
	}
	sort.Slice(list, func(a, b int) bool { return list[a].work.ID < list[b].work.ID })
	return list
}

// dispatch starts what can start. Jobs that can still meet their objective come
// first, by their latest start; then those that are late already.
func (s *Scheduler) dispatch() {
	if !s.leading || len(s.queue) == 0 {
		return
	}
	p := newPlacer(s)
	late := make([]*job, 0, len(s.queue))
	queue := append(make([]*job, 0, len(s.queue)), s.queue...)
	for _, j := range queue {
		if j.late(s.now) {
			late = append(late, j)
			continue
		}
		s.startTasks(p, j)
	}
	for _, j := range late {
		s.startTasks(p, j)
	}
}

func (s *Scheduler) startTasks(p *placer, j *job) {
	if j.knownFrom > s.now && !s.allListed(j) {
		return
	}
	for i := range j.work.Steps {
		if !j.ready(i) {
			continue
		}
		for _, t := range j.steps[i] {
			if t.phase != waiting || t.notBefore > s.now {
				continue
			}
			if r := p.place(t); r != nil {
				s.start(t, r)
			}
		}
	}
	if j.waiting == 0 {
		s.dequeue(j)
	}
}

// allListed reports whether all is known that earlier schedulers have started of
// a job. A runner has listed it if it obeys a token of a later term than theirs:
// they can't start anything there any more. So it has if it has listed what it
// runs since the job came, under whatever token: had they used a higher one, it
// would have refused.
func (s *Scheduler) allListed(j *job) bool {
	for _, r := range s.list {
		if r.info.Service != j.work.Service || r.gone {
			continue
		}
		if !r.owned || r.token>>numberBits <= j.term && r.listedAt < j.listsSince {
			return false
		}
	}
	return true
}

// refusal is the reason why a job can't be served in time; "" if it can.
func (s *Scheduler) refusal(j *job) string {
	if j.started {
		return ""
	}
	if s.hopeless(j) {
		return "too little time is left"
	}
	if !s.leading || s.now-s.since < settleTime {
		return ""
	}
	capacity := s.capacity(j.work.Service)
	if capacity == 0 {
		return "no runner can be reached"
	}
	if !s.fitsSomewhere(j) {
		return "no runner has what a task needs"
	}
	wait := s.backlog(j) / time.Duration(capacity)
	if wait > 0 && s.now+wait+j.remaining > j.useless {
		return fmt.Sprintf("wait of %v expected", wait.Round(time.Millisecond))
	}
	return ""
}

// hopeless reports whether a job will hardly be done before its caller leaves,
// even on the fastest runners.
func (s *Scheduler) hopeless(j *job) bool {
	return chance(j.remaining, s.fastestPace(j.work.Service), j.deadline-s.now) < leastChance
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
// core.
func (s *Scheduler) backlog(j *job) time.Duration {
	var sum time.Duration
	for _, q := range s.queue {
		if q.work.Service != j.work.Service || !q.before(j) {
			continue
		}
		sum += q.waitingWork()
	}
	return sum
}

// waitingWork is the work of the tasks of a job that wait.
func (j *job) waitingWork() time.Duration {
	var sum time.Duration
	for i, step := range j.work.Steps {
		n := 0
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

func (s *Scheduler) requeue(t *taskState) {
	t.run = nil
	if t.job.ended {
		return
	}
	t.setPhase(waiting)
	s.enqueue(t.job)
}

// waitingIDs is for the dump.
func (s *Scheduler) waitingIDs() []workload.JobID {
	ids := make([]workload.JobID, len(s.queue))
	for i, j := range s.queue {
		ids[i] = j.work.ID
	}
	return ids
}
