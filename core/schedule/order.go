package schedule

import (
	"cmp"
	"sort"
	"time"

	"sapphirepoint.example/sapphirepoint/core/ordered"
	"sapphirepoint.example/sapphirepoint/core/workload"
)

// The order of service is made for bursts of short jobs beside long ones. The job that must start
// first to end within its objective comes first, so that a long job isn't overtaken indefinitely
// by later short ones, and a short one isn't delayed by the length of a long one.

// toleratedWaitPercent is the share of its objective that any job may wait: estimates are off by a
// factor of 1.5.
const toleratedWaitPercent = 15

// latestStart returns when a job must start to end within its objective, if its estimate is right.
// That can be before its arrival.
func (j *job) latestStart() Time { return j.due - j.remaining }

// latenessPercent is the share of its estimate that a job needs to end within its objective two
// times in three, since estimates spread by estimateSpread.
const latenessPercent = 125

// late reports whether a job has waited too long to end within its objective. A job whose estimate
// leaves it no time to wait isn't late on arrival: it must start at once, and estimates are often
// too long.
//
// A job already counts as late while it still has an even chance to end within its objective.
// Otherwise, with more work than room, all jobs would start at their latest start and half of them
// would end late, while jobs that have just arrived would have ended in time in their place.
func (j *job) late(now Time) bool { return now > j.lateAt() }

// lateAt returns when a job turns late unless it has begun.
func (j *job) lateAt() Time {
	latest := j.due - j.remaining*latenessPercent/100
	return max(latest, j.arrived+j.tolerance())
}

// tolerance returns how long any job may wait.
func (j *job) tolerance() time.Duration { return (j.due - j.arrived) * toleratedWaitPercent / 100 }

// enqueue inserts a job into the queue, which is ordered by latest start.
func (s *Scheduler) enqueue(j *job) {
	if j.queued || j.ended || j.withdrawn || j.stored != nil && !j.stored.accepted {
		return
	}
	j.queued = true
	at := sort.Search(len(s.queue), func(i int) bool { return j.before(s.queue[i]) })
	s.queue = append(s.queue, nil)
	copy(s.queue[at+1:], s.queue[at:])
	s.queue[at] = j
}

// before is the order of service: by latest start, then by id.
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

// queuedServices lists the services of the queued jobs in order.
func (s *Scheduler) queuedServices() []string {
	services := make(map[string]bool)
	for _, j := range s.queue {
		services[j.work.Service] = true
	}
	return sortedKeys(services)
}

// sortedJobs lists the jobs by id, so that the commands for them come in a fixed order.
func (s *Scheduler) sortedJobs() []*job {
	return ordered.Values(s.jobs, func(a, b *job) int { return cmp.Compare(a.work.ID, b.work.ID) })
}

// worthless reports whether a job, if its estimate is right, ends so late that its answer has no
// value any more.
func (j *job) worthless(now Time) bool { return now+j.remaining > j.worthlessAt }

// partlyDone reports whether tasks of a job that isn't stored have been started. Their work would
// be wasted if the other tasks came too late.
func (j *job) partlyDone() bool { return j.stored == nil && j.begun }

// dispatch starts the tasks that can start. Jobs that can still meet their objective, and those
// that are partly done, come first, by their latest start; then jobs that are late; then, with the
// remaining room, those whose answers will have no value.
//
// A partly done job keeps its position when it turns late, until its answer will have no value.
// Where a task needs half a runner, a job with many tasks gets its places one by one. If such a job
// moved behind all others once it is late, it would hold the places that it has and end after its
// caller has left, and the caller couldn't be told that nothing was run.
//
// Other late jobs move behind those that aren't late, so that a backlog doesn't make nearly all
// jobs late. After half a second without a leader at full load, some hundred jobs that were handed
// over wait beside the new ones, and it takes seconds to work off that backlog. Served in the order
// of their age, nearly all of these jobs, and of those behind them, would come too late.
func (s *Scheduler) dispatch() {
	if !s.leading || len(s.queue) == 0 {
		return
	}
	p := newPlacer(s)
	late := make([]*job, 0, len(s.queue))
	var worthless []*job
	queue := append(make([]*job, 0, len(s.queue)), s.queue...)
	for _, j := range queue {
		switch {
		case j.stored == nil && j.worthless(s.now) && j.late(s.now):
			worthless = append(worthless, j)
		case j.late(s.now) && !j.partlyDone():
			late = append(late, j)
		default:
			s.startTasks(p, j)
		}
	}
	for _, j := range append(late, worthless...) {
		s.startTasks(p, j)
	}
}

// startTasks starts the waiting tasks of a job that may be started now, as far as there is room.
func (s *Scheduler) startTasks(p *placer, j *job) {
	if s.heldBack(j) || s.failIfCrashing(j) {
		return
	}
	for i := range j.steps {
		if !s.occurrenceDue(j, i) {
			break
		}
		// A suspect gets a reservation where there is no room.
		full := len(j.tasksWithLosses) == 0 && p.full(j.stepAt(i), j.work.Service)
		if !j.ready(i) || full || p.stepMayRun(j, i) {
			continue
		}
		for _, t := range j.steps[i] {
			if t.phase != waiting || t.notBefore > s.now || s.unseenUnsaved(t) || s.lostRunAlive(t) {
				continue
			}
			if s.awaitsCrashEvidence(t) {
				continue
			}
			if r := p.choose(t); r != nil {
				s.start(t, r)
				p.noteStart(t.run)
			}
		}
	}
	if j.waiting == 0 {
		s.dequeue(j)
	}
}

// heldBack reports whether no task of a job may be started yet, since an earlier scheduler may have
// started it or another one may have it.
func (s *Scheduler) heldBack(j *job) bool {
	switch {
	case j.stored == nil && s.mayLose(j.entry):
		return true
	case s.mayBeResent(j):
		return true
	case j.priorSchedulers > 0 && s.now < s.progressWaitUntil:
		return true
	case j.stored == nil:
		return s.now < j.priorRunsOverAt && !s.allListed(j)
	case s.now < j.priorRunsOverAt || !s.ownsRows():
		return true
	}
	return j.priorSchedulers > 0 && s.now < s.rows.priorRunsOverAt+maxPriorRunLife && !s.allListed(j)
}

// allListed reports whether all runs of a job that earlier schedulers have started are known: each
// runner has listed its runs since the job arrived. If those schedulers had used a higher token
// there, the runner would have refused to list them; and they start nothing later, since the job
// was withdrawn from them before.
//
// That a runner accepts a later term than theirs isn't sufficient: when a partition heals, they may
// have raised their own term and taken the runner back without this scheduler's knowledge.
func (s *Scheduler) allListed(j *job) bool {
	for _, r := range s.runnerList {
		if r.info.Service != j.work.Service || r.gone {
			continue
		}
		if !r.owned || r.listAsOf < s.handoverListSince(r, j) {
			return false
		}
	}
	return true
}

// requeue returns a task whose run is over, or was never begun, to the queue.
func (s *Scheduler) requeue(t *taskState) {
	t.run = nil
	if t.job.ended {
		return
	}
	t.setPhase(waiting)
	s.enqueue(t.job)
	s.adoptOrphanOf(t)
}

// adoptOrphanOf assigns a known orphan of a waiting task to that task, which isn't started again while the
// run may be alive.
func (s *Scheduler) adoptOrphanOf(t *taskState) {
	for _, r := range s.runnerList {
		for _, u := range r.orphansOf(t.job.work.ID) {
			if u.key.Task == t.name && t.phase == waiting {
				s.adopt(t.job, u)
			}
		}
	}
}

// requeueUnseen returns a task to the queue after contact with its run was lost. The run may have
// ended successfully, and another process that takes the shard may read its end, renew the
// runner's lease and acknowledge the end. So the restart must be in the store before the task is
// started again.
func (s *Scheduler) requeueUnseen(t *taskState) {
	t.unseen = true
	if j := t.job; j.stored != nil && !j.ended && !j.stored.unseen {
		j.stored.unseen, j.restarted = true, true
		s.save(j)
		j.stored.unseenSaved = j.stored.saving
	}
	s.requeue(t)
}

// unseenUnsaved reports whether a task waits until its restart is in the store. While the store is
// unavailable to all processes none can take the shard, so the task doesn't wait.
func (s *Scheduler) unseenUnsaved(t *taskState) bool {
	st := t.job.stored
	if st == nil || !t.unseen || st.saved >= st.unseenSaved {
		return false
	}
	return s.rows.failingFor <= storeFailureThreshold || !s.uncontested()
}

// waitingIDs lists the ids of the queued jobs for the dump.
func (s *Scheduler) waitingIDs() []workload.JobID {
	ids := make([]workload.JobID, len(s.queue))
	for i, j := range s.queue {
		ids[i] = j.work.ID
	}
	return ids
}
