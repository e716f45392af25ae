package fleet_test

import (
	"fmt"
	"time"

	"sapphirepoint.example/sapphirepoint/core/schedule"
	"sapphirepoint.example/sapphirepoint/core/workload"
)

// fakeRunner implements a runner's contract in virtual time: it obeys the highest fencing
// token, kills its runs when the lease expires on its own clock, lists ends until they are
// acknowledged, and never starts a run that was stopped.
type fakeRunner struct {
	w    *world
	info workload.Runner
	// rate is the speed of the runner's clock, and offset its reading at time 0.
	rate   float64
	offset int64
	// workFactor times a task's work is its run time.
	workFactor float64
	// hangs: tasks never end. fails: tasks fail immediately.
	hangs, fails bool
	// lateShare of the orders stay unanswered and are carried out seconds later.
	lateShare float64
	// unansweredShare of the orders are carried out, but not answered.
	unansweredShare float64
	// rejects are the orders that it rejects whatever they say, and slow are those that take long.
	rejects rejections
	slow    slowness
	// lists says which runs it doesn't list as running.
	lists gaps
	queue connectionQueue
	// orders and work are what the runner puts off, see backlog. killDelay is how late it ends its runs
	// after their lease, and idleUntil is until when it may do so.
	orders, work         backlog
	killDelay, idleUntil time.Duration
	// refusesUntil is until when its host refuses connections, though the runner goes on.
	refusesUntil time.Duration
	// cutUntil is until when nothing reaches it and it reaches nothing, though it goes on.
	cutUntil time.Duration
	// lateUntil is until when it ends its runs late for that reason.
	lateUntil time.Duration
	down      bool
	// dark: it is down, and its machine answers nothing. Otherwise the machine refuses connections then.
	dark bool
	// incarnationStart is the start of the runner's incarnation, in milliseconds.
	incarnationStart int64
	// entryStart is the start of the incarnation that has written the entry on the platform's list, and
	// entryLabels are the labels in it.
	entryStart  int64
	entryLabels []string
	// hidesIncarnation: neither its entry nor its lists contain the start of its incarnation, so it never restarts under its
	// id.
	hidesIncarnation bool
	// successor is the runner, under another id, that answers at its address once it has crashed; nil for none.
	successor *fakeRunner
	// started counts the runs started.
	started int

	// token is the highest fencing token accepted, and leaseEnd is when the lease expires by
	// the runner's clock.
	token    uint64
	leaseEnd int64
	// leaseOver: it has expired, though runs may still be there.
	leaseOver bool
	runs      map[workload.RunKey]*fakeRun
	// sealed is, by task, the highest number of a run that was stopped or has ended. Starts
	// with that number or a lower one are refused as outdated.
	sealed map[workload.TaskName]int
	// ends are the unacknowledged ends, and lastEnd is the number of the latest end.
	ends         []fakeEnd
	lastEnd      uint64
	waitingHolds []*waitingHold
}

// fakeEnd is an unacknowledged end of a run.
type fakeEnd struct {
	workload.End
	at time.Duration
	// leaseExpired: the runner's lease has expired since the end, or had before.
	leaseExpired bool
}

type fakeRun struct {
	need    workload.Resources
	stopped bool
	// listedFrom is when it begins to be listed as running.
	listedFrom time.Duration
}

// waitingHold is a Hold that is answered when a run ends, or when its wait is over.
type waitingHold struct {
	done   bool
	answer func(schedule.HoldResult)
	hold   schedule.Hold
	// incarnationStart is the start of the incarnation that the Hold waits at. It is dropped with it.
	incarnationStart int64
}

// readings are the clock and the start of the incarnation as an answer contains them; 0 for what it doesn't. Only lists
// contain the start: answers to orders to start and to stop runs, and rejections, don't. Half of an unhealthy runner's
// rejections have no body.
func (r *fakeRunner) readings(o schedule.CallOutcome, list *schedule.HoldResult) (clock, incarnationStart int64) {
	switch {
	case o == schedule.Unhealthy && r.w.restartDraws.IntN(2) == 0:
		return 0, 0
	case o == schedule.Accepted && list != nil:
		return r.clock(), r.reportedIncarnation()
	}
	return r.clock(), 0
}

// reportedIncarnation is the start of the incarnation as the runner's lists and its entry contain it; 0 if they don't.
func (r *fakeRunner) reportedIncarnation() int64 {
	if r.hidesIncarnation {
		return 0
	}
	return r.incarnationStart
}

func (r *fakeRunner) clock() int64 {
	return r.offset + int64(float64(r.w.now.Milliseconds())*r.rate)
}

// resetClock has the clock start anew. It begins at 1, since the product takes 0 for an answer without a clock.
func (r *fakeRunner) resetClock() { r.offset = 1 - int64(float64(r.w.now.Milliseconds())*r.rate) }

// timeUntil is the virtual time until the runner's clock reads ms.
func (r *fakeRunner) timeUntil(ms int64) time.Duration {
	return time.Duration(float64(ms-r.clock())/r.rate*float64(time.Millisecond)) + time.Millisecond
}

// acceptToken checks a fencing token; false means that the order is refused.
func (r *fakeRunner) acceptToken(token uint64) bool {
	if token < r.token {
		return false
	}
	r.token = token
	return true
}

const (
	// holdMax is the longest lease that a runner grants, in milliseconds, and maxEndsListed is the most ends in one answer.
	holdMax       = 1000
	maxEndsListed = 500
)

func (r *fakeRunner) extendLease(leaseEnd int64) {
	leaseEnd = min(leaseEnd, r.clock()+holdMax)
	if leaseEnd <= r.leaseEnd {
		return
	}
	r.leaseEnd, r.leaseOver = leaseEnd, false
	start := r.incarnationStart
	r.w.after(r.timeUntil(leaseEnd), func() { r.expireLease(start) })
}

// expireLease ends the lease and then all runs, unless the lease was extended or the incarnation has
// ended.
func (r *fakeRunner) expireLease(incarnationStart int64) {
	if r.clock() < r.leaseEnd || r.incarnationStart != incarnationStart {
		return
	}
	r.leaseOver = true
	for i := range r.ends {
		r.ends[i].leaseExpired = true
	}
	r.afterKillDelay(func() { r.killRuns(incarnationStart) })
}

// killRuns ends all runs, unless the runner has another lease by now.
func (r *fakeRunner) killRuns(incarnationStart int64) {
	if !r.leaseOver || r.incarnationStart != incarnationStart {
		return
	}
	for _, k := range r.w.sortedRuns(r) {
		r.end(k, workload.LeaseExpired)
	}
}

func (r *fakeRunner) start(c schedule.Start) schedule.CallOutcome {
	if !r.acceptToken(c.Token) {
		return schedule.Fenced
	}
	if r.runs[c.Run] != nil {
		r.extendLease(c.LeaseEnd)
		return schedule.Accepted
	}
	if c.Run.Number <= r.sealed[c.Run.Task] {
		r.extendLease(c.LeaseEnd)
		return schedule.Outdated
	}
	if r.tooLate(c.LeaseEnd) {
		return schedule.TooLate
	}
	j := r.w.jobs[c.Run.Task.Job]
	need := j.work.Steps[c.Run.Task.Step].Need
	used := workload.Resources{}
	for _, u := range r.runs {
		used = used.Plus(u.need)
	}
	r.extendLease(c.LeaseEnd)
	if !need.Fits(r.info.Capacity.Minus(used)) {
		return schedule.NoRoom
	}
	if r.w.chance(r.rejects.noRoom) {
		return schedule.NoRoom
	}
	r.runs[c.Run] = &fakeRun{need: need, listedFrom: r.w.now + r.lists.delay()}
	r.started++
	r.trace("start", c.Run, c.Token)
	r.w.checker.started(r, c.Run)
	if r.hangs {
		return schedule.Accepted
	}
	work := time.Duration(float64(j.duration) * r.workFactor)
	kind := workload.Done
	if r.fails {
		work, kind = 5*time.Millisecond, workload.Failed
	}
	u := r.runs[c.Run]
	if j.crashes {
		r.w.after(crashAfter, func() {
			if r.runs[c.Run] == u {
				r.crashFor(crashDowntime, j.crashesDark)
			}
		})
		return schedule.Accepted
	}
	r.w.after(work, func() {
		r.whenAwake(func() {
			if r.runs[c.Run] == u {
				r.end(c.Run, kind)
			}
		})
	})
	return schedule.Accepted
}

// tooLate reports whether a start comes too late: after the lease that it asks for or, on a lenient
// runner, after any lease that the runner has.
func (r *fakeRunner) tooLate(leaseEnd int64) bool {
	if r.w.lenientStarts {
		leaseEnd = max(leaseEnd, r.leaseEnd)
	}
	return leaseEnd <= r.clock()
}

func (r *fakeRunner) stop(c schedule.Stop) schedule.CallOutcome {
	if !r.acceptToken(c.Token) {
		return schedule.Fenced
	}
	r.sealed[c.Run.Task] = max(r.sealed[c.Run.Task], c.Run.Number)
	r.trace("stop", c.Run, c.Token)
	if u := r.runs[c.Run]; u != nil && !u.stopped {
		u.stopped = true
		r.w.after(time.Duration(r.w.rng.IntN(50))*time.Millisecond, func() {
			r.whenAwake(func() {
				if r.runs[c.Run] == u {
					r.end(c.Run, workload.Stopped)
				}
			})
		})
		if r.w.onStop != nil {
			r.w.onStop(r)
		}
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
	r.trace(kind.String(), k, r.lastEnd)
	r.ends = append(r.ends, fakeEnd{End: workload.End{Sequence: r.lastEnd, Run: k, Kind: kind}, at: r.w.now, leaseExpired: r.leaseOver})
	r.w.checker.ended(r, k, kind)
	for _, h := range r.waitingHolds {
		r.answerHold(h)
	}
	r.waitingHolds = nil
}

func (r *fakeRunner) hold(c schedule.Hold, answer func(schedule.HoldResult)) {
	if !r.acceptToken(c.Token) {
		answer(schedule.HoldResult{Outcome: schedule.Fenced})
		return
	}
	if c.LeaseEnd > 0 {
		r.extendLease(c.LeaseEnd)
	}
	remaining := r.ends[:0]
	for _, e := range r.ends {
		if e.Sequence > c.Acknowledged {
			remaining = append(remaining, e)
			continue
		}
		r.trace("acknowledged", e.Run, e.Sequence)
		r.w.checker.acknowledged(e)
	}
	r.ends = remaining
	h := &waitingHold{hold: c, answer: answer, incarnationStart: r.incarnationStart}
	if len(r.ends) > 0 || c.Wait == 0 {
		r.answerHold(h)
		return
	}
	r.waitingHolds = append(r.waitingHolds, h)
	r.w.after(c.Wait, func() { r.answerHold(h) })
}

// answerHold answers a Hold with the unacknowledged ends and the runs.
func (r *fakeRunner) answerHold(h *waitingHold) {
	if h.done || r.down || h.incarnationStart != r.incarnationStart {
		return
	}
	if r.silent() {
		r.whenAnswering(func() { r.answerHold(h) })
		return
	}
	h.done = true
	res := schedule.HoldResult{Outcome: schedule.Accepted}
	for _, e := range r.ends[:min(len(r.ends), maxEndsListed)] {
		res.Ends = append(res.Ends, e.End)
	}
	res.Running = r.listedRuns()
	h.answer(res)
}

// trace prints what happens to a run on the runner, with the order's token or the end's sequence.
func (r *fakeRunner) trace(event string, k workload.RunKey, number uint64) {
	r.w.noteRun(k, string(r.info.ID), event)
	if *trace {
		fmt.Println(r.w.now, "runner", r.info.ID, event, k, number, "lease left", r.leaseEnd-r.clock())
	}
}

// restart ends the incarnation, and begins another one under the same id.
func (r *fakeRunner) restart() {
	r.crash()
	if *trace {
		fmt.Println(r.w.now, "runner", r.info.ID, "restarts")
	}
	r.down = false
	r.incarnationStart = int64(worldStartMs + r.w.now/time.Millisecond)
	r.resetClock()
	r.token, r.leaseEnd, r.leaseOver, r.lastEnd, r.ends, r.waitingHolds = 0, 0, false, 0, nil, nil
	r.runs, r.sealed = make(map[workload.RunKey]*fakeRun), make(map[workload.TaskName]int)
	start := r.incarnationStart
	r.w.after(time.Duration(1+r.w.restartDraws.IntN(maxEntryDelay))*time.Millisecond, func() {
		if r.incarnationStart == start {
			r.writeEntry()
		}
	})
}

// maxEntryDelay is how long after its start an incarnation writes its entry at the latest, in milliseconds.
const maxEntryDelay = 600

// writeEntry writes the runner's entry on the platform's list.
func (r *fakeRunner) writeEntry() {
	r.entryStart, r.entryLabels = r.reportedIncarnation(), r.info.Labels
}

// entry is the runner as the platform's list has it.
func (r *fakeRunner) entry() workload.Runner {
	info := r.info
	info.IncarnationStart, info.Labels = r.entryStart, r.entryLabels
	if r.hidesIncarnation {
		info.IncarnationStart = 0
	}
	return info
}

// worldStartMs is the time of day at which the simulation begins, in milliseconds.
const worldStartMs = 1_760_000_000_000

const (
	// crashAfter is how long after its start a task crashes its runner, and crashDowntime how long that is down.
	crashAfter    = 200 * time.Millisecond
	crashDowntime = 3 * time.Second
)

// crashFor crashes the runner, which restarts after a time. dark: its machine answers nothing meanwhile.
func (r *fakeRunner) crashFor(d time.Duration, dark bool) {
	r.crash()
	r.dark = dark
	start := r.incarnationStart
	r.w.after(d, func() {
		if r.down && r.incarnationStart == start {
			r.dark = false
			r.restart()
		}
	})
}

// crash ends the incarnation and all its runs.
func (r *fakeRunner) crash() {
	r.down = true
	r.orders, r.work, r.killDelay, r.idleUntil, r.refusesUntil = backlog{}, backlog{}, 0, 0, 0
	for _, k := range r.w.sortedRuns(r) {
		r.w.checker.crashed[k.Task]++
		r.w.checker.ended(r, k, workload.Aborted)
	}
	clear(r.runs)
}
