package fleet

import (
	"time"

	"sapphirepoint.example/sapphirepoint/core/leader"
)

// The number of waiting jobs, as callers may query it. The leader of a shard counts them; the others
// know what the shard's leader last reported. A leader that is lost takes no jobs with it, and the next
// one counts them only once it has loaded them. Until then the last count holds for a while.

// pendingMaxAge is how old the count of a shard may be that callers get. After that it isn't known.
const pendingMaxAge = 2 * time.Second

// PendingJobs is the number of jobs of each queue of which no task has started, in one shard.
type PendingJobs struct {
	Shard  int
	Queues map[string]int
}

// pendingCount is the latest count of a shard, and when it was made or arrived.
type pendingCount struct {
	queues map[string]int
	at     Time
}

// countPending counts the waiting jobs of the shards led here whose jobs are loaded.
func (n *Node) countPending(now Time) {
	n.ownPending = nil
	for _, s := range n.own {
		if !s.leading() || !s.schedule.RowsLoaded() && !n.certainOfNoStoredJobs(now) {
			continue
		}
		queues := s.schedule.Pending(now)
		n.pending[s.index] = pendingCount{queues: queues, at: now}
		n.ownPending = append(n.ownPending, PendingJobs{Shard: s.index, Queues: queues})
	}
}

// recordPending records the counts of the shards in which this process follows the sender.
func (n *Node) recordPending(now Time, from leader.ID, list []PendingJobs) {
	for _, p := range list {
		if p.Shard < len(n.shards) && n.shards[p.Shard].choice.Leader == from {
			n.pending[p.Shard] = pendingCount{queues: p.Queues, at: now}
		}
	}
}

// Pending returns the number of jobs of each queue of which no task has started, as the leaders last
// reported it. known is false if the deployment may have stored jobs, and there is no count of some shard
// of the last pendingMaxAge.
func (n *Node) Pending(now Time) (sum map[string]int, known bool) {
	sum = make(map[string]int)
	known = n.LayoutKnown()
	for _, s := range n.shards {
		c, counted := n.pending[s.index]
		if !counted || now-c.at > pendingMaxAge {
			known = false
			continue
		}
		for queue, count := range c.queues {
			sum[queue] += count
		}
	}
	return sum, known || n.certainOfNoStoredJobs(now)
}
