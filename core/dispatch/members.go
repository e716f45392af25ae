package dispatch

import (
	"maps"
	"time"

	"sapphirepoint.example/sapphirepoint/core/membership"
	"sapphirepoint.example/sapphirepoint/core/task"
	pb "sapphirepoint.example/sapphirepoint/gen/sapphirepointv1"
)

const (
	// membersInterval is how often the set of live members is re-evaluated.
	membersInterval = 500 * time.Millisecond
	// pullInterval is the minimum time between two pulls of settings or of the list
	// from one peer. Every message carries the versions; without the limit each
	// message received before the reply would cause another pull.
	pullInterval = 500 * time.Millisecond
)

// pull records when a peer was last asked for settings or for the list of VMs.
type pull struct {
	asked bool
	at    task.Time
}

// due reports whether to pull now, and if so records it.
func (p *pull) due(now task.Time) bool {
	if p.asked && now-p.at < pullInterval {
		return false
	}
	p.asked = true
	p.at = now
	return true
}

// offerSettings puts settings in force if they are newer.
func (c *Core) offerSettings(s *pb.Settings) {
	if !c.settings.Offer(s) {
		return
	}
	c.budgets.ApplySettings(s)
	c.admission.quotas.ApplySettings(s)
	c.emit(SettingsInForce{s})
}

// platformMembersRead takes the list of VMs as read from the platform by this process. Only
// such a list counts for quotas: a list that a peer passes on does not show how long ago the
// peer read it.
func (c *Core) platformMembersRead(m task.Members) {
	c.admission.quotas.SetMembers(c.now, m)
	c.offerMembers(m)
}

// offerMembers puts a list from the platform or a peer in force if it is newer.
func (c *Core) offerMembers(m task.Members) {
	if !c.view.ApplyList(c.now, m) {
		return
	}
	c.dropUnlisted(m)
	c.emit(MembersInForce{m})
	c.refreshMembers()
	c.setUpstreams(m)
}

// refreshMembers redistributes the slots if the set of live members has changed.
func (c *Core) refreshMembers() {
	live, changed := c.view.Live(c.now)
	if !changed || !c.view.HasList() {
		return
	}
	c.pool.SetMembers(live)
	c.applyWeights()
}

// upstreamLeaving stops new work to an upstream that announced its own stop; the list
// may show it only seconds later.
func (c *Core) upstreamLeaving(name string) {
	c.view.UpstreamLeaving(c.now, name)
	c.refreshMembers()
}

// pullNewer asks a peer for settings or a list with a newer version.
func (c *Core) pullNewer(from task.Incarnation, p *peer, st *pb.PeerStatus) {
	if st.GetSettingsVersion() > c.settings.Version() && p.settingsPull.due(c.now) {
		c.send(from, &pb.PeerMessage{Body: &pb.PeerMessage_SettingsPull{SettingsPull: &pb.SettingsPull{}}})
	}
	if st.GetMembersVersion() > c.view.Version() && p.membersPull.due(c.now) {
		c.send(from, &pb.PeerMessage{Body: &pb.PeerMessage_MembersPull{MembersPull: &pb.MembersPull{}}})
	}
}

// absence is the last known state of a node that is not connected.
type absence struct {
	incarnation task.Incarnation
	version     uint64
	lastContact task.Time
}

// recordAbsence records for operators which settings a disconnected node had, and
// when.
func (c *Core) recordAbsence(p task.Incarnation) {
	if lostPeer := c.peers[p]; lostPeer != nil {
		c.absent[p.Node] = absence{p, lostPeer.status.GetSettingsVersion(), lostPeer.lastContact}
	}
}

// absentVersions returns the listed nodes that are not connected, each with its
// settings version at the last contact; 0 if there was none.
func (c *Core) absentVersions() []*pb.NodeVersion {
	connected := make(map[string]bool, len(c.peers))
	for p := range c.peers {
		connected[p.Node] = true
	}
	var list []*pb.NodeVersion
	for _, n := range c.view.List().Nodes {
		if n.Name == c.cfg.Self.Node || connected[n.Name] {
			continue
		}
		v := &pb.NodeVersion{Incarnation: &pb.Incarnation{Node: n.Name}, FailureDomain: n.FailureDomain}
		if last, known := c.absent[n.Name]; known {
			v.Incarnation = last.incarnation.Proto()
			v.Version = last.version
			v.AgeMs = uint64((c.now - last.lastContact).Milliseconds())
		}
		list = append(list, v)
	}
	return list
}

// dropUnlisted drops the state of absent nodes that are no longer listed.
func (c *Core) dropUnlisted(m task.Members) {
	listed := make(map[string]bool, len(m.Nodes))
	for _, n := range m.Nodes {
		listed[n.Name] = true
	}
	maps.DeleteFunc(c.absent, func(name string, _ absence) bool { return !listed[name] })
}

func (c *Core) sendSettings(to task.Incarnation) {
	if s := c.settings.Current(); s != nil {
		c.send(to, &pb.PeerMessage{Body: &pb.PeerMessage_Settings{Settings: s}})
	}
}

func (c *Core) sendMembers(to task.Incarnation) {
	if c.view.HasList() {
		c.send(to, &pb.PeerMessage{Body: &pb.PeerMessage_Members{Members: membership.ToProto(c.view.List())}})
	}
}
