// Package leader decides which entry process schedules, from what each process
// hears of the others. No store is asked and no vote is held.
//
// Two processes may both think that they lead. That costs time and harms
// nothing: runners obey only the highest fencing token that they have seen, so
// the choice of a leader is about speed, not about safety.
//
// The oldest process leads. It stays so for as long as it lives, also when a
// cut that had hidden it heals, so a leader doesn't change without need. One
// that was frozen is demoted: it would come back as the oldest just to be
// slow again.
package leader

import (
	"slices"
	"time"

	"sapphirepoint.example/sapphirepoint/core/task"
)

// Time is a reading of the process's monotonic clock.
type Time = task.Time

// ID names one lifetime of an entry process.
type ID string

const (
	// HeartbeatInterval is how often processes tell each other that they live.
	HeartbeatInterval = 100 * time.Millisecond
	// LostAfter is how long a process may be silent before it is taken for
	// lost: four heartbeats and half of one, so that three lost datagrams in a
	// row, or a pause of the runtime, don't change the leader.
	LostAfter = 450 * time.Millisecond
	// settle is how long a new process listens before it may lead: the older
	// ones connect in this time.
	settle = 200 * time.Millisecond
	// yieldWait is how long a leader goes on while the one that should lead
	// hasn't said that it does.
	yieldWait = 300 * time.Millisecond
	// StallLimit is the pause in a process's own work after which it counts
	// itself as having been frozen. The others have missed it by then.
	StallLimit = 400 * time.Millisecond
)

// Report is what a process says of itself in a heartbeat.
type Report struct {
	// Number is given out in the order of registration; 0 if not registered.
	Number uint64
	// Able: registered, and has a configuration.
	Able     bool
	Stopping bool
	// Demotions counts the times that the process was frozen while it led.
	Demotions uint32
	// Term is the highest term of a scheduler that it knows.
	Term uint64
	// Leader is whom it follows, heard LeaderAge before.
	Leader    ID
	LeaderAge time.Duration
}

type peer struct {
	report Report
	heard  Time
}

// View is what one process knows of the others.
type View struct {
	self  ID
	own   Report
	begin Time
	// yieldSince is when this process, leading, began to wait for another.
	yieldSince Time
	peers      map[ID]*peer
}

// NewView returns the view of a process that has just started.
func NewView(self ID, now Time) *View {
	return &View{self: self, begin: now, peers: make(map[ID]*peer)}
}

// Register sets the identity that the process has got; it settles from now on.
func (v *View) Register(now Time, self ID, number uint64) {
	v.self = self
	v.own.Number = number
	v.begin = now
}

// Self is the process's own identity.
func (v *View) Self() ID { return v.self }

// SetAble says whether the process could schedule.
func (v *View) SetAble(able bool) { v.own.Able = able && v.own.Number > 0 }

// Stop says that the process is about to end.
func (v *View) Stop() { v.own.Stopping = true }

// Stopping reports whether the process is about to end.
func (v *View) Stopping() bool { return v.own.Stopping }

// Stalled tells that the process itself stood still for a while. What it knows
// of the others is as old as the pause, so it counts none of them as lost and
// listens again before it may lead. If it led, it is demoted.
func (v *View) Stalled(now Time, leading bool) {
	if leading {
		v.own.Demotions++
	}
	v.begin = now
	for _, p := range v.peers {
		p.heard = now
	}
}

// Heard takes a heartbeat, or with a nil report any other sign of life.
func (v *View) Heard(now Time, id ID, r *Report) {
	p := v.peers[id]
	if p == nil {
		p = &peer{}
		v.peers[id] = p
	}
	p.heard = now
	if r != nil {
		p.report = *r
	}
}

// Ended forgets a process that has closed its connection.
func (v *View) Ended(id ID) { delete(v.peers, id) }

// LastHeard is when a process was last heard; 0 if never.
func (v *View) LastHeard(id ID) Time {
	if p := v.peers[id]; p != nil {
		return p.heard
	}
	return 0
}

// Report is what a process has last said of itself.
func (v *View) Report(id ID) Report {
	if p := v.peers[id]; p != nil {
		return p.report
	}
	return Report{}
}

// Silent lists the processes that have become silent, and forgets them.
func (v *View) Silent(now Time) []ID {
	var lost []ID
	for id, p := range v.peers {
		if now-p.heard > LostAfter {
			lost = append(lost, id)
			delete(v.peers, id)
		}
	}
	slices.Sort(lost)
	return lost
}

// Choice is whom to follow.
type Choice struct {
	// Leader is "" if there is none.
	Leader ID
	// Reachable is false if others follow the leader, but it isn't heard here.
	Reachable bool
}

// Choose returns whom this process follows; leading says that it leads now.
//
// The first in rank among those that are heard should lead. Until it says that
// it does, whoever leads goes on, for a short while: at a planned stop, and as
// a cut heals and connections come back one by one, there would else be moments
// with no leader or the wrong one.
func (v *View) Choose(now Time, leading bool) Choice {
	first, leader := v.first(now), v.firstLeading(now)
	if first == "" {
		return Choice{Leader: leader, Reachable: leader != ""}
	}
	if first == v.self {
		if other := v.followedElsewhere(now); other != "" {
			return v.yield(now, leading, Choice{Leader: other})
		}
		v.yieldSince = 0
		return Choice{Leader: v.self, Reachable: true}
	}
	if leading && (leader == "" || before(v.own, v.peers[leader].report)) {
		return v.yield(now, true, Choice{Leader: first, Reachable: true})
	}
	v.yieldSince = 0
	// A process that should lead and doesn't say so may not know it yet; a job
	// handed to it would only wait there.
	return Choice{Leader: leader, Reachable: leader != ""}
}

// yield makes a process that leads go on for a while before it follows another.
func (v *View) yield(now Time, leading bool, other Choice) Choice {
	if !leading {
		return other
	}
	if v.yieldSince == 0 {
		v.yieldSince = now
	}
	if now-v.yieldSince > yieldWait {
		return other
	}
	return Choice{Leader: v.self, Reachable: true}
}

// first is the process that should lead; "" if none can.
func (v *View) first(now Time) ID {
	best, rank := ID(""), Report{}
	if v.own.Able && now-v.begin >= settle {
		best, rank = v.self, v.own
	}
	for id, p := range v.peers {
		if p.report.Able && now-p.heard <= LostAfter && (best == "" || before(p.report, rank)) {
			best, rank = id, p.report
		}
	}
	return best
}

// firstLeading is the first in rank of the other processes that say they lead.
func (v *View) firstLeading(now Time) ID {
	best, rank := ID(""), Report{}
	for id, p := range v.peers {
		if p.report.Leader == id && now-p.heard <= LostAfter && (best == "" || before(p.report, rank)) {
			best, rank = id, p.report
		}
	}
	return best
}

// followedElsewhere finds a leader that isn't heard here but that a process
// heard here follows. If this process led beside it, the two would take the
// runners from each other by turns.
func (v *View) followedElsewhere(now Time) ID {
	found := ID("")
	for id, p := range v.peers {
		l := p.report.Leader
		if l == "" || l == v.self || l == id || v.peers[l] != nil {
			continue
		}
		if now-p.heard+p.report.LeaderAge <= LostAfter && (found == "" || l < found) {
			found = l
		}
	}
	return found
}

// before ranks processes: those that aren't about to end, then those that were
// never frozen, then the oldest.
func before(a, b Report) bool {
	if a.Stopping != b.Stopping {
		return !a.Stopping
	}
	if a.Demotions != b.Demotions {
		return a.Demotions < b.Demotions
	}
	return a.Number < b.Number
}

// Own is the report to send, given whom the process follows.
func (v *View) Own(now Time, c Choice) Report {
	r := v.own
	if c.Reachable {
		r.Leader = c.Leader
		if c.Leader != v.self {
			r.LeaderAge = now - v.LastHeard(c.Leader)
		}
	}
	return r
}

// Heads is the number of processes heard, this one included.
func (v *View) Heads() int { return len(v.peers) + 1 }
