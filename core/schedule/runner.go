package schedule

import (
	"slices"
	"time"

	"sapphirepoint.example/sapphirepoint/core/workload"
)

// runner is what the scheduler knows of one lifetime of a runner.
type runner struct {
	info workload.Runner
	// unlisted runners have left the platform's list.
	unlisted bool
	// suspectUntil keeps an unlisted runner that another scheduler may have
	// used.
	suspectUntil Time
	// believedUntil is until when an unlisted runner that answers is used.
	believedUntil Time
	gone          bool
	// born is when its lifetime began, in milliseconds since 1970; 0 if that isn't known.
	born int64
	// evacuated: its failure domain gets no new tasks.
	evacuated bool
	// token is the fencing token under which the runner was asked for, and
	// owned whether it has answered to it.
	token uint64
	owned bool
	// refused is the last token that the runner has refused, and refusals how
	// often it has since it was last owned.
	refused  uint64
	refusals int
	// reacquireAt is when a runner that was lost to another scheduler is
	// asked for again.
	reacquireAt Time
	acquiredAt  Time

	// clock is the runner's clock in milliseconds as read at clockAt; 0 if it
	// isn't known yet.
	clock   int64
	clockAt Time
	// aliveUntil is the latest time at which something may still run there if
	// the runner hears nothing more from us.
	aliveUntil Time
	// doubtSince is when an order stayed unanswered; an answer to a later
	// order clears it. Nothing is started on a runner in doubt.
	doubtSince Time
	inDoubt    bool
	// holding is set while a Hold is on its way.
	holding bool
	heldAt  Time
	// looking is set while a Hold that doesn't wait is on its way beside it.
	looking bool
	// listedAt is when the Hold was sent whose answer was the last list.
	listedAt Time
	holdNext Time
	// apart runners are out of reach, and perhaps led by another process;
	// presentAt is when one has answered again, and askedFrom when it was asked
	// for or left alone last. See Scheduler.apart.
	apart                bool
	presentAt, askedFrom Time

	// acknowledged is the sequence up to which the runner may forget ends, and
	// ends are those noted since.
	acknowledged uint64
	ends         []listedEnd
	// withheldUntil is when the lease has surely lapsed that isn't renewed.
	withheldUntil Time
	runs          map[workload.RunKey]*run
	// loose is the number of runs without a task, and strangers that of those among
	// them that another scheduler has started. Each start looks at all runners.
	loose, strangers int
	used             workload.Resources
	health           health
}

// run is one run that is, or may be, on a runner.
type run struct {
	key    workload.RunKey
	runner *runner
	// task is nil for a run whose job isn't known.
	task    *taskState
	need    workload.Resources
	started Time
	// tries counts how often its start was sent.
	tries int
	// leaseEnd is the end of the lease in its start.
	leaseEnd int64
	// checkpoint is that of a run without a job, for the job that may come.
	checkpoint string
	// confirmed runs were accepted or listed by the runner.
	confirmed bool
	// found runs were started by another scheduler.
	found bool
	// stopAt is when a run without a job is stopped.
	stopAt Time
	// stopping: an order to stop it has been sent; stopped: it was answered,
	// and the run is over at goneAt even if no end is listed.
	stopping  bool
	stopped   bool
	stoppedAt Time
	goneAt    Time
	// overdueAt is when a run has taken so long that it is taken for stuck.
	overdueAt Time
}

// ofStoredJob reports whether the run is one of a stored job. If it was stopped it
// may have ended well just before, and only the runner's list tells.
func (u *run) ofStoredJob() bool { return u.task != nil && u.task.job.stored != nil }

func newRunner(info workload.Runner, now Time) *runner {
	return &runner{info: info, born: info.Born, runs: make(map[workload.RunKey]*run), health: newHealth(), heldAt: now}
}

// release forgets the ownership and all runs.
func (r *runner) release() {
	r.owned = false
	r.holding = false
	r.looking = false
	r.listedAt = 0
	r.inDoubt = false
	r.acknowledged = 0
	r.ends = nil
	r.used = workload.Resources{}
	clear(r.runs)
	r.loose, r.strangers = 0, 0
}

// sawClock takes a reading. A reading is never ahead of the runner's clock:
// the answer was written before it came. So lease ends computed from it are
// never later than meant.
func (r *runner) sawClock(c ClockReading) {
	if c.Milliseconds == 0 || c.ReceivedAt < r.clockAt {
		return
	}
	r.clock = c.Milliseconds
	r.clockAt = c.ReceivedAt
}

// leaseEnd is the end of a lease from now on, on the runner's clock; 0 if that
// clock isn't known.
func (r *runner) leaseEnd(now Time, lease time.Duration) int64 {
	if r.clock == 0 {
		return 0
	}
	return r.clock + (now - r.clockAt + lease).Milliseconds()
}

// grant notes that an order with a lease is sent.
func (r *runner) grant(now Time, lease time.Duration) {
	r.aliveUntil = max(r.aliveUntil, now+longestLife(lease))
}

// longestLife is how long a run may live after a lease was sent, by our clock,
// if the runner's clock is slow.
func longestLife(lease time.Duration) time.Duration {
	return lease*(100+clockDriftPercent)/100 + leaseMargin
}

// usable reports whether tasks may be started there now.
func (r *runner) usable(now Time) bool {
	return r.owned && !r.gone && r.known(now) && !r.info.Draining && !r.evacuated && !r.inDoubt && r.clock != 0 &&
		!r.health.closed(now) && !r.strange() && now > r.withheldUntil
}

// strange reports whether something runs there whose job isn't known.
//
// Another scheduler, cut off from this runner, may wait for the run's lease to
// end before it starts the task again. A lease holds for all that runs on a
// runner; so until the run is over, or its job comes, no lease is given there,
// with a renewal or a start.
func (r *runner) strange() bool { return r.strangers > 0 }

// count adds a run of the runner to the counts of those without a task, or takes it away.
func (r *runner) count(u *run, by int) {
	if u.task != nil {
		return
	}
	r.loose += by
	if u.found {
		r.strangers += by
	}
}

// setTask joins a run with a task; nil parts it from the one that it has.
func (u *run) setTask(t *taskState) {
	if u.runner.runs[u.key] != u {
		u.task = t
		return
	}
	u.runner.count(u, -1)
	u.task = t
	u.runner.count(u, 1)
}

// withoutTask lists the runs of a job that aren't joined with a task, by their
// keys. There are hardly ever any, and each job that comes asks for them.
func (r *runner) withoutTask(id workload.JobID) []*run {
	if r.loose == 0 {
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
	r.count(u, 1)
	r.used = r.used.Plus(u.need)
}

func (r *runner) drop(u *run) {
	if r.runs[u.key] != u {
		return
	}
	delete(r.runs, u.key)
	r.count(u, -1)
	r.used = r.used.Minus(u.need)
}

func (r *runner) doubt(now Time) {
	r.inDoubt = true
	r.doubtSince = now
}

// answered clears a doubt if the answer is to an order sent after it arose.
func (r *runner) answered(sentAt Time) {
	if sentAt >= r.doubtSince {
		r.inDoubt = false
	}
}
