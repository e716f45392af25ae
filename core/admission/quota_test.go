package admission_test

import (
	"flag"
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/onsi/gomega"
	"pgregory.net/rapid"

	"sapphirepoint.example/sapphirepoint/core/admission"
	"sapphirepoint.example/sapphirepoint/core/task"
	pb "sapphirepoint.example/sapphirepoint/gen/sapphirepointv1"
)

func init() {
	_ = flag.Set("rapid.seed", "20261202")
	_ = flag.Set("rapid.nofailfile", "true")
	_ = flag.Set("rapid.checks", "40")
}

const (
	institution = "hollowell"
	team        = "kitchens"
	nodeCount   = 4
	ceiling     = 10
	quota       = 3
	longestTask = 2 * time.Second
	step        = 100 * time.Millisecond
)

var keys = map[admission.Key]int{
	{Institution: institution}:             ceiling,
	{Institution: institution, Team: team}: quota,
}

func settings() *pb.Settings {
	return &pb.Settings{Version: 1, EntryVms: nodeCount, Institutions: []*pb.Institution{{
		Name:           institution,
		CeilingSlots:   ceiling,
		ResponseTimeMs: uint32(longestTask.Milliseconds()),
		Teams:          []*pb.Team{{Name: team, QuotaSlots: quota}},
	}}}
}

// process is one simulated entry process.
type process struct {
	self task.Incarnation
	q    *admission.Quotas
	// started is the simulation's time at the start; the process itself never reads that clock.
	started             task.Time
	demand              int
	platformUnreachable bool
	seenList            int
	lastReceived        map[task.Incarnation]uint64
}

type publishedList struct {
	at    task.Time
	nodes []task.Node
}

// world simulates entry processes with delayed member lists, broken connections and late messages.
type world struct {
	rng          *rand.Rand
	now          task.Time
	runs         uint64
	seq          uint64
	nodes        [nodeCount]*process
	lists        []publishedList
	disconnected [nodeCount][nodeCount]bool
	scheduled    map[task.Time][]func()
	maxDelay     time.Duration
}

func newWorld(seed uint64, maxDelay time.Duration) *world {
	w := &world{rng: rand.New(rand.NewPCG(seed, 1)), scheduled: make(map[task.Time][]func()), maxDelay: maxDelay}
	w.publish(nil)
	for i := range w.nodes {
		w.start(i)
	}
	return w
}

func nodeName(i int) string { return fmt.Sprintf("n%d", i) }

func (w *world) publish(without []int) {
	omitted := make(map[int]bool)
	for _, i := range without {
		omitted[i] = true
	}
	l := publishedList{at: w.now}
	for i := range nodeCount {
		if !omitted[i] {
			l.nodes = append(l.nodes, task.Node{Name: nodeName(i)})
		}
	}
	w.lists = append(w.lists, l)
}

func (w *world) schedule(d time.Duration, f func()) {
	at := (w.now + max(d, step)).Truncate(step)
	w.scheduled[at] = append(w.scheduled[at], f)
}

func (w *world) start(i int) {
	w.runs++
	p := &process{self: task.Incarnation{Node: nodeName(i), Run: w.runs}, started: w.now, seenList: -1, lastReceived: make(map[task.Incarnation]uint64)}
	p.q = admission.NewQuotas(p.self)
	p.q.ApplySettings(settings())
	w.nodes[i] = p
	for j, other := range w.nodes {
		if other != nil && j != i && !w.disconnected[i][j] {
			w.connect(i, j)
		}
	}
}

func (w *world) connect(i, j int) {
	a, b := w.nodes[i], w.nodes[j]
	a.q.PeerUp(b.self)
	b.q.PeerUp(a.self)
}

func (w *world) setDisconnected(i, j int, disconnected bool) {
	if w.disconnected[i][j] == disconnected {
		return
	}
	w.disconnected[i][j], w.disconnected[j][i] = disconnected, disconnected
	a, b := w.nodes[i], w.nodes[j]
	if disconnected {
		a.q.PeerDown(b.self)
		b.q.PeerDown(a.self)
		return
	}
	w.connect(i, j)
}

func (w *world) clock(p *process) task.Time { return w.now - p.started }

// step advances the simulation and runs every process once.
func (w *world) step() {
	w.now += step
	for _, f := range w.scheduled[w.now] {
		f()
	}
	delete(w.scheduled, w.now)
	for i, p := range w.nodes {
		w.readList(p)
		for range p.demand {
			w.tryStart(p)
		}
		if w.now%admission.StatusInterval == 0 {
			p.q.Tick(w.clock(p))
		}
		for j, other := range w.nodes {
			if i != j && !w.disconnected[i][j] {
				w.sendStatus(p, other)
			}
		}
	}
}

func (w *world) readList(p *process) {
	if p.platformUnreachable {
		return
	}
	newest := len(w.lists) - 1
	for newest > max(p.seenList, 0) && w.now-w.lists[newest].at < admission.MaxListAge && w.rng.IntN(20) > 0 {
		newest--
	}
	if newest <= p.seenList {
		p.q.MembersUnchanged(w.clock(p))
		return
	}
	p.seenList = newest
	p.q.SetMembers(w.clock(p), task.Members{Version: uint64(newest + 1), Nodes: w.lists[newest].nodes})
}

func (w *world) tryStart(p *process) {
	name := []string{"", team}[w.rng.IntN(2)]
	if !p.q.Allow(w.clock(p), institution, name) {
		return
	}
	p.q.Started(institution, name)
	w.schedule(time.Duration(w.rng.Int64N(int64(longestTask-step))), func() { p.q.Ended(institution, name) })
}

func (w *world) sendStatus(from, to *process) {
	st := from.q.Status(w.clock(from), to.self)
	if st == nil {
		return
	}
	w.seq++
	seq := w.seq
	w.schedule(time.Duration(w.rng.Int64N(int64(w.maxDelay)+1)), func() {
		if to.lastReceived[from.self] < seq {
			to.lastReceived[from.self] = seq
			to.q.Receive(w.clock(to), from.self, st)
		}
	})
}

func (w *world) held(k admission.Key) int {
	n := 0
	for _, p := range w.nodes {
		n += p.q.Held(k)
	}
	return n
}

// injectFault applies one random change: of demand, a connection, the list, or a process.
func (w *world) injectFault() {
	i, j := w.rng.IntN(nodeCount), w.rng.IntN(nodeCount)
	p := w.nodes[i]
	switch w.rng.IntN(6) {
	case 0:
		p.demand = w.rng.IntN(4)
	case 1:
		if i != j {
			w.setDisconnected(i, j, !w.disconnected[i][j])
		}
	case 2:
		p.platformUnreachable = !p.platformUnreachable
	case 3:
		w.publish([]int{i})
	case 4:
		w.publish(nil)
	case 5:
		w.start(i)
	}
}

// Entry processes are disconnected from each other and from the platform, removed from the list
// while they are alive, killed and restarted, and messages arrive up to 20 s late. At no time may
// the processes together hold more slots than a team's quota or the institution's ceiling.
func TestCeilingHoldsOverAllProcesses(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		w := newWorld(rapid.Uint64().Draw(rt, "seed"), time.Duration(rapid.IntRange(0, 20_000).Draw(rt, "late"))*time.Millisecond)
		rarity := rapid.IntRange(2, 200).Draw(rt, "rarity")
		for _, p := range w.nodes {
			p.demand = 3
		}
		for range 3000 {
			if w.rng.IntN(rarity) == 0 {
				w.injectFault()
			}
			w.step()
			for k, limit := range keys {
				if n := w.held(k); n > limit {
					rt.Fatalf("%+v: %d of %d slots are held at %v", k, n, limit, w.now)
				}
			}
		}
	})
}

// All callers of a team reach the same entry VM. With a fixed share it could use only a quarter of
// the ceiling while the other units were idle.
func TestIdleSharesAreLent(t *testing.T) {
	g := gomega.NewWithT(t)
	w := newWorld(1, 0)
	w.nodes[0].demand = 20
	most := 0
	for range 100 {
		w.step()
		most = max(most, w.held(admission.Key{Institution: institution}))
	}
	g.Expect(most).To(gomega.BeNumerically(">=", ceiling-2))
}

// A failure domain is disconnected from the platform and all peers for longer than any loan lasts.
// It must go on using its floor of the ceiling.
func TestDisconnectedProcessKeepsItsFloor(t *testing.T) {
	g := gomega.NewWithT(t)
	w := newWorld(2, 0)
	for range 50 {
		w.step()
	}
	w.nodes[3].platformUnreachable = true
	for i := range 3 {
		w.setDisconnected(i, 3, true)
	}
	w.nodes[3].demand = 40
	least := ceiling
	for i := range 600 {
		w.step()
		if i > 100 {
			least = min(least, w.nodes[3].q.Held(admission.Key{Institution: institution}))
		}
	}
	g.Expect(least).To(gomega.BeNumerically(">=", ceiling/nodeCount-1))
}

// All entry VMs start at once. No process can hold units of a former run, so a new one must use its
// floor as soon as all processes have reported, without waiting for the longest loan.
func TestNewProcessesServeOnceAllHaveReported(t *testing.T) {
	g := gomega.NewWithT(t)
	w := newWorld(3, 0)
	w.nodes[1].demand = 5
	for range 10 {
		w.step()
	}
	g.Expect(w.nodes[1].q.Held(admission.Key{Institution: institution})).To(gomega.BeNumerically(">=", ceiling/nodeCount))
}

func BenchmarkAllow(b *testing.B) {
	w := newWorld(4, 0)
	for range 20 {
		w.step()
	}
	q := w.nodes[0].q
	b.ReportAllocs()
	for b.Loop() {
		q.Allow(time.Minute, institution, team)
		q.Started(institution, team)
		q.Ended(institution, team)
	}
}
