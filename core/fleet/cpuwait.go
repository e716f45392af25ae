package fleet

import "time"

const (
	// cpuWaitThreshold is how long ready work may wait for the CPU in a process that
	// leads, as the median of several measurements. Orders time out after 50 ms: an answer
	// that waits longer between its arrival and its being read counts as unanswered and the
	// order is repeated, so that the process falls ever further behind.
	cpuWaitThreshold = 30 * time.Millisecond
	// severeCPUWait shows CPU starvation in a single report. A wait between
	// cpuWaitThreshold and severeCPUWait may be a burst, and counts only if the next report
	// reaches the threshold too.
	severeCPUWait = 2 * cpuWaitThreshold
	// minStarvationInterval is the minimum time until a process gives up the lead because of
	// CPU starvation again. If all VMs are short of CPU, a change of leader every second
	// would make it worse.
	minStarvationInterval = 5 * time.Second
	// leadSettleTime is how long after becoming the leader of a shard high CPU waits are
	// ignored: the process then opens connections to all runners.
	leadSettleTime = 1500 * time.Millisecond
)

// RecordCPUWait handles a report of how long ready work has recently waited for the CPU. A
// leader with CPU starvation gives up the lead by ranking behind similar VMs; see
// leader.View.RecordStarvation. Other processes would otherwise count it as lost whenever its
// heartbeats are late, and as the oldest process it would take the lead back with the next one,
// again and again, which delays the callers of all processes.
func (n *Node) RecordCPUWait(now Time, wait time.Duration) {
	twice := n.cpuWaitHigh
	n.cpuWaitHigh = wait >= cpuWaitThreshold
	if !n.cpuWaitHigh || !twice && wait < severeCPUWait {
		return
	}
	recent := n.starvationRecordedAt > 0 && now-n.starvationRecordedAt < minStarvationInterval
	if !n.Leads() || recent || now-n.becameLeaderAt < leadSettleTime || !n.view.HasIdleSuccessor(now) {
		return
	}
	n.starvationRecordedAt = now
	n.warn("process-strained", Field{"wait", ms(wait)}, Field{"jobs", n.gateway.InFlight()})
	n.view.RecordStarvation()
	n.sendHeartbeats(now)
	n.updateLeaders(now)
}
