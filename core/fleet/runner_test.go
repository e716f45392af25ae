package fleet_test

import (
	"time"

	"sapphirepoint.example/sapphirepoint/core/schedule"
	"sapphirepoint.example/sapphirepoint/core/workload"
)

// fakeRunner keeps the promises of a runner in virtual time: it obeys the
// highest token, kills what runs when the lease ends on its own clock, lists
// ends until they are acknowledged, and never starts a run that was stopped.
type fakeRunner struct {
	w    *world
	info workload.Runner
	// rate is the speed of its clock, offset its reading at time 0.
	rate   float64
	offset int64
	// pace times a task's work is its run time.
	pace float64
	// hangs: tasks stand still. fails: they fail at once.
	hangs, fails bool
	// lateShare of the orders stay unanswered and are carried out seconds
	// later.
	lateShare float64
	// muteShare of the orders are carried out and not answered.
	muteShare float64
	down      bool
	// born is the start of its lifetime.
	born int64
	// started counts its runs.
	started int

	token    uint64
	leaseEnd int64
	runs     map[workload.RunKey]*fakeRun
	sealed   map[workload.TaskName]int
	ends     []fakeEnd
	lastEnd  uint64
	waiting  []*waitingHold
}

// fakeEnd is an end that isn't acknowledged.
type fakeEnd struct {
	workload.End
	at time.Duration
	// lapsed: the runner's lease has ended since.
	lapsed bool
}

type fakeRun struct {
	need    workload.Resources
	stopped bool
}

type waitingHold struct {
	done   bool
	answer func(schedule.HoldResult)
	hold   schedule.Hold
}

func (r *fakeRunner) clock() int64 {
	return r.offset + int64(float64(r.w.now.Milliseconds())*r.rate)
}

// until is how long by the world's time until the runner's clock reads ms.
func (r *fakeRunner) until(ms int64) time.Duration {
	return time.Duration(float64(ms-r.clock())/r.rate*float64(time.Millisecond)) + time.Millisecond
}

// see checks a token; false means that the order is refused.
func (r *fakeRunner) see(token uint64) bool {
	if token < r.token {
		return false
	}
	r.token = token
	return true
}

const holdMax = 1000

func (r *fakeRunner) grant(leaseEnd int64) {
	leaseEnd = min(leaseEnd, r.clock()+holdMax)
	if leaseEnd <= r.leaseEnd {
		return
	}
	r.leaseEnd = leaseEnd
	born := r.born
	r.w.after(r.until(leaseEnd), func() {
		if r.clock() < r.leaseEnd || r.born != born {
			return
		}
		for i := range r.ends {
			r.ends[i].lapsed = true
		}
		for _, k := range r.w.sortedRuns(r) {
			r.end(k, workload.LeaseExpired)
		}
	})
}

func (r *fakeRunner) start(c schedule.Start) schedule.CallOutcome {
	if !r.see(c.Token) {
		return schedule.Fenced
	}
	if r.runs[c.Run] != nil {
		r.grant(c.LeaseEnd)
		return schedule.Accepted
	}
	if c.Run.Number <= r.sealed[c.Run.Task] {
		return schedule.Outdated
	}
	if c.LeaseEnd <= r.clock() {
		return schedule.TooLate
	}
	j := r.w.jobs[c.Run.Task.Job]
	need := j.work.Steps[c.Run.Task.Step].Need
	used := workload.Resources{}
	for _, u := range r.runs {
		used = used.Plus(u.need)
	}
	r.grant(c.LeaseEnd)
	if !need.Fits(r.info.Capacity.Minus(used)) {
		return schedule.NoRoom
	}
	r.runs[c.Run] = &fakeRun{need: need}
	r.started++
	r.w.truth.started(r, c.Run)
	if r.hangs {
		return schedule.Accepted
	}
	work := time.Duration(float64(j.duration) * r.pace)
	kind := workload.Done
	if r.fails {
		work, kind = 5*time.Millisecond, workload.Failed
	}
	u := r.runs[c.Run]
	r.w.after(work, func() {
		if r.runs[c.Run] == u {
			r.end(c.Run, kind)
		}
	})
	return schedule.Accepted
}

func (r *fakeRunner) stop(c schedule.Stop) schedule.CallOutcome {
	if !r.see(c.Token) {
		return schedule.Fenced
	}
	r.sealed[c.Run.Task] = max(r.sealed[c.Run.Task], c.Run.Number)
	if u := r.runs[c.Run]; u != nil && !u.stopped {
		u.stopped = true
		r.w.after(time.Duration(r.w.rng.IntN(50))*time.Millisecond, func() { r.end(c.Run, workload.Stopped) })
	}
	return schedule.Accepted
}

func (r *fakeRunner) end(k workload.RunKey, kind workload.EndKind) {
	if r.runs[k] == nil {
		return
	}
	delete(r.runs, k)
	r.sealed[k.Task] = max(r.sealed[k.Task], k.Number)
	r.lastEnd++
	r.ends = append(r.ends, fakeEnd{End: workload.End{Sequence: r.lastEnd, Run: k, Kind: kind}, at: r.w.now})
	r.w.truth.ended(r, k, kind)
	for _, h := range r.waiting {
		r.list(h)
	}
	r.waiting = nil
}

func (r *fakeRunner) hold(c schedule.Hold, answer func(schedule.HoldResult)) {
	if !r.see(c.Token) {
		answer(schedule.HoldResult{Outcome: schedule.Fenced})
		return
	}
	if c.LeaseEnd > 0 {
		r.grant(c.LeaseEnd)
	}
	kept := r.ends[:0]
	for _, e := range r.ends {
		if e.Sequence > c.Acknowledged {
			kept = append(kept, e)
			continue
		}
		r.w.truth.acknowledged(e)
	}
	r.ends = kept
	h := &waitingHold{hold: c, answer: answer}
	if len(r.ends) > 0 || c.Wait == 0 {
		r.list(h)
		return
	}
	r.waiting = append(r.waiting, h)
	r.w.after(c.Wait, func() { r.list(h) })
}

func (r *fakeRunner) list(h *waitingHold) {
	if h.done || r.down {
		return
	}
	h.done = true
	res := schedule.HoldResult{Outcome: schedule.Accepted}
	for _, e := range r.ends {
		res.Ends = append(res.Ends, e.End)
	}
	res.Running = r.w.sortedRuns(r)
	h.answer(res)
}

// restart ends the lifetime, and begins another one under the same id.
func (r *fakeRunner) restart() {
	r.crash()
	r.down = false
	r.born = int64(firstBirth + r.w.now/time.Millisecond)
	r.offset = 1 - int64(float64(r.w.now.Milliseconds())*r.rate)
	r.token, r.leaseEnd, r.lastEnd, r.ends, r.waiting = 0, 0, 0, nil, nil
	r.runs, r.sealed = make(map[workload.RunKey]*fakeRun), make(map[workload.TaskName]int)
}

// firstBirth is the time of day at which the world begins, in milliseconds.
const firstBirth = 1_760_000_000_000

// crash ends the lifetime with all that runs.
func (r *fakeRunner) crash() {
	r.down = true
	for _, k := range r.w.sortedRuns(r) {
		r.w.truth.ended(r, k, workload.Aborted)
	}
	clear(r.runs)
}
