// Package leader elects the entry process that schedules a shard, from the heartbeats that
// each process receives. It uses neither a store nor a vote.
//
// Two processes may both consider themselves leader. That costs time but is safe: runners
// obey only the highest fencing token that they have seen, so leader election affects speed
// and not safety.
//
// The oldest process leads: the one that registered first and so has the lowest Report.Number.
// Age is preceded by class, the criteria of compareClass: a process that is about to end, can't
// reach the store, was demoted or has at most half of another's CPU ranks behind that one,
// however old it is.
//
// A process remains the oldest for as long as it lives, so the leader doesn't change without
// need. A network partition that hides the oldest process from others makes them elect another
// leader among themselves; when it heals they follow the oldest again. A process that was frozen
// while it led is demoted: by age alone it would take the lead back, and freeze again.
//
// A large deployment is divided into shards, each with its own leader. With several shards
// in a cell, leaders are assigned by rendezvous hashing instead of age: the shards spread
// over the processes, and only those of a lost process move. The shards of a cell are led by
// processes of that cell only: a partition between cells changes no leader, and the cost of
// the election doesn't grow with the number of cells.
package leader

import (
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
	// maxAliveAge is how long ago a process last heard from another one that is alive, as it reports:
	// an interval until the next heartbeat, and one until the report. When a process counts as lost here,
	// others have heard from it one interval later at most.
	maxAliveAge = 2 * HeartbeatInterval
	// settlePeriod is how long a new process listens before it may lead, counted from when
	// it knows which other processes exist. Connecting with them takes about 50 ms, or 80 ms
	// if all start at once. The wait is skipped once all have reported; see allReported.
	settlePeriod = 150 * time.Millisecond
	// maxSettlePeriod is how long a new process listens instead while it doesn't know yet
	// which other processes exist, or while an older process refuses its connections because
	// that one hasn't read its registration yet. If it led during that time, it would acquire
	// the runners of a scheduler that it has no connection with, by a higher fencing token,
	// and delay that scheduler's jobs.
	maxSettlePeriod = 2 * time.Second
	// yieldTimeout is how long a leader continues while the process that should lead
	// hasn't reported that it does; see Choose.
	yieldTimeout = 300 * time.Millisecond
	// StallThreshold is the pause between two ticks of a process after which it considers
	// itself to have been frozen. By then the others have missed its heartbeats, and count it
	// as lost if the last one was sent more than 50 ms before the pause (HeartbeatTimeout).
	StallThreshold = 400 * time.Millisecond
)

// View is what one process knows of the other processes.
type View struct {
	self ID
	// own is the report on this process itself.
	own Report
	// listenSince is when the settle period began.
	listenSince Time
	// layout has the cell of each shard; shards lists those of this process's cell.
	layout layout.Layout
	shards []int
	// peersKnown: the set of other processes is known; listenSince counts from then on.
	peersKnown bool
	// allVMsReachable: heartbeats arrive from a process of each VM of the cell.
	allVMsReachable bool
	// olderPeerPending: an older process exists that could lead and hasn't reported yet.
	olderPeerPending bool
	// yieldSince is, by shard, when this process as leader began to wait for another
	// process to take over; 0 if it isn't waiting.
	yieldSince []Time
	peers      map[ID]*peer
	// assigned caches who should lead each shard; see preferred.
	assigned assignment
	// claimants are, by shard, the other processes that report that they lead it. RecordContact
	// adds them, and removeClaims removes them.
	claimants map[int][]ID
}

// NewView returns the view of a process that has just started.
func NewView(self ID, now Time) *View {
	return &View{self: self, listenSince: now, peers: make(map[ID]*peer), claimants: make(map[int][]ID)}
}

// Register sets the identity that registration assigned, and restarts the settle period.
func (v *View) Register(now Time, self ID, number uint64) {
	v.assigned = assignment{}
	v.self = self
	v.own.Number = number
	v.listenSince = now
}

// Self is the process's own ID.
func (v *View) Self() ID { return v.self }

// SetMilliCPU sets the CPU capacity of the VM, in thousandths of a core.
func (v *View) SetMilliCPU(milliCPU int) {
	v.own.MilliCPU = milliCPU
	v.invalidateAssignment()
}

// SetLayout sets the cells of the shards and the cell of this process. A process whose settle
// period has passed begins a new one. Without the layout no process is able to schedule, so no
// report received so far is that of a candidate: without the wait every process would consider
// itself the only one, and lead all shards at once.
func (v *View) SetLayout(now Time, l layout.Layout, cell string) {
	v.assigned = assignment{}
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
// standby for better placed processes. A process that hasn't registered is never able.
func (v *View) SetAble(able, standby bool) {
	able = able && v.own.Number > 0
	able, standby = able && !standby, able && standby
	if able != v.own.Able || standby != v.own.Standby {
		v.own.Able, v.own.Standby = able, standby
		v.invalidateAssignment()
	}
}

// PeersDiscovered records that the set of other processes is known, and restarts the settle
// period the first time.
func (v *View) PeersDiscovered(now Time) {
	if !v.peersKnown {
		v.peersKnown, v.listenSince = true, now
		v.invalidateAssignment()
	}
}

// settled reports whether the settle period is over; see settlePeriod and maxSettlePeriod.
func (v *View) settled(now Time) bool {
	return v.settlePeriodOver(now) || v.allReported()
}

// settlePeriodOver reports whether the time to listen is over, whoever has reported.
func (v *View) settlePeriodOver(now Time) bool {
	wait := settlePeriod
	if !v.peersKnown || v.olderPeerPending {
		wait = maxSettlePeriod
	}
	return now-v.listenSince >= wait
}

// SetOlderPeerPending sets whether an older process that could lead exists and hasn't
// reported yet; see maxSettlePeriod.
func (v *View) SetOlderPeerPending(pending bool) {
	if pending != v.olderPeerPending {
		v.olderPeerPending = pending
		v.invalidateAssignment()
	}
}

// SetAllVMsReachable sets whether heartbeats arrive from a process of each VM of the cell.
func (v *View) SetAllVMsReachable(allVMsReachable bool) {
	if allVMsReachable != v.allVMsReachable {
		v.allVMsReachable = allVMsReachable
		v.invalidateAssignment()
	}
}

// SetStoreStatus sets what the process reports of the store. trouble: it leads a shard, stored
// jobs there wait for the store, and its calls to the store have failed for a while; by
// reporting this it asks the others to probe the store. reached: the process was asked to probe
// the store, by another or by its own trouble, and reached it recently.
func (v *View) SetStoreStatus(trouble, reached bool) {
	v.own.StoreTrouble, v.own.StoreReached = trouble, reached
}

// SetStoreLost sets whether the process can't reach the store and should leave the lead to one
// that can. This is reported by a process that was asked to probe the store and failed, and by a
// leader in trouble once another process has reached the store; see SetStoreStatus.
func (v *View) SetStoreLost(lost bool) {
	if lost != v.own.StoreLost {
		v.own.StoreLost = lost
		v.invalidateAssignment()
	}
}

// Demote ranks the process behind those with fewer demotions, so that it doesn't take the
// lead back. Demotions precede CPU capacity and starvations in rank; see compareClass. Neither
// counter is reset while the process lives.
func (v *View) Demote() {
	v.own.Demotions++
	v.invalidateAssignment()
}

// RecordStarvation counts a CPU starvation. It ranks the process behind those with fewer, but
// only among processes of similar CPU capacity and with as many demotions.
func (v *View) RecordStarvation() {
	v.own.Starvations++
	v.invalidateAssignment()
}

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
func (v *View) SetStopping() {
	v.own.Stopping = true
	v.invalidateAssignment()
}

// RecordStall records that the process itself stood still for a while. Its data about the
// others is as old as the pause, so none is counted as lost, and a new settle period begins.
// A process that led is demoted, as by Demote.
func (v *View) RecordStall(now Time, leading bool) {
	v.invalidateAssignment()
	if leading {
		v.own.Demotions++
	}
	v.listenSince = now
	for _, p := range v.peers {
		p.lastContact = now
	}
}

// allReported reports whether a process of each VM of the cell is reachable, and all reachable
// processes of the cell have reported that they can lead or stand by, and been in contact since
// the settle period began. Then the leader can be chosen at once, since no older process is
// still to report.
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

// reportOf is the latest report of this process or of a peer that is known.
func (v *View) reportOf(id ID) *Report {
	if id == v.self {
		return &v.own
	}
	return &v.peers[id].report
}

// OwnReport is the report to send, given the leader that the process follows in each shard.
// It covers only the shards of this process's cell. The caller sets Term, which isn't part of
// the view.
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
