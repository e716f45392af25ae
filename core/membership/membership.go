// Package membership combines the platform's list of VMs, which lags behind the actual state,
// with the connections and messages that a process observes, and determines which nodes
// (entry processes) and upstreams are live.
//
// A node is live while it is listed, isn't leaving and is connected, or was connected until
// AbsenceGrace ago. An upstream is live while it is listed, isn't leaving and hasn't itself
// sent notice that it leaves. The list in force is never replaced by an older one, and it stays
// in force for as long as no newer one can be read: a process that is cut off from the platform
// continues with its latest list.
package membership

import (
	"time"

	"sapphirepoint.example/sapphirepoint/core/task"
)

const (
	// AbsenceGrace is how long a node stays live after its connection was lost, or after it
	// was first listed. Without it, the replacement of a connection would move the ownership
	// of slots back and forth. Two nodes that start together would each take ownership of all
	// slots, which shows only in a burst of refused starts.
	AbsenceGrace = 2 * time.Second
	// LeavingNoticeTTL is how long an upstream's own notice that it leaves overrides a list
	// that doesn't show it yet.
	LeavingNoticeTTL = 30 * time.Second
)

// presence is the state of the connections with one node.
type presence struct {
	// incarnations holds the connected incarnations, and for each whether it is stopping.
	incarnations map[uint64]bool
	// absentSince is when the last incarnation disconnected, or when the node was first
	// listed. It applies while no incarnation is connected.
	absentSince task.Time
}

// View is one process's view of the members.
type View struct {
	self   string
	listed bool
	list   task.Members
	nodes  map[string]*presence
	// leaving holds the upstreams that sent notice that they leave, and when each notice
	// expires.
	leaving map[string]task.Time

	live task.Members
	// dirty is set when live must be recomputed. recomputeAt is when it must be recomputed
	// even without a further event; 0 if never.
	dirty       bool
	recomputeAt task.Time
}

// New returns the view of the node named self, without a list.
func New(self string) *View {
	return &View{
		self:    self,
		nodes:   make(map[string]*presence),
		leaving: make(map[string]task.Time),
	}
}

// HasList reports whether a list is in force.
func (v *View) HasList() bool { return v.listed }

// Version is the version of the list in force; 0 if there is none.
func (v *View) Version() uint64 { return v.list.Version }

// List is the list in force as it was read. It must not be changed.
func (v *View) List() task.Members { return v.list }

// ApplyList puts a list in force if it is newer than the present one, and reports whether it
// did.
//
// Lists come from the platform and from peers, late and out of order. An older list would make
// a leaving upstream live again, and the tasks sent to it would be cut off. The check of the
// version prevents that.
func (v *View) ApplyList(now task.Time, m task.Members) bool {
	if v.listed && m.Version <= v.list.Version {
		return false
	}
	addresses := make(map[string]string, len(v.list.Upstreams))
	for _, u := range v.list.Upstreams {
		addresses[u.Name] = u.Address
	}
	v.list = m
	v.listed = true
	v.dirty = true
	v.updateNodes(now)
	v.pruneLeaving(addresses)
	return true
}

// updateNodes starts the grace period of newly listed nodes and removes those that are neither
// listed nor connected.
func (v *View) updateNodes(now task.Time) {
	listed := make(map[string]bool, len(v.list.Nodes))
	for _, n := range v.list.Nodes {
		listed[n.Name] = true
		v.presenceOf(now, n.Name)
	}
	for name, s := range v.nodes {
		if !listed[name] && len(s.incarnations) == 0 {
			delete(v.nodes, name)
		}
	}
}

// pruneLeaving removes the notices of upstreams that aren't listed any more, or that were
// replaced under the same name.
func (v *View) pruneLeaving(addresses map[string]string) {
	present := make(map[string]bool, len(v.list.Upstreams))
	for _, u := range v.list.Upstreams {
		present[u.Name] = u.Address == addresses[u.Name]
	}
	for name := range v.leaving {
		if !present[name] {
			delete(v.leaving, name)
		}
	}
}

func (v *View) presenceOf(now task.Time, name string) *presence {
	s := v.nodes[name]
	if s == nil {
		s = &presence{incarnations: make(map[uint64]bool), absentSince: now}
		v.nodes[name] = s
	}
	return s
}

// PeerUp records that an incarnation is connected.
func (v *View) PeerUp(now task.Time, p task.Incarnation) {
	v.presenceOf(now, p.Node).incarnations[p.Run] = false
	v.dirty = true
}

// PeerDown records that the connection with an incarnation is lost. The loss of a former
// incarnation doesn't affect the node's present process.
func (v *View) PeerDown(now task.Time, p task.Incarnation) {
	s := v.nodes[p.Node]
	if s == nil {
		return
	}
	delete(s.incarnations, p.Run)
	if len(s.incarnations) == 0 {
		s.absentSince = now
	}
	v.dirty = true
}

// PeerStopping records whether a connected incarnation is stopping and has no more tasks to
// start.
func (v *View) PeerStopping(p task.Incarnation, stopping bool) {
	s := v.nodes[p.Node]
	if s == nil {
		return
	}
	was, connected := s.incarnations[p.Run]
	if connected && was != stopping {
		s.incarnations[p.Run] = stopping
		v.dirty = true
	}
}

// UpstreamLeaving records an upstream's own notice that it leaves.
func (v *View) UpstreamLeaving(now task.Time, name string) {
	v.leaving[name] = now + LeavingNoticeTTL
	v.dirty = true
}

// Live returns the list in force with Leaving set on every node and upstream that isn't live,
// and whether it was recomputed since the last call. The process itself always has the state
// that is listed.
func (v *View) Live(now task.Time) (task.Members, bool) {
	if !v.dirty && (v.recomputeAt == 0 || now < v.recomputeAt) {
		return v.live, false
	}
	v.dirty = false
	v.recomputeAt = 0
	v.live = task.Members{
		Version:   v.list.Version,
		Nodes:     make([]task.Node, len(v.list.Nodes)),
		Upstreams: make([]task.Upstream, len(v.list.Upstreams)),
	}
	for i, n := range v.list.Nodes {
		n.Leaving = n.Leaving || !v.present(now, n.Name)
		v.live.Nodes[i] = n
	}
	for i, u := range v.list.Upstreams {
		u.Leaving = u.Leaving || v.announcedLeaving(now, u.Name)
		v.live.Upstreams[i] = u
	}
	return v.live, true
}

func (v *View) present(now task.Time, name string) bool {
	if name == v.self {
		return true
	}
	s := v.nodes[name]
	for _, stopping := range s.incarnations {
		if !stopping {
			return true
		}
	}
	if len(s.incarnations) > 0 {
		return false
	}
	end := s.absentSince + AbsenceGrace
	if now >= end {
		return false
	}
	v.scheduleRecompute(end)
	return true
}

func (v *View) announcedLeaving(now task.Time, name string) bool {
	until, announced := v.leaving[name]
	if !announced {
		return false
	}
	if now >= until {
		delete(v.leaving, name)
		return false
	}
	v.scheduleRecompute(until)
	return true
}

func (v *View) scheduleRecompute(at task.Time) {
	if v.recomputeAt == 0 || at < v.recomputeAt {
		v.recomputeAt = at
	}
}
