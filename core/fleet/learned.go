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
	// learnedInterval is the interval at which a leader sends what it has learned. What is lost
	// with a leader was learned in that time.
	learnedInterval = 5 * time.Second
	// learnedReportInterval bounds how often useless entries from other processes are logged.
	learnedReportInterval = 30 * time.Second
)

// learnedState is the state of the copies of what was learned in a shard.
type learnedState struct {
	// checkedAt is when this process last checked whether to send them. It last did at revision to
	// sentTo.
	checkedAt Time
	revision  uint64
	sentTo    []leader.ID
	// from is who last sent a copy here, and reportedAt when useless entries were last logged.
	from       leader.ID
	reportedAt Time
}

// shareLearned sends what a leader has learned to its successors, if that is due and something was
// learned since or a successor hasn't received it.
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

func (n *Node) sendLearned(now Time, s *shard, to leader.ID) {
	learned := s.schedule.Learned(now)
	if learned.Count() > 0 {
		n.emit(Send{To: to, Message: LearnedPaces{Shard: s.index, Learned: learned}})
	}
}

// successors lists the connected processes that would lead a shard after this one: if only this
// process were lost, and, so that neither a cut nor the loss of a failure domain takes all copies,
// the first one of another domain or of the same one.
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

// receiveLearned takes over what the leader of a shard has learned. Before this process leads the
// shard that has no effect.
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

// reportLearned logs what a new leader begins with.
func (n *Node) reportLearned(now Time, s *shard) {
	l := s.schedule.Learned(now)
	n.notice("learned-paces-applied", Field{"shard", s.index}, Field{"from", string(s.learned.from)}, Field{"runners", len(l.Runners)},
		Field{"kinds", len(l.Kinds)}, Field{"queues", len(l.Queues)}, Field{"age", ms(l.Age())})
}
