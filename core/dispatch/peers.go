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
	// status is the latest status received, nil before the first.
	status *pb.PeerStatus
	// lastContact is when the last message was received, lastSent when the last was sent.
	lastContact  task.Time
	lastSent     task.Time
	settingsPull pull
	membersPull  pull
	announced    announced
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
	c.peers[e.Peer] = &peer{failureDomain: e.FailureDomain, lastContact: c.now}
	c.recordRun(e.Peer)
	c.view.PeerUp(c.now, e.Peer)
	c.refreshMembers()
	c.admission.quotas.PeerUp(e.Peer)
	c.announceAdopted(e.Peer)
	c.send(e.Peer, &pb.PeerMessage{})
}

// peerDown handles a lost connection. Requests that wait for the peer are answered at once,
// because the state of the peer is unknown until it is reachable again.
func (c *Core) peerDown(p task.Incarnation) {
	c.recordAbsence(p)
	delete(c.peers, p)
	c.view.PeerDown(c.now, p)
	c.refreshMembers()
	c.dropSharedState(p)
	c.answerLostForwards(p)
	c.dropPeerRequests(p)
	c.handoverPeerDown(p)
	c.lendingPeerDown(p)
}

func (c *Core) peerMessage(from task.Incarnation, m *pb.PeerMessage) {
	p := c.peers[from]
	if p == nil {
		c.recordDropped(from, m)
		return
	}
	p.lastContact = c.now
	c.receiveStatus(from, p, m.GetStatus())
	returned := c.reclaimReturned(m.GetReturns())
	switch b := m.GetBody().(type) {
	case *pb.PeerMessage_Forward:
		c.receiveForward(from, b.Forward)
	case *pb.PeerMessage_ForwardAnswer:
		c.receiveForwardAnswer(from, b.ForwardAnswer)
	case *pb.PeerMessage_ForwardCancel:
		c.receiveForwardCancel(from, b.ForwardCancel)
	case *pb.PeerMessage_Handover:
		c.adopt(from, b.Handover)
	case *pb.PeerMessage_HandoverAck:
		c.handoverAcked(from, b.HandoverAck)
	case *pb.PeerMessage_HandoverNotice:
		c.recordSuccessor(from, b.HandoverNotice)
	case *pb.PeerMessage_BorrowRequest:
		c.borrowRequested(from, b.BorrowRequest)
	case *pb.PeerMessage_LendGrant:
		c.receiveGrant(from, b.LendGrant, returned)
	case *pb.PeerMessage_SettingsPull:
		c.sendSettings(from)
	case *pb.PeerMessage_Settings:
		c.offerSettings(b.Settings)
	case *pb.PeerMessage_MembersPull:
		c.sendMembers(from)
	case *pb.PeerMessage_Members:
		c.offerMembers(membership.FromProto(b.Members))
	}
}

func (c *Core) receiveStatus(from task.Incarnation, p *peer, st *pb.PeerStatus) {
	if st == nil || st.GetSequence() <= p.status.GetSequence() {
		return
	}
	p.status = st
	c.recordIdle(from, st)
	c.view.PeerStopping(from, st.GetStopping() && st.GetQueuedTasks() == 0)
	c.refreshMembers()
	c.pullNewer(from, p, st)
	c.receiveSharedState(from, st)
}

// send sends a message, which also carries the status of this process.
func (c *Core) send(to task.Incarnation, m *pb.PeerMessage) {
	p := c.peers[to]
	if p == nil {
		return
	}
	p.lastSent = c.now
	c.addReturns(to, m)
	m.Status = c.buildStatus(to)
	c.addSharedState(to, m.Status)
	p.announced = announcedIn(m.Status)
	c.stats.PeerMessages++
	c.countPeerMessage(m)
	c.emit(Send{to, m})
}

func (c *Core) buildStatus(to task.Incarnation) *pb.PeerStatus {
	c.statusSeq++
	st := &pb.PeerStatus{
		Sequence:        c.statusSeq,
		SettingsVersion: c.settings.Version(),
		MembersVersion:  c.view.Version(),
		Stopping:        c.draining,
	}
	c.addIdleSlots(to, st)
	return st
}

// sendStatus sends a status to each peer to which no message was sent for its interval.
func (c *Core) sendStatus() {
	for _, p := range c.sortedPeers() {
		if c.now-c.peers[p].lastSent >= c.statusIntervalFor(p) {
			c.send(p, &pb.PeerMessage{})
		}
	}
}
