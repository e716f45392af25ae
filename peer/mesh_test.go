package peer

import (
	"context"
	"strings"
	"sync"
	"testing"
	"time"

	. "github.com/onsi/gomega"
	"github.com/rs/zerolog"

	"sapphirepoint.example/sapphirepoint/core/layout"
	"sapphirepoint.example/sapphirepoint/core/topology"
	pb "sapphirepoint.example/sapphirepoint/gen/sapphirepointv1"
)

const testTimeout = 20 * time.Second

// recorder records the calls of a mesh to its handler.
type recorder struct {
	mu sync.Mutex
	// up and down count the calls by the peer's id. stopped is whether the last PeerDown reported a
	// planned stop.
	up          map[string]int
	down        map[string]int
	stopped     map[string]bool
	droppedJobs []string
	// unknown counts the attempts to connect of processes that aren't listed.
	unknown int
}

func newRecorder() *recorder {
	return &recorder{up: map[string]int{}, down: map[string]int{}, stopped: map[string]bool{}}
}

func (r *recorder) PeerUp(id string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.up[id]++
}

func (r *recorder) PeerDown(id string, stopping bool, _ error) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.down[id]++
	r.stopped[id] = stopping
}

func (r *recorder) UnknownPeer() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.unknown++
}

func (r *recorder) PeerMessage(_ string, m *pb.FleetMessage, handled func()) {
	defer handled()
	r.mu.Lock()
	defer r.mu.Unlock()
	if d := m.GetDropJob(); d != nil {
		r.droppedJobs = append(r.droppedJobs, d.GetJob())
	}
}

func (r *recorder) ups(id string) int {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.up[id]
}

// process is a mesh with what it registers and a recorder as its handler. Its id is a letter: a for the
// first process.
type process struct {
	mesh     *Mesh
	recorder *recorder
	self     Member
	stop     func()
}

func newProcess(t *testing.T, number uint64, milliCPU int) *process {
	t.Helper()
	g := NewWithT(t)
	identity, err := NewIdentity()
	g.Expect(err).NotTo(HaveOccurred())
	rec := newRecorder()
	m, err := Listen("127.0.0.1:0", identity, maxMessageBytes*decodeFactor, rec, zerolog.Nop())
	g.Expect(err).NotTo(HaveOccurred())
	id := string(rune('a' + number - 1))
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan struct{})
	go func() { defer close(done); m.Run(ctx) }()
	p := &process{mesh: m, recorder: rec, stop: func() { cancel(); <-done }}
	p.self = Member{
		Member:  topology.Member{ID: id, VM: id, Number: number, MilliCPU: milliCPU},
		Address: m.Address(), Fingerprint: identity.Fingerprint(),
	}
	t.Cleanup(p.stop)
	return p
}

// connectAll registers the processes with each other.
func connectAll(ps ...*process) {
	var list []Member
	for _, p := range ps {
		list = append(list, p.self)
	}
	for _, p := range ps {
		p.setMembers(list, 0)
	}
}

// setMembers sets the members of a process and the links that its node would set after the given
// number of doublings of the seats, the members that may schedule; see package topology.
func (p *process) setMembers(list []Member, seatDoublings int) {
	var members []topology.Member
	for _, m := range list {
		members = append(members, m.Member)
	}
	fleet := topology.New(layout.Pooled(1), false, members)
	p.mesh.SetMembers(p.self, list)
	p.mesh.SetLinks(fleet.Links(p.self.Member, seatDoublings))
}

func dropJob(job string) *pb.FleetMessage {
	return &pb.FleetMessage{Body: &pb.FleetMessage_DropJob{DropJob: &pb.DropJob{Job: job}}}
}

// keepAlive sends heartbeats, as the node does; without them a connection reaches its
// idle timeout.
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
	connectAll(a, b)
	g.Eventually(func() bool { return a.mesh.Send("b", dropJob("j")) }, testTimeout, 10*time.Millisecond).Should(BeTrue())
	g.Eventually(func() []string {
		b.recorder.mu.Lock()
		defer b.recorder.mu.Unlock()
		return b.recorder.droppedJobs
	}, testTimeout).Should(ConsistOf("j"))
	g.Expect(a.mesh.Send("c", dropJob("k"))).To(BeFalse())
}

// Guards against processes that lose each other because of one message that is longer than its receiver accepts.
func TestAMessageThatIsTooLongClosesNoConnection(t *testing.T) {
	g := NewWithT(t)
	a, b := newProcess(t, 1, 400), newProcess(t, 2, 400)
	keepAlive(t, a, b)
	connectAll(a, b)
	g.Eventually(func() bool { return a.mesh.Send("b", dropJob("j")) }, testTimeout, 10*time.Millisecond).Should(BeTrue())
	g.Expect(a.mesh.Send("b", dropJob(strings.Repeat("x", maxMessageBytes)))).To(BeTrue())
	g.Expect(a.mesh.Send("b", dropJob("k"))).To(BeTrue())
	received := func() []string {
		b.recorder.mu.Lock()
		defer b.recorder.mu.Unlock()
		return b.recorder.droppedJobs
	}
	g.Eventually(received, testTimeout).Should(HaveExactElements("j", "k"))
}

// A process that isn't registered in the platform's store dials. Any host on the
// network could do so; it must be rejected.
func TestUnregisteredPeerIsRejected(t *testing.T) {
	g := NewWithT(t)
	a, stranger := newProcess(t, 1, 400), newProcess(t, 2, 400)
	a.setMembers([]Member{a.self}, 0)
	stranger.setMembers([]Member{a.self, stranger.self}, 0)
	g.Consistently(func() int { return a.recorder.ups("b") }, time.Second, 50*time.Millisecond).Should(BeZero())
	// The process may have registered since the members were read, so they must be read again.
	a.recorder.mu.Lock()
	defer a.recorder.mu.Unlock()
	g.Expect(a.recorder.unknown).NotTo(BeZero())
}

// A connection is closed, or times out, while both processes run. They must connect
// again.
func TestReconnects(t *testing.T) {
	g := NewWithT(t)
	a, b := newProcess(t, 1, 400), newProcess(t, 2, 400)
	keepAlive(t, a, b)
	connectAll(a, b)
	g.Eventually(func() int { return a.recorder.ups("b") }, testTimeout, 10*time.Millisecond).Should(Equal(1))
	a.mesh.Disconnect("b")
	g.Eventually(func() int { return a.recorder.ups("b") }, testTimeout, 10*time.Millisecond).Should(Equal(2))
}

// A process stops as planned. Its peers must distinguish the stop from a lost connection.
func TestPlannedStopIsReported(t *testing.T) {
	g := NewWithT(t)
	a, b := newProcess(t, 1, 400), newProcess(t, 2, 400)
	keepAlive(t, a, b)
	connectAll(a, b)
	g.Eventually(func() int { return a.recorder.ups("b") }, testTimeout, 10*time.Millisecond).Should(Equal(1))
	b.stop()
	g.Eventually(func() bool {
		a.recorder.mu.Lock()
		defer a.recorder.mu.Unlock()
		return a.recorder.stopped["b"]
	}, testTimeout, 10*time.Millisecond).Should(BeTrue())
}

// Small VMs connect to large ones and not to each other while a scheduler is
// reachable.
func TestSmallVMsConnectWhenNoSchedulerIsReachable(t *testing.T) {
	g := NewWithT(t)
	large, small, other := newProcess(t, 1, 800), newProcess(t, 2, 192), newProcess(t, 3, 192)
	keepAlive(t, large, small, other)
	connectAll(large, small, other)
	for _, id := range []string{"b", "c"} {
		g.Eventually(func() int { return large.recorder.ups(id) }, testTimeout, 10*time.Millisecond).Should(BeNumerically(">", 0))
	}
	g.Expect(small.recorder.ups("c")).To(BeZero())
	other.setMembers([]Member{large.self, small.self, other.self}, 1)
	g.Eventually(func() int { return small.recorder.ups("c") }, testTimeout, 10*time.Millisecond).Should(BeNumerically(">", 0))
}

// A small VM that reached no scheduler has connected to the other small VMs. When it
// reaches a scheduler again, it must close those connections: each costs heartbeats,
// and with about thirty small VMs they used more CPU time than all jobs.
func TestUnneededConnectionsAreClosed(t *testing.T) {
	g := NewWithT(t)
	large, small, other := newProcess(t, 1, 800), newProcess(t, 2, 192), newProcess(t, 3, 192)
	for _, p := range []*process{large, small, other} {
		p.mesh.mu.Lock()
		p.mesh.unneededTimeout = 50 * time.Millisecond
		p.mesh.mu.Unlock()
	}
	keepAlive(t, large, small, other)
	connectAll(large, small, other)
	other.setMembers([]Member{large.self, small.self, other.self}, 1)
	g.Eventually(func() int { return small.recorder.ups("c") }, testTimeout, 10*time.Millisecond).Should(BeNumerically(">", 0))
	other.setMembers([]Member{large.self, small.self, other.self}, 0)
	g.Eventually(func() []string { return small.mesh.Connected() }, testTimeout, 10*time.Millisecond).Should(ConsistOf("a"))
	g.Consistently(func() int { return small.recorder.ups("c") }, 300*time.Millisecond, 10*time.Millisecond).Should(Equal(1))
	g.Expect(other.mesh.Connected()).To(ConsistOf("a"))
}

// The settings don't declare the VMs' CPU capacity. Each process leads on its own and
// therefore doesn't double the number of seats (the members that may schedule), as one
// without a scheduler would. The processes must connect all the same.
func TestUnknownProcessorsConnect(t *testing.T) {
	g := NewWithT(t)
	a, b := newProcess(t, 1, 0), newProcess(t, 2, 0)
	list := []Member{a.self, b.self}
	a.setMembers(list, 0)
	b.setMembers(list, 0)
	g.Eventually(func() int { return a.recorder.ups("b") }, testTimeout, 10*time.Millisecond).Should(Equal(1))
}
