package fleet

import (
	"slices"

	"sapphirepoint.example/sapphirepoint/core/leader"
	"sapphirepoint.example/sapphirepoint/core/schedule"
)

// Room lent between the schedulers of shards: the reports and messages that pass between processes;
// core/schedule decides. Each leader reports the load of its shards in its heartbeats. A scheduler with
// more work than room asks the scheduler of a shard that reports room.

// RoomRequest asks the leader of Shard for room for jobs of the shard Borrower.
type RoomRequest struct {
	Shard int
	schedule.RoomRequest
}

// RoomGrant answers a RoomRequest. Shard is the shard that asked, and Lender the one that was asked.
type RoomGrant struct {
	Shard int
	schedule.RoomGrant
}

func (RoomRequest) message() {}
func (RoomGrant) message()   {}

// ShardLoad is the load of a shard that the sender of a heartbeat leads.
type ShardLoad struct {
	Shard int
	schedule.Load
}

// reportedLoad is the load of a shard as its leader has reported it.
type reportedLoad struct {
	schedule.Load
	leader leader.ID
	// at is when the report arrived.
	at Time
}

// ownLoads lists the loads of the shards led here. Without other shards there is nobody to report to.
func (n *Node) ownLoads() []ShardLoad {
	if len(n.shards) < 2 {
		return nil
	}
	var list []ShardLoad
	for _, s := range n.own {
		if s.leading() {
			list = append(list, ShardLoad{Shard: s.index, Load: s.schedule.Load()})
		}
	}
	return list
}

// recordLoads records the loads in a heartbeat of the shards that its sender leads.
func (n *Node) recordLoads(now Time, from leader.ID, h Heartbeat) {
	for _, l := range h.Loads {
		if h.Report.Leader(l.Shard) == from {
			n.loads[l.Shard] = reportedLoad{Load: l.Load, leader: from, at: now}
		}
	}
}

// lenders lists the other shards that may lend room to a shard: those led here, and those whose
// leaders are connected and have reported their load.
func (n *Node) lenders(now Time, s *shard, own []ShardLoad) []schedule.Lender {
	var list []schedule.Lender
	for _, o := range n.shards {
		if o == s {
			continue
		}
		l := schedule.Lender{Shard: o.index, SameCell: n.layout[o.index] == n.cell}
		i := slices.IndexFunc(own, func(l ShardLoad) bool { return l.Shard == o.index })
		reported, known := n.loads[o.index]
		switch {
		case i >= 0:
			l.Load = own[i].Load
		case known && reported.leader == n.leaderOf(o.index) && n.connected[reported.leader]:
			l.Load, l.Age = reported.Load, now-reported.at
		default:
			continue
		}
		list = append(list, l)
	}
	return list
}

// setLenders updates the loads that heartbeats report, and passes the reports of the other shards to
// the schedulers of the shards led here.
func (n *Node) setLenders(now Time) {
	n.reportedLoads = n.ownLoads()
	if n.reportedLoads == nil {
		return
	}
	for _, s := range n.own {
		if s.leading() {
			s.schedule.SetLenders(now, n.lenders(now, s, n.reportedLoads))
		}
	}
}

// requestRoom passes a scheduler's request to the leader of another shard. Without a reachable
// leader the request expires.
func (n *Node) requestRoom(s *shard, c schedule.RequestRoom) {
	n.notice("room-requested", Field{"shard", s.index}, Field{"lender", c.To}, Field{"jobs", len(c.Needs)},
		Field{"first-job", string(c.Needs[0].Job)}, Field{"slack", ms(c.Needs[0].Slack)}, Field{"report-age", ms(c.ReportAge)})
	m := RoomRequest{Shard: c.To, RoomRequest: schedule.RoomRequest{Borrower: s.index, Needs: c.Needs}}
	switch to := n.leaderOf(c.To); to {
	case "":
	case n.Self():
		n.receiveRoomRequest(c.At, to, m)
	default:
		n.emit(Send{To: to, Message: m})
	}
}

// receiveRoomRequest passes another scheduler's request to that of the shard that is asked.
func (n *Node) receiveRoomRequest(now Time, from leader.ID, m RoomRequest) {
	if s := n.ownShard(m.Shard); s != nil {
		m.Entry = schedule.EntryID(from)
		s.schedule.RoomRequested(now, m.RoomRequest)
	}
}

// grantRoom passes a scheduler's answer to the process that sent the request.
func (n *Node) grantRoom(s *shard, c schedule.GrantRoom) {
	event := "room-granted"
	if len(c.Jobs) == 0 {
		event = "room-refused"
	}
	n.notice(event, Field{"shard", s.index}, Field{"borrower", c.To}, Field{"jobs", len(c.Jobs)}, Field{"denied", c.Denied},
		Field{"wait", ms(c.Load.ExpectedWait)}, Field{"idle", c.Load.IdleMilliCPU})
	m := RoomGrant{Shard: c.To, RoomGrant: schedule.RoomGrant{Lender: s.index, Jobs: c.Jobs}}
	if leader.ID(c.Entry) == n.Self() {
		n.receiveRoomGrant(c.At, m)
		return
	}
	n.emit(Send{To: leader.ID(c.Entry), Message: m})
}

// receiveRoomGrant passes a lender's answer to the scheduler that asked.
func (n *Node) receiveRoomGrant(now Time, m RoomGrant) {
	if s := n.ownShard(m.Shard); s != nil {
		s.schedule.RoomGranted(now, m.RoomGrant)
	}
}
