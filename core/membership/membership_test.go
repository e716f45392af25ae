package membership_test

import (
	"flag"
	"fmt"
	"testing"
	"time"

	"github.com/onsi/gomega"
	"pgregory.net/rapid"

	"sapphirepoint.example/sapphirepoint/core/membership"
	"sapphirepoint.example/sapphirepoint/core/task"
)

func init() {
	_ = flag.Set("rapid.seed", "20261202")
	_ = flag.Set("rapid.nofailfile", "true")
}

const self = "node-0"

// model derives the expected view from the whole history of events.
type model struct {
	view *membership.View
	now  task.Time
	list task.Members
	// runs holds the connected runs of each node; the value is true while a run is stopping.
	runs         map[string]map[uint64]bool
	lastSeen     map[string]task.Time
	leavingSince map[string]task.Time
}

func drawList(t *rapid.T) task.Members {
	m := task.Members{Version: rapid.Uint64Range(1, 40).Draw(t, "version")}
	for i := range 4 {
		if i > 0 && rapid.IntRange(0, 4).Draw(t, "gone") == 0 {
			continue
		}
		leaving := i > 0 && rapid.IntRange(0, 3).Draw(t, "leaving") == 0
		m.Nodes = append(m.Nodes, task.Node{Name: fmt.Sprintf("node-%d", i), FailureDomain: "a", Leaving: leaving})
		m.Upstreams = append(m.Upstreams, task.Upstream{Name: fmt.Sprintf("up-%d", i), Slots: 8, Leaving: leaving})
	}
	return m
}

func (m *model) peer(t *rapid.T) task.Incarnation {
	node := fmt.Sprintf("node-%d", rapid.IntRange(1, 3).Draw(t, "node"))
	return task.Incarnation{Node: node, Run: rapid.Uint64Range(1, 2).Draw(t, "run")}
}

func (m *model) offer(t *rapid.T) {
	l := drawList(t)
	before := m.view.Version()
	taken := m.view.ApplyList(m.now, l)
	if taken != (l.Version > before) {
		t.Fatalf("version %d taken=%v over %d", l.Version, taken, before)
	}
	if !taken {
		return
	}
	m.list = l
	listed := map[string]bool{}
	for _, n := range l.Nodes {
		listed[n.Name] = true
		if _, known := m.lastSeen[n.Name]; !known {
			m.lastSeen[n.Name] = m.now
		}
	}
	for name := range m.lastSeen {
		if !listed[name] && len(m.runs[name]) == 0 {
			delete(m.lastSeen, name)
		}
	}
	present := map[string]bool{}
	for _, u := range l.Upstreams {
		present[u.Name] = true
	}
	for name := range m.leavingSince {
		if !present[name] {
			delete(m.leavingSince, name)
		}
	}
}

func (m *model) up(t *rapid.T) {
	p := m.peer(t)
	if m.runs[p.Node] == nil {
		m.runs[p.Node] = map[uint64]bool{}
	}
	m.runs[p.Node][p.Run] = false
	m.lastSeen[p.Node] = m.now
	m.view.PeerUp(m.now, p)
}

func (m *model) down(t *rapid.T) {
	p := m.peer(t)
	if _, connected := m.runs[p.Node][p.Run]; connected {
		delete(m.runs[p.Node], p.Run)
		m.lastSeen[p.Node] = m.now
		m.view.PeerDown(m.now, p)
	}
}

func (m *model) stopping(t *rapid.T) {
	p := m.peer(t)
	stopping := rapid.Bool().Draw(t, "stopping")
	if _, connected := m.runs[p.Node][p.Run]; connected {
		m.runs[p.Node][p.Run] = stopping
	}
	m.view.PeerStopping(p, stopping)
}

func (m *model) farewell(t *rapid.T) {
	name := fmt.Sprintf("up-%d", rapid.IntRange(0, 3).Draw(t, "upstream"))
	if !m.hasUpstream(name) {
		return
	}
	m.leavingSince[name] = m.now
	m.view.UpstreamLeaving(m.now, name)
}

func (m *model) hasUpstream(name string) bool {
	for _, u := range m.list.Upstreams {
		if u.Name == name {
			return true
		}
	}
	return false
}

func (m *model) nodeLives(n task.Node) bool {
	if n.Leaving {
		return false
	}
	if n.Name == self {
		return true
	}
	for _, stopping := range m.runs[n.Name] {
		if !stopping {
			return true
		}
	}
	return len(m.runs[n.Name]) == 0 && m.now-m.lastSeen[n.Name] < membership.AbsenceGrace
}

func (m *model) check(t *rapid.T) {
	live, _ := m.view.Live(m.now)
	if live.Version != m.list.Version || len(live.Nodes) != len(m.list.Nodes) {
		t.Fatalf("another list: %v", live)
	}
	for i, n := range m.list.Nodes {
		if live.Nodes[i].Leaving == m.nodeLives(n) {
			t.Fatalf("at %v %s leaving=%v, runs %v, last seen %v", m.now, n.Name, live.Nodes[i].Leaving, m.runs[n.Name], m.lastSeen[n.Name])
		}
	}
	for i, u := range m.list.Upstreams {
		at, said := m.leavingSince[u.Name]
		want := u.Leaving || said && m.now < at+membership.LeavingNoticeTTL
		if live.Upstreams[i].Leaving != want {
			t.Fatalf("at %v %s leaving=%v", m.now, u.Name, live.Upstreams[i].Leaving)
		}
	}
}

// Lists arrive late and out of order, connections come and go, nodes stop and are replaced
// under their names, and upstreams announce that they leave. Tasks sent to a VM that has gone
// would be cut off, and slots reserved for it would stay idle.
func TestViewAgreesWithHistory(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		m := &model{view: membership.New(self), runs: map[string]map[uint64]bool{}, lastSeen: map[string]task.Time{}, leavingSince: map[string]task.Time{}}
		t.Repeat(map[string]func(*rapid.T){
			"offer":    m.offer,
			"up":       m.up,
			"down":     m.down,
			"stopping": m.stopping,
			"farewell": m.farewell,
			"wait": func(t *rapid.T) {
				m.now += time.Duration(rapid.IntRange(1, 20_000).Draw(t, "ms")) * time.Millisecond
			},
			"": m.check,
		})
	})
}

// An upstream announces that it leaves, and its VM is then replaced under the same name at
// another address. The new upstream must get tasks at once.
func TestReplacedUpstreamIsLive(t *testing.T) {
	g := gomega.NewWithT(t)
	v := membership.New(self)
	v.ApplyList(0, task.Members{Version: 1, Upstreams: []task.Upstream{{Name: "up", Address: "10.0.0.1:80"}}})
	v.UpstreamLeaving(0, "up")
	live, _ := v.Live(0)
	g.Expect(live.Upstreams[0].Leaving).To(gomega.BeTrue())
	v.ApplyList(0, task.Members{Version: 2, Upstreams: []task.Upstream{{Name: "up", Address: "10.0.0.2:80"}}})
	live, _ = v.Live(0)
	g.Expect(live.Upstreams[0].Leaving).To(gomega.BeFalse())
}

// The list is sent between processes as the platform's own message. If a field were lost in
// the conversion, tasks of one institution could go to workers of another.
func TestListProtoRoundTrip(t *testing.T) {
	g := gomega.NewWithT(t)
	m := task.Members{
		Version:   7,
		Nodes:     []task.Node{{Name: "n", Address: "10.0.0.1:1", FailureDomain: "a", Leaving: true}},
		Upstreams: []task.Upstream{{Name: "u", Address: "10.0.0.2:2", FailureDomain: "a", Worker: "w", Rack: "r", Institution: "i", Slots: 8, Leaving: true, CPUMillis: 64_000, MemoryMiB: 1}},
	}
	g.Expect(membership.FromProto(membership.ToProto(m))).To(gomega.Equal(m))
}
