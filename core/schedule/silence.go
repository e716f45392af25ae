package schedule

import (
	"fmt"
	"slices"
	"time"

	"sapphirepoint.example/sapphirepoint/core/workload"
)

// A silent runner has crashed, is out of reach, or gets no processor time. In the last two cases its runs may be alive:
// beyond a cut they go on, and a runner that gets no processor time ends them only when it gets some, later than its
// lease. No kind of silence tells these cases apart. Its runs count as over if all of these hold:
//
//   - Their lease has ended, also if the runner's clock is slow, and MaxLateEnd has passed since.
//   - The runner has left an order unanswered that was sent after the end of the lease, and after its last answer. If it
//     answers, its lists show what has become of the runs.
//
// A connection that is accepted, refused or not made in time is no evidence. The runner's own evidence ends the wait at
// once: an answer with its lists, another incarnation at its address, or a restart. That its entry has left the store
// doesn't end the wait sooner, since a runner that is cut off or gets no processor time doesn't renew the entry either.
//
// Callers of best-effort jobs don't wait that long. Their jobs are given up once they couldn't be done in time even if the
// runner answered at that moment, see Scheduler.waitsInVain.
const (
	// MaxLateEnd is how much later than its lease a runner may end a run. It is longer than callers of best-effort
	// jobs wait; tasks of stored jobs go on elsewhere after it.
	MaxLateEnd = 6 * time.Second
	// outOfReachAttempts is the number of connections in a row that weren't made in time from which on a host
	// counts as out of reach. One may be lost on the way.
	outOfReachAttempts = 2
)

// host is what orders without an answer have shown of a runner's host since the runner's last answer. None of it shows
// that a run is over; it is for logs only.
type host struct {
	// refused: its latest answer to a new connection was a refusal.
	refused bool
	// made: a new connection was made. One that isn't made later shows nothing: a process that gets no processor time
	// accepts none, and its queue fills up.
	made bool
	// timedOut is the number of new connections in a row, up to the latest, that weren't made in time.
	timedOut int
	// answers: the runner has answered, though what it said can't be used.
	answers bool
}

// observe adds what an order without an answer shows.
func (h *host) observe(c Connection) {
	switch c {
	case ConnectionMade:
		*h = host{made: true}
	case ConnectionFailed:
		*h = host{made: h.made, refused: true}
	case ConnectionTimedOut:
		h.timedOut++
	case ConnectionUnknown:
		h.timedOut = 0
	}
}

// outOfReach reports whether nothing has reached the host since the runner's last answer.
func (h host) outOfReach() bool { return !h.made && h.timedOut >= outOfReachAttempts }

// String describes the host in logs.
func (h host) String() string {
	switch {
	case h.outOfReach():
		return "host out of reach"
	case h.refused:
		return "host refuses connections"
	case h.answers:
		return "runner answers"
	}
	return "host may be up"
}

// leaseEndsAt returns when the latest lease of the runner ends, by a slow clock.
func (r *runner) leaseEndsAt() Time { return r.aliveUntil - leaseMargin - lateEndMargin }

// leaseOverAt returns when a runner that ends its runs within lateEndMargin of their lease has ended them.
func (r *runner) leaseOverAt() Time { return r.aliveUntil - leaseMargin }

// askableAt returns the time from which on an order that stays unanswered is evidence that the runs are over.
func (r *runner) askableAt() Time { return max(r.leaseOverAt(), r.clockAt) }

// askedInVain reports whether an order that was sent at askableAt or later has stayed unanswered.
func (r *runner) askedInVain() bool { return r.unresponsive && r.unansweredAt >= r.askableAt() }

// runsOverAt returns when the runs of a silent runner count as over.
func (r *runner) runsOverAt() Time { return r.leaseEndsAt() + MaxLateEnd }

// runsOver reports whether the runs of a silent runner count as over.
func (s *Scheduler) runsOver(r *runner) bool { return r.askedInVain() && s.now > r.runsOverAt() }

// silentPastLease reports whether the runner has left an order unanswered that was sent after the end of its lease, and
// lateEndMargin has passed since that end.
func (r *runner) silentPastLease(now Time) bool { return r.askedInVain() && now > r.aliveUntil }

// cutShort reports whether a run's runner is silent past its lease, and the run was expected to take longer than that.
// A run that was expected to end within its lease may be done, and the runner's next answer would say so.
func (u *run) cutShort(now Time) bool {
	return u.runner.silentPastLease(now) && u.expectedEnd > u.runner.leaseEndsAt()
}

// waitsInVain reports whether a best-effort job can't be done in time because of a run on a silent runner: the task would
// have to be started again, and too little time would be left for that even if the runner answered now.
func (s *Scheduler) waitsInVain(j *job) bool {
	inVain := false
	j.eachTask(func(t *taskState) {
		unheard := t.run != nil && t.run.cutShort(s.now) || t.phase == waiting && s.lostRunUnheard(t)
		inVain = inVain || unheard && s.tooLateFor(t)
	})
	return inVain
}

// tooLateFor reports whether a task that was started now is unlikely to be done before its caller leaves.
func (s *Scheduler) tooLateFor(t *taskState) bool {
	estimate := time.Duration(float64(t.step().Estimate) * s.queueRatio(t.job))
	return completionProbability(estimate, s.fastestPace(t.job.work.Service), t.job.deadline-s.now) < minCompletionProbability
}

// askAfterLease asks an unresponsive runner for its lists once its lease is over.
func (s *Scheduler) askAfterLease(r *runner) {
	if !r.unresponsive || s.now < r.leaseOverAt() || r.askedInVain() {
		return
	}
	if !r.holdInFlight {
		s.hold(r)
		return
	}
	if r.holdSentAt < r.askableAt() {
		s.requestList(r)
	}
}

// noteSilence records a Hold that stayed unanswered or was rejected.
func (r *runner) noteSilence(res HoldResult) {
	r.unansweredAt = max(r.unansweredAt, res.Clock.SentAt)
	r.host.observe(res.Connection)
}

// noteOrder records that an order to start or to stop a run, which was sent at a time, was answered or not. Of the
// connections of those that weren't, one that was made occupies a place in the queue of a runner that accepts none.
func (r *runner) noteOrder(o CallOutcome, c Connection, sentAt Time) {
	switch {
	case o != Unanswered:
		r.answered(sentAt)
	case c == ConnectionMade:
		r.host.observe(c)
	}
}

// describeSilence says on what evidence the runs of a silent runner count as over.
func (r *runner) describeSilence(now Time) string {
	asked := "not asked"
	if r.unansweredAt > 0 {
		asked = fmt.Sprintf("asked %v ago", round(now-r.unansweredAt))
	}
	return fmt.Sprintf("may have lived until %v ago, %s, %v", round(now-r.aliveUntil), asked, r.host)
}

func round(d time.Duration) time.Duration { return d.Round(time.Millisecond / 10) }

// checkOverrun logs if a runner lists runs as running though all leases that it may have had ended
// before, by its own clock. Such a runner ends its runs late. It warns if this scheduler has started one
// of them: the leases of other schedulers aren't known.
func (s *Scheduler) checkOverrun(r *runner, res HoldResult) {
	if r.leaseLimit == 0 || r.overrunReported == r.leaseLimit || len(res.Running) == 0 || res.Clock.Milliseconds <= r.leaseLimit {
		return
	}
	r.overrunReported = r.leaseLimit
	s.ctr.LeaseOverruns++
	overrun := time.Duration(res.Clock.Milliseconds-r.leaseLimit) * time.Millisecond
	s.emit(Decision{
		Event: "lease-overrun", Runner: r.info.ID, Run: res.Running[0], Job: res.Running[0].Task.Job, Token: r.token,
		Reason: fmt.Sprintf("%d runs alive", len(res.Running)), Age: overrun,
		Warning: slices.ContainsFunc(res.Running, func(k workload.RunKey) bool { return s.startedHere(r, k) }),
	})
}

// startedHere reports whether this scheduler has started a run that a runner lists, be it dropped since.
func (s *Scheduler) startedHere(r *runner, k workload.RunKey) bool {
	if d := s.drops.find(k, r); d != nil {
		return !d.origin.listed
	}
	u := r.runs[k]
	return u != nil && !u.startedElsewhere
}
