// Package leader elects the entry process that schedules a shard, from the heartbeats that
// each process receives. It uses neither a store nor a vote.
//
// Two processes may both consider themselves leader. That costs time but is safe: runners
// obey only the highest fencing token that they have seen, so leader election affects speed
// and not safety.
//
// The oldest of the processes with the most CPU leads. It remains leader for as long as it
// lives, and is leader again when a network partition that had hidden it heals, so that
// leadership doesn't change without need. A process that was frozen while it led is demoted:
// by age alone it would take the lead back, and freeze again.
//
// A large deployment is divided into shards, each with its own leader. With several shards
// in a cell, leaders are assigned by rendezvous hashing instead of age: the shards spread
// over the processes, and only those of a lost process move. The shards of a cell are led by
// processes of that cell only: a partition between cells changes no leader, and the cost of
// the election doesn't grow with the number of cells.
package leader

import (
	"cmp"
	"slices"
	"time"

	"sapphirepoint.example/sapphirepoint/core/layout"
	"sapphirepoint.example/sapphirepoint/core/task"
)

// Time is a reading of the process's monotonic clock.
type Time = task.Time

// ID identifies one incarnation of an entry process.
type ID string

const (
	// HeartbeatInterval is the time between heartbeats to each connected process.
	// Heartbeats are most of what an idle process sends.
	HeartbeatInterval = 150 * time.Millisecond
	// HeartbeatTimeout is the silence after which a process is considered lost: three
	// heartbeats. A lost datagram is retransmitted within some tens of milliseconds, so
	// this tolerates a pause of two heartbeat intervals.
	HeartbeatTimeout = 450 * time.Millisecond
	// settlePeriod is how long a new process listens before it may lead, counted from when
	// it knows which other processes exist. Connecting with them takes about 50 ms, or 80 ms
	// if all start at once. The wait is skipped once all have reported that they can lead.
	settlePeriod = 150 * time.Millisecond
	// maxSettlePeriod is how long a new process waits to learn which other processes exist,
	// and for older processes that refuse its connections because they haven't read its
	// registration yet. If it led during that time, it would take the runners of a scheduler
	// that it has no connection with, and delay that scheduler's jobs.
	maxSettlePeriod = 2 * time.Second
	// yieldTimeout is how long a leader continues while the process that should lead
	// hasn't reported that it does.
	yieldTimeout = 300 * time.Millisecond
	// StallThreshold is the pause between two ticks of a process after which it considers
	// itself to have been frozen. By then the others have missed its heartbeats.
	StallThreshold = 400 * time.Millisecond
)

// View is what one process knows of the other processes.
type View struct {
	self        ID
	own         Report
	listenSince Time
	// layout has the cell of each shard; shards lists those of this process's cell.
	layout layout.Layout
	shards []int
	// peersKnown: the set of other processes is known; listenSince counts from then on.
	peersKnown bool
	// allVMsReachable: heartbeats arrive from a process of each VM of the deployment.
	allVMsReachable bool
	// olderPeerPending: an older process exists that could lead and hasn't reported yet.
	olderPeerPending bool
	// yieldSince is, by shard, when this process as leader began to wait for another
	// process to take over; 0 if it doesn't.
	yieldSince []Time
	peers      map[ID]*peer
	// claimants are, by shard, the processes that report that they lead it.
	claimants map[int][]ID
}

// NewView returns the view of a process that has just started.
func NewView(self ID, now Time) *View {
	return &View{self: self, listenSince: now, peers: make(map[ID]*peer), claimants: make(map[int][]ID)}
}

// Register sets the identity that registration assigned, and restarts the settle period.
func (v *View) Register(now Time, self ID, number uint64) {
	v.self = self
	v.own.Number = number
	v.listenSince = now
}

// Self is the process's own ID.
func (v *View) Self() ID { return v.self }

// SetMilliCPU sets the CPU capacity of the VM, in thousandths of a core.
func (v *View) SetMilliCPU(milliCPU int) { v.own.MilliCPU = milliCPU }

// SetLayout sets the cells of the shards and the cell of this process. A process whose settle
// period has passed begins a new one: nobody could lead before the layout was known, and
// without the wait every process would lead all shards at once.
func (v *View) SetLayout(now Time, l layout.Layout, cell string) {
	v.layout = l
	v.own.Cell = cell
	v.own.Shards = len(l)
	v.shards = l.Shards(cell)
	v.yieldSince = make([]Time, len(l))
	if now-v.listenSince > settlePeriod {
		v.listenSince = now
	}
}

// SetAble sets whether the process is able to schedule, and if so whether it is only a
// standby for better placed processes.
func (v *View) SetAble(able, standby bool) {
	able = able && v.own.Number > 0
	v.own.Able, v.own.Standby = able && !standby, able && standby
}

// CanSchedule reports whether the process is able to schedule, as a candidate or a standby.
func (v *View) CanSchedule() bool { return v.own.Able || v.own.Standby }

// PeersDiscovered records that the set of other processes is known.
func (v *View) PeersDiscovered(now Time) {
	if !v.peersKnown {
		v.peersKnown, v.listenSince = true, now
	}
}

// settled reports whether the settle period is over.
func (v *View) settled(now Time) bool {
	wait := settlePeriod
	if !v.peersKnown || v.olderPeerPending {
		wait = maxSettlePeriod
	}
	return now-v.listenSince >= wait || v.allReported()
}

// SetOlderPeerPending sets whether an older process that could lead exists and hasn't
// reported yet.
func (v *View) SetOlderPeerPending(pending bool) { v.olderPeerPending = pending }

// SetAllVMsReachable sets whether heartbeats arrive from a process of each VM.
func (v *View) SetAllVMsReachable(allVMsReachable bool) { v.allVMsReachable = allVMsReachable }

// SetStoreStatus sets whether the process leads, needs the store and can't reach it
// (trouble), and whether it was asked to probe the store and reaches it.
func (v *View) SetStoreStatus(trouble, reached bool) {
	v.own.StoreTrouble, v.own.StoreReached = trouble, reached
}

// SetStoreLost sets whether the process was asked to probe the store and can't reach it, so
// that a process that does reach it should lead instead.
func (v *View) SetStoreLost(lost bool) { v.own.StoreLost = lost }

// Demote ranks the process behind those with fewer demotions, so that it doesn't take the
// lead back.
func (v *View) Demote() { v.own.Demotions++ }

// RecordStarvation counts a CPU starvation. It ranks the process behind those of similar CPU
// capacity with fewer.
func (v *View) RecordStarvation() { v.own.Starvations++ }

// HasIdleSuccessor reports whether another process ranks at least as high, apart from
// starvations, and leads nothing. A handover to a process that already leads would starve
// that one in turn, and so on through all candidates.
func (v *View) HasIdleSuccessor(now Time) bool {
	for id, p := range v.peers {
		if !p.report.Able || p.report.Cell != v.own.Cell || now-p.lastContact > HeartbeatTimeout || p.report.leads(id) {
			continue
		}
		r := p.report
		r.Starvations = v.own.Starvations
		if compareClass(&r, &v.own) <= 0 {
			return true
		}
	}
	return false
}

// SetStopping records that the process is about to end.
func (v *View) SetStopping() { v.own.Stopping = true }

// RecordStall records that the process itself stood still for a while. Its data about the
// others is as old as the pause, so none is counted as lost, and a new settle period begins.
// A leader is demoted.
func (v *View) RecordStall(now Time, leading bool) {
	if leading {
		v.own.Demotions++
	}
	v.listenSince = now
	for _, p := range v.peers {
		p.lastContact = now
	}
}

// Choice is the leader that a process follows.
type Choice struct {
	// Leader is "" if there is none.
	Leader ID
	// Reachable is false if other processes follow the leader, but this one has no
	// contact with it.
	Reachable bool
}

// Choose returns the leader that this process follows in a shard; leading tells whether this
// process leads the shard now.
//
// The reachable candidate that ranks first should lead. Until it reports that it does, the
// present leader continues for up to yieldTimeout. Otherwise there would be moments without
// a leader, or with the wrong one, at a planned stop and while connections come back one by
// one after a network partition.
//
// In a shard of another cell, this process never leads. It follows the process that reports
// that it does.
func (v *View) Choose(now Time, shard int, leading bool) Choice {
	leader := v.claimingLeader(now, shard)
	if v.layout[shard] != v.own.Cell {
		return Choice{Leader: leader, Reachable: leader != ""}
	}
	preferred := v.preferred(now, shard)
	if preferred == "" {
		return Choice{Leader: leader, Reachable: leader != ""}
	}
	if preferred == v.self {
		if other := v.leaderFollowedByPeers(now, shard); other != "" {
			return v.yield(now, shard, leading, Choice{Leader: other})
		}
		v.yieldSince[shard] = 0
		return Choice{Leader: v.self, Reachable: true}
	}
	if leading && leader != preferred && (leader == "" || v.ranksBefore(v.self, leader, shard)) {
		return v.yield(now, shard, true, Choice{Leader: preferred, Reachable: true})
	}
	v.yieldSince[shard] = 0
	// A process that should lead and doesn't report it may not know it yet; a job
	// handed in there would only wait.
	return Choice{Leader: leader, Reachable: leader != ""}
}

// Yields reports whether this process leads a shard and waits for another process to take
// it over.
func (v *View) Yields(shard int) bool { return v.yieldSince[shard] > 0 }

// yield lets a leader continue for up to yieldTimeout before it follows another process.
func (v *View) yield(now Time, shard int, leading bool, other Choice) Choice {
	if !leading {
		return other
	}
	if v.yieldSince[shard] == 0 {
		v.yieldSince[shard] = now
	}
	if now-v.yieldSince[shard] > yieldTimeout {
		return other
	}
	return Choice{Leader: v.self, Reachable: true}
}

// preferred is the process that should lead a shard of this cell; "" if none can.
func (v *View) preferred(now Time, shard int) ID {
	candidates := v.candidates(now)
	if len(candidates) == 0 {
		return ""
	}
	if len(v.shards) == 1 {
		return slices.MinFunc(candidates, func(x, y ID) int { return cmp.Compare(v.reportOf(x).Number, v.reportOf(y).Number) })
	}
	return distribute(candidates, v.shards)[shard]
}

// candidates lists the processes of the cell that may lead and that no other process
// precedes by class, ordered by ID.
func (v *View) candidates(now Time) []ID {
	var able []ID
	if v.own.Able && v.settled(now) {
		able = append(able, v.self)
	}
	for id, p := range v.peers {
		if p.report.Able && p.report.Cell == v.own.Cell && now-p.lastContact <= HeartbeatTimeout {
			able = append(able, id)
		}
	}
	slices.Sort(able)
	return slices.DeleteFunc(slices.Clone(able), func(x ID) bool {
		return slices.ContainsFunc(able, func(y ID) bool { return v.compareByClass(y, x) < 0 })
	})
}

// allReported reports whether each VM has a process that has reported, since the settle
// period began, that it can lead or stand by. Then the leader can be chosen at once, since no
// older process is still to be heard from.
//
// Reports from before a pause of this process don't count. With them it would lead again as
// it wakes up, with jobs in its queue that have long been handed to another scheduler.
func (v *View) allReported() bool {
	if !v.allVMsReachable {
		return false
	}
	for _, p := range v.peers {
		if p.report.Cell != v.own.Cell {
			continue
		}
		if !p.report.Able && !p.report.Standby || p.lastContact <= v.listenSince {
			return false
		}
	}
	return true
}

// claimingLeader is the highest ranking of the other processes that report that they lead
// a shard.
func (v *View) claimingLeader(now Time, shard int) ID {
	best := ID("")
	for _, id := range v.claimants[shard] {
		if now-v.peers[id].lastContact <= HeartbeatTimeout && (best == "" || v.ranksBefore(id, best, shard)) {
			best = id
		}
	}
	return best
}

// leaderFollowedByPeers finds a leader that this process has no contact with but that a
// reachable process follows. If this process led at the same time, the two would take the
// runners from each other in turns.
func (v *View) leaderFollowedByPeers(now Time, shard int) ID {
	found := ID("")
	for id, p := range v.peers {
		l := p.report.Leader(shard)
		if l == "" || l == v.self || l == id || v.peers[l] != nil {
			continue
		}
		if now-p.lastContact+p.report.Follows[shard].Age <= HeartbeatTimeout && (found == "" || l < found) {
			found = l
		}
	}
	return found
}

// ranksBefore ranks two processes for a shard: by class, then by age. Rendezvous scores take the
// place of age if this process's cell has several shards, and for shards of other cells.
func (v *View) ranksBefore(x, y ID, shard int) bool {
	if c := v.compareByClass(x, y); c != 0 {
		return c < 0
	}
	if len(v.shards) > 1 || v.layout[shard] != v.own.Cell {
		return score(x, shard) > score(y, shard)
	}
	return v.reportOf(x).Number < v.reportOf(y).Number
}

// compareByClass compares two processes by the criteria that precede age; see compareClass.
func (v *View) compareByClass(x, y ID) int {
	return compareClass(v.reportOf(x), v.reportOf(y))
}

func (v *View) reportOf(id ID) *Report {
	if id == v.self {
		return &v.own
	}
	return &v.peers[id].report
}

// OwnReport is the report to send, given the leader that the process follows in each shard.
// It covers only the shards of this process's cell.
func (v *View) OwnReport(now Time, choices []Choice) Report {
	r := v.own
	r.Follows = make([]Follow, len(choices))
	for i, c := range choices {
		if !c.Reachable || v.layout[i] != v.own.Cell {
			continue
		}
		r.Follows[i].Leader = c.Leader
		if c.Leader != v.self {
			r.Follows[i].Age = now - v.LastContact(c.Leader)
		}
	}
	return r
}
