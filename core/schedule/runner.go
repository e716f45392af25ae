package schedule

import (
	"slices"
	"time"

	"sapphirepoint.example/sapphirepoint/core/workload"
)

// runner is the state of one incarnation of a runner as the scheduler knows it.
type runner struct {
	info workload.Runner
	// unlisted runners aren't in the platform's list. unlistedAt is when the runner left it, or when another scheduler
	// that may have used it beyond a cut has named it since.
	unlisted   bool
	unlistedAt Time
	// retainUntil is until when an unlisted runner is kept since another scheduler may have
	// used it.
	retainUntil Time
	// assumedPresentUntil is until when an unlisted runner that answers is used, once it was reported
	// to other processes.
	assumedPresentUntil Time
	reported            bool
	// askedOnly: it was forgotten as this scheduler began to lead, so other processes may not know it. It is asked for its
	// runs, and isn't used unless it is listed or named again.
	askedOnly bool
	// gone: another incarnation answers at the runner's address, so this one has ended.
	gone bool
	// incarnationStart is when its incarnation began, in milliseconds since 1970; 0 if unknown.
	incarnationStart int64
	// entryStart is the start that was last taken from the runner's entry, and laterStartAt is when the entry
	// last came to show a later one than incarnationStart.
	entryStart   int64
	laterStartAt Time
	// answeredAddress is the address at which it last answered an order; "" if it hasn't yet.
	answeredAddress string
	// addressSince is when the address in info last changed.
	addressSince Time
	// entryTrustedAt is from when on its entry shows what can't be on the runner; never if it has changed.
	entryTrustedAt Time
	// leaving: the entry of the known incarnation says that it drains.
	leaving bool
	// reserved is the suspect that the runner is, or was, reserved for; see reservation.
	reserved *taskState
	// evacuated: its failure domain gets no new tasks.
	evacuated bool
	// token is the fencing token under which the runner was acquired, 0 while it is left to
	// another scheduler; owned is set once the runner has answered to that token.
	token uint64
	owned bool
	// tokenRaised: the token was raised while the runner was owned, and no list was received under it yet. Another
	// scheduler may have acquired the runner meanwhile, under a token between the two.
	tokenRaised bool
	// refusedToken is the last token that the runner has refused, and refusals how often it
	// has refused one since it was last owned.
	refusedToken uint64
	refusals     int
	// reacquireAt is when a runner that was lost to another scheduler is to be acquired
	// again.
	reacquireAt Time
	acquiredAt  Time

	// clock is the clock of the known incarnation in milliseconds; 0 if it isn't known yet. The order that it was read by
	// was sent at clockSentAt and answered at clockAt.
	clock                int64
	clockSentAt, clockAt Time
	// knownAt is when the latest order was sent that the known incarnation has answered.
	knownAt Time
	// doubtedAt is when the latest answer came that may be another incarnation's, and no list since says which incarnation
	// answers; 0 if there is no such doubt.
	doubtedAt Time
	// aliveUntil is the latest time at which a run may still be alive there if the runner
	// receives no further order from this scheduler.
	aliveUntil Time
	// leaseSentAt is when the latest order with a lease was sent.
	leaseSentAt Time
	// leaseLimit is the latest end, on the runner's clock, of a lease that the runner may have; 0 if that
	// isn't known. overrunReported is the limit for which a run that was alive later was last reported.
	leaseLimit, overrunReported int64
	// unansweredAt is when the latest Hold was sent that stayed unanswered, and host what such orders have
	// shown since the last answer.
	unansweredAt Time
	host         host
	// unresponsiveSince is when an order stayed unanswered. An answer to a later order clears
	// unresponsive. Nothing is started on an unresponsive runner.
	unresponsiveSince Time
	unresponsive      bool
	// holdInFlight is set while a Hold is unanswered.
	holdInFlight bool
	holdSentAt   Time
	// listInFlight is set while a Hold with ListOnly is unanswered.
	listInFlight bool
	// listAsOf is when the last Hold was sent that was answered with both lists complete, and runningAsOf the same for the
	// list of running runs, which always is.
	listAsOf, runningAsOf Time
	// settledListAsOf is when the last complete list was requested, under any token, that shows each run which another
	// scheduler has stopped before it lost the runner, or its end.
	settledListAsOf Time
	nextHoldAt      Time
	// partitioned runners are unreachable, and perhaps led by another process. reachableAt is
	// when such a runner has answered again. lastAskedAt is when the runner was last acquired
	// or ceased to be treated as partitioned. See Scheduler.partitioned.
	partitioned              bool
	reachableAt, lastAskedAt Time

	// acknowledged is the sequence up to which the runner may forget ends; ends are those
	// recorded since.
	acknowledged uint64
	ends         []listedEnd
	// cursorDue: its latest list has an end that is acknowledged, or one was acknowledged since.
	cursorDue bool
	// recentEnds are the runs whose ends were listed in the last listDelay, oldest first.
	recentEnds []recentEnd
	// noLeaseUntil is the time until which no lease is granted. The last lease has certainly
	// expired by then, see listedEnd.afterLeaseExpiry.
	noLeaseUntil Time
	runs         map[workload.RunKey]*run
	// orphanCount is the number of runs without a task, foreignOrphanCount that of those
	// among them that another scheduler has started. They are counted since each placement
	// checks all runners.
	orphanCount, foreignOrphanCount int
	used                            workload.Resources
	health                          health
	// kindName is the name of its kind, and kindRevision the revision of info that it is from.
	kindName     string
	kindRevision uint64
}

// run is one run that is, or may be, on a runner.
type run struct {
	key    workload.RunKey
	runner *runner
	// task is nil for an orphan, see the terms in the package comment.
	task    *taskState
	need    workload.Resources
	started Time
	// startAttempts counts how often its start was sent, and orderedAt is when that was last.
	startAttempts int
	orderedAt     Time
	// orderToken is the token of its latest start order.
	orderToken uint64
	// leaseEnd is the end of the lease in its start order. A runner that receives the order later
	// rejects it, unless it has a later lease.
	leaseEnd int64
	// inDoubt: no order to start it was accepted, and one stayed unanswered. startExpiredAt is when an
	// answer has shown that the runner accepts none any more; 0 if none has yet.
	inDoubt        bool
	startExpiredAt Time
	// checkpoint is the newest checkpoint of an orphan, used if its job arrives.
	checkpoint string
	// acceptedAt is when an answer accepted its start that may be another incarnation's; 0 if none did, or a list without
	// the run came since.
	acceptedAt Time
	// confirmed runs were accepted or listed by the known incarnation of the runner. listedAt is when the latest list was requested
	// that shows the run.
	confirmed bool
	listedAt  Time
	// startedElsewhere: another scheduler has started the run.
	startedElsewhere bool
	// stopAt is when an orphan is stopped, or a stop that stayed unanswered is sent again; 0 if
	// neither is due.
	stopAt Time
	// stopping: an order to stop the run was sent. stopped: the order was answered, and the run is over
	// once the runner has listed its end.
	// overAt is set if the end may not be on a list, since there are too many; the run is over then.
	stopping bool
	stopped  bool
	overAt   Time
	// settledAt is from when on a list shows whether a run that was stopped, or whose start is refused by now, is
	// over: it has ended or never begun if a list requested then or later has neither it nor its end, and its stop
	// wasn't carried out if that list has it. 0 if no list shows that. askAt is when a list is requested for it
	// next; 0 for not at all.
	settledAt, askAt Time
	// overdueAt is when the run counts as stuck; overdue: it does.
	overdueAt Time
	overdue   bool
	// expectedEnd is when it is expected to end.
	expectedEnd Time
}

// ofStoredJob reports whether the run belongs to a stored job. If it was stopped it may have
// ended successfully just before, and only the runner's list shows whether it has.
func (u *run) ofStoredJob() bool { return u.task != nil && u.task.job.stored != nil }

func newRunner(info workload.Runner, now Time) *runner {
	return &runner{
		info: info, incarnationStart: info.IncarnationStart, entryStart: info.IncarnationStart, leaving: info.Draining,
		runs: make(map[workload.RunKey]*run), health: newHealth(), holdSentAt: now,
		entryTrustedAt: now + entryTrustDelay,
	}
}

// delayTask keeps the run's task from being started again before a time.
func (u *run) delayTask(until Time) {
	if u.task != nil {
		u.task.notBefore = max(u.task.notBefore, until)
	}
}

// noteExpiredStarts records which runs in doubt can't begin any more, by the runner's clock.
func (r *runner) noteExpiredStarts() {
	for _, u := range r.runs {
		if u.inDoubt && u.startExpiredAt == 0 && u.leaseEnd < r.clock {
			u.startExpiredAt = r.clockAt
		}
	}
}

// release clears the ownership and all runs.
func (r *runner) release() {
	r.owned = false
	r.holdInFlight = false
	r.listInFlight = false
	r.listAsOf, r.runningAsOf = 0, 0
	r.unresponsive = false
	r.doubtedAt = 0
	r.unansweredAt, r.host = 0, host{}
	r.acknowledged, r.cursorDue = 0, false
	r.ends = nil
	r.recentEnds = nil
	r.used = workload.Resources{}
	r.reserved = nil
	r.tokenRaised = false
	clear(r.runs)
	r.orphanCount, r.foreignOrphanCount = 0, 0
}

// updateClock records a clock reading of the known incarnation. A reading is never ahead of the runner's clock, since
// the answer was written before it was received. So lease ends computed from it are never
// later than intended.
func (r *runner) updateClock(c ClockReading) {
	if c.Milliseconds == 0 {
		return
	}
	r.knownAt = max(r.knownAt, c.SentAt)
	if c.ReceivedAt < r.clockAt {
		return
	}
	r.clock = c.Milliseconds
	r.clockSentAt, r.clockAt = c.SentAt, c.ReceivedAt
}

// leaseEnd returns the end of a lease that begins now, on the runner's clock; 0 if that clock
// isn't known.
func (r *runner) leaseEnd(now Time, lease time.Duration) int64 {
	if r.clock == 0 {
		return 0
	}
	return r.clock + (now - r.clockAt + lease).Milliseconds()
}

// noteLease records that an order with a lease is being sent, or that the runner may have one from
// another scheduler.
func (r *runner) noteLease(now Time, lease time.Duration) {
	r.leaseSentAt = now
	r.aliveUntil = max(r.aliveUntil, now+maxRunLife(lease))
	r.leaseLimit = max(r.leaseLimit, r.leaseEnd(now, lease))
}

// maxRunLife returns how long a run may live after a lease was sent, by this process's clock,
// if the runner's clock is slow and it ends its runs late.
func maxRunLife(lease time.Duration) time.Duration {
	return lease*(100+clockDriftPercent)/100 + lateEndMargin + leaseMargin
}

// usable reports whether tasks may be started there now.
func (r *runner) usable(now Time) bool {
	return r.owned && !r.gone && r.described() && r.present(now) && !r.info.Draining && !r.evacuated && !r.unresponsive && r.doubtedAt == 0 && r.clock != 0 &&
		!r.health.closed(now) && !r.hasForeignOrphans() && now > r.noLeaseUntil
}

// hasForeignOrphans reports whether runs that another scheduler started, and whose jobs aren't
// known, are on the runner.
//
// Another scheduler, cut off from this runner, may wait for such a run's lease to expire
// before it starts the task again. A lease covers all runs on a runner. So until the run is
// over, or its job arrives, no order that grants a lease (renewal or start) is sent there.
func (r *runner) hasForeignOrphans() bool { return r.foreignOrphanCount > 0 }

// hasTaskRuns reports whether runs of tasks are on the runner that weren't stopped. Other runs alone get
// no lease: one that doesn't stop ends with its lease.
func (r *runner) hasTaskRuns() bool {
	for _, u := range r.runs {
		if u.task != nil && !u.stopped {
			return true
		}
	}
	return false
}

// countOrphan adds a run without a task to the counts of orphans, or removes it.
func (r *runner) countOrphan(u *run, by int) {
	if u.task != nil {
		return
	}
	r.orphanCount += by
	if u.startedElsewhere {
		r.foreignOrphanCount += by
	}
}

// setTask assigns a run to a task; nil makes the run an orphan.
func (u *run) setTask(t *taskState) {
	if u.runner.runs[u.key] != u {
		u.task = t
		return
	}
	u.runner.countOrphan(u, -1)
	u.task = t
	u.runner.countOrphan(u, 1)
}

// orphansOf lists the orphans of a job by their keys. It is called for each job that arrives,
// and there are rarely any.
func (r *runner) orphansOf(id workload.JobID) []*run {
	if r.orphanCount == 0 {
		return nil
	}
	var list []*run
	for _, u := range r.runs {
		if u.task == nil && u.key.Task.Job == id {
			list = append(list, u)
		}
	}
	slices.SortFunc(list, compareRuns)
	return list
}

func (r *runner) free() workload.Resources { return r.info.Capacity.Minus(r.used) }

func (r *runner) add(u *run) {
	r.runs[u.key] = u
	r.countOrphan(u, 1)
	r.used = r.used.Plus(u.need)
}

func (r *runner) drop(u *run) {
	if r.runs[u.key] != u {
		return
	}
	delete(r.runs, u.key)
	r.countOrphan(u, -1)
	r.used = r.used.Minus(u.need)
}

func (r *runner) markUnresponsive(now Time) {
	r.unresponsive = true
	r.unresponsiveSince = now
}

// answered clears unresponsive if the answered order was sent after the runner was marked.
func (r *runner) answered(sentAt Time) {
	if sentAt >= r.unresponsiveSince {
		r.unresponsive = false
	}
}
