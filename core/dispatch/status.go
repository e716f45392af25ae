package dispatch

import (
	"time"

	"sapphirepoint.example/sapphirepoint/core/task"
	pb "sapphirepoint.example/sapphirepoint/gen/sapphirepointv1"
)

// told is what a peer was last told that it should know soon.
type told struct {
	settings uint64
	members  uint64
	stopping bool
	ejected  int
}

func toldBy(st *pb.PeerStatus) told {
	return told{st.GetSettingsVersion(), st.GetMembersVersion(), st.GetStopping(), len(st.GetEjected())}
}

// statusDue is how long a peer may go without a message. Statuses that say
// nothing new were most of the idle traffic, and grow with the square of the
// number of processes; a lost connection is noticed below, by its keep-alives.
func (c *Core) statusDue(to task.Incarnation) time.Duration {
	now := told{c.settings.Version(), c.view.Version(), c.draining, len(c.health.Ejected())}
	if c.peers[to].told != now || c.admission.quotas.SharesWith(to) {
		return c.cfg.StatusInterval
	}
	return c.cfg.IdleStatusInterval
}
