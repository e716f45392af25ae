package dispatch

import (
	"flag"
	"fmt"
	"maps"
	"runtime"
	"runtime/debug"
	"slices"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"google.golang.org/protobuf/proto"
	"pgregory.net/rapid"

	"sapphirepoint.example/sapphirepoint/core/task"
	pb "sapphirepoint.example/sapphirepoint/gen/sapphirepointv1"
)

// The long run: go test ./core/dispatch -run TestRandomLong -random.for=10m
// -random.steps=20000 -timeout 0. To repeat one run, pass its printed seed with
// -random.seed and set -random.for=0; -random.trace prints its events.
var (
	longFor   = flag.Duration("random.for", 0, "how long TestRandomLong runs")
	longSteps = flag.Int("random.steps", 2000, "steps of each run of TestRandomLong")
	longTrace = flag.String("random.trace", "", "prints the events and commands that contain this text")
	longSeed  = flag.Int("random.seed", 0, "first seed of TestRandomLong")
)

func init() {
	for name, value := range map[string]string{"rapid.seed": "1", "rapid.nofailfile": "true", "rapid.checks": "60", "rapid.shrinktime": "10s"} {
		if err := flag.Set(name, value); err != nil {
			panic(err)
		}
	}
}

// scenario drives a world through random actions and faults.
type scenario struct {
	*world
	t             *rapid.T
	pausedEntries []*fakeEntry
	steps         int
	version       uint64
}

func newScenario(t *rapid.T, recording bool, fail func(string, ...any)) *scenario {
	entries := rapid.IntRange(3, 5).Draw(t, "entries")
	w := newWorld(rapid.Uint64().Draw(t, "seed"), entries, recording, fail)
	return &scenario{world: w, t: t, version: 1}
}

func (p *scenario) index(n int, label string) int { return rapid.IntRange(0, n-1).Draw(p.t, label) }

func (p *scenario) entry() *fakeEntry { return p.entries[p.index(len(p.entries), "entry")] }

func (p *scenario) job() *fakeJob {
	jobs := p.oracle.jobs
	reach := rapid.SampledFrom([]int{6, 6, 6, 80}).Draw(p.t, "reach")
	for _, back := range []int{p.index(reach, "back"), 0} {
		if n := len(jobs) - 1 - back; n >= 0 && p.now-jobs[n].first < (windowS-10)*time.Second {
			return jobs[n]
		}
	}
	return nil
}

// action is a step of a scenario; run reports false if it was not applicable.
type action struct {
	name   string
	weight int
	run    func(p *scenario) bool
}

var actions = []action{
	{"submit-issued", 6, (*scenario).submitIssued},
	{"submit-own-key", 6, (*scenario).submitOwnKey},
	{"resubmit", 8, func(p *scenario) bool { return p.resubmit(p.entry()) }},
	{"resubmit-everywhere", 2, func(p *scenario) bool {
		ok := false
		for _, e := range p.entries {
			ok = p.resubmit(e) || ok
		}
		return ok
	}},
	{"resubmit-other-payload", 2, (*scenario).submitConflict},
	{"cancel", 3, (*scenario).cancel},
	{"caller-gone", 2, (*scenario).callerGone},
	{"crash", 1, (*scenario).crashOne},
	{"pause", 2, (*scenario).pauseOne},
	{"resume", 4, (*scenario).resumeOne},
	{"replace-paused", 1, (*scenario).replacePaused},
	{"drain", 1, (*scenario).drainOne},
	{"cut", 2, (*scenario).cut},
	{"heal", 4, (*scenario).heal},
	{"reconnect", 2, func(p *scenario) bool {
		p.disconnect(p.index(len(p.entries), "a"), p.index(len(p.entries), "b"), p.jitter(100*ms))
		return true
	}},
	{"store-mode", 3, (*scenario).storeMode},
	{"runner-mode", 4, (*scenario).runnerMode},
	{"runner-restart", 1, func(p *scenario) bool { p.runners[p.index(4, "runner")].restart(); return true }},
	{"stale-peer-message", 3, (*scenario).stalePeerMessage},
	{"stale-result", 3, (*scenario).staleResult},
	{"settings", 1, (*scenario).changeSettings},
	{"members", 2, (*scenario).changeMembers},
	{"wait", 6, func(p *scenario) bool { p.advance(p.jitter(2 * time.Second)); return true }},
}

func weightedNames() []string {
	var list []string
	for _, a := range actions {
		for range a.weight {
			list = append(list, a.name)
		}
	}
	return list
}

var weighted = weightedNames()

func (p *scenario) step() {
	name := rapid.SampledFrom(weighted).Draw(p.t, "action")
	i := slices.IndexFunc(actions, func(a action) bool { return a.name == name })
	if actions[i].run(p) {
		p.faults[name]++
	}
	p.steps++
	p.advance(time.Duration(p.index(60, "pass")) * ms)
	p.oracle.checkOverdue()
}

func (p *scenario) submitIssued() bool {
	e := p.entry()
	if !e.alive || e.paused {
		return false
	}
	wire := p.issue(e)
	if wire == nil {
		return false
	}
	j := p.oracle.newJob(wire, "labels", 1+p.index(5, "tasks"))
	if p.chance(60) {
		p.oracle.submit(e, j, j.request)
		return true
	}
	return p.resubmit(p.entry())
}

func (p *scenario) submitOwnKey() bool {
	wire := &pb.SubmissionId{Kind: &pb.SubmissionId_OwnKey{OwnKey: fmt.Sprintf("key-%d", len(p.oracle.jobs))}}
	service := rapid.SampledFrom([]string{"labels", "settle"}).Draw(p.t, "service")
	p.oracle.newJob(wire, service, 1+p.index(5, "tasks"))
	return p.resubmit(p.entry())
}

func (p *scenario) resubmit(e *fakeEntry) bool {
	j := p.job()
	if j == nil || !e.alive {
		return false
	}
	s := proto.CloneOf(j.request)
	s.TimeoutMs = uint32(p.index(4, "timeout")) * 1500
	p.oracle.submit(e, j, s)
	return true
}

func (p *scenario) submitConflict() bool {
	e, j := p.entry(), p.job()
	if j == nil || !e.alive {
		return false
	}
	s := proto.CloneOf(j.request)
	s.Tasks[0].Payload = []byte("revision")
	p.oracle.submit(e, j, s)
	return true
}

func (p *scenario) cancel() bool {
	e, j := p.entry(), p.job()
	if j == nil || !e.alive {
		return false
	}
	p.oracle.cancel(e, j)
	return true
}

func (p *scenario) callerGone() bool {
	open := slices.Sorted(maps.Keys(p.oracle.open))
	if len(open) == 0 {
		return false
	}
	p.oracle.callerGone(p.oracle.open[open[p.index(len(open), "request")]])
	return true
}

func (p *scenario) crashOne() bool {
	e := p.entry()
	if !e.alive {
		return false
	}
	p.replace(e)
	return true
}

func (p *scenario) pauseOne() bool {
	e := p.entry()
	if !e.alive || e.paused || e.drained {
		return false
	}
	p.pause(e)
	p.pausedEntries = append(p.pausedEntries, e)
	return true
}

func (p *scenario) resumeOne() bool {
	for i, e := range p.pausedEntries {
		if e.alive && e.paused {
			p.pausedEntries = slices.Delete(p.pausedEntries, i, i+1)
			p.resume(e)
			return true
		}
	}
	return false
}

// replacePaused starts a new run under the name of a paused one.
func (p *scenario) replacePaused() bool {
	for _, e := range p.pausedEntries {
		if e.alive && e.paused && p.entries[e.index] == e && p.now-e.pausedAt > 2*idleTimeout {
			p.replacedPaused = true
			p.boot(e.index)
			return true
		}
	}
	return false
}

func (p *scenario) drainOne() bool {
	e := p.entry()
	if !e.alive {
		return false
	}
	e.post(0, Drain{})
	return true
}

func (p *scenario) cut() bool {
	a := p.index(len(p.entries), "a")
	b := (a + 1 + p.index(len(p.entries)-1, "b")) % len(p.entries)
	l, _ := p.link(a, b)
	l.cut = true
	p.disconnect(a, b, idleTimeout)
	return true
}

func (p *scenario) heal() bool {
	for _, l := range p.links {
		l.cut = false
	}
	return true
}

func (p *scenario) storeMode() bool {
	p.store.mode = rapid.SampledFrom([]string{"", "", "down", "slow"}).Draw(p.t, "mode")
	p.store.losesReplies = rapid.Bool().Draw(p.t, "loses")
	return true
}

func (p *scenario) runnerMode() bool {
	r := p.runners[p.index(4, "runner")]
	r.mode = rapid.SampledFrom([]string{"", "", "lossy", "lossy", "refuse", "hang", "fail"}).Draw(p.t, "mode")
	r.up = p.index(5, "up") > 0
	return true
}

func (p *scenario) stalePeerMessage() bool {
	e := p.entry()
	if len(e.inbox) == 0 {
		return false
	}
	m := e.inbox[p.index(len(e.inbox), "message")]
	if p.chance(30) {
		m = misaddressed(e, m)
	}
	e.post(p.jitter(100*ms), m)
	return true
}

// misaddressed changes the request number of an answer to that of another waiting
// request.
func misaddressed(e *fakeEntry, m PeerMessage) PeerMessage {
	open := slices.Sorted(maps.Keys(e.core.forwarding.forwards))
	if m.Message.GetForwardAnswer() == nil || len(open) == 0 {
		return m
	}
	other := proto.CloneOf(m.Message)
	other.GetForwardAnswer().Request = open[len(open)-1]
	return PeerMessage{m.Peer, other}
}

func (p *scenario) staleResult() bool {
	e := p.entry()
	if len(e.claims) > 0 {
		e.post(p.jitter(100*ms), e.claims[p.index(len(e.claims), "claim")])
	}
	if len(e.results) > 0 {
		e.post(p.jitter(100*ms), e.results[p.index(len(e.results), "result")])
	}
	return len(e.claims)+len(e.results) > 0
}

// changeSettings redeclares the services at one entry, or drops one of them.
func (p *scenario) changeSettings() bool {
	p.version++
	s := declared()
	s.Version = p.version
	if rapid.Bool().Draw(p.t, "drop") {
		s.Institutions[0].Services = s.Institutions[0].Services[:1]
	}
	e := p.entry()
	e.post(0, SettingsRead{s})
	return true
}

// changeMembers gives one entry a list in which some VMs are leaving or missing.
func (p *scenario) changeMembers() bool {
	m := p.members()
	m.Version = p.version
	p.version++
	for i := range m.Upstreams {
		m.Upstreams[i].Leaving = p.chance(20)
	}
	m.Nodes = slices.DeleteFunc(m.Nodes, func(task.Node) bool { return p.chance(10) })
	p.entry().post(0, MembersChanged{m})
	return true
}

// finish ends all faults and checks that no state is leaked.
func (p *scenario) finish() {
	p.heal()
	p.store.mode, p.store.losesReplies = "", false
	for _, r := range p.runners {
		r.mode, r.up = "", true
	}
	for p.resumeOne() {
	}
	p.advance(time.Duration(responseMs)*ms + time.Second)
	p.oracle.checkOverdue()
	p.advance((windowS + 60) * time.Second)
	for _, e := range p.entries {
		if e.alive {
			p.checkEmpty(e)
		}
	}
}

func (p *scenario) checkEmpty(e *fakeEntry) {
	for what, n := range e.core.stateSizes() {
		if n > 0 {
			p.oracle.fail("%s still has %d %s", e.self(), n, what)
		}
	}
}

func TestRandom(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		p := newScenario(rt, false, rt.Fatalf)
		for range 200 {
			p.step()
		}
		p.finish()
	})
}

// Operators replay recorded runs to explain late jobs. A replay gives the same commands only if
// the core neither reads a clock nor depends on map order.
func TestSameEventsGiveSameCommands(t *testing.T) {
	p, broken := runSeed(7, 400, true)
	if broken != nil {
		t.Fatal(broken)
	}
	for _, e := range p.entries {
		again := New(e.core.cfg)
		for i, l := range e.log {
			switch {
			case l.issued > 0:
				again.IssueIDs(l.at, l.issued)
			case l.event == nil:
				again.Tick(l.at)
			default:
				again.Step(l.at, l.event)
			}
			if got, want := describe(again.TakeCommands()), describe(l.commands); got != want {
				t.Fatalf("%s: input %d of %d gives\n%s\ninstead of\n%s", e.self(), i, len(e.log), got, want)
			}
		}
	}
}

func describe(commands []Command) string {
	var b strings.Builder
	for _, cmd := range commands {
		fmt.Fprintf(&b, "%T %v\n", cmd, cmd)
	}
	return b.String()
}

// TestRandomLong runs random scenarios on all CPUs for a given time.
func TestRandomLong(t *testing.T) {
	if *longFor == 0 && *longSeed == 0 {
		t.Skip("the long run is asked for by -random.for or -random.seed")
	}
	var next atomic.Int64
	next.Store(int64(*longSeed))
	var mu sync.Mutex
	var runs, steps int
	faults := make(map[string]int)
	end := time.Now().Add(*longFor)
	var wg sync.WaitGroup
	for range runtime.GOMAXPROCS(0) {
		wg.Go(func() {
			for !t.Failed() {
				seed := int(next.Add(1) - 1)
				p, broken := runSeed(seed, *longSteps, false)
				mu.Lock()
				runs++
				steps += p.steps
				for name, n := range p.faults {
					faults[name] += n
				}
				for name, n := range p.oracle.outcomes {
					faults["answer "+name] += n
				}
				mu.Unlock()
				if broken != nil {
					t.Errorf("seed %d: %v", seed, broken)
				}
				if !time.Now().Before(end) {
					return
				}
			}
		})
	}
	wg.Wait()
	t.Logf("first seed %d, runs %d, steps %d", *longSeed, runs, steps)
	for _, name := range slices.Sorted(maps.Keys(faults)) {
		t.Logf("%8d %s", faults[name], name)
	}
}

// runSeed runs one scenario; broken is the violated guarantee or invariant, if any.
func runSeed(seed, steps int, recording bool) (p *scenario, broken any) {
	rapid.Custom(func(rt *rapid.T) (done bool) {
		defer func() {
			broken = recover()
			if err, ok := broken.(runtime.Error); ok {
				broken = fmt.Sprintf("%v\n%s", err, debug.Stack())
			}
		}()
		p = newScenario(rt, recording, func(format string, args ...any) { panic(fmt.Sprintf(format, args...)) })
		for range steps {
			p.step()
		}
		p.finish()
		return true
	}).Example(seed)
	return p, broken
}
