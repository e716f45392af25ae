package fleet

import (
	"fmt"

	"sapphirepoint.example/sapphirepoint/core/gateway"
	"sapphirepoint.example/sapphirepoint/core/ledger"
	"sapphirepoint.example/sapphirepoint/core/schedule"
)

// The commands of the node's components, which are the gateway and each shard's scheduler and ledger.
// Some commands are passed to other components, the others become commands of the node.

// notice logs an event.
func (n *Node) notice(event string, fields ...Field) {
	n.emit(Notice{Event: event, Fields: fields})
}

// warn logs an event that may need an operator's attention.
func (n *Node) warn(event string, fields ...Field) {
	n.emit(Notice{Event: event, Warning: true, Fields: fields})
}

// collect passes commands between the components until none is left.
func (n *Node) collect() {
	for {
		commands := n.gateway.Ready()
		for _, c := range commands {
			n.handleGatewayCommand(c)
		}
		count := len(commands)
		for _, s := range n.own {
			orders := s.schedule.Ready()
			for _, c := range orders {
				n.handleSchedulerCommand(s, c)
			}
			calls := s.ledger.Ready()
			for _, c := range calls {
				n.handleLedgerCommand(s, c)
			}
			count += len(orders) + len(calls)
		}
		if count == 0 {
			return
		}
	}
}

func (n *Node) handleGatewayCommand(c gateway.Command) {
	switch c := c.(type) {
	case gateway.HandIn:
		if c.Shard != c.Home {
			n.noticeElsewhere(c)
		}
		if c.To == n.Self() {
			n.submit(c.At, c.To, c)
			return
		}
		n.emit(Send{To: c.To, Message: HandIn{c}})
	case gateway.Drop:
		if c.To == n.Self() {
			n.dropJob(c.At, c.To, DropJob{Shard: c.Shard, Job: c.Job, HandedOver: c.HandedOver})
			return
		}
		n.emit(Send{To: c.To, Message: DropJob{Shard: c.Shard, Job: c.Job, HandedOver: c.HandedOver}})
	case gateway.ReportElsewhere:
		n.reportElsewhere(c)
	case gateway.Reply:
		n.emit(Answer{c})
	default:
		panic(fmt.Sprintf("unknown command %T", c))
	}
}

func (n *Node) handleSchedulerCommand(s *shard, c schedule.Command) {
	switch c := c.(type) {
	case schedule.Save:
		s.ledger.Save(c.At, c.Sequence, c.Record)
	case schedule.OutcomeSaved:
		n.answerSaved(s, c)
	case schedule.Answer:
		n.sendVerdict(s, c)
	case schedule.MoveJob:
		n.moveJob(c.At, s, c)
	case schedule.MoveAck:
		n.sendJobTaken(c.At, c)
	case schedule.RequestRoom:
		n.requestRoom(s, c)
	case schedule.GrantRoom:
		n.grantRoom(s, c)
	case schedule.UnlistedInUse:
		n.reportUnlisted(s, c)
	case schedule.RefreshEntries:
		n.askForRunners()
	case schedule.Decision:
		n.noticeDecision(c)
	default:
		n.emit(Order{Shard: s.index, Order: c})
	}
}

// noticeElsewhere logs that a job goes to a shard other than its home.
func (n *Node) noticeElsewhere(c gateway.HandIn) {
	n.notice("job-elsewhere", Field{"job", string(c.Job.ID)}, Field{"shard", c.Shard}, Field{"home", c.Home},
		Field{"home-reachable", n.leaderOf(c.Home) != ""}, Field{"submissions", c.PriorSubmissions}, Field{"wait", ms(c.ExpectedWait)})
}

// noticeDecision logs a scheduler's decision.
func (n *Node) noticeDecision(d schedule.Decision) {
	if d.Warning {
		n.warn(d.Event, decisionFields(d)...)
		return
	}
	n.notice(d.Event, decisionFields(d)...)
}

func (n *Node) handleLedgerCommand(s *shard, c ledger.Command) {
	switch c := c.(type) {
	case ledger.Loaded:
		if len(c.Records) > 0 {
			n.noteStoredJob(c.At)
		}
		s.schedule.Loaded(c.At, c)
	case ledger.Saved:
		s.schedule.Saved(c.At, c.Records)
	case ledger.Verified:
		s.schedule.RowOwnershipVerified(c.At, c.OwnedAt)
	case ledger.Lost:
		s.schedule.RowOwnershipLost(c.At)
		clear(s.pendingQueries)
	default:
		n.emit(StoreCall{Shard: s.index, Call: c})
	}
}
