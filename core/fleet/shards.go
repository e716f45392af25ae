package fleet

import (
	"sapphirepoint.example/sapphirepoint/core/gateway"
	"sapphirepoint.example/sapphirepoint/core/layout"
	"sapphirepoint.example/sapphirepoint/core/leader"
	"sapphirepoint.example/sapphirepoint/core/ledger"
	"sapphirepoint.example/sapphirepoint/core/schedule"
	"sapphirepoint.example/sapphirepoint/core/workload"
)

// shard is a subset of the runners with a leader of its own, and the jobs that run on them.
// Of a shard of another cell only index and choice are set.
type shard struct {
	index    int
	choice   leader.Choice
	schedule *schedule.Scheduler
	// ledger stores the shard's stored jobs: it claims the ownership of their rows in the
	// store, and reads and writes them.
	ledger *ledger.Ledger
	// pendingQueries wait for a job's end or for its state to become certain.
	pendingQueries map[workload.JobID][]pendingQuery
	learned        learnedState
	possibleRuns   possibleRunsState
	// unlisted are the latest UnlistedInUse of the shard's scheduler.
	unlisted schedule.UnlistedInUse
}

// ApplyLayout sets how the runners are divided into shards. Only the first call has an
// effect: the layout is in the platform's store and the same in all processes.
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
			n.openShard(s)
		}
	}
	n.view.SetLayout(now, l, n.cell)
	n.gateway.SetFallbackShards(n.otherShards())
	n.membersChanged(now)
	n.notice("layout-known", Field{"shards", len(l)}, Field{"cell", n.cell}, Field{"own", len(n.own)})
	n.leadersReachedAt = now
	n.setRunners(now)
	n.updateStarting(now)
	n.admitEarly(now)
	n.sendHeartbeats(now)
}

// openShard creates the state of a shard of the own cell, which this process may lead.
func (n *Node) openShard(s *shard) {
	s.schedule, s.ledger = schedule.New(n.cfg), ledger.New()
	s.pendingQueries = make(map[workload.JobID][]pendingQuery)
	s.schedule.SetProcessNumber(n.number)
	s.schedule.SetNoStoredJobs(n.storedJobs == NoStoredJobs)
	s.schedule.SetEvacuated(0, n.evacuations.Domains)
	n.own = append(n.own, s)
}

// otherShards are the shards that jobs may be passed to besides their home shard.
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

// LayoutKnown reports whether the shards are known.
func (n *Node) LayoutKnown() bool { return len(n.shards) > 0 }

// settingsKnown reports whether this process is registered and knows the shards, the
// configuration and the evacuated failure domains.
func (n *Node) settingsKnown() bool {
	return n.number > 0 && n.LayoutKnown() && n.table.Current() != nil && n.evacuations.Version > 0
}

// updateAble updates whether this process is able to schedule: it knows the settings and a list
// of runners. Without a list it would refuse all jobs; a process that has just started while the
// store is slow may have to receive the list from another process. A VM without a seat leaves
// scheduling to those that have one, until none of them has been reachable for a while.
func (n *Node) updateAble() {
	able := n.settingsKnown() && n.listKnown
	n.view.SetAble(able, !n.seated && !n.Leads())
}

// shardOfJob is the home shard of a job that a caller submits here.
func (n *Node) shardOfJob(job *workload.Job) int {
	if job.Stored {
		return n.layout.StoredJobShard(job.ID)
	}
	return n.layout.JobShard(job.ID, n.cell)
}

// ownShard is the shard with an index; nil if it doesn't exist or belongs to another cell.
func (n *Node) ownShard(index int) *shard {
	if index < 0 || index >= len(n.shards) || n.shards[index].schedule == nil {
		return nil
	}
	return n.shards[index]
}

// runnersOfShard selects the runners of a shard from a list.
func (n *Node) runnersOfShard(s *shard, list []workload.Runner) []workload.Runner {
	var own []workload.Runner
	for _, r := range list {
		if n.layout.RunnerShard(r.ID, r.Domain) == s.index {
			own = append(own, r)
		}
	}
	return own
}

// setRunners passes the list of runners to the schedulers of the own shards.
func (n *Node) setRunners(now Time) {
	for _, s := range n.own {
		s.schedule.ObserveVersion(n.runners.Revision)
		s.schedule.SetRunners(now, n.runnersOfShard(s, n.runners.Runners))
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

// updateLeaders acts on changes of leaders. Only a change of what this process leads is
// reported to all others at once; which other leaders it follows is in its next heartbeat. If
// each change were reported at once, each report would cause the next, since a leader
// receives reports from all that follow it.
func (n *Node) updateLeaders(now Time) {
	changed := false
	for _, s := range n.shards {
		led := s.choice.Leader == n.Self()
		if n.updateLeader(now, s) && (led || s.choice.Leader == n.Self()) {
			changed = true
		}
	}
	if changed {
		n.updateAble()
		n.sendHeartbeats(now)
	}
}

// updateLeader acts on a change of a shard's leader, and reports whether there was one.
func (n *Node) updateLeader(now Time, s *shard) bool {
	c := n.view.Choose(now, s.index, s.leading())
	n.gateway.SetLeaderExpected(s.index, !c.Reachable && n.view.ExpectsLeader(now, s.index))
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

// leadOrRetire acts on a change of the leader of a shard of the own cell; before is the leader
// until now.
func (n *Node) leadOrRetire(now Time, s *shard, before leader.ID) {
	c := s.choice
	if c.Reachable && c.Leader == n.Self() {
		n.askForRunners()
		if n.connected[before] {
			s.schedule.AwaitProgress(now, schedule.EntryID(before))
		}
		n.becameLeaderAt = now
		s.schedule.Lead(now)
		n.reportLearned(now, s)
		n.acquireRows(now, s)
	} else {
		n.retire(now, s)
	}
	if c.Reachable && n.gateway.InFlight() > 0 {
		n.reportPossibleRuns(now, s)
	}
}

// leading reports whether this process leads the shard.
func (s *shard) leading() bool { return s.schedule != nil && s.schedule.Leading() }

// retire gives up the lead of a shard, and sends the progress of its jobs to the next leader.
func (n *Node) retire(now Time, s *shard) {
	if s.schedule.Leading() && s.choice.Reachable {
		n.sendPossibleRunners(s)
		n.sendElsewhere(s)
		n.sendLearned(now, s, s.choice.Leader)
		n.emit(Send{To: s.choice.Leader, Message: Progress{Shard: s.index, Progress: s.schedule.Progress(now)}})
	}
	s.retire(now)
}

// retire discards all state that the process holds as the shard's leader.
func (s *shard) retire(now Time) {
	s.schedule.Retire(now)
	s.ledger.Release()
	clear(s.pendingQueries)
	s.unlisted = schedule.UnlistedInUse{}
	s.possibleRuns = possibleRunsState{}
}

// choices lists the leader that this process follows in each shard.
func (n *Node) choices() []leader.Choice {
	list := make([]leader.Choice, len(n.shards))
	for i, s := range n.shards {
		list[i] = s.choice
	}
	return list
}

// DumpShards describes each shard from this process's view, for dumps.
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

// ShardDump describes one shard from a process's view.
type ShardDump struct {
	// Cell is the shard's cell; empty if runners are pooled.
	Cell      string `json:"cell,omitempty"`
	Leader    string `json:"leader"`
	Reachable bool   `json:"reachable"`
	// Scheduler is omitted for shards of other cells.
	Scheduler *schedule.Dump `json:"scheduler,omitempty"`
}

// Counters are the summed counters of this process's schedulers.
func (n *Node) Counters() schedule.Counters {
	var sum schedule.Counters
	for _, s := range n.own {
		sum = sum.Plus(s.schedule.Counters())
	}
	return sum
}
