package fleet

import (
	"time"

	"sapphirepoint.example/sapphirepoint/core/workload"
)

const (
	// minStopTime is how long a stopping process stays at least: the platform
	// sees within two health checks, a second apart, that it isn't ready.
	minStopTime = 2500 * time.Millisecond
	// stopQuietPeriod is how long no request must have come before it ends early.
	stopQuietPeriod = 700 * time.Millisecond
	// stopEstimateFactor and stopMargin are what a job that comes during a planned
	// stop must have left: twice its estimate, which one job in twenty exceeds,
	// and the time to find a runner.
	stopEstimateFactor = 2
	stopMargin         = 200 * time.Millisecond
	// stopReserve is how long before the platform kills it the process ends.
	stopReserve = 500 * time.Millisecond
	// stopRetryAfter is when a caller may come back, to another entry VM.
	stopRetryAfter = time.Second
)

// Stop begins a planned stop: another process takes over what this one
// schedules, and it serves its callers until the grace is nearly over.
func (n *Node) Stop(now Time) {
	if n.stopStartedAt > 0 {
		return
	}
	n.notice("process-stopping", Field{"jobs", n.gateway.InHand()})
	n.stopStartedAt = now
	n.view.Stop()
	for _, s := range n.own {
		s.schedule.Yield()
	}
	n.sendHeartbeats(now)
	n.updateLeaders(now)
}

// StopComplete reports whether a planned stop is over.
func (n *Node) StopComplete(now Time) bool {
	if n.stopStartedAt == 0 {
		return false
	}
	if now-n.stopStartedAt > n.grace-stopReserve {
		return true
	}
	return now-n.stopStartedAt > minStopTime && n.gateway.InHand() == 0 && now-n.lastArrival > stopQuietPeriod
}

// GiveUp answers all callers, as the process ends.
func (n *Node) GiveUp(now Time) { n.gateway.GiveUp(now, "the process ends") }

// timeToServe reports whether a job that comes now will probably be done before
// the process has to end.
func (n *Node) timeToServe(now Time, job *workload.Job) bool {
	if n.stopStartedAt == 0 {
		return true
	}
	left := n.stopStartedAt + n.grace - stopReserve - now
	return left > stopEstimateFactor*job.Chain()+stopMargin
}
