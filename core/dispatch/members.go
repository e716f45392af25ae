package dispatch

import (
	"maps"
	"time"

	"sapphirepoint.example/sapphirepoint/core/membership"
	"sapphirepoint.example/sapphirepoint/core/task"
	pb "sapphirepoint.example/sapphirepoint/gen/sapphirepointv1"
)

const (
	// membersInterval is how often absences are looked at.
	membersInterval = 500 * time.Millisecond
	// pullInterval bounds how often one peer is asked for settings or the list.
	// The version rides on every message; without the bound each message that
	// arrives before the answer would ask for the whole again.
	pullInterval = 500 * time.Millisecond
)

// pull remembers when a peer was asked for something whole.
type pull struct {
	asked bool
	at    task.Time
}

// due says whether to ask now, and notes it.
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

// membersRead takes the list as this process read it from the platform. Only
// that counts for quotas: a list that a peer passes on says nothing of how old
// the peer's own reading is.
func (c *Core) membersRead(m task.Members) {
	c.admission.quotas.SetMembers(c.now, m)
	c.membersChanged(m)
}

// membersChanged takes a list from the platform or a peer if it is newer.
func (c *Core) membersChanged(m task.Members) {
	if !c.view.ApplyList(c.now, m) {
		return
	}
	c.forgetAbsent(m)
	c.emit(MembersInForce{m})
	c.refreshMembers()
	c.upstreamsListed(m)
}

// refreshMembers divides the slots anew if the members to be reckoned with
// have changed.
func (c *Core) refreshMembers() {
	live, changed := c.view.Live(c.now)
	if !changed || !c.view.HasList() {
		return
	}
	c.pool.SetMembers(live)
	c.reweigh()
}

// upstreamLeaving stops new work to an upstream that said itself that it
// leaves; the list may say so only seconds later.
func (c *Core) upstreamLeaving(name string) {
	c.view.UpstreamLeaving(c.now, name)
	c.refreshMembers()
}

// pullNewer asks a peer for what it has in a newer version.
func (c *Core) pullNewer(from task.Incarnation, p *peer, st *pb.PeerStatus) {
	if st.GetSettingsVersion() > c.settings.Version() && p.settingsPull.due(c.now) {
		c.send(from, &pb.PeerMessage{Body: &pb.PeerMessage_SettingsPull{SettingsPull: &pb.SettingsPull{}}})
	}
	if st.GetMembersVersion() > c.view.Version() && p.membersPull.due(c.now) {
		c.send(from, &pb.PeerMessage{Body: &pb.PeerMessage_MembersPull{MembersPull: &pb.MembersPull{}}})
	}
}

// absence is what was last known of a node that isn't connected.
type absence struct {
	incarnation task.Incarnation
	version     uint64
	heard       task.Time
}

// noteAbsence keeps what an operator wants to know of a node that is cut off:
// which settings it had, and when.
func (c *Core) noteAbsence(p task.Incarnation) {
	if last := c.peers[p]; last != nil {
		c.absent[p.Node] = absence{p, last.status.GetSettingsVersion(), last.heard}
	}
}

// absentVersions lists the nodes on the list that aren't connected, with the
// settings version that they had when they were last heard; 0 if never.
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
			v.AgeMs = uint64((c.now - last.heard).Milliseconds())
		}
		list = append(list, v)
	}
	return list
}

// forgetAbsent drops what is known of nodes that aren't listed any more.
func (c *Core) forgetAbsent(m task.Members) {
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
