// Package leader decides which entry process schedules, from what each process
// hears of the others. No store is asked and no vote is held.
//
// Two processes may both think that they lead. That costs time and harms
// nothing: runners obey only the highest fencing token that they have seen, so
// the choice of a leader is about speed, not about safety.
//
// The oldest process leads, of those with the most processor. It stays so for as
// long as it lives, also when a cut that had hidden it heals, so a leader doesn't
// change without need. One that was frozen is demoted: it would come back as the
// oldest just to be slow again.
//
// A large deployment is divided into shards, each with a leader of its own. There
// a shard's leader is found by rendezvous hashing in place of age, so that shards
// spread over the processes and only those of a lost one move. The shards of a
// cell are led by processes of the cell alone: a cut between cells changes nothing,
// and what the choice costs doesn't grow with their number.
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

// ID names one lifetime of an entry process.
type ID string

const (
	// HeartbeatInterval is how often processes tell each other that they live.
	// Heartbeats are most of what an idle process spends.
	HeartbeatInterval = 150 * time.Millisecond
	// HeartbeatTimeout is how long a process may be silent before it is taken for
	// lost: three heartbeats. A lost datagram is sent again within some tens of
	// milliseconds, so what this bears is a pause of a process for two.
	HeartbeatTimeout = 450 * time.Millisecond
	// settle is how long a new process listens before it may lead, from when it
	// knows which others there are: it connects with them in some 50 ms, or 80 if
	// all start at once. It needn't wait for anybody once all have told it that
	// they could lead too.
	settle = 150 * time.Millisecond
	// settleMost is how long it waits to learn which others there are, and for older
	// ones that refuse its connections, as they haven't read of it yet. Leading
	// meanwhile, it would take the runners of a scheduler that it doesn't hear, and
	// hold up its jobs.
	settleMost = 2 * time.Second
	// yieldWait is how long a leader goes on while the one that should lead
	// hasn't said that it does.
	yieldWait = 300 * time.Millisecond
	// StallThreshold is the pause in a process's own work after which it counts
	// itself as having been frozen. The others have missed it by then.
	StallThreshold = 400 * time.Millisecond
)

// View is what one process knows of the others.
type View struct {
	self  ID
	own   Report
	begin Time
	// layout has the cell of each shard, and shards are those of the own cell.
	layout layout.Layout
	shards []int
	// found: it knows which other processes there are; begin is from then on.
	found bool
	// complete: a process of each VM of the deployment is heard.
	complete bool
	// strangers: an older process is there that could lead and hasn't told of itself.
	strangers bool
	// yieldSince is when this process, leading a shard, began to wait for
	// another.
	yieldSince []Time
	peers      map[ID]*peer
	// claims are the processes that say that they lead a shard.
	claims map[int][]ID
}

// NewView returns the view of a process that has just started.
func NewView(self ID, now Time) *View {
	return &View{self: self, begin: now, peers: make(map[ID]*peer), claims: make(map[int][]ID)}
}

// Register sets the identity that the process has got; it settles from now on.
func (v *View) Register(now Time, self ID, number uint64) {
	v.self = self
	v.own.Number = number
	v.begin = now
}

// Self is the process's own identity.
func (v *View) Self() ID { return v.self }

// SetMilliCPU says how much processor the VM has, in thousandths of a core.
func (v *View) SetMilliCPU(milliCPU int) { v.own.MilliCPU = milliCPU }

// SetLayout says how the runners are divided, and to which cell the process
// belongs. One that has listened for long does so again: nobody could lead until
// now, and if each led what it learns of at once, all would lead everything.
func (v *View) SetLayout(now Time, l layout.Layout, cell string) {
	v.layout = l
	v.own.Cell = cell
	v.own.Shards = len(l)
	v.shards = l.Shards(cell)
	v.yieldSince = make([]Time, len(l))
	if now-v.begin > settle {
		v.begin = now
	}
}

// SetAble says whether the process could schedule, and if so whether it leaves
// that to others.
func (v *View) SetAble(able, standby bool) {
	able = able && v.own.Number > 0
	v.own.Able, v.own.Standby = able && !standby, able && standby
}

// CanSchedule reports whether this process knows what it needs to schedule.
func (v *View) CanSchedule() bool { return v.own.Able || v.own.Standby }

// PeersDiscovered notes that the process knows which others there are.
func (v *View) PeersDiscovered(now Time) {
	if !v.found {
		v.found, v.begin = true, now
	}
}

// settled reports whether the process has listened for long enough to lead.
func (v *View) settled(now Time) bool {
	wait := settle
	if !v.found || v.strangers {
		wait = settleMost
	}
	return now-v.begin >= wait || v.allAble()
}

// SetOlderPeerPending says whether an older process that could lead is there and hasn't told
// anything of itself yet.
func (v *View) SetOlderPeerPending(some bool) { v.strangers = some }

// SetAllVMsReachable says whether a process of each VM is heard.
func (v *View) SetAllVMsReachable(complete bool) { v.complete = complete }

// SetStoreStatus says whether the process leads in need of the store, and whether it
// reaches it.
func (v *View) SetStoreStatus(trouble, reached bool) {
	v.own.StoreTrouble, v.own.StoreReached = trouble, reached
}

// SetStoreLost says whether another process should lead that reaches the store.
func (v *View) SetStoreLost(lost bool) { v.own.StoreLost = lost }

// Demote ranks the process behind those that weren't demoted as often, so that
// it doesn't take the lead back.
func (v *View) Demote() { v.own.Demotions++ }

// RecordStarvation ranks the process behind those of its kind that weren't slow as often.
func (v *View) RecordStarvation() { v.own.Starvations++ }

// HasIdleSuccessor reports whether another process could take over what this one leads: one
// as good that leads nothing. Handed to one that leads as well, the load would
// strain that one, and so on until none is left that can bear it.
func (v *View) HasIdleSuccessor(now Time) bool {
	for id, p := range v.peers {
		if !p.report.Able || p.report.Cell != v.own.Cell || now-p.heard > HeartbeatTimeout || p.report.leads(id) {
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

// SetStopping says that the process is about to end.
func (v *View) SetStopping() { v.own.Stopping = true }

// RecordStall tells that the process itself stood still for a while. What it knows
// of the others is as old as the pause, so it counts none of them as lost and
// listens again before it may lead. If it led, it is demoted.
func (v *View) RecordStall(now Time, leading bool) {
	if leading {
		v.own.Demotions++
	}
	v.begin = now
	for _, p := range v.peers {
		p.heard = now
	}
}

// Choice is whom to follow.
type Choice struct {
	// Leader is "" if there is none.
	Leader ID
	// Reachable is false if others follow the leader, but it isn't heard here.
	Reachable bool
}

// Choose returns whom this process follows in a shard; leading says that it
// leads it now.
//
// The first in rank among those that are heard should lead. Until it says that
// it does, whoever leads goes on, for a short while: at a planned stop, and as
// a cut heals and connections come back one by one, there would else be moments
// with no leader or the wrong one.
//
// A shard of another cell isn't this process's to lead. It follows whoever says
// there that it does.
func (v *View) Choose(now Time, shard int, leading bool) Choice {
	leader := v.firstLeading(now, shard)
	if v.layout[shard] != v.own.Cell {
		return Choice{Leader: leader, Reachable: leader != ""}
	}
	first := v.first(now, shard)
	if first == "" {
		return Choice{Leader: leader, Reachable: leader != ""}
	}
	if first == v.self {
		if other := v.followedElsewhere(now, shard); other != "" {
			return v.yield(now, shard, leading, Choice{Leader: other})
		}
		v.yieldSince[shard] = 0
		return Choice{Leader: v.self, Reachable: true}
	}
	if leading && leader != first && (leader == "" || v.before(v.self, leader, shard)) {
		return v.yield(now, shard, true, Choice{Leader: first, Reachable: true})
	}
	v.yieldSince[shard] = 0
	// A process that should lead and doesn't say so may not know it yet; a job
	// handed to it would only wait there.
	return Choice{Leader: leader, Reachable: leader != ""}
}

// Yields reports whether this process, leading a shard, waits for another one to
// do so.
func (v *View) Yields(shard int) bool { return v.yieldSince[shard] > 0 }

// yield makes a process that leads go on for a while before it follows another.
func (v *View) yield(now Time, shard int, leading bool, other Choice) Choice {
	if !leading {
		return other
	}
	if v.yieldSince[shard] == 0 {
		v.yieldSince[shard] = now
	}
	if now-v.yieldSince[shard] > yieldWait {
		return other
	}
	return Choice{Leader: v.self, Reachable: true}
}

// first is the process that should lead a shard of the own cell; "" if none can.
func (v *View) first(now Time, shard int) ID {
	best := v.best(now)
	if len(best) == 0 {
		return ""
	}
	if len(v.shards) == 1 {
		return slices.MinFunc(best, func(x, y ID) int { return cmp.Compare(v.rank(x).Number, v.rank(y).Number) })
	}
	return share(best, v.shards)[shard]
}

// best lists the processes of the cell that may lead and that none other ranks
// before, but for age, in the order of their ids.
func (v *View) best(now Time) []ID {
	var able []ID
	if v.own.Able && v.settled(now) {
		able = append(able, v.self)
	}
	for id, p := range v.peers {
		if p.report.Able && p.report.Cell == v.own.Cell && now-p.heard <= HeartbeatTimeout {
			able = append(able, id)
		}
	}
	slices.Sort(able)
	return slices.DeleteFunc(slices.Clone(able), func(x ID) bool {
		return slices.ContainsFunc(able, func(y ID) bool { return v.class(y, x) < 0 })
	})
}

// allAble reports whether each VM of the deployment has a process that has said
// that it could lead, since this one began to listen. Then who should is known:
// nobody older is still to come.
//
// What was said before a pause of this process doesn't count. It would lead again
// as it wakes, with jobs in its queue that have long been handed to another one.
func (v *View) allAble() bool {
	if !v.complete {
		return false
	}
	for _, p := range v.peers {
		if p.report.Cell != v.own.Cell {
			continue
		}
		if !p.report.Able && !p.report.Standby || p.heard <= v.begin {
			return false
		}
	}
	return true
}

// firstLeading is the first in rank of the other processes that say that they
// lead a shard.
func (v *View) firstLeading(now Time, shard int) ID {
	best := ID("")
	for _, id := range v.claims[shard] {
		if now-v.peers[id].heard <= HeartbeatTimeout && (best == "" || v.before(id, best, shard)) {
			best = id
		}
	}
	return best
}

// followedElsewhere finds a leader that isn't heard here but that a process
// heard here follows. If this process led beside it, the two would take the
// runners from each other by turns.
func (v *View) followedElsewhere(now Time, shard int) ID {
	found := ID("")
	for id, p := range v.peers {
		l := p.report.Leader(shard)
		if l == "" || l == v.self || l == id || v.peers[l] != nil {
			continue
		}
		if now-p.heard+p.report.Follows[shard].Age <= HeartbeatTimeout && (found == "" || l < found) {
			found = l
		}
	}
	return found
}

// before ranks two processes for a shard: by class, then by age, or with several
// shards by score.
func (v *View) before(x, y ID, shard int) bool {
	if c := v.class(x, y); c != 0 {
		return c < 0
	}
	if len(v.shards) > 1 || v.layout[shard] != v.own.Cell {
		return score(x, shard) > score(y, shard)
	}
	return v.rank(x).Number < v.rank(y).Number
}

// class compares two processes by what counts before age; see compareClass.
func (v *View) class(x, y ID) int {
	return compareClass(v.rank(x), v.rank(y))
}

func (v *View) rank(id ID) *Report {
	if id == v.self {
		return &v.own
	}
	return &v.peers[id].report
}

// OwnReport is the report to send, given whom the process follows in each shard. It tells
// of the shards of its own cell.
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
