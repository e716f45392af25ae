package schedule

import (
	"cmp"
	"maps"
	"slices"
	"sort"
	"time"

	"sapphirepoint.example/sapphirepoint/core/workload"
)

// The order of service answers bursts of short jobs beside long ones: what must
// begin first to end within its objective comes first, so that a long job that
// came first isn't overtaken without end, and a short one isn't held up by its
// length.

// toleratedWaitPercent is the share of its objective, in percent, that any job may
// wait: estimates are off by a factor of 1.5.
const toleratedWaitPercent = 15

// latestStart is when a job must begin to end within its objective, if its
// estimate is right. It can be before its arrival.
func (j *job) latestStart() Time { return j.due - j.remaining }

// latenessPercent is the share of its estimate, in percent, that a job needs to end
// within its objective two times in three: estimates spread by estimateSpread.
const latenessPercent = 125

// late reports whether a job has waited too long to end within its objective.
// One whose estimate leaves it no time to wait isn't late as it arrives: it
// needs to begin at once, and estimates are often too long.
//
// It counts as late while it still has an even chance. With more to do than there
// is room, all jobs would else begin at their latest start, and half of them come
// late; others, that have just come, would have ended in time in their place.
func (j *job) late(now Time) bool {
	latest := j.due - j.remaining*latenessPercent/100
	return now > max(latest, j.arrived+j.tolerance())
}

// tolerance is how long any job may wait.
func (j *job) tolerance() time.Duration { return (j.due - j.arrived) * toleratedWaitPercent / 100 }

// enqueue puts a job into the queue, which is in the order of latest starts.
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

// queuedServices lists the services of the jobs that wait, in order.
func (s *Scheduler) queuedServices() []string {
	services := make(map[string]bool)
	for _, j := range s.queue {
		services[j.work.Service] = true
	}
	return sortedKeys(services)
}

// sortedJobs lists the jobs by id, so that what is done to each comes in the
// same order every time.
func (s *Scheduler) sortedJobs() []*job {
	return slices.SortedFunc(maps.Values(s.jobs), func(a, b *job) int { return cmp.Compare(a.work.ID, b.work.ID) })
}

// worthless reports whether a job, if its estimate is right, ends so late that its
// answer is worth nothing any more.
func (j *job) worthless(now Time) bool { return now+j.remaining > j.worthlessAt }

// partlyDone reports whether some tasks of a job have been started, so that what they have
// done would be for nothing if the others came too late.
func (j *job) partlyDone() bool { return j.stored == nil && j.begun }

// dispatch starts what can start. Jobs that can still meet their objective, and those
// of which a part has been done, come first, by their latest start; then those that are
// late already; then those whose answers will be worth nothing, with what room is left.
//
// Where tasks need half a runner a wide job gets its places one by one. Put behind all
// others when it turns late, it would keep the places that it has, and end after its
// caller has left, who can't be told that nothing was run.
//
// After half a second without a scheduler, at full load, some hundred jobs that
// were handed over wait beside the new ones, and the room is made up for only in
// seconds. Served in the order of their age, nearly all of them and of those behind
// them would come too late.
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

func (s *Scheduler) startTasks(p *placer, j *job) {
	if s.heldBack(j) {
		return
	}
	for i := range j.steps {
		if !s.occurrenceDue(j, i) {
			break
		}
		if !j.ready(i) || p.full(j.stepAt(i), j.work.Service) {
			continue
		}
		for _, t := range j.steps[i] {
			if t.phase != waiting || t.notBefore > s.now || s.unseenUnsaved(t) {
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

// heldBack reports whether nothing of a job is to be started yet, since schedulers
// before may have started it or another one may have it.
func (s *Scheduler) heldBack(j *job) bool {
	switch {
	case j.stored == nil && s.now-s.lastHeard[j.entry] > maxHeartbeatAge:
		// Its entry VM may have missed this process before it is missed here, and
		// have given the job to a scheduler that sees only what runs by now.
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

// allListed reports whether all is known that earlier schedulers have started of
// a job: each runner has listed what it runs since the job came. Had they used a
// higher token there, it would have refused; and what they haven't started by
// then they won't, since the job was withdrawn from them before.
//
// That a runner obeys a later term than theirs isn't enough: as a cut heals they
// may have raised their own and taken the runner back, unknown to this one.
func (s *Scheduler) allListed(j *job) bool {
	for _, r := range s.runnerList {
		if r.info.Service != j.work.Service || r.gone {
			continue
		}
		if !r.owned || r.listAsOf < j.listsNeededSince {
			return false
		}
	}
	return true
}

func (s *Scheduler) requeue(t *taskState) {
	t.run = nil
	if t.job.ended {
		return
	}
	t.setPhase(waiting)
	s.enqueue(t.job)
}

// requeueUnseen puts a task back whose run is out of sight. That run may have ended
// well, and another process that takes the shard may see its end, keep the runner's
// lease alive and acknowledge it. So the store has to know first that the task is
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

// unseenUnsaved reports whether a task waits for the store to know that it is started
// again. While the store is away for all nobody takes the shard.
func (s *Scheduler) unseenUnsaved(t *taskState) bool {
	st := t.job.stored
	if st == nil || !t.unseen || st.saved >= st.unseenSaved {
		return false
	}
	return s.rows.failingFor <= storeFailureThreshold || !s.uncontested()
}

// waitingIDs is for the dump.
func (s *Scheduler) waitingIDs() []workload.JobID {
	ids := make([]workload.JobID, len(s.queue))
	for i, j := range s.queue {
		ids[i] = j.work.ID
	}
	return ids
}
