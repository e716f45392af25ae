package fleet

import (
	"time"

	"sapphirepoint.example/sapphirepoint/core/leader"
)

const (
	// shortPause is the time without a tick after which messages may have waited in buffers.
	shortPause = 3 * TickInterval
	// bufferTime is the time after such a pause in which messages that arrived during it are handled.
	bufferTime = 50 * time.Millisecond
)

// detectStall detects that the process was suspended. Event handlers call it first, since
// state from before the pause is outdated, and events that arrived meanwhile must not be
// handled with it.
func (n *Node) detectStall(now Time) {
	pause := now - n.lastTick
	if pause > shortPause {
		n.pausedAt, n.resumedAt = n.lastTick, now
	}
	if pause > leader.StallThreshold {
		n.lastTick = now
		n.stalled(now, pause)
	}
}

// sentAt returns the earliest time at which a message that is handled now may have been sent.
func (n *Node) sentAt(now Time) Time {
	if n.resumedAt > 0 && now-n.resumedAt <= bufferTime {
		return n.pausedAt
	}
	return now
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
