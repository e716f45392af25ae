package dispatch

import (
	"cmp"
	"slices"

	"sapphirepoint.example/sapphirepoint/core/membership"
	"sapphirepoint.example/sapphirepoint/core/task"
	pb "sapphirepoint.example/sapphirepoint/gen/sapphirepointv1"
)

// peer is a connected entry process.
type peer struct {
	failureDomain string
	status        *pb.PeerStatus
	heard         task.Time
	sent          task.Time
	settingsPull  pull
	membersPull   pull
	told          told
}

func compareIncarnations(a, b task.Incarnation) int {
	return cmp.Or(cmp.Compare(a.Node, b.Node), cmp.Compare(a.Run, b.Run))
}

func (c *Core) sortedPeers() []task.Incarnation {
	list := make([]task.Incarnation, 0, len(c.peers))
	for p := range c.peers {
		list = append(list, p)
	}
	slices.SortFunc(list, compareIncarnations)
	return list
}

func sortedIDs(m map[task.ID]*submission) []task.ID {
	list := make([]task.ID, 0, len(m))
	for id := range m {
		list = append(list, id)
	}
	slices.SortFunc(list, func(a, b task.ID) int {
		return cmp.Or(
			cmp.Compare(a.Institution, b.Institution),
			cmp.Compare(a.OwnKey, b.OwnKey),
			compareIncarnations(a.Holder, b.Holder),
			cmp.Compare(a.Number, b.Number),
		)
	})
	return list
}

func (c *Core) peerUp(e PeerUp) {
	c.peers[e.Peer] = &peer{failureDomain: e.FailureDomain, heard: c.now}
	c.noteRun(e.Peer)
	c.view.PeerUp(c.now, e.Peer)
	c.refreshMembers()
	c.admission.quotas.PeerUp(e.Peer)
	c.announceAdopted(e.Peer)
	c.send(e.Peer, &pb.PeerMessage{})
}

// peerDown answers what waited for the peer: at once, because its state can't
// be known before it is reached again.
func (c *Core) peerDown(p task.Incarnation) {
	c.noteAbsence(p)
	delete(c.peers, p)
	c.view.PeerDown(c.now, p)
	c.refreshMembers()
	c.termsPeerDown(p)
	c.forwardsLost(p)
	c.askerPeerDown(p)
	c.handoverPeerDown(p)
	c.lendingPeerDown(p)
}

func (c *Core) peerMessage(from task.Incarnation, m *pb.PeerMessage) {
	p := c.peers[from]
	if p == nil {
		c.noteDropped(from, m)
		return
	}
	p.heard = c.now
	c.peerStatus(from, p, m.GetStatus())
	back := c.returned(m.GetReturns())
	switch b := m.GetBody().(type) {
	case *pb.PeerMessage_Forward:
		c.forwarded(from, b.Forward)
	case *pb.PeerMessage_ForwardAnswer:
		c.forwardAnswer(from, b.ForwardAnswer)
	case *pb.PeerMessage_ForwardCancel:
		c.forwardedCancel(from, b.ForwardCancel)
	case *pb.PeerMessage_Handover:
		c.adopt(from, b.Handover)
	case *pb.PeerMessage_HandoverAck:
		c.handoverAcked(from, b.HandoverAck)
	case *pb.PeerMessage_HandoverNotice:
		c.noticeSuccessor(from, b.HandoverNotice)
	case *pb.PeerMessage_BorrowRequest:
		c.borrowRequested(from, b.BorrowRequest)
	case *pb.PeerMessage_LendGrant:
		c.granted(from, b.LendGrant, back)
	case *pb.PeerMessage_SettingsPull:
		c.sendSettings(from)
	case *pb.PeerMessage_Settings:
		c.offerSettings(b.Settings)
	case *pb.PeerMessage_MembersPull:
		c.sendMembers(from)
	case *pb.PeerMessage_Members:
		c.membersChanged(membership.FromProto(b.Members))
	}
}

func (c *Core) peerStatus(from task.Incarnation, p *peer, st *pb.PeerStatus) {
	if st == nil || st.GetSequence() <= p.status.GetSequence() {
		return
	}
	p.status = st
	c.seeIdle(from, st)
	c.view.PeerStopping(from, st.GetStopping() && st.GetQueuedTasks() == 0)
	c.refreshMembers()
	c.pullNewer(from, p, st)
	c.seeTerms(from, st)
}

// send sends a message with this process's status riding on it.
func (c *Core) send(to task.Incarnation, m *pb.PeerMessage) {
	p := c.peers[to]
	if p == nil {
		return
	}
	p.sent = c.now
	c.addReturns(to, m)
	m.Status = c.status(to)
	c.addTerms(to, m.Status)
	p.told = toldBy(m.Status)
	c.stats.PeerMessages++
	c.countPeerMessage(m)
	c.emit(Send{to, m})
}

func (c *Core) status(to task.Incarnation) *pb.PeerStatus {
	c.statusSeq++
	st := &pb.PeerStatus{
		Sequence:        c.statusSeq,
		SettingsVersion: c.settings.Version(),
		MembersVersion:  c.view.Version(),
		Stopping:        c.draining,
	}
	c.addIdle(to, st)
	return st
}

// sendStatus tells peers that have heard nothing for an interval.
func (c *Core) sendStatus() {
	for _, p := range c.sortedPeers() {
		if c.now-c.peers[p].sent >= c.statusDue(p) {
			c.send(p, &pb.PeerMessage{})
		}
	}
}
