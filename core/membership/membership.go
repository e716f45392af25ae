// Package membership joins the platform's list of VMs, which lags behind the
// truth, with what a process sees for itself, and says which nodes and
// upstreams are to be reckoned with.
//
// The list says who belongs to the system; sight says who is there. A node
// counts while it is listed, isn't leaving and is connected, or was seen until
// a short while ago. The list in force is never replaced by an older one, and
// it stays in force for as long as no newer one can be read: a process that is
// cut off from the platform goes on serving with the last list it had.
package membership

import (
	"time"

	"sapphirepoint.example/sapphirepoint/core/task"
)

const (
	// AbsenceGrace is how long a node counts after its connection was lost, or
	// after it was first listed. Without it, a connection that is merely
	// replaced would move the ownership of slots to and fro, and two nodes that
	// start together would each take all slots for their own; one would notice
	// by a burst of refused starts.
	AbsenceGrace = 2 * time.Second
	// LeavingNoticeTTL is how long an upstream's own word that it leaves stands
	// against a list that doesn't say so yet.
	LeavingNoticeTTL = 30 * time.Second
)

// sight is what is seen of one node.
type sight struct {
	// runs holds the connected incarnations and whether each is stopping.
	runs        map[uint64]bool
	absentSince task.Time
}

// View is one process's view of the members.
type View struct {
	self   string
	listed bool
	list   task.Members
	nodes  map[string]*sight
	// leaving holds the upstreams that said that they leave, and until when
	// that is believed.
	leaving map[string]task.Time

	live task.Members
	// stale is set when live must be worked out anew, and due is when it must
	// be without any further event.
	stale bool
	due   task.Time
}

// New returns a view of a node of the given name; nothing is listed.
func New(self string) *View {
	return &View{
		self:    self,
		nodes:   make(map[string]*sight),
		leaving: make(map[string]task.Time),
	}
}

// HasList says whether there is a list in force.
func (v *View) HasList() bool { return v.listed }

// Version is the version of the list in force, 0 if there is none.
func (v *View) Version() uint64 { return v.list.Version }

// List is the list in force as it was read. It must not be changed.
func (v *View) List() task.Members { return v.list }

// ApplyList puts a list in force if it is newer than the present one, and reports
// whether it did.
//
// Lists come from the platform and from peers, late and crossed. An older list
// would bring a leaving upstream back, whose tasks would then be cut off; the
// check on the version prevents that.
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
	v.stale = true
	v.keepNodes(now)
	v.keepFarewells(addresses)
	return true
}

// keepNodes begins the grace of nodes that are new on the list and forgets
// those that are neither listed nor connected.
func (v *View) keepNodes(now task.Time) {
	listed := make(map[string]bool, len(v.list.Nodes))
	for _, n := range v.list.Nodes {
		listed[n.Name] = true
		v.sightOf(now, n.Name)
	}
	for name, s := range v.nodes {
		if !listed[name] && len(s.runs) == 0 {
			delete(v.nodes, name)
		}
	}
}

// keepFarewells forgets what upstreams said that are gone, or were replaced
// under the same name.
func (v *View) keepFarewells(addresses map[string]string) {
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

func (v *View) sightOf(now task.Time, name string) *sight {
	s := v.nodes[name]
	if s == nil {
		s = &sight{runs: make(map[uint64]bool), absentSince: now}
		v.nodes[name] = s
	}
	return s
}

// PeerUp records that an incarnation is connected.
func (v *View) PeerUp(now task.Time, p task.Incarnation) {
	v.sightOf(now, p.Node).runs[p.Run] = false
	v.stale = true
}

// PeerDown records that the connection with an incarnation is lost. That of a
// predecessor says nothing of the node's present process.
func (v *View) PeerDown(now task.Time, p task.Incarnation) {
	s := v.nodes[p.Node]
	if s == nil {
		return
	}
	delete(s.runs, p.Run)
	if len(s.runs) == 0 {
		s.absentSince = now
	}
	v.stale = true
}

// PeerStopping records whether a connected incarnation stops and has no more
// tasks to start.
func (v *View) PeerStopping(p task.Incarnation, stopping bool) {
	s := v.nodes[p.Node]
	if s == nil {
		return
	}
	was, connected := s.runs[p.Run]
	if connected && was != stopping {
		s.runs[p.Run] = stopping
		v.stale = true
	}
}

// UpstreamLeaving records that an upstream itself said that it leaves.
func (v *View) UpstreamLeaving(now task.Time, name string) {
	v.leaving[name] = now + LeavingNoticeTTL
	v.stale = true
}

// Live returns the list in force with Leaving set on all that isn't to be
// reckoned with, and whether it was worked out anew since the last call. The
// process itself always counts as it is listed.
func (v *View) Live(now task.Time) (task.Members, bool) {
	if !v.stale && (v.due == 0 || now < v.due) {
		return v.live, false
	}
	v.stale = false
	v.due = 0
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
		u.Leaving = u.Leaving || v.saidLeaving(now, u.Name)
		v.live.Upstreams[i] = u
	}
	return v.live, true
}

func (v *View) present(now task.Time, name string) bool {
	if name == v.self {
		return true
	}
	s := v.nodes[name]
	for _, stopping := range s.runs {
		if !stopping {
			return true
		}
	}
	if len(s.runs) > 0 {
		return false
	}
	end := s.absentSince + AbsenceGrace
	if now >= end {
		return false
	}
	v.lookAt(end)
	return true
}

func (v *View) saidLeaving(now task.Time, name string) bool {
	until, said := v.leaving[name]
	if !said {
		return false
	}
	if now >= until {
		delete(v.leaving, name)
		return false
	}
	v.lookAt(until)
	return true
}

func (v *View) lookAt(at task.Time) {
	if v.due == 0 || at < v.due {
		v.due = at
	}
}
