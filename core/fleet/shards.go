package fleet

import (
	"sapphirepoint.example/sapphirepoint/core/gateway"
	"sapphirepoint.example/sapphirepoint/core/layout"
	"sapphirepoint.example/sapphirepoint/core/leader"
	"sapphirepoint.example/sapphirepoint/core/ledger"
	"sapphirepoint.example/sapphirepoint/core/schedule"
	"sapphirepoint.example/sapphirepoint/core/workload"
)

// shard is a part of the runners with a leader of its own, and the jobs that it
// takes. Of a shard of another cell only the leader is known.
type shard struct {
	index    int
	choice   leader.Choice
	schedule *schedule.Scheduler
	// ledger keeps the shard's stored jobs.
	ledger *ledger.Ledger
	// questions wait until the store has a job's end.
	questions map[workload.JobID][]question
}

// ApplyLayout sets how the runners are divided, once: it is kept in the platform's
// store and the same in all processes.
func (n *Node) ApplyLayout(now Time, l layout.Layout) {
	if n.LayoutKnown() || len(l) == 0 {
		return
	}
	n.layout = l
	n.cell = l.Cell(n.domain)
	for i, cell := range l {
		s := &shard{index: i}
		n.shards = append(n.shards, s)
		if cell == n.cell {
			n.open(s)
		}
	}
	n.view.SetLayout(now, l, n.cell)
	n.gateway.SetFallbackShards(n.otherShards())
	n.membersChanged(now)
	n.notice("layout-known", Field{"shards", len(l)}, Field{"cell", n.cell}, Field{"own", len(n.own)})
	n.reachedAt = now
	n.setRunners(now)
	n.admitEarly(now)
	n.heartbeatAll(now)
}

// open makes a shard one that this process may lead.
func (n *Node) open(s *shard) {
	s.schedule, s.ledger = schedule.New(n.cfg), ledger.New()
	s.questions = make(map[workload.JobID][]question)
	s.schedule.SetProcessNumber(n.number)
	s.schedule.SetNoStoredJobs(n.stored == NoStoredJobs)
	s.schedule.SetEvacuated(0, n.evacuations.Domains)
	n.own = append(n.own, s)
}

// otherShards are the shards to which jobs may go but their home.
func (n *Node) otherShards() gateway.FallbackShards {
	var o gateway.FallbackShards
	for i, cell := range n.layout {
		if cell == n.cell {
			o.SameCell = append(o.SameCell, i)
		} else {
			o.OtherCells = append(o.OtherCells, i)
		}
	}
	return o
}

// LayoutKnown reports whether the number of shards is known.
func (n *Node) LayoutKnown() bool { return len(n.shards) > 0 }

// setAble says whether this process could schedule: it knows the shards, the
// configuration, which failure domains are evacuated, and a list of runners. One that
// has just started beside a slow store may have to be told the list by another process;
// without it, it would refuse all jobs. A VM without a seat leaves scheduling to those
// that have one, until none of them has been in reach for a while.
func (n *Node) setAble() {
	able := n.LayoutKnown() && n.table.Current() != nil && n.evacuations.Version > 0 && n.listKnown
	n.view.SetAble(able, !n.seated && !n.Leads())
}

// ofJob is the shard of a job that comes from a caller here.
func (n *Node) ofJob(job *workload.Job) int {
	if job.Stored {
		return n.layout.StoredJobShard(job.ID)
	}
	return n.layout.JobShard(job.ID, n.cell)
}

// ownShard is the shard of a job that another process has handed in here; nil if
// this process has no such shard.
func (n *Node) ownShard(index int) *shard {
	if index < 0 || index >= len(n.shards) || n.shards[index].schedule == nil {
		return nil
	}
	return n.shards[index]
}

// runnersOf lists the runners of a shard.
func (n *Node) runnersOf(s *shard, list []workload.Runner) []workload.Runner {
	var own []workload.Runner
	for _, r := range list {
		if n.layout.RunnerShard(r.ID, r.Domain) == s.index {
			own = append(own, r)
		}
	}
	return own
}

func (n *Node) setRunners(now Time) {
	for _, s := range n.own {
		s.schedule.ObserveVersion(n.runners.Revision)
		s.schedule.SetRunners(now, n.runnersOf(s, n.runners.Runners))
	}
}

// Leads reports whether this process leads a shard.
func (n *Node) Leads() bool {
	for _, s := range n.own {
		if s.schedule.Leading() {
			return true
		}
	}
	return false
}

// term is the highest term of a scheduler that is known.
func (n *Node) term() uint64 {
	term := uint64(0)
	for _, s := range n.own {
		term = max(term, s.schedule.Term())
	}
	return term
}

// follow acts on changes of the processes that lead. All others are told at once
// only what this process leads: whom it follows they learn from its next heartbeat.
// If each change were told, each would bring the next, since a leader hears from
// all that follow it.
func (n *Node) follow(now Time) {
	changed := false
	for _, s := range n.shards {
		led := s.choice.Leader == n.Self()
		if n.followShard(now, s) && (led || s.choice.Leader == n.Self()) {
			changed = true
		}
	}
	if changed {
		n.setAble()
		n.heartbeatAll(now)
	}
}

// followShard acts on a change of a shard's leader, and reports whether there was
// one.
func (n *Node) followShard(now Time, s *shard) bool {
	c := n.view.Choose(now, s.index, s.leading())
	if s.schedule != nil {
		s.schedule.SetContested(n.view.Yields(s.index))
	}
	if c == s.choice {
		return false
	}
	n.notice("leader-changed", Field{"shard", s.index}, Field{"leader", string(c.Leader)}, Field{"before", string(s.choice.Leader)},
		Field{"reachable", c.Reachable}, Field{"term", n.term()})
	before := s.choice.Leader
	s.choice = c
	if s.schedule != nil {
		n.leadOrRetire(now, s, before)
	}
	n.gateway.SetLeader(now, s.index, c)
	n.connect()
	return true
}

// leadOrRetire acts on a change of the leader of a shard of the own cell.
func (n *Node) leadOrRetire(now Time, s *shard, before leader.ID) {
	c := s.choice
	if c.Reachable && c.Leader == n.Self() {
		n.askForRunners()
		if n.linked[before] {
			s.schedule.AwaitProgress(now, schedule.EntryID(before))
		}
		n.ledAt = now
		s.schedule.Lead(now)
		n.ownRows(now, s)
	} else {
		n.retire(now, s)
	}
	if c.Reachable && n.gateway.InFlight() > 0 {
		n.handOver(now, s)
	}
}

// leading reports whether this process leads the shard.
func (s *shard) leading() bool { return s.schedule != nil && s.schedule.Leading() }

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
	s.ledger.Release()
	clear(s.questions)
}

func (n *Node) choices() []leader.Choice {
	list := make([]leader.Choice, len(n.shards))
	for i, s := range n.shards {
		list[i] = s.choice
	}
	return list
}

// DumpShards describes each shard as this process sees it, for dumps.
func (n *Node) DumpShards(now Time) []ShardDump {
	var list []ShardDump
	for _, s := range n.shards {
		d := ShardDump{Cell: n.layout[s.index], Leader: string(s.choice.Leader), Reachable: s.choice.Reachable}
		if s.schedule != nil {
			scheduler := s.schedule.Dump(now)
			d.Scheduler = &scheduler
		}
		list = append(list, d)
	}
	return list
}

// ShardDump is one shard as a process sees it.
type ShardDump struct {
	// Cell is that of the shard; "" if runners are pooled.
	Cell      string `json:"cell,omitempty"`
	Leader    string `json:"leader"`
	Reachable bool   `json:"reachable"`
	// Scheduler is left out for shards of other cells.
	Scheduler *schedule.Dump `json:"scheduler,omitempty"`
}

// Counters are the totals of this process's schedulers.
func (n *Node) Counters() schedule.Counters {
	var sum schedule.Counters
	for _, s := range n.own {
		sum = sum.Plus(s.schedule.Counters())
	}
	return sum
}
