package fleet

import (
	"time"

	"sapphirepoint.example/sapphirepoint/core/workload"
)

const (
	// stopLeast is how long a stopping process stays at least: the platform
	// sees within two health checks, a second apart, that it isn't ready.
	stopLeast = 2500 * time.Millisecond
	// stopQuiet is how long no request must have come before it ends early.
	stopQuiet = 700 * time.Millisecond
	// stopEstimates and stopMargin are what a job that comes during a planned
	// stop must have left: twice its estimate, which one job in twenty exceeds,
	// and the time to find a runner.
	stopEstimates = 2
	stopMargin    = 200 * time.Millisecond
	// stopReserve is how long before the platform kills it the process ends.
	stopReserve = 500 * time.Millisecond
	// retryStopping is when a caller may come back, to another entry VM.
	retryStopping = time.Second
)

// Stop begins a planned stop: another process takes over what this one
// schedules, and it serves its callers until the grace is nearly over.
func (n *Node) Stop(now Time) {
	if n.stopAt > 0 {
		return
	}
	n.notice("process-stopping", Field{"jobs", n.gateway.InFlight()})
	n.stopAt = now
	n.view.SetStopping()
	for _, s := range n.own {
		s.schedule.Yield()
	}
	n.heartbeatAll(now)
	n.follow(now)
}

// StopComplete reports whether a planned stop is over.
func (n *Node) StopComplete(now Time) bool {
	if n.stopAt == 0 {
		return false
	}
	if now-n.stopAt > n.grace-stopReserve {
		return true
	}
	return now-n.stopAt > stopLeast && n.gateway.InFlight() == 0 && now-n.lastArrival > stopQuiet
}

// GiveUp answers all callers, as the process ends.
func (n *Node) GiveUp(now Time) { n.gateway.GiveUp(now, "the process ends") }

// timeToServe reports whether a job that comes now will probably be done before
// the process has to end.
func (n *Node) timeToServe(now Time, job *workload.Job) bool {
	if n.stopAt == 0 {
		return true
	}
	left := n.stopAt + n.grace - stopReserve - now
	return left > stopEstimates*job.CriticalPath()+stopMargin
}
