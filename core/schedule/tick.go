package schedule

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"sapphirepoint.example/sapphirepoint/core/workload"
)

// Tick does what is due. It is called every few tens of milliseconds.
func (s *Scheduler) Tick(now Time) {
	s.now = now
	s.expire()
	s.tickStored()
	if !s.leading {
		s.tickLimbo()
		return
	}
	for _, r := range s.list {
		s.tickRunner(r)
	}
	for _, j := range s.jobsInOrder() {
		s.tickJob(j)
	}
	s.forgetRunners()
	s.refuseEvacuated()
	s.refuseLate()
	s.dispatch()
}

// tickLimbo refuses jobs that were handed in to a process that doesn't come to
// lead.
func (s *Scheduler) tickLimbo() {
	for _, j := range s.jobsInOrder() {
		if j.stored == nil && s.now-j.arrived > limboWait {
			s.finish(j, workload.GaveUp, "this process doesn't lead")
		}
	}
}

func (s *Scheduler) tickJob(j *job) {
	if j.stored != nil {
		s.tickStoredJob(j)
		return
	}
	switch {
	case j.abandonedAt > 0 && s.now >= j.abandonedAt:
		s.emit(Decision{Event: "job-dropped", Job: j.work.ID, Reason: "entry process ended"})
		s.forget(j)
	case s.now >= j.deadline:
		s.finish(j, workload.NotRun, "time is up")
	case !j.started && (s.hopeless(j) || j.worthless(s.now) && j.late(s.now)):
		s.finish(j, workload.NotRun, "too little time is left")
	case j.idle() && s.hopeless(j):
		// Its caller waits for nothing, and learns that now.
		s.finish(j, workload.NotRun, "too little time is left")
	}
}

func (s *Scheduler) tickRunner(r *runner) {
	if r.gone {
		return
	}
	if r.token == 0 {
		if r.reacquireAt > 0 && s.now >= r.reacquireAt {
			s.outbid(r)
			s.acquire(r)
		}
		return
	}
	if !r.holding && s.now >= r.holdNext {
		s.hold(r)
	}
	if r.inDoubt && s.now > r.aliveUntil && len(r.runs) > 0 {
		s.lapse(r)
		return
	}
	for _, u := range r.inOrder() {
		s.tickRun(r, u)
	}
}

// lapse gives up the runs of a runner that has been silent for longer than
// their leases can last.
func (s *Scheduler) lapse(r *runner) {
	for _, u := range r.inOrder() {
		r.drop(u)
		if u.task == nil {
			continue
		}
		s.ctr.Lapsed++
		s.emit(Decision{Event: "run-lapsed", Job: u.key.Task.Job, Run: u.key, Runner: r.info.ID, Reason: "runner is silent", Age: s.now - r.clockAt})
		if s.now-s.heard[u.task.job.entry] > entryFresh {
			// The entry VM may be cut off together with the runner. Then the
			// scheduler on that side may have taken the run over, and the job
			// will be dropped here in a moment.
			u.task.notBefore = s.now + entryWait
		}
		s.requeueUnseen(u.task)
	}
}

func (s *Scheduler) tickRun(r *runner, u *run) {
	switch {
	case u.stopped && s.now >= u.goneAt && !u.ofStoredJob():
		r.drop(u)
		if u.task != nil {
			s.requeue(u.task)
		}
	case u.found && u.task == nil && !s.custody.loaded && !s.custody.none:
		// It may be that of a stored job, which will be known in a moment. No
		// lease is given meanwhile.
	case u.task == nil && u.stopAt > 0 && s.now >= u.stopAt:
		s.stopRun(u)
	case u.task != nil && !u.stopping && !u.confirmed && u.stopAt > 0:
		s.stopRun(u)
	case u.task != nil && !u.stopping && u.overdueAt > 0 && s.now >= u.overdueAt:
		s.overstay(r, u)
	}
}

// overstay stops a run that takes far longer than estimated, so that it is
// started on another runner: tasks stand still on some runners that are
// otherwise healthy.
func (s *Scheduler) overstay(r *runner, u *run) {
	t := u.task
	if s.now+t.step().Estimate > t.job.deadline {
		return
	}
	s.ctr.Overstayed++
	t.overstays++
	t.failedOn = append(t.failedOn, r)
	r.health.failed(s.now, strikesToClose)
	s.emit(Decision{Event: "run-overdue", Job: u.key.Task.Job, Run: u.key, Runner: r.info.ID, Age: s.now - u.started})
	s.stopRun(u)
}

// expireInterval is how often old entries are looked for among some thousand; nothing is
// harmed if they are kept for that much longer.
const expireInterval = time.Second

// expire forgets old outcomes.
func (s *Scheduler) expire() {
	for len(s.resultOrder) > 0 {
		id := s.resultOrder[0]
		if s.now-s.results[id].at < resultRetention {
			break
		}
		delete(s.results, id)
		s.resultOrder = s.resultOrder[1:]
	}
	if s.now-s.expiredAt < expireInterval {
		return
	}
	s.expiredAt = s.now
	dropBefore(s.cancelled, s.now-resultRetention)
	dropBefore(s.missing, s.now-UnreachableTimeout)
	dropBefore(s.ran, s.now-ranRetention)
	dropBefore(s.unstored, s.now-ranRetention)
	dropBefore(s.found, s.now-s.cfg.Resend-limboWait)
}

func dropBefore[K comparable](m map[K]Time, oldest Time) {
	maps.DeleteFunc(m, func(_ K, at Time) bool { return at < oldest })
}

// inOrder lists the runs by their keys.
func (r *runner) inOrder() []*run {
	return slices.SortedFunc(maps.Values(r.runs), compareRuns)
}

func compareRuns(a, b *run) int { return compareKeys(a.key, b.key) }

func compareKeys(a, b workload.RunKey) int {
	return cmp.Or(
		cmp.Compare(a.Task.Job, b.Task.Job),
		cmp.Compare(a.Task.Occurrence, b.Task.Occurrence),
		cmp.Compare(a.Task.Step, b.Task.Step),
		cmp.Compare(a.Task.Index, b.Task.Index),
		cmp.Compare(a.Number, b.Number),
	)
}
