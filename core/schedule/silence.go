package schedule

import (
	"fmt"
	"time"
)

// What a silent runner shows: whether it was asked since its lease has ended, whether its host accepts
// connections, and, once it answers again, whether its runs have outlived their lease.

// noteSilence records a Hold that stayed unanswered or was rejected.
func (r *runner) noteSilence(res HoldResult) {
	r.unansweredAt = max(r.unansweredAt, res.Clock.SentAt)
	if res.Connection != ConnectionUnknown {
		r.connected = res.Connection == ConnectionMade
	}
}

// describeSilence says on what evidence the runs of a silent runner count as over.
func (r *runner) describeSilence(now Time) string {
	asked := "not asked"
	if r.unansweredAt > 0 {
		asked = fmt.Sprintf("asked %v ago", round(now-r.unansweredAt))
	}
	return fmt.Sprintf("lives counted until %v ago, %s, accepts connections: %t", round(now-r.aliveUntil), asked, r.connected)
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
