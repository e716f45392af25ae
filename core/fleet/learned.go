package fleet

import (
	"slices"
	"time"

	"sapphirepoint.example/sapphirepoint/core/leader"
	"sapphirepoint.example/sapphirepoint/core/topology"
)

// What a leader has learned of runners and queues is copied to the processes that would lead the
// shard next. Their schedulers keep it until they lead.

const (
	// learnedInterval is the interval at which a leader sends what it has learned. If the leader is
	// lost, its successor lacks what was learned since.
	learnedInterval = 5 * time.Second
	// learnedReportInterval is the shortest time between two log lines on invalid entries.
	learnedReportInterval = 30 * time.Second
)

// learnedState is the state of the copies of what was learned in a shard, as their sender and as their
// receiver.
type learnedState struct {
	// checkedAt is when this process last checked whether a copy is to be sent.
	checkedAt Time
	// revision and sentTo are those of the latest copy that was sent: what had been learned then, and
	// the processes that it was sent to.
	revision uint64
	sentTo   []leader.ID
	// from is the sender of the latest copy received, and reportedAt is when invalid entries were last
	// logged.
	from       leader.ID
	reportedAt Time
}

// shareLearned sends what a leader has learned to its successors every learnedInterval, unless nothing
// was learned since the last time and the successors are the same.
func (n *Node) shareLearned(now Time, s *shard) {
	state := &s.learned
	if !s.schedule.Leading() || now-state.checkedAt < learnedInterval {
		return
	}
	state.checkedAt = now
	revision, successors := s.schedule.LearnedRevision(), n.successors(now, s)
	if revision == state.revision && slices.Equal(successors, state.sentTo) {
		return
	}
	state.revision, state.sentTo = revision, successors
	for _, to := range successors {
		n.sendLearned(now, s, to)
	}
}

// sendLearned sends what a leader has learned to a process, unless that is nothing.
func (n *Node) sendLearned(now Time, s *shard, to leader.ID) {
	learned := s.schedule.Learned(now)
	if learned.Count() > 0 {
		n.emit(Send{To: to, Message: LearnedPaces{Shard: s.index, Learned: learned}})
	}
}

// successors lists the connected processes that would lead a shard after this one, two at most. The
// first would lead if only this process were lost. If it is in this process's failure domain, the second
// is of another domain, and otherwise of the same one. So neither a network partition nor the loss of a
// domain takes all copies.
func (n *Node) successors(now Time, s *shard) []leader.ID {
	others := func(id leader.ID) bool { return id != n.Self() && n.connected[id] }
	first := n.view.Successor(now, s.index, others)
	if first == "" {
		return nil
	}
	sameDomain := n.domainOf(first) == n.domain
	second := n.view.Successor(now, s.index, func(id leader.ID) bool {
		return others(id) && (n.domainOf(id) == n.domain) != sameDomain
	})
	if second == "" {
		return []leader.ID{first}
	}
	return []leader.ID{first, second}
}

// domainOf is the failure domain of a process; "" if it isn't known.
func (n *Node) domainOf(id leader.ID) string {
	i := slices.IndexFunc(n.members, func(m topology.Member) bool { return m.ID == string(id) })
	if i < 0 {
		return ""
	}
	return n.members[i].Domain
}

// receiveLearned adds what the leader of a shard has learned to what this process's scheduler of the
// shard knows. The scheduler uses it from when it leads.
func (n *Node) receiveLearned(now Time, from leader.ID, m LearnedPaces) {
	s := n.ownShard(m.Shard)
	if s == nil {
		return
	}
	merged := s.schedule.ApplyLearned(now, m.Learned)
	state := &s.learned
	fields := []Field{
		{"shard", s.index}, {"from", string(from)}, {"taken", merged.Taken}, {"known", merged.Known},
		{"unknown", merged.Unknown}, {"invalid", merged.Invalid}, {"age", ms(m.Age())},
	}
	if merged.Invalid > 0 && (state.reportedAt == 0 || now-state.reportedAt > learnedReportInterval) {
		state.reportedAt = now
		n.warn("learned-paces-invalid", fields...)
	}
	if state.from != from {
		state.from = from
		n.notice("learned-paces-received", fields...)
	}
}

// reportLearned logs how much a new leader knows of runners and queues as it begins to lead.
func (n *Node) reportLearned(now Time, s *shard) {
	l := s.schedule.Learned(now)
	n.notice("learned-paces-applied", Field{"shard", s.index}, Field{"from", string(s.learned.from)}, Field{"runners", len(l.Runners)},
		Field{"kinds", len(l.Kinds)}, Field{"queues", len(l.Queues)}, Field{"age", ms(l.Age())})
}
