package dispatch

import (
	"time"

	"sapphirepoint.example/sapphirepoint/core/task"
	pb "sapphirepoint.example/sapphirepoint/gen/sapphirepointv1"
)

// announced is the part of the status last sent to a peer of which the peer gets changes
// within StatusInterval.
type announced struct {
	settings uint64
	members  uint64
	stopping bool
	ejected  int
}

func announcedIn(st *pb.PeerStatus) announced {
	return announced{st.GetSettingsVersion(), st.GetMembersVersion(), st.GetStopping(), len(st.GetEjected())}
}

// statusIntervalFor returns the maximum time between messages to a peer. Unchanged statuses
// use the longer interval: at the shorter one they made up most of the idle traffic, which
// grows with the square of the number of processes. Lost connections are detected by the
// keep-alives of the connection layer.
func (c *Core) statusIntervalFor(to task.Incarnation) time.Duration {
	now := announced{c.settings.Version(), c.view.Version(), c.draining, len(c.health.Ejected())}
	if c.peers[to].announced != now || c.admission.quotas.SharesWith(to) {
		return c.cfg.StatusInterval
	}
	return c.cfg.IdleStatusInterval
}
