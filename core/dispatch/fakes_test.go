package dispatch

import (
	"container/heap"
	"fmt"
	"math/rand/v2"
	"slices"
	"strings"
	"time"

	"sapphirepoint.example/sapphirepoint/core/task"
	pb "sapphirepoint.example/sapphirepoint/gen/sapphirepointv1"
)

// Times of the fake network and of what a node does round the core.
const (
	idleTimeout  = 2 * time.Second
	storeTimeout = 2 * time.Second
	stopGrace    = 2 * time.Second
	redialAfter  = 300 * time.Millisecond
	ms           = time.Millisecond
	inst         = "hollowell"
	windowS      = 120
	responseMs   = 4000
)

// world is a deployment in virtual time: entries, a table service, runners and
// the network between them.
type world struct {
	now     time.Duration
	seq     uint64
	agenda  timerHeap
	rng     *rand.Rand
	entries []*fakeEntry
	links   map[[2]int]*fakeLink
	store   *fakeStore
	runners []*fakeRunner
	truth   *truth
	faults  map[string]int
	pauses  []fakePause
	// replacedPaused is set once a paused entry was replaced by another run.
	replacedPaused bool
	// recording keeps all inputs of the cores.
	recording bool
}

// newWorld starts entries in two failure domains and four runners.
func newWorld(seed uint64, entries int, recording bool, fail func(string, ...any)) *world {
	w := &world{
		rng:       rand.New(rand.NewPCG(seed, 1)),
		links:     make(map[[2]int]*fakeLink),
		faults:    make(map[string]int),
		entries:   make([]*fakeEntry, entries),
		recording: recording,
	}
	w.store = &fakeStore{w: w, rows: make(map[task.ID]ClaimConflict)}
	w.truth = newTruth(w, fail)
	for i := range 4 {
		r := &fakeRunner{w: w, name: fmt.Sprintf("runner-%d", i), domain: fmt.Sprintf("domain-%d", i%2), up: true}
		r.restart()
		w.runners = append(w.runners, r)
	}
	for i := range w.entries {
		w.boot(i)
	}
	w.advance(time.Second)
	return w
}

func (w *world) after(d time.Duration, f func()) {
	w.seq++
	heap.Push(&w.agenda, &timer{at: w.now + d, seq: w.seq, run: f})
}

// jitter is a latency about d.
func (w *world) jitter(d time.Duration) time.Duration {
	return d/2 + time.Duration(w.rng.Int64N(int64(d)))
}

func (w *world) chance(percent int) bool { return w.rng.IntN(100) < percent }

// advance lets time pass.
func (w *world) advance(d time.Duration) {
	end := w.now + d
	for len(w.agenda) > 0 && w.agenda[0].at <= end {
		t := heap.Pop(&w.agenda).(*timer)
		w.now = max(w.now, t.at)
		t.run()
	}
	w.now = end
}

// fakeEntry is one run of an entry process with the node round its core.
type fakeEntry struct {
	w       *world
	index   int
	name    string
	domain  string
	run     uint64
	born    time.Duration
	core    *Core
	alive   bool
	paused  bool
	drained bool
	// backlog is what arrives, and what should leave, during a pause.
	backlog []func()
	tick    time.Duration
	// inbox and results are kept to be delivered again.
	inbox    []PeerMessage
	results  []StartResult
	claims   []ClaimResult
	resumed  time.Duration
	pausedAt time.Duration
	log      []logged
}

// logged is an input to a core and what came of it; issued numbers a block of
// ids, and with neither event nor block it is a tick.
type logged struct {
	at       time.Duration
	event    Event
	issued   uint32
	commands []Command
}

func (w *world) boot(index int) *fakeEntry {
	e := &fakeEntry{w: w, index: index, name: fmt.Sprintf("entry-%d", index), domain: fmt.Sprintf("domain-%d", index%2), born: w.now, alive: true, resumed: w.now}
	e.run = w.rng.Uint64()
	cfg := DefaultConfig(task.Incarnation{Node: e.name, Run: e.run}, e.domain)
	cfg.IDValidity = 30 * time.Second
	cfg.MaxClaimBatch = 4
	cfg.MaxRetainedAnswerBytes = 6_000
	cfg.MaxHolders = 10
	cfg.MaxQueuedTasks = 60
	e.core = New(cfg)
	w.entries[index] = e
	e.step(SettingsRead{declared()})
	e.step(MembersChanged{w.members()})
	for other := range w.entries {
		if other != index {
			w.connectLater(index, other)
		}
	}
	return e
}

func (e *fakeEntry) self() task.Incarnation { return task.Incarnation{Node: e.name, Run: e.run} }

func (e *fakeEntry) clock() task.Time { return e.w.now - e.born }

// do runs f at this entry after a delay; during a pause it waits.
func (e *fakeEntry) do(d time.Duration, f func()) {
	e.w.after(d, func() { e.enter(f) })
}

func (e *fakeEntry) enter(f func()) {
	switch {
	case !e.alive:
	case e.paused:
		e.backlog = append(e.backlog, f)
	default:
		f()
	}
}

// trace prints what happens at entries, for a run that is played again.
func (w *world) trace(format string, args ...any) {
	if *longTrace == "" {
		return
	}
	if line := fmt.Sprintf(format, args...); strings.Contains(line, *longTrace) {
		fmt.Println(w.now, line)
	}
}

func (e *fakeEntry) note(l logged) {
	if !e.w.recording {
		e.log = e.log[:0]
	}
	e.log = append(e.log, l)
}

// remember keeps the newest of what may be delivered again.
func remember[V any](list []V, v V) []V {
	const most = 100
	if len(list) == most {
		list = slices.Delete(list, 0, 1)
	}
	return append(list, v)
}

func (e *fakeEntry) step(ev Event) {
	e.w.trace("%s <- %T %v", e.self(), ev, ev)
	e.note(logged{at: e.clock(), event: ev})
	e.core.Step(e.clock(), ev)
	e.carryOut()
}

func (e *fakeEntry) post(d time.Duration, ev Event) {
	e.do(d, func() { e.step(ev) })
}

func (e *fakeEntry) carryOut() {
	for _, cmd := range e.core.TakeCommands() {
		last := &e.log[len(e.log)-1]
		last.commands = append(last.commands, cmd)
		e.carry(cmd)
	}
	at, ok := e.core.NextTimer()
	if !ok || (e.tick > e.clock() && e.tick <= at) {
		return
	}
	e.tick = at
	e.do(max(at-e.clock(), 0), func() {
		e.note(logged{at: e.clock()})
		e.core.Tick(e.clock())
		e.carryOut()
	})
}

func (e *fakeEntry) carry(cmd Command) {
	e.w.trace("%s -> %T %v", e.self(), cmd, cmd)
	w := e.w
	switch cmd := cmd.(type) {
	case Reply:
		w.truth.answered(e, cmd)
	case StartTask:
		w.truth.started(e, cmd)
		e.do(w.jitter(ms), func() { w.sendStart(e, cmd) })
	case Settle:
		e.do(w.jitter(ms), func() { w.sendSettle(e, cmd) })
	case StopTask:
		e.do(w.jitter(ms), func() {
			if r := w.runner(cmd.Upstream); r.up {
				r.stop(cmd.Name)
			}
		})
	case ClaimWrite:
		e.do(w.jitter(ms), func() { w.store.write(e, cmd) })
	case Send:
		e.do(w.jitter(ms), func() { w.sendPeer(e, cmd) })
	case Drained:
		e.drained = true
		w.truth.drained(e)
		e.do(w.jitter(time.Second), func() { w.replace(e) })
	}
}

// replace ends a run and starts another under the same name.
func (w *world) replace(e *fakeEntry) {
	if w.entries[e.index] != e {
		e.alive = false
		return
	}
	w.crash(e)
	w.after(w.jitter(500*ms), func() {
		if w.entries[e.index] == e {
			w.boot(e.index)
		}
	})
}

func (w *world) crash(e *fakeEntry) {
	e.alive = false
	w.truth.forget(e)
	for other := range w.entries {
		w.disconnect(e.index, other, w.jitter(100*ms))
	}
}

// fakeLink is the path between two entries; generation grows with each connection.
type fakeLink struct {
	cut        bool
	up         bool
	generation int
	ends       [2]*fakeEntry
	arrival    [2]time.Duration
}

func (w *world) link(a, b int) (*fakeLink, int) {
	if a > b {
		l, _ := w.link(b, a)
		return l, 1
	}
	l := w.links[[2]int{a, b}]
	if l == nil {
		l = &fakeLink{}
		w.links[[2]int{a, b}] = l
	}
	return l, 0
}

func (w *world) connectLater(a, b int) {
	w.after(w.jitter(redialAfter), func() { w.connect(a, b) })
}

func (w *world) connect(a, b int) {
	l, _ := w.link(min(a, b), max(a, b))
	ends := [2]*fakeEntry{w.entries[min(a, b)], w.entries[max(a, b)]}
	if l.up || ends[0] == nil || ends[1] == nil {
		return
	}
	if l.cut || !ends[0].alive || !ends[1].alive || ends[0].paused || ends[1].paused || ends[0].drained || ends[1].drained {
		w.connectLater(a, b)
		return
	}
	l.up = true
	l.generation++
	l.ends = ends
	l.arrival = [2]time.Duration{w.now, w.now}
	ends[0].post(0, PeerUp{ends[1].self(), ends[1].domain})
	ends[1].post(0, PeerUp{ends[0].self(), ends[0].domain})
}

// disconnect ends a connection; each end learns of it after a delay.
func (w *world) disconnect(a, b int, delay time.Duration) {
	if a == b {
		return
	}
	l, _ := w.link(a, b)
	if !l.up {
		return
	}
	l.up = false
	l.ends[0].post(delay, PeerDown{l.ends[1].self()})
	l.ends[1].post(delay, PeerDown{l.ends[0].self()})
	w.after(delay, func() { w.connectLater(a, b) })
}

// sendPeer delivers in order; what is under way when a connection ends is lost
// or, now and then, was already read and waits at the receiver.
func (w *world) sendPeer(e *fakeEntry, cmd Send) {
	for other, to := range w.entries {
		if to == nil || to.self() != cmd.Peer {
			continue
		}
		l, end := w.link(e.index, other)
		if !l.up || l.ends[end] != e {
			return
		}
		generation := l.generation
		l.arrival[end] = max(l.arrival[end], w.now+w.jitter(ms))
		m := PeerMessage{e.self(), cmd.Message}
		w.after(l.arrival[end]-w.now, func() {
			if l.cut || !l.up || l.generation != generation {
				return
			}
			to.inbox = remember(to.inbox, m)
			to.post(0, m)
		})
	}
}

// fakePause is a pause that is over.
type fakePause struct {
	end    time.Duration
	length time.Duration
}

// late is how late a message may be that was sent after a time: what a paused
// entry is about to send or to read waits, until its connections are given up.
func (w *world) late(since time.Duration) time.Duration {
	var late time.Duration
	for _, p := range w.pauses {
		if p.end > since {
			late += min(p.length, idleTimeout)
		}
	}
	return late
}

// pause stops an entry; its peers give the connections up after a while.
func (w *world) pause(e *fakeEntry) {
	w.trace("%s pause", e.self())
	e.paused = true
	e.pausedAt = w.now
	w.after(idleTimeout, func() {
		if !e.paused || !e.alive {
			return
		}
		for other := range w.entries {
			w.disconnect(e.index, other, 0)
		}
	})
}

// resume hands a paused entry all that waited for it, in any order of kind.
func (w *world) resume(e *fakeEntry) {
	w.trace("%s resume", e.self())
	e.paused = false
	e.resumed = w.now
	w.pauses = append(w.pauses, fakePause{w.now, w.now - e.pausedAt})
	backlog := e.backlog
	e.backlog = nil
	if w.chance(30) {
		w.rng.Shuffle(len(backlog), func(i, j int) { backlog[i], backlog[j] = backlog[j], backlog[i] })
	}
	for _, f := range backlog {
		e.enter(f)
	}
}

func (w *world) members() task.Members {
	m := task.Members{Version: 1}
	for i := range w.entries {
		m.Nodes = append(m.Nodes, task.Node{Name: fmt.Sprintf("entry-%d", i), FailureDomain: fmt.Sprintf("domain-%d", i%2)})
	}
	for _, r := range w.runners {
		m.Upstreams = append(m.Upstreams, task.Upstream{Name: r.name, FailureDomain: r.domain, Worker: r.name, Rack: r.name, Institution: inst, Slots: 3})
	}
	return m
}

func declared() *pb.Settings {
	return &pb.Settings{Version: 1, Institutions: []*pb.Institution{{
		Name: inst, TokenSha256: []string{fmt.Sprintf("%064x", 1)}, CapacityPercent: 100, Priority: 1,
		ResponseTimeMs: responseMs, RetryPercent: 20, ResubmitWindowS: windowS,
		Services: []*pb.Service{
			{Name: "labels", Idempotent: true, RunTimeMs: 50, MaxTasks: 50, MaxPayloadBytes: 100},
			{Name: "settle", RunTimeMs: 50, MaxTasks: 50, MaxPayloadBytes: 100},
		},
	}}}
}
