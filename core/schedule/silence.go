package schedule

import (
	"fmt"
	"time"
)

// A silent runner has crashed, is out of reach, or gets no processor time. In the last case it ends its
// runs only when it gets some, later than its lease. Its runs count as over if all of these hold:
//
//   - Their lease has ended, also if the runner's clock is slow.
//   - The runner has left an order unanswered that was sent after that, and after its last answer. If it
//     answers, its lists show what has become of the runs.
//   - If its host has accepted a connection since its last answer, the times below have passed as well.
//     Such a host is up and in reach, so the runner's process may be alive.
const (
	// maxStarvation is how long a runner may get no processor time. It matters from the end of its lease at
	// the latest, when a runner that isn't starved ends its runs. That its answers stop shows no earlier
	// start, since they may be lost.
	maxStarvation = time.Second
	// starvedEndMargin is added to lateEndMargin for such a runner.
	starvedEndMargin = 250 * time.Millisecond
)

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
	if r.connected {
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
	if res.Connection != ConnectionUnknown {
		r.connected = res.Connection == ConnectionMade
		r.connectionTried = true
	}
	if r.unresponsive && res.Clock.SentAt >= r.unresponsiveSince {
		r.connectionTried = true
	}
}

// describeSilence says on what evidence the runs of a silent runner count as over.
func (r *runner) describeSilence(now Time) string {
	asked := "not asked"
	if r.unansweredAt > 0 {
		asked = fmt.Sprintf("asked %v ago", round(now-r.unansweredAt))
	}
	return fmt.Sprintf("may have lived until %v ago, %s, accepts connections: %t", round(now-r.aliveUntil), asked, r.connected)
}

func round(d time.Duration) time.Duration { return d.Round(time.Millisecond / 10) }

// checkOverrun logs if a runner lists runs as running though all leases that it may have had ended
// before, by its own clock. Such a runner ends its runs late.
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
	})
}
