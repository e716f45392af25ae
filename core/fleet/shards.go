package fleet

import (
	"github.com/cespare/xxhash/v2"

	"sapphirepoint.example/sapphirepoint/core/leader"
	"sapphirepoint.example/sapphirepoint/core/ledger"
	"sapphirepoint.example/sapphirepoint/core/schedule"
	"sapphirepoint.example/sapphirepoint/core/workload"
)

// runnersPerShard is the number of runners that one scheduler takes care of: at
// full load 60 start some 700 tasks a second, a seventh of a core. Fewer would
// leave too little room for jobs of 32 tasks.
const runnersPerShard = 60

// ShardsFor is the number of shards for a number of runners.
func ShardsFor(runners int) int {
	return max(1, (runners+runnersPerShard-1)/runnersPerShard)
}

// shard is a part of the runners with a leader of its own, and the jobs that it
// takes. A job's shard follows from its id, so that a copy that another entry VM
// takes comes to the same scheduler.
type shard struct {
	index    int
	choice   leader.Choice
	schedule *schedule.Scheduler
	// ledger keeps the shard's stored jobs.
	ledger *ledger.Ledger
	// questions wait until the store has a job's end.
	questions map[workload.JobID][]question
}

// Layout sets the number of shards, once: it is kept in the platform's store
// and the same in all processes.
func (n *Node) Layout(now Time, shards int) {
	if len(n.shards) > 0 || shards < 1 {
		return
	}
	for i := range shards {
		s := &shard{index: i, schedule: schedule.New(n.cfg), ledger: ledger.New(), questions: make(map[workload.JobID][]question)}
		s.schedule.SetNumber(n.number)
		s.schedule.SetNoStored(n.stored == NoStoredJobs)
		n.shards = append(n.shards, s)
	}
	n.view.SetShards(shards)
	n.setAble()
	n.notice("layout-known", Field{"shards", shards})
	n.setRunners(now)
	n.admitEarly(now)
}

// LaidOut reports whether the number of shards is known.
func (n *Node) LaidOut() bool { return len(n.shards) > 0 }

// setAble says whether this process could schedule: it knows the shards, the
// configuration, and a list of runners. One that has just started beside a slow
// store may have to be told the list by another process; without it, it would
// refuse all jobs.
func (n *Node) setAble() {
	n.view.SetAble(len(n.shards) > 0 && n.table.Current() != nil && n.listKnown)
}

func shardOf(name string, shards int) int { return int(xxhash.Sum64String(name) % uint64(shards)) }

func (n *Node) ofJob(id workload.JobID) *shard {
	return n.shards[shardOf(string(id), len(n.shards))]
}

func (n *Node) ofRunner(id workload.RunnerID) *shard {
	return n.shards[shardOf(string(id), len(n.shards))]
}

// runnersOf lists the runners of a shard.
func (n *Node) runnersOf(s *shard, list []workload.Runner) []workload.Runner {
	var own []workload.Runner
	for _, r := range list {
		if n.ofRunner(r.ID) == s {
			own = append(own, r)
		}
	}
	return own
}

func (n *Node) setRunners(now Time) {
	for _, s := range n.shards {
		s.schedule.SeeVersion(n.runners.Revision)
		s.schedule.SetRunners(now, n.runnersOf(s, n.runners.Runners))
	}
}

// Leads reports whether this process leads a shard.
func (n *Node) Leads() bool {
	for _, s := range n.shards {
		if s.schedule.Leading() {
			return true
		}
	}
	return false
}

// term is the highest term of a scheduler that is known.
func (n *Node) term() uint64 {
	term := uint64(0)
	for _, s := range n.shards {
		term = max(term, s.schedule.Term())
	}
	return term
}

// follow acts on changes of the processes that lead.
func (n *Node) follow(now Time) {
	changed := false
	for _, s := range n.shards {
		if n.followShard(now, s) {
			changed = true
		}
	}
	if changed {
		n.heartbeatAll(now)
	}
}

func (n *Node) followShard(now Time, s *shard) bool {
	c := n.view.Choose(now, s.index, s.schedule.Leading())
	s.schedule.SetContested(n.view.Yields(s.index))
	if c == s.choice {
		return false
	}
	n.notice("leader-changed", Field{"shard", s.index}, Field{"leader", string(c.Leader)}, Field{"before", string(s.choice.Leader)},
		Field{"reachable", c.Reachable}, Field{"term", s.schedule.Term()})
	before := s.choice.Leader
	s.choice = c
	if c.Reachable && c.Leader == n.Self() {
		n.askForRunners()
		if n.linked[before] {
			s.schedule.Await(now, schedule.EntryID(before))
		}
		n.ledAt = now
		s.schedule.Lead(now)
		n.ownRows(now, s)
	} else {
		n.retire(now, s)
	}
	if c.Reachable && n.gateway.InHand() > 0 {
		n.handOver(now, s)
	}
	n.gateway.Follow(now, s.index, c)
	return true
}

// retire gives up a shard, and tells the next leader what has been done.
func (n *Node) retire(now Time, s *shard) {
	if s.schedule.Leading() && s.choice.Reachable {
		n.tellRunners(s)
		n.emit(Send{To: s.choice.Leader, Message: Progress{Shard: s.index, Progress: s.schedule.Progress(now)}})
	}
	s.retire(now)
}

// retire drops all that the process knows as the shard's leader.
func (s *shard) retire(now Time) {
	s.schedule.Retire(now)
	s.ledger.Retire()
	clear(s.questions)
}

func (n *Node) choices() []leader.Choice {
	list := make([]leader.Choice, len(n.shards))
	for i, s := range n.shards {
		list[i] = s.choice
	}
	return list
}

// Shards describes each shard as this process sees it, for dumps.
func (n *Node) Shards(now Time) []ShardDump {
	var list []ShardDump
	for _, s := range n.shards {
		list = append(list, ShardDump{Leader: string(s.choice.Leader), Reachable: s.choice.Reachable, Scheduler: s.schedule.Dump(now)})
	}
	return list
}

// ShardDump is one shard as a process sees it.
type ShardDump struct {
	Leader    string        `json:"leader"`
	Reachable bool          `json:"reachable"`
	Scheduler schedule.Dump `json:"scheduler"`
}

// Counters are the totals of this process's schedulers.
func (n *Node) Counters() schedule.Counters {
	var sum schedule.Counters
	for _, s := range n.shards {
		sum = sum.Plus(s.schedule.Counters())
	}
	return sum
}
