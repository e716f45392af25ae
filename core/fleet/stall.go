package fleet

import (
	"time"

	"sapphirepoint.example/sapphirepoint/core/leader"
)

// detectStall detects that the process was suspended. Event handlers call it first, since
// state from before the pause is outdated, and events that arrived meanwhile must not be
// handled with it.
func (n *Node) detectStall(now Time) {
	if pause := now - n.lastTick; pause > leader.StallThreshold {
		n.lastTick = now
		n.stalled(now, pause)
	}
}

// stalled gives up the lead after a pause of this process. Another process has taken over the
// runners meanwhile, and may continue jobs and runs whose timeouts have expired here.
func (n *Node) stalled(now Time, pause time.Duration) {
	n.warn("process-stalled", Field{"pause", ms(pause)}, Field{"leading", n.Leads()})
	n.view.RecordStall(now, n.Leads())
	n.disconnectAll(now)
	for _, s := range n.shards {
		if s.schedule != nil {
			s.retire(now)
		}
		s.choice = leader.Choice{}
		n.gateway.SetLeader(now, s.index, s.choice)
	}
	n.leadersReachedAt = now
}
