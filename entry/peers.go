package entry

import (
	"sapphirepoint.example/sapphirepoint/core/leader"
	"sapphirepoint.example/sapphirepoint/core/schedule"
	"sapphirepoint.example/sapphirepoint/core/workload"
	pb "sapphirepoint.example/sapphirepoint/gen/sapphirepointv1"
)

// PeerUp is called by the mesh.
func (p *Process) PeerUp(id string) {
	p.post(func() {
		now := p.clock.now()
		peer := leader.ID(id)
		p.linked[peer] = true
		p.view.Heard(now, peer, nil)
		p.sendHeartbeat(now, peer)
		if p.schedule.Leading() {
			p.send(peer, runnersMessage(p.runnerList, false))
		}
		p.gateway.Reconnected(now, peer, p.schedule.Term())
	})
}

// PeerDown is called by the mesh.
func (p *Process) PeerDown(id string, ended bool, cause error) {
	p.post(func() {
		now := p.clock.now()
		peer := leader.ID(id)
		delete(p.linked, peer)
		if !ended {
			// A connection can be lost while the process lives; silence
			// decides.
			return
		}
		p.view.Ended(peer)
		p.peerLost(now, peer, true)
		p.follow(now)
	})
}

// peerLost drops what was in hand for a process.
func (p *Process) peerLost(now Time, id leader.ID, ended bool) {
	p.log.Warn().Str("peer", string(id)).Bool("ended", ended).Msg("peer-lost")
	// The connection goes too. On one that is cut in one direction only, the
	// other process would go on hearing this one, and run its jobs on while
	// they are handed to somebody else.
	p.mesh.Drop(string(id))
	delete(p.linked, id)
	delete(p.sent, id)
	if p.schedule.Leading() {
		p.schedule.EntryLost(now, schedule.EntryID(id), ended)
	}
}

// PeerMessage is called by the mesh.
func (p *Process) PeerMessage(id string, m *pb.FleetMessage) {
	p.post(func() { p.message(leader.ID(id), m) })
}

func (p *Process) message(from leader.ID, m *pb.FleetMessage) {
	now := p.clock.now()
	h := m.GetHeartbeat()
	if h == nil {
		p.view.Heard(now, from, nil)
	}
	switch body := m.GetBody().(type) {
	case *pb.FleetMessage_Heartbeat:
		p.heartbeat(now, from, h)
	case *pb.FleetMessage_HandIn:
		p.submit(now, schedule.EntryID(from), handInOf(body.HandIn))
	case *pb.FleetMessage_Verdict:
		p.gateway.Decide(now, verdictOf(from, body.Verdict))
	case *pb.FleetMessage_DropJob:
		p.schedule.Abandon(now, schedule.EntryID(from), workload.JobID(body.DropJob.GetJob()))
	case *pb.FleetMessage_JobQuery:
		p.jobQuery(now, from, body.JobQuery)
	case *pb.FleetMessage_JobState:
		p.jobState(body.JobState)
	case *pb.FleetMessage_Declaration:
		p.declare(declarationOf(body.Declaration), string(from))
	case *pb.FleetMessage_Runners:
		list := runnersOf(body.Runners)
		if body.Runners.GetHandover() {
			p.schedule.Suspect(now, list.Runners)
			return
		}
		p.takeRunners(now, list, string(from))
	case nil:
		// The greeting of a new connection.
	default:
		p.log.Warn().Str("peer", string(from)).Msg("peer-message-unknown")
	}
}

func (p *Process) heartbeat(now Time, from leader.ID, h *pb.Heartbeat) {
	before := p.view.Report(from)
	report := reportOf(h)
	p.view.Heard(now, from, report)
	p.schedule.SeeTerm(h.GetTerm())
	if d := p.table.Current(); d != nil && h.GetDeclarationVersion() < d.Version {
		p.send(from, declarationMessage(d))
	}
	if from == p.choice.Leader {
		p.takePending(h.GetPending())
		p.peerStale = h.GetRunnersStale()
		p.readFast.Store(p.schedule.Leading() || p.peerStale)
		if h.GetRunnersStale() && h.GetRunnersRevision() < p.runnerList.Revision {
			p.send(from, runnersMessage(p.runnerList, false))
		}
	}
	p.follow(now)
	if before.Leader == from && report.Leader == p.view.Self() {
		// It led on the other side of a cut, and has yielded.
		p.schedule.Reclaim(now)
	}
}

func (p *Process) takePending(pending map[string]uint32) {
	p.pending = make(map[string]int, len(pending))
	for queue, n := range pending {
		p.pending[queue] = int(n)
	}
	p.pendingNow.Store(&p.pending)
}

// send passes a message to a process. If there is no connection it is dropped:
// the sender is told when the process is lost, or connected again.
func (p *Process) send(to leader.ID, m *pb.FleetMessage) {
	if !p.mesh.Send(string(to), m) {
		p.metrics.droppedMessages.Inc()
	}
}

// heartbeats are sent to all connected processes.
func (p *Process) heartbeats(now Time) {
	for id := range p.linked {
		if now-p.sent[id] >= leader.HeartbeatInterval-tickInterval/2 {
			p.sendHeartbeat(now, id)
		}
	}
}

// sendHeartbeats tells all processes of a change at once.
func (p *Process) sendHeartbeats(now Time) {
	for id := range p.linked {
		p.sendHeartbeat(now, id)
	}
}

func (p *Process) sendHeartbeat(now Time, to leader.ID) {
	p.sent[to] = now
	p.send(to, heartbeatMessage(p.view.Own(now, p.choice), p))
}
