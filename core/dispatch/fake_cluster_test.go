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

// Timing of the simulated network and nodes.
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

// world is a simulated deployment in virtual time: entry processes, a table service,
// runners and the network between them.
type world struct {
	now     time.Duration
	seq     uint64
	events  timerHeap
	rng     *rand.Rand
	entries []*fakeEntry
	links   map[[2]int]*fakeLink
	store   *fakeStore
	runners []*fakeRunner
	oracle  *oracle
	faults  map[string]int
	pauses  []fakePause
	// replacedPaused is set once another run has replaced a paused entry.
	replacedPaused bool
	// recording makes the entries log all inputs of their cores.
	recording bool
}

// newWorld starts entries in two failure domains, and four runners.
func newWorld(seed uint64, entries int, recording bool, fail func(string, ...any)) *world {
	w := &world{
		rng:       rand.New(rand.NewPCG(seed, 1)),
		links:     make(map[[2]int]*fakeLink),
		faults:    make(map[string]int),
		entries:   make([]*fakeEntry, entries),
		recording: recording,
	}
	w.store = &fakeStore{w: w, rows: make(map[task.ID]ClaimConflict)}
	w.oracle = newOracle(w, fail)
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
	heap.Push(&w.events, &timer{at: w.now + d, seq: w.seq, run: f})
}

// jitter returns a random latency between d/2 and 3d/2.
func (w *world) jitter(d time.Duration) time.Duration {
	return d/2 + time.Duration(w.rng.Int64N(int64(d)))
}

func (w *world) chance(percent int) bool { return w.rng.IntN(100) < percent }

// advance runs all events due within d.
func (w *world) advance(d time.Duration) {
	end := w.now + d
	for len(w.events) > 0 && w.events[0].at <= end {
		t := heap.Pop(&w.events).(*timer)
		w.now = max(w.now, t.at)
		t.run()
	}
	w.now = end
}

// fakeEntry is one run of an entry process, including the node around its core.
type fakeEntry struct {
	w         *world
	index     int
	name      string
	domain    string
	run       uint64
	startedAt time.Duration
	core      *Core
	alive     bool
	paused    bool
	drained   bool
	// backlog holds the arriving and outgoing events deferred by a pause.
	backlog  []func()
	nextTick time.Duration
	// inbox, results and claims are retained to be delivered again.
	inbox     []PeerMessage
	results   []StartResult
	claims    []ClaimResult
	resumedAt time.Duration
	pausedAt  time.Duration
	log       []logEntry
}

// logEntry is an input to a core with the resulting commands. issued is the size of a
// block of ids; with neither an event nor issued ids the input is a tick.
type logEntry struct {
	at       time.Duration
	event    Event
	issued   uint32
	commands []Command
}

func (w *world) boot(index int) *fakeEntry {
	e := &fakeEntry{w: w, index: index, name: fmt.Sprintf("entry-%d", index), domain: fmt.Sprintf("domain-%d", index%2), startedAt: w.now, alive: true, resumedAt: w.now}
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

func (e *fakeEntry) clock() task.Time { return e.w.now - e.startedAt }

// schedule runs f at this entry after a delay, or after its pause if it is paused.
func (e *fakeEntry) schedule(d time.Duration, f func()) {
	e.w.after(d, func() { e.runOrDefer(f) })
}

func (e *fakeEntry) runOrDefer(f func()) {
	switch {
	case !e.alive:
	case e.paused:
		e.backlog = append(e.backlog, f)
	default:
		f()
	}
}

// trace prints events and commands that match -random.trace.
func (w *world) trace(format string, args ...any) {
	if *longTrace == "" {
		return
	}
	if line := fmt.Sprintf(format, args...); strings.Contains(line, *longTrace) {
		fmt.Println(w.now, line)
	}
}

func (e *fakeEntry) record(l logEntry) {
	if !e.w.recording {
		e.log = e.log[:0]
	}
	e.log = append(e.log, l)
}

// appendBounded appends to a list, dropping the oldest element when it is full.
func appendBounded[V any](list []V, v V) []V {
	const limit = 100
	if len(list) == limit {
		list = slices.Delete(list, 0, 1)
	}
	return append(list, v)
}

func (e *fakeEntry) step(ev Event) {
	e.w.trace("%s <- %T %v", e.self(), ev, ev)
	e.record(logEntry{at: e.clock(), event: ev})
	e.core.Step(e.clock(), ev)
	e.executeCommands()
}

func (e *fakeEntry) post(d time.Duration, ev Event) {
	e.schedule(d, func() { e.step(ev) })
}

func (e *fakeEntry) executeCommands() {
	for _, cmd := range e.core.TakeCommands() {
		last := &e.log[len(e.log)-1]
		last.commands = append(last.commands, cmd)
		e.execute(cmd)
	}
	at, ok := e.core.NextTimer()
	if !ok || (e.nextTick > e.clock() && e.nextTick <= at) {
		return
	}
	e.nextTick = at
	e.schedule(max(at-e.clock(), 0), func() {
		e.record(logEntry{at: e.clock()})
		e.core.Tick(e.clock())
		e.executeCommands()
	})
}

func (e *fakeEntry) execute(cmd Command) {
	e.w.trace("%s -> %T %v", e.self(), cmd, cmd)
	w := e.w
	switch cmd := cmd.(type) {
	case Reply:
		w.oracle.answered(e, cmd)
	case StartTask:
		w.oracle.started(e, cmd)
		e.schedule(w.jitter(ms), func() { w.sendStart(e, cmd) })
	case Settle:
		e.schedule(w.jitter(ms), func() { w.sendSettle(e, cmd) })
	case StopTask:
		e.schedule(w.jitter(ms), func() {
			if r := w.runner(cmd.Upstream); r.up {
				r.stop(cmd.Name)
			}
		})
	case ClaimWrite:
		e.schedule(w.jitter(ms), func() { w.store.write(e, cmd) })
	case Send:
		e.schedule(w.jitter(ms), func() { w.sendPeer(e, cmd) })
	case Drained:
		e.drained = true
		w.oracle.drained(e)
		e.schedule(w.jitter(time.Second), func() { w.replace(e) })
	}
}

// replace crashes a run and later starts another under the same name.
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
	w.oracle.forget(e)
	for other := range w.entries {
		w.disconnect(e.index, other, w.jitter(100*ms))
	}
}

// fakeLink is the path between two entries; generation counts its connections.
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

// disconnect ends a connection; both ends are notified after a delay.
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

// sendPeer delivers messages in order. Messages in flight when the connection ends are
// lost, except those already waiting at a paused receiver.
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
			to.inbox = appendBounded(to.inbox, m)
			to.post(0, m)
		})
	}
}

// fakePause is a completed pause.
type fakePause struct {
	end    time.Duration
	length time.Duration
}

// maxLateness bounds the delay that pauses can add to a message sent at or after a
// time: it waits at a paused entry until the entry's connections are closed.
func (w *world) maxLateness(since time.Duration) time.Duration {
	var maxLateness time.Duration
	for _, p := range w.pauses {
		if p.end > since {
			maxLateness += min(p.length, idleTimeout)
		}
	}
	return maxLateness
}

// pause stops an entry; its peers close their connections after the idle timeout.
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

// resume runs the events deferred during a pause, sometimes in random order.
func (w *world) resume(e *fakeEntry) {
	w.trace("%s resume", e.self())
	e.paused = false
	e.resumedAt = w.now
	w.pauses = append(w.pauses, fakePause{w.now, w.now - e.pausedAt})
	backlog := e.backlog
	e.backlog = nil
	if w.chance(30) {
		w.rng.Shuffle(len(backlog), func(i, j int) { backlog[i], backlog[j] = backlog[j], backlog[i] })
	}
	for _, f := range backlog {
		e.runOrDefer(f)
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
