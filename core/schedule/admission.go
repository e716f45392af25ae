package schedule

import (
	"fmt"
	"hash/fnv"
	"math"
	"time"

	"sapphirepoint.example/sapphirepoint/core/workload"
)

// Admission control handles overload, such as a burst at full load or a failure domain left with
// a third of its runners. A job whose answer would have no value by the time of its turn is
// refused on arrival. Its caller learns that at once, and its work doesn't delay jobs that can
// be served.

const (
	// usableShare is the share of all processors that counts as capacity: tasks are large
	// compared with a runner, so a part of each runner stays unused.
	usableShare = 0.8
	// minCompletionProbability is the probability of completion in time below which a job is
	// refused: four callers in five would wait in vain, and the work would delay other jobs.
	minCompletionProbability = 0.2
	// listTimeout is how long runners take to list their runs, including the opening of
	// connections. A runner that hasn't listed them by then is unreachable.
	listTimeout = 150 * time.Millisecond
	// minRetryAfter and maxRetryAfter bound the retry delay given to refused callers.
	minRetryAfter = time.Second
	maxRetryAfter = 10 * time.Second
)

// refusal returns why a job can't be served in time; NotRefused and "" if it can. After
// TooLittleTime, no other scheduler could serve it either.
func (s *Scheduler) refusal(j *job) (cause workload.RefusalCause, reason string) {
	if j.started {
		return workload.NotRefused, ""
	}
	if s.hopeless(j) {
		return workload.TooLittleTime, "too little time is left"
	}
	if !s.leading || s.mayBeResent(j) {
		// A job that may have a run here isn't sent to another shard, which doesn't know of it.
		return workload.NotRefused, ""
	}
	if s.lacksMemory(j) {
		return workload.LackOfMemory, "other jobs take the memory"
	}
	if s.allEvacuated(j.work.Service) {
		return workload.RunnersEvacuated, evacuatedReason
	}
	if s.now-s.leadingSince < warmUpTime {
		return workload.NotRefused, ""
	}
	capacity := s.capacity(j.work.Service)
	if capacity == 0 {
		return workload.NoRunner, "no runner can be reached"
	}
	if !s.fitsSomewhere(j) {
		return workload.NoFittingRunner, "no runner has what a task needs"
	}
	wait := (s.backlog(j) + s.promisedWork(j.work.Service)) / time.Duration(capacity)
	if reason := s.overcommitted(j, capacity); reason != "" {
		return workload.LackOfRoom, reason
	}
	if wait > 0 && s.now+wait+s.expectedRun(j) > j.worthlessAt {
		return workload.LackOfRoom, fmt.Sprintf("wait of %v expected", wait.Round(time.Millisecond))
	}
	return workload.NotRefused, ""
}

// NoRunnersWait is the expected wait reported by a scheduler without reachable runners.
const NoRunnersWait = time.Minute

// ExpectedWait returns how long the runners would take for all waiting and promised work. Other entry
// VMs choose a shard by it when their own scheduler has no room.
func (s *Scheduler) ExpectedWait() time.Duration {
	capacity, work := 0.0, s.promisedWork("")
	for _, r := range s.runnerList {
		if r.usable(s.now) {
			capacity += r.speed()
		}
	}
	if capacity == 0 {
		return NoRunnersWait
	}
	for _, j := range s.queue {
		work = addWork(work, s.waitingWork(j))
	}
	return work / time.Duration(max(1, int(capacity*usableShare)))
}

// maxBacklog is the longest that the waiting stored jobs of one service, late ones included, may
// take together. They can't be dropped, so without a bound a burst would pile up work that no
// caller waits for any more. At nine tenths of full load a backlog of one second is worked off
// in ten seconds.
const maxBacklog = time.Second

// overcommitted returns the reason why no more stored jobs can be accepted; "" if they can.
func (s *Scheduler) overcommitted(j *job, capacity int) string {
	if !j.work.Stored {
		return ""
	}
	work := s.queuedWork(j.work.Service, func(q *job) bool { return q.stored != nil })
	if backlog := work / time.Duration(capacity); backlog > maxBacklog {
		return fmt.Sprintf("accepted work for %v waits", backlog.Round(time.Millisecond))
	}
	return ""
}

// hopeless reports whether a job is unlikely to complete before its caller leaves, even on the
// fastest runners. A job that is held back because runners can't be asked for their runs doesn't
// begin before every run that an earlier scheduler may have started is over.
func (s *Scheduler) hopeless(j *job) bool {
	begin := s.now
	if s.now-j.listsNeededSince > listTimeout && s.heldBack(j) {
		begin = max(begin, j.priorRunsOverAt)
	}
	return completionProbability(j.expected, s.fastestPace(j.work.Service), j.deadline-begin) < minCompletionProbability
}

// fastestPace returns the lowest pace of a service's usable runners; 1 if there are none.
func (s *Scheduler) fastestPace(service string) float64 {
	fastest := math.Inf(1)
	for _, r := range s.runnerList {
		if r.info.Service == service && r.usable(s.now) {
			fastest = min(fastest, r.health.pace())
		}
	}
	if math.IsInf(fastest, 1) {
		return 1
	}
	return fastest
}

// capacity returns the usable processors of a service, weighted by speed, in thousandths of a core.
func (s *Scheduler) capacity(service string) int {
	n := 0.0
	for _, r := range s.runnerList {
		if r.info.Service == service && r.usable(s.now) {
			n += r.speed()
		}
	}
	return int(n * usableShare)
}

// backlog returns the work that waits ahead of a job, in time x thousandths of a core. Three kinds of
// jobs aren't counted:
//
//   - Late jobs, since they come after all others.
//   - Jobs that had no room here on arrival and wait for room in another shard (see job.awaitsRoom).
//   - Jobs that are held back because another scheduler may have started them, since they don't wait
//     for room. With them nearly all jobs of a cut off failure domain would be refused for half a
//     second while its runners have room.
func (s *Scheduler) backlog(j *job) time.Duration {
	return s.queuedWork(j.work.Service, func(q *job) bool {
		return q.before(j) && !q.late(s.now) && !s.heldBack(q) && !q.awaitsRoom
	})
}

// queuedWork returns the waiting work of the jobs of a service that a filter selects.
func (s *Scheduler) queuedWork(service string, filter func(*job) bool) time.Duration {
	var sum time.Duration
	for _, q := range s.queue {
		if q.work.Service == service && filter(q) {
			sum = addWork(sum, s.waitingWork(q))
		}
	}
	return sum
}

// maxWork is the largest amount of work that is counted, in time x thousandths of a core; more counts as that. The sum of
// two such amounts doesn't overflow.
const maxWork = time.Duration(math.MaxInt64 / 2)

// addWork returns the sum of two amounts of work, at most maxWork.
func addWork(a, b time.Duration) time.Duration { return min(a+b, maxWork) }

// workOf returns the work that takes a number of thousandths of a core for a time, at most maxWork.
func workOf(d time.Duration, milliCPU int) time.Duration {
	if milliCPU > 0 && d > maxWork/time.Duration(milliCPU) {
		return maxWork
	}
	return d * time.Duration(milliCPU)
}

// waitingWork returns the work of a job's waiting tasks whose occurrences are due.
func (s *Scheduler) waitingWork(j *job) time.Duration {
	var sum time.Duration
	ratio := s.queueRatio(j)
	for i := range j.steps {
		if !s.occurrenceDue(j, i) {
			break
		}
		step, n := j.stepAt(i), 0
		for _, t := range j.steps[i] {
			if t.phase == waiting {
				n++
			}
		}
		sum = addWork(sum, workOf(time.Duration(float64(step.Estimate)*ratio), n*step.Need.MilliCPU))
	}
	return sum
}

func (s *Scheduler) fitsSomewhere(j *job) bool {
	for _, step := range j.work.Steps {
		fits := false
		for _, r := range s.runnerList {
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

// retryAfter spreads refused callers over the time that the backlog takes: if all returned at the
// same moment they would be refused again.
func (s *Scheduler) retryAfter(j *job) time.Duration {
	wait := minRetryAfter
	if capacity := s.capacity(j.work.Service); capacity > 0 {
		wait += s.backlog(j) / time.Duration(capacity)
	}
	h := fnv.New32a()
	_, _ = h.Write([]byte(j.work.ID))
	wait = min(wait, maxRetryAfter)
	return min(wait+wait*time.Duration(h.Sum32()%1000)/1000, maxRetryAfter)
}
