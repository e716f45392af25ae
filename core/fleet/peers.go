package fleet

import (
	"sapphirepoint.example/sapphirepoint/core/gateway"
	"sapphirepoint.example/sapphirepoint/core/leader"
	"sapphirepoint.example/sapphirepoint/core/ordered"
	"sapphirepoint.example/sapphirepoint/core/schedule"
)

// PeerUp handles a new connection with a process. It may replace an earlier connection for
// which PeerDown wasn't called, so the end of that one is handled first: jobs that the process
// handed in on it are dropped, unless they are stored or have started. Both processes then hand
// in again the jobs that the other has and whose callers still wait; see
// gateway.Gateway.Reconnected.
func (n *Node) PeerUp(now Time, id leader.ID) {
	n.detectStall(now)
	n.connected[id] = true
	n.connectedAt[id] = n.sentAt(now)
	n.view.RecordContact(now, id, nil)
	n.sendHeartbeat(now, id)
	for _, s := range n.own {
		s.schedule.EntryDisconnected(now, schedule.EntryID(id))
		s.schedule.EntryReachable(now, schedule.EntryID(id))
	}
	delete(n.lostVMs, schedule.EntryID(id).VM())
	delete(n.sentDigest, id)
	n.sendUnlisted(now, id)
	n.resendPossibleRuns(id)
	n.gateway.Reconnected(now, id)
}

// PeerDown handles the end of a connection. ended: the other process closed it because that
// process ends, and is removed at once. Otherwise it may be alive: only those of its jobs are
// dropped that aren't stored and haven't started, and the process counts as lost (peerLost) once
// no message has arrived from it for leader.HeartbeatTimeout.
func (n *Node) PeerDown(now Time, id leader.ID, ended bool) {
	n.detectStall(now)
	delete(n.connected, id)
	if !ended {
		for _, s := range n.own {
			s.schedule.EntryDisconnected(now, schedule.EntryID(id))
		}
		return
	}
	n.view.RemovePeer(id)
	n.peerLost(now, id, true)
	n.updateLeaders(now)
}

// peerLost handles the loss of a process: it drops what that process has in flight here, and
// closes the connection with it. If only one direction of the connection failed, the other
// process would still receive messages from this one, and would continue jobs that are being
// passed to another process. ended: the process has ended; otherwise its VM may be alive beyond
// a network partition.
func (n *Node) peerLost(now Time, id leader.ID, ended bool) {
	n.warn("peer-lost", Field{"peer", string(id)}, Field{"ended", ended})
	n.emit(Disconnect{Peer: id})
	if !ended {
		n.lostVMs[schedule.EntryID(id).VM()] = now
	}
	delete(n.connected, id)
	delete(n.connectedAt, id)
	delete(n.latestSentAt, id)
	delete(n.heartbeatSentAt, id)
	delete(n.staleLeaders, id)
	for _, s := range n.own {
		s.schedule.EntryLost(now, schedule.EntryID(id), ended)
	}
}

// disconnectAll closes all connections after a stall of this process. The other processes have
// closed them already or are about to, since they received no heartbeat meanwhile, and those that
// have ended during the stall couldn't report it to this one. Messages that are still buffered
// may be outdated, and jobs in them may have been passed to others.
func (n *Node) disconnectAll(now Time) {
	for _, id := range n.peers() {
		delete(n.connected, id)
		n.emit(Disconnect{Peer: id})
		for _, s := range n.own {
			s.schedule.EntryDisconnected(now, schedule.EntryID(id))
		}
	}
}

// receiveHandIn accepts a job from a connected process, and drops it if the connection has
// ended.
func (n *Node) receiveHandIn(now Time, from leader.ID, c gateway.HandIn) {
	if !n.connected[from] {
		n.notice("hand-in-dropped", Field{"job", string(c.Job.ID)}, Field{"entry", string(from)}, Field{"reason", "its connection has ended"})
		return
	}
	n.submit(now, from, c)
}

// Receive handles a message; message.go explains the kinds. A nil message only shows that the
// sender is alive.
func (n *Node) Receive(now Time, from leader.ID, m Message) {
	n.detectStall(now)
	for _, s := range n.own {
		s.schedule.EntryAlive(n.sentAt(now), schedule.EntryID(from))
	}
	if h, ok := m.(Heartbeat); ok {
		n.receiveHeartbeat(now, from, h)
		return
	}
	n.view.RecordContact(now, from, nil)
	switch m := m.(type) {
	case HandIn:
		n.receiveHandIn(now, from, m.HandIn)
	case Verdict:
		// From isn't encoded in the message. HandleVerdict compares it with the scheduler that
		// has the job.
		m.From = from
		n.gateway.HandleVerdict(now, m.Verdict)
	case DropJob:
		n.dropJob(now, from, m)
	case JobQuery:
		n.receiveQuery(now, from, m)
	case JobAnswer:
		n.receiveJobAnswer(m)
	case JobMove:
		n.receiveMovedJob(now, from, m)
	case JobTaken:
		n.receiveJobTaken(now, from, m)
	case RoomRequest:
		n.receiveRoomRequest(now, from, m)
	case RoomGrant:
		n.receiveRoomGrant(now, m)
	case JobsElsewhere:
		n.receiveElsewhere(now, m)
	case Declaration:
		n.ApplyDeclaration(now, m.Declaration, string(from))
	case Progress:
		if s := n.ownShard(m.Shard); s != nil {
			s.ledger.OwnerRetired(now, m.Epoch)
			s.schedule.ApplyProgress(now, schedule.EntryID(from), m.Progress)
		}
	case LearnedPaces:
		n.receiveLearned(now, from, m)
	case PossibleRuns:
		n.receivePossibleRuns(now, m)
	case Layout:
		n.ApplyLayout(now, m.Layout)
	case RunnerList:
		if m.InUse {
			n.rememberUnlisted(now, m.Runners)
			return
		}
		if m.Handover {
			// This isn't the platform's list, which it doesn't replace; see RunnerList.
			n.addUnlistedRunners(now, m.Runners)
			return
		}
		// Each process uses the runners of its own cell only. Until the layout is known, the
		// cell isn't either, and a list is accepted from any process.
		if n.LayoutKnown() && !n.inCell(from) {
			return
		}
		n.recordExpired(now, m)
		n.takeRunners(now, m, string(from))
	}
}

func (n *Node) receiveHeartbeat(now Time, from leader.ID, h Heartbeat) {
	before := n.view.Report(from)
	n.view.RecordContact(now, from, &h.Report)
	if before.Number == 0 {
		// This is its first report; until then updateUnreachable doesn't count its VM as
		// reachable.
		n.updateUnreachable(now)
	}
	if h.Report.Shards == 0 && n.LayoutKnown() {
		// The sender doesn't know the layout yet.
		n.emit(Send{To: from, Message: Layout{n.layout}})
	}
	n.recordEcho(from, h)
	n.learnStoredJobs(now, h.StoredJobs, string(from))
	for _, s := range n.own {
		s.schedule.ObserveTerm(h.Report.Term)
		s.schedule.SetTakesLent(schedule.EntryID(from), h.TakesLentJobs)
	}
	if d := n.table.Current(); d != nil && h.DeclarationVersion < d.Version {
		n.emit(Send{To: from, Message: Declaration{d}})
	}
	n.updateRunners(from, h)
	n.extendUncertainty(now, h.UncertainFor)
	n.ApplyEvacuations(now, h.Evacuations, string(from))
	n.recordLoads(now, from, h)
	for _, s := range n.shards {
		if h.Report.Leader(s.index) == from {
			n.gateway.SetExpectedWait(s.index, h.ExpectedWait)
		}
	}
	if now-n.heartbeatSentAt[from] >= leader.HeartbeatInterval/2 {
		// Sent now, this process's heartbeat carries the connection's acknowledgement of
		// the one received. Otherwise the acknowledgement would need a datagram of its own,
		// one in four of all datagrams.
		n.sendHeartbeat(now, from)
	}
	delete(n.staleLeaders, from)
	if h.RunnersStale && n.inCell(from) {
		n.staleLeaders[from] = true
		if h.RunnersRevision < n.runners.Revision {
			n.emit(Send{To: from, Message: n.runners})
		}
	}
	n.updateLeaders(now)
	for _, s := range n.shards {
		if h.Report.Leader(s.index) == from && before.Leader(s.index) != from {
			n.gateway.LeaderClaims(now, s.index, from)
		}
	}
	n.recordPending(now, from, h.Pending)
	for _, s := range n.own {
		if h.Report.Leader(s.index) != n.Self() || before.Leader(s.index) == n.Self() {
			continue
		}
		// The sender follows this process in the shard from now on. Runners that had accepted a
		// higher token of the sender were left to it, and are now reacquired.
		if before.Leader(s.index) == from {
			// The sender reported until now that it leads the shard, on the other side of a
			// network partition, and has yielded. TakeOverRunners also requests the lists of
			// all other runners, since jobs that the sender had may be handed in here while
			// their tasks run.
			s.schedule.TakeOverRunners(now)
			continue
		}
		// The sender may have led the shard for a moment without reporting it to this process,
		// as happens when two processes start at the same time.
		s.schedule.ReacquireRunners(now)
	}
}

// recordEcho passes on when this process sent what the sender of a heartbeat has received of it. A process of an
// earlier version doesn't report that.
func (n *Node) recordEcho(from leader.ID, h Heartbeat) {
	if h.SentAt == 0 {
		return
	}
	n.latestSentAt[from] = max(n.latestSentAt[from], h.SentAt)
	for _, s := range n.own {
		s.schedule.EntryHears(max(h.Received, n.connectedAt[from]), schedule.EntryID(from))
	}
}

// Connections is the number of connected processes.
func (n *Node) Connections() int { return len(n.connected) }

// peers lists the connected processes in the order of their ids.
func (n *Node) peers() []leader.ID { return ordered.Keys(n.connected) }

// sendDueHeartbeats sends heartbeats at equal intervals, each at the tick that is nearest to
// HeartbeatInterval after the one before. A tick may be up to half a TickInterval early: waiting
// for the next one would make the interval longer.
func (n *Node) sendDueHeartbeats(now Time) {
	for _, id := range n.peers() {
		if now-n.heartbeatSentAt[id] >= leader.HeartbeatInterval-TickInterval/2 {
			n.sendHeartbeat(now, id)
		}
	}
}

// sendHeartbeats sends a heartbeat to all connected processes at once, to report a change.
func (n *Node) sendHeartbeats(now Time) {
	for _, id := range n.peers() {
		n.sendHeartbeat(now, id)
	}
}

func (n *Node) sendHeartbeat(now Time, to leader.ID) {
	n.heartbeatSentAt[to] = now
	h := Heartbeat{
		Report:             n.view.OwnReport(now, n.choices()),
		DeclarationVersion: n.table.Version(),
		RunnersRevision:    n.runners.Revision,
		RunnersStale:       n.listStale,
		StoredJobs:         n.storedJobs,
		Evacuations:        n.evacuations,
		TakesLentJobs:      true,
		SentAt:             now,
		Received:           n.latestSentAt[to],
	}
	if n.listKnown {
		h.RunnersDigest = n.digest
	}
	// The view doesn't know the terms, which the shards' schedulers keep.
	h.Report.Term = n.term()
	h.UncertainFor = max(0, n.uncertainUntil-now)
	if n.Leads() {
		h.Pending, h.ExpectedWait, h.Loads = n.ownPending, n.expectedWait, n.reportedLoads
	}
	n.emit(Send{To: to, Message: h})
}
