package schedule

import (
	"fmt"
	"slices"
	"time"

	"sapphirepoint.example/sapphirepoint/core/workload"
)

// A silent runner has crashed, is out of reach, or gets no processor time. In the last case it ends its
// runs only when it gets some, later than its lease. Its runs count as over if all of these hold:
//
//   - Their lease has ended, also if the runner's clock is slow.
//   - The runner has left an order unanswered that was sent after that, and after its last answer. If it
//     answers, its lists show what has become of the runs.
//   - No new connection to its host was made since its last answer, and outOfReachAttempts in a row weren't made
//     in time. Otherwise the runner's process may be alive, and the times below must have passed as well.
//
// A refused connection is no evidence, like one that is accepted: it shows that a listener is missing or that
// something on the way refuses, and the process may go on with its runs. The runner's own evidence ends the wait at
// once: an answer with its lists, another incarnation at its address, or a restart. That its entry has left the
// store doesn't end the wait sooner, since a starved process doesn't renew the entry either.
const (
	// maxStarvation is how long a runner may get no processor time. It matters from the end of its lease at the
	// latest, when a runner that isn't starved ends its runs. That its answers stop shows no earlier start, since
	// they may be lost. Callers have given up by the end of it; tasks of stored jobs go on elsewhere.
	maxStarvation = 6 * time.Second
	// starvedEndMargin is added to lateEndMargin for such a runner.
	starvedEndMargin = 250 * time.Millisecond
	// outOfReachAttempts is the number of connections in a row that weren't made in time from which on a host
	// counts as out of reach. One may be lost on the way.
	outOfReachAttempts = 2
)

// host is what orders without an answer have shown of a runner's host since the runner's last answer.
type host struct {
	// refused: its latest answer to a new connection was a refusal. It is for logs only.
	refused bool
	// made: a new connection was made. One that isn't made later shows nothing: a process that gets no processor time
	// accepts none, and its queue fills up.
	made bool
	// timedOut is the number of new connections in a row, up to the latest, that weren't made in time.
	timedOut int
	// awake: the runner has answered, though what it said can't be used; so it isn't starved.
	awake bool
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

// mayBeStarved reports whether the runner's process may be alive and end its runs late: it doesn't answer for want
// of processor time, or its host refuses connections.
func (h host) mayBeStarved() bool {
	return !h.awake && !h.outOfReach()
}

// String describes the host in logs.
func (h host) String() string {
	switch {
	case h.outOfReach():
		return "host out of reach"
	case h.refused:
		return "host refuses connections"
	case h.awake:
		return "runner answers"
	}
	return "host may be up"
}

// leaseEndsAt returns when the latest lease of the runner ends, by a slow clock.
func (r *runner) leaseEndsAt() Time { return r.aliveUntil - leaseMargin - lateEndMargin }

// leaseOverAt returns when a runner that isn't starved has ended its runs after that.
func (r *runner) leaseOverAt() Time { return r.aliveUntil - leaseMargin }

// askableAt returns the time from which on an order that stays unanswered is evidence that the runs are over.
func (r *runner) askableAt() Time { return max(r.leaseOverAt(), r.clockAt) }

// askedInVain reports whether an order that was sent at askableAt or later has stayed unanswered.
func (r *runner) askedInVain() bool { return r.unresponsive && r.unansweredAt >= r.askableAt() }

// runsOver reports whether the runs of a silent runner count as over.
func (s *Scheduler) runsOver(r *runner) bool {
	over := r.aliveUntil
	if r.host.mayBeStarved() {
		over = max(r.aliveUntil+starvedEndMargin, r.leaseEndsAt()+maxStarvation)
	}
	return r.askedInVain() && s.now > over
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
