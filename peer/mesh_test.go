package peer

import (
	"context"
	"sync"
	"testing"
	"time"

	. "github.com/onsi/gomega"
	"github.com/rs/zerolog"

	"sapphirepoint.example/sapphirepoint/core/layout"
	"sapphirepoint.example/sapphirepoint/core/topology"
	pb "sapphirepoint.example/sapphirepoint/gen/sapphirepointv1"
)

const patience = 20 * time.Second

// recorder notes what a mesh tells.
type recorder struct {
	mu    sync.Mutex
	up    map[string]int
	down  map[string]int
	ended map[string]bool
	jobs  []string
}

func newRecorder() *recorder {
	return &recorder{up: map[string]int{}, down: map[string]int{}, ended: map[string]bool{}}
}

func (r *recorder) PeerUp(id string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.up[id]++
}

func (r *recorder) PeerDown(id string, ended bool, _ error) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.down[id]++
	r.ended[id] = ended
}

func (r *recorder) PeerMessage(_ string, m *pb.FleetMessage) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if d := m.GetDropJob(); d != nil {
		r.jobs = append(r.jobs, d.GetJob())
	}
}

func (r *recorder) ups(id string) int {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.up[id]
}

type process struct {
	mesh *Mesh
	rec  *recorder
	self Member
	stop func()
}

func newProcess(t *testing.T, number uint64, milliCPU int) *process {
	t.Helper()
	g := NewWithT(t)
	identity, err := NewIdentity()
	g.Expect(err).NotTo(HaveOccurred())
	rec := newRecorder()
	m, err := Listen("127.0.0.1:0", identity, rec, zerolog.Nop())
	g.Expect(err).NotTo(HaveOccurred())
	id := string(rune('a' + number - 1))
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan struct{})
	go func() { defer close(done); m.Run(ctx) }()
	p := &process{mesh: m, rec: rec, stop: func() { cancel(); <-done }}
	p.self = Member{
		Member:  topology.Member{ID: id, VM: id, Number: number, MilliCPU: milliCPU},
		Address: m.Address(), Fingerprint: identity.Fingerprint(),
	}
	t.Cleanup(p.stop)
	return p
}

func introduce(ps ...*process) {
	var list []Member
	for _, p := range ps {
		list = append(list, p.self)
	}
	for _, p := range ps {
		p.meet(list, 0)
	}
}

// meet tells a process of others, and has it connect as its node would.
func (p *process) meet(list []Member, widened int) {
	var members []topology.Member
	for _, m := range list {
		members = append(members, m.Member)
	}
	fleet := topology.New(layout.Pooled(1), false, members)
	p.mesh.SetMembers(p.self, list)
	p.mesh.SetLinks(fleet.Links(p.self.Member, widened))
}

func drop(job string) *pb.FleetMessage {
	return &pb.FleetMessage{Body: &pb.FleetMessage_DropJob{DropJob: &pb.DropJob{Job: job}}}
}

// keepAlive sends heartbeats, as the node does; without them a connection
// counts as silent.
func keepAlive(t *testing.T, ps ...*process) {
	stop := make(chan struct{})
	t.Cleanup(func() { close(stop) })
	go func() {
		for {
			select {
			case <-stop:
				return
			case <-time.After(50 * time.Millisecond):
			}
			for _, p := range ps {
				for _, id := range p.mesh.Connected() {
					p.mesh.Send(id, &pb.FleetMessage{})
				}
			}
		}
	}()
}

func TestMessages(t *testing.T) {
	g := NewWithT(t)
	a, b := newProcess(t, 1, 400), newProcess(t, 2, 400)
	keepAlive(t, a, b)
	introduce(a, b)
	g.Eventually(func() bool { return a.mesh.Send("b", drop("j")) }, patience, 10*time.Millisecond).Should(BeTrue())
	g.Eventually(func() []string {
		b.rec.mu.Lock()
		defer b.rec.mu.Unlock()
		return b.rec.jobs
	}, patience).Should(ConsistOf("j"))
	g.Expect(a.mesh.Send("c", drop("k"))).To(BeFalse())
}

// A process that isn't registered in the platform's store dials. Anybody on the
// network could; it must not be heard.
func TestStranger(t *testing.T) {
	g := NewWithT(t)
	a, stranger := newProcess(t, 1, 400), newProcess(t, 2, 400)
	a.meet([]Member{a.self}, 0)
	stranger.meet([]Member{a.self, stranger.self}, 0)
	g.Consistently(func() int { return a.rec.ups("b") }, time.Second, 50*time.Millisecond).Should(BeZero())
}

// A connection falls silent or is dropped while both processes live. They
// connect again.
func TestConnectsAgain(t *testing.T) {
	g := NewWithT(t)
	a, b := newProcess(t, 1, 400), newProcess(t, 2, 400)
	keepAlive(t, a, b)
	introduce(a, b)
	g.Eventually(func() int { return a.rec.ups("b") }, patience, 10*time.Millisecond).Should(Equal(1))
	a.mesh.Disconnect("b")
	g.Eventually(func() int { return a.rec.ups("b") }, patience, 10*time.Millisecond).Should(Equal(2))
}

// A process ends as planned. The others know at once that it isn't just silent.
func TestGoodbye(t *testing.T) {
	g := NewWithT(t)
	a, b := newProcess(t, 1, 400), newProcess(t, 2, 400)
	keepAlive(t, a, b)
	introduce(a, b)
	g.Eventually(func() int { return a.rec.ups("b") }, patience, 10*time.Millisecond).Should(Equal(1))
	b.stop()
	g.Eventually(func() bool {
		a.rec.mu.Lock()
		defer a.rec.mu.Unlock()
		return a.rec.ended["b"]
	}, patience, 10*time.Millisecond).Should(BeTrue())
}

// Small VMs hear the large ones and not each other, until no scheduler is in
// reach.
func TestSmallVMs(t *testing.T) {
	g := NewWithT(t)
	large, small, other := newProcess(t, 1, 800), newProcess(t, 2, 192), newProcess(t, 3, 192)
	keepAlive(t, large, small, other)
	introduce(large, small, other)
	for _, id := range []string{"b", "c"} {
		g.Eventually(func() int { return large.rec.ups(id) }, patience, 10*time.Millisecond).Should(BeNumerically(">", 0))
	}
	g.Expect(small.rec.ups("c")).To(BeZero())
	other.meet([]Member{large.self, small.self, other.self}, 1)
	g.Eventually(func() int { return small.rec.ups("c") }, patience, 10*time.Millisecond).Should(BeNumerically(">", 0))
}

// A small VM that reached no scheduler has looked for the other small ones. Once
// it reaches one again it closes those connections: each costs heartbeats, and
// with some thirty small VMs they took more processor time than all jobs.
func TestSpareConnectionsAreClosed(t *testing.T) {
	g := NewWithT(t)
	large, small, other := newProcess(t, 1, 800), newProcess(t, 2, 192), newProcess(t, 3, 192)
	for _, p := range []*process{large, small, other} {
		p.mesh.mu.Lock()
		p.mesh.spareAfter = 50 * time.Millisecond
		p.mesh.mu.Unlock()
	}
	keepAlive(t, large, small, other)
	introduce(large, small, other)
	other.meet([]Member{large.self, small.self, other.self}, 1)
	g.Eventually(func() int { return small.rec.ups("c") }, patience, 10*time.Millisecond).Should(BeNumerically(">", 0))
	other.meet([]Member{large.self, small.self, other.self}, 0)
	g.Eventually(func() []string { return small.mesh.Connected() }, patience, 10*time.Millisecond).Should(ConsistOf("a"))
	g.Consistently(func() int { return small.rec.ups("c") }, 300*time.Millisecond, 10*time.Millisecond).Should(Equal(1))
	g.Expect(other.mesh.Connected()).To(ConsistOf("a"))
}

// No settings tell the VMs' processor. Each process has come to lead by itself, so
// that none thinks it is alone; they must find each other all the same.
func TestUnknownProcessorsConnect(t *testing.T) {
	g := NewWithT(t)
	a, b := newProcess(t, 1, 0), newProcess(t, 2, 0)
	list := []Member{a.self, b.self}
	a.meet(list, 0)
	b.meet(list, 0)
	g.Eventually(func() int { return a.rec.ups("b") }, patience, 10*time.Millisecond).Should(Equal(1))
}
