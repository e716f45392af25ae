package fleet

import (
	"time"

	"sapphirepoint.example/sapphirepoint/core/workload"
)

const (
	// minStopTime is how long a stopping process runs at least: the platform notices
	// within two health checks, a second apart, that the process isn't ready.
	minStopTime = 2500 * time.Millisecond
	// stopQuietPeriod is how long no request must have arrived before the process ends
	// ahead of its grace period.
	stopQuietPeriod = 700 * time.Millisecond
	// A job that arrives during a planned stop is served only if the time left exceeds
	// stopEstimateFactor times its estimate, which one job in twenty takes longer than, and
	// stopMargin for finding a runner.
	stopEstimateFactor = 2
	stopMargin         = 200 * time.Millisecond
	// stopReserve is how long before the platform kills it the process ends.
	stopReserve = 500 * time.Millisecond
	// stopRetryAfter is when a caller may retry, at another entry VM.
	stopRetryAfter = time.Second
)

// Stop begins a planned stop: another process takes over the shards that this one leads,
// and it serves its callers until the grace period is nearly over.
func (n *Node) Stop(now Time) {
	if n.stopStartedAt > 0 {
		return
	}
	n.notice("process-stopping", Field{"jobs", n.gateway.InFlight()})
	n.stopStartedAt = now
	n.view.SetStopping()
	for _, s := range n.own {
		s.schedule.Yield()
	}
	n.sendHeartbeats(now)
	n.updateLeaders(now)
}

// StopComplete reports whether a planned stop is complete and the process may exit.
func (n *Node) StopComplete(now Time) bool {
	if n.stopStartedAt == 0 {
		return false
	}
	if now-n.stopStartedAt > n.grace-stopReserve {
		return true
	}
	return now-n.stopStartedAt > minStopTime && n.gateway.InFlight() == 0 && now-n.lastArrival > stopQuietPeriod
}

// endReason is the reason for the answers that callers get when the process ends.
const endReason = "the process ends"

// GiveUp answers all waiting callers with the outcome GaveUp, as the process ends.
func (n *Node) GiveUp(now Time) {
	n.giveUpEarly(now, endReason)
	n.gateway.GiveUp(now, endReason)
}

// timeToServe reports whether a job that arrives now will probably complete before the
// process has to end.
func (n *Node) timeToServe(now Time, job *workload.Job) bool {
	if n.stopStartedAt == 0 {
		return true
	}
	left := n.stopStartedAt + n.grace - stopReserve - now
	return left > stopEstimateFactor*job.CriticalPath()+stopMargin
}
