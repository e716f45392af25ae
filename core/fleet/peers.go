package fleet

import (
	"maps"
	"slices"

	"sapphirepoint.example/sapphirepoint/core/gateway"
	"sapphirepoint.example/sapphirepoint/core/leader"
	"sapphirepoint.example/sapphirepoint/core/schedule"
)

// PeerUp notes a connection with a process.
func (n *Node) PeerUp(now Time, id leader.ID) {
	n.checkPause(now)
	n.linked[id] = true
	n.view.RecordContact(now, id, nil)
	n.heartbeat(now, id)
	for _, s := range n.own {
		s.schedule.EntryDisconnected(now, schedule.EntryID(id))
		s.schedule.EntryReachable(now, schedule.EntryID(id))
	}
	delete(n.lost, schedule.EntryID(id).VM())
	delete(n.listSent, id)
	n.gateway.Reconnected(now, id)
}

// PeerDown notes the end of a connection; ended says that the other process
// said so itself. Else it may live, and silence decides.
func (n *Node) PeerDown(now Time, id leader.ID, ended bool) {
	n.checkPause(now)
	delete(n.linked, id)
	if !ended {
		for _, s := range n.own {
			s.schedule.EntryDisconnected(now, schedule.EntryID(id))
		}
		return
	}
	n.view.RemovePeer(id)
	n.peerLost(now, id, true)
	n.follow(now)
}

// peerLost drops what was in hand for a process, and the connection with it. On
// one that is cut in one direction only, the other process would go on hearing
// this one, and run its jobs on while they are handed to somebody else.
func (n *Node) peerLost(now Time, id leader.ID, ended bool) {
	n.warn("peer-lost", Field{"peer", string(id)}, Field{"ended", ended})
	n.emit(Disconnect{Peer: id})
	if !ended {
		n.lost[schedule.EntryID(id).VM()] = now
	}
	delete(n.linked, id)
	delete(n.sent, id)
	delete(n.pending, id)
	delete(n.askedFor, id)
	for _, s := range n.own {
		s.schedule.EntryLost(now, schedule.EntryID(id), ended)
	}
}

// disconnectAll gives up all connections after a pause. Others have done so, or are about
// to; those that have ended meanwhile can't say so. What is still read from such a
// connection may be of long ago, and jobs in it given to somebody else.
func (n *Node) disconnectAll(now Time) {
	for _, id := range n.peers() {
		delete(n.linked, id)
		n.emit(Disconnect{Peer: id})
		for _, s := range n.own {
			s.schedule.EntryDisconnected(now, schedule.EntryID(id))
		}
	}
}

// handedIn takes jobs of a process that is connected.
func (n *Node) handedIn(now Time, from leader.ID, c gateway.HandIn) {
	if !n.linked[from] {
		n.notice("hand-in-dropped", Field{"job", string(c.Job.ID)}, Field{"entry", string(from)}, Field{"reason", "its connection has ended"})
		return
	}
	n.submit(now, from, c)
}

// Receive takes a message. nil is a sign of life and nothing more.
func (n *Node) Receive(now Time, from leader.ID, m Message) {
	n.checkPause(now)
	for _, s := range n.own {
		s.schedule.EntryAlive(now, schedule.EntryID(from))
	}
	if h, ok := m.(Heartbeat); ok {
		n.heard(now, from, h)
		return
	}
	n.view.RecordContact(now, from, nil)
	switch m := m.(type) {
	case HandIn:
		n.handedIn(now, from, m.HandIn)
	case Verdict:
		m.From = from
		n.gateway.HandleVerdict(now, m.Verdict)
	case DropJob:
		n.dropJob(now, from, m)
	case JobQuery:
		n.queried(now, from, m)
	case JobAnswer:
		n.answerQuery(m)
	case JobMove:
		n.take(now, from, m)
	case JobTaken:
		n.taken(now, m)
	case Declaration:
		n.ApplyDeclaration(now, m.Declaration, string(from))
	case Progress:
		if s := n.ownShard(m.Shard); s != nil {
			s.schedule.ApplyProgress(now, m.Progress)
		}
	case Layout:
		n.ApplyLayout(now, m.Layout)
	case RunnerList:
		if m.Handover {
			n.suspect(now, m.Runners)
			return
		}
		if n.LayoutKnown() && !n.inCell(from) {
			return
		}
		n.noteLapsed(now, m)
		n.takeRunners(now, m, string(from))
	}
}

func (n *Node) heard(now Time, from leader.ID, h Heartbeat) {
	before := n.view.Report(from)
	n.view.RecordContact(now, from, &h.Report)
	if before.Number == 0 {
		n.noteUnheard(now)
	}
	if h.Report.Shards == 0 && n.LayoutKnown() {
		n.emit(Send{To: from, Message: Layout{n.layout}})
	}
	n.learnStored(now, h.StoredJobs)
	for _, s := range n.own {
		s.schedule.ObserveTerm(h.Report.Term)
	}
	if d := n.table.Current(); d != nil && h.DeclarationVersion < d.Version {
		n.emit(Send{To: from, Message: Declaration{d}})
	}
	n.updateRunners(from, h)
	n.hearDoubt(now, h.UncertainFor)
	n.ApplyEvacuations(now, h.Evacuations, string(from))
	n.pending[from] = h.Pending
	for _, s := range n.shards {
		if h.Report.Leader(s.index) == from {
			n.gateway.SetExpectedWait(s.index, h.BacklogTime)
		}
	}
	if now-n.sent[from] >= leader.HeartbeatInterval/2 {
		// Sent now, the own heartbeat carries the connection's acknowledgement of
		// the other one, which else takes a datagram by itself: one in four.
		n.heartbeat(now, from)
	}
	delete(n.askedFor, from)
	if h.RunnersStale && n.inCell(from) {
		n.askedFor[from] = true
		if h.RunnersRevision < n.runners.Revision {
			n.emit(Send{To: from, Message: n.runners})
		}
	}
	n.follow(now)
	for _, s := range n.own {
		if h.Report.Leader(s.index) != n.Self() || before.Leader(s.index) == n.Self() {
			continue
		}
		if before.Leader(s.index) == from {
			// It led on the other side of a cut, and has yielded.
			s.schedule.TakeOverRunners(now)
			continue
		}
		// It may have led for a moment without this process hearing of it, as
		// two processes that start at the same time do.
		s.schedule.ReacquireRunners(now)
	}
}

// Connections is the number of connected processes.
func (n *Node) Connections() int { return len(n.linked) }

// peers lists the connected processes in the order of their ids.
func (n *Node) peers() []leader.ID { return slices.Sorted(maps.Keys(n.linked)) }

// heartbeats are due at equal distances; a tick may be a little early.
func (n *Node) heartbeats(now Time) {
	for _, id := range n.peers() {
		if now-n.sent[id] >= leader.HeartbeatInterval-TickInterval/2 {
			n.heartbeat(now, id)
		}
	}
}

// heartbeatAll tells all processes of a change at once.
func (n *Node) heartbeatAll(now Time) {
	for _, id := range n.peers() {
		n.heartbeat(now, id)
	}
}

func (n *Node) heartbeat(now Time, to leader.ID) {
	n.sent[to] = now
	h := Heartbeat{
		Report:             n.view.OwnReport(now, n.choices()),
		DeclarationVersion: n.table.Version(),
		RunnersRevision:    n.runners.Revision,
		RunnersStale:       n.stale,
		StoredJobs:         n.stored,
		Evacuations:        n.evacuations,
	}
	if n.listKnown {
		h.RunnersDigest = n.digest
	}
	h.Report.Term = n.term()
	h.UncertainFor = max(0, n.doubtUntil-now)
	if n.Leads() {
		h.Pending, h.BacklogTime = n.ownPending(), n.wait
	}
	n.emit(Send{To: to, Message: h})
}
