package fleet

import (
	"time"

	"sapphirepoint.example/sapphirepoint/core/leader"
)

// The number of waiting jobs, as callers may query it. The leader of a shard counts them, and reports the
// count to the others. If the leader is lost, its last count holds until the next leader has loaded the jobs,
// but no longer than pendingMaxAge.

// pendingMaxAge is the age up to which the count of a shard holds.
const pendingMaxAge = 2 * time.Second

// PendingJobs is the number of jobs of each queue of which no task has begun, in one shard.
type PendingJobs struct {
	Shard  int
	Queues map[string]int
}

// pendingCount is the latest count of a shard, and when it was made or arrived.
type pendingCount struct {
	queues map[string]int
	at     Time
}

// countPending counts the waiting jobs of the shards led here, unless some may not be loaded yet.
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

// Pending returns the number of jobs of each queue of which no task has begun, as the leaders last
// reported it. known is false if a shard has no recent count, and the deployment may have stored jobs.
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
