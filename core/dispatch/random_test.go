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
// -random.steps=20000 -timeout 0. One run is played again by -random.seed with
// the seed that it printed and -random.for=0; -random.trace shows what happens.
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

// play runs a world through commands and faults in any order.
type play struct {
	*world
	t       *rapid.T
	all     []*fakeEntry
	steps   int
	version uint64
}

func newPlay(t *rapid.T, recording bool, fail func(string, ...any)) *play {
	entries := rapid.IntRange(3, 5).Draw(t, "entries")
	w := newWorld(rapid.Uint64().Draw(t, "seed"), entries, recording, fail)
	return &play{world: w, t: t, version: 1}
}

func (p *play) index(n int, label string) int { return rapid.IntRange(0, n-1).Draw(p.t, label) }

func (p *play) entry() *fakeEntry { return p.entries[p.index(len(p.entries), "entry")] }

func (p *play) job() *fakeJob {
	jobs := p.truth.jobs
	reach := rapid.SampledFrom([]int{6, 6, 6, 80}).Draw(p.t, "reach")
	for _, back := range []int{p.index(reach, "back"), 0} {
		if n := len(jobs) - 1 - back; n >= 0 && p.now-jobs[n].first < (windowS-10)*time.Second {
			return jobs[n]
		}
	}
	return nil
}

// action is one step; it reports false if it didn't apply.
type action struct {
	name   string
	weight int
	run    func(p *play) bool
}

var actions = []action{
	{"submit-issued", 6, (*play).submitIssued},
	{"submit-own-key", 6, (*play).submitOwnKey},
	{"resubmit", 8, func(p *play) bool { return p.resubmit(p.entry()) }},
	{"resubmit-everywhere", 2, func(p *play) bool {
		ok := false
		for _, e := range p.entries {
			ok = p.resubmit(e) || ok
		}
		return ok
	}},
	{"resubmit-other-payload", 2, (*play).submitConflict},
	{"cancel", 3, (*play).cancel},
	{"caller-gone", 2, (*play).callerGone},
	{"crash", 1, (*play).crashOne},
	{"pause", 2, (*play).pauseOne},
	{"resume", 4, (*play).resumeOne},
	{"replace-paused", 1, (*play).replacePaused},
	{"drain", 1, (*play).drainOne},
	{"cut", 2, (*play).cut},
	{"heal", 4, (*play).heal},
	{"reconnect", 2, func(p *play) bool {
		p.disconnect(p.index(len(p.entries), "a"), p.index(len(p.entries), "b"), p.jitter(100*ms))
		return true
	}},
	{"store-mode", 3, (*play).storeMode},
	{"runner-mode", 4, (*play).runnerMode},
	{"runner-restart", 1, func(p *play) bool { p.runners[p.index(4, "runner")].restart(); return true }},
	{"stale-peer-message", 3, (*play).stalePeerMessage},
	{"stale-result", 3, (*play).staleResult},
	{"settings", 1, (*play).changeSettings},
	{"members", 2, (*play).changeMembers},
	{"wait", 6, func(p *play) bool { p.advance(p.jitter(2 * time.Second)); return true }},
}

func names() []string {
	var list []string
	for _, a := range actions {
		for range a.weight {
			list = append(list, a.name)
		}
	}
	return list
}

var weighted = names()

func (p *play) step() {
	name := rapid.SampledFrom(weighted).Draw(p.t, "action")
	i := slices.IndexFunc(actions, func(a action) bool { return a.name == name })
	if actions[i].run(p) {
		p.faults[name]++
	}
	p.steps++
	p.advance(time.Duration(p.index(60, "pass")) * ms)
	p.truth.overdue()
}

func (p *play) submitIssued() bool {
	e := p.entry()
	if !e.alive || e.paused {
		return false
	}
	wire := p.issue(e)
	if wire == nil {
		return false
	}
	j := p.truth.newJob(wire, "labels", 1+p.index(5, "tasks"))
	if p.chance(60) {
		p.truth.submit(e, j, j.request)
		return true
	}
	return p.resubmit(p.entry())
}

func (p *play) submitOwnKey() bool {
	wire := &pb.SubmissionId{Kind: &pb.SubmissionId_OwnKey{OwnKey: fmt.Sprintf("key-%d", len(p.truth.jobs))}}
	service := rapid.SampledFrom([]string{"labels", "settle"}).Draw(p.t, "service")
	p.truth.newJob(wire, service, 1+p.index(5, "tasks"))
	return p.resubmit(p.entry())
}

func (p *play) resubmit(e *fakeEntry) bool {
	j := p.job()
	if j == nil || !e.alive {
		return false
	}
	s := proto.CloneOf(j.request)
	s.TimeoutMs = uint32(p.index(4, "timeout")) * 1500
	p.truth.submit(e, j, s)
	return true
}

func (p *play) submitConflict() bool {
	e, j := p.entry(), p.job()
	if j == nil || !e.alive {
		return false
	}
	s := proto.CloneOf(j.request)
	s.Tasks[0].Payload = []byte("revision")
	p.truth.submit(e, j, s)
	return true
}

func (p *play) cancel() bool {
	e, j := p.entry(), p.job()
	if j == nil || !e.alive {
		return false
	}
	p.truth.cancel(e, j)
	return true
}

func (p *play) callerGone() bool {
	open := slices.Sorted(maps.Keys(p.truth.open))
	if len(open) == 0 {
		return false
	}
	p.truth.callerGone(p.truth.open[open[p.index(len(open), "request")]])
	return true
}

func (p *play) crashOne() bool {
	e := p.entry()
	if !e.alive {
		return false
	}
	p.replace(e)
	return true
}

func (p *play) pauseOne() bool {
	e := p.entry()
	if !e.alive || e.paused || e.drained {
		return false
	}
	p.pause(e)
	p.all = append(p.all, e)
	return true
}

func (p *play) resumeOne() bool {
	for i, e := range p.all {
		if e.alive && e.paused {
			p.all = slices.Delete(p.all, i, i+1)
			p.resume(e)
			return true
		}
	}
	return false
}

// replacePaused starts a new run under the name of one that is only paused.
func (p *play) replacePaused() bool {
	for _, e := range p.all {
		if e.alive && e.paused && p.entries[e.index] == e && p.now-e.pausedAt > 2*idleTimeout {
			p.replacedPaused = true
			p.boot(e.index)
			return true
		}
	}
	return false
}

func (p *play) drainOne() bool {
	e := p.entry()
	if !e.alive {
		return false
	}
	e.post(0, Drain{})
	return true
}

func (p *play) cut() bool {
	a := p.index(len(p.entries), "a")
	b := (a + 1 + p.index(len(p.entries)-1, "b")) % len(p.entries)
	l, _ := p.link(a, b)
	l.cut = true
	p.disconnect(a, b, idleTimeout)
	return true
}

func (p *play) heal() bool {
	for _, l := range p.links {
		l.cut = false
	}
	return true
}

func (p *play) storeMode() bool {
	p.store.mode = rapid.SampledFrom([]string{"", "", "down", "slow"}).Draw(p.t, "mode")
	p.store.loses = rapid.Bool().Draw(p.t, "loses")
	return true
}

func (p *play) runnerMode() bool {
	r := p.runners[p.index(4, "runner")]
	r.mode = rapid.SampledFrom([]string{"", "", "lossy", "lossy", "refuse", "hang", "fail"}).Draw(p.t, "mode")
	r.up = p.index(5, "up") > 0
	return true
}

func (p *play) stalePeerMessage() bool {
	e := p.entry()
	if len(e.inbox) == 0 {
		return false
	}
	m := e.inbox[p.index(len(e.inbox), "message")]
	if p.chance(30) {
		m = crossed(e, m)
	}
	e.post(p.jitter(100*ms), m)
	return true
}

// crossed makes an answer name another request that waits.
func crossed(e *fakeEntry, m PeerMessage) PeerMessage {
	open := slices.Sorted(maps.Keys(e.core.forwarding.forwards))
	if m.Message.GetForwardAnswer() == nil || len(open) == 0 {
		return m
	}
	other := proto.CloneOf(m.Message)
	other.GetForwardAnswer().Request = open[len(open)-1]
	return PeerMessage{m.Peer, other}
}

func (p *play) staleResult() bool {
	e := p.entry()
	if len(e.claims) > 0 {
		e.post(p.jitter(100*ms), e.claims[p.index(len(e.claims), "claim")])
	}
	if len(e.results) > 0 {
		e.post(p.jitter(100*ms), e.results[p.index(len(e.results), "result")])
	}
	return len(e.claims)+len(e.results) > 0
}

// changeSettings declares a service anew or drops it at one entry.
func (p *play) changeSettings() bool {
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

// changeMembers gives one entry a list on which VMs leave or are missing.
func (p *play) changeMembers() bool {
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

// finish ends all faults and checks that nothing is left behind.
func (p *play) finish() {
	p.heal()
	p.store.mode, p.store.loses = "", false
	for _, r := range p.runners {
		r.mode, r.up = "", true
	}
	for p.resumeOne() {
	}
	p.advance(time.Duration(responseMs)*ms + time.Second)
	p.truth.overdue()
	p.advance((windowS + 60) * time.Second)
	for _, e := range p.entries {
		if e.alive {
			p.checkEmpty(e)
		}
	}
}

func (p *play) checkEmpty(e *fakeEntry) {
	for what, n := range e.core.sizes() {
		if n > 0 {
			p.truth.fail("%s still keeps %d %s", e.self(), n, what)
		}
	}
}

func TestRandom(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		p := newPlay(rt, false, rt.Fatalf)
		for range 200 {
			p.step()
		}
		p.finish()
	})
}

// An operator plays a recorded run again to see why a label was late. If the
// core read a clock, or a map in its own order, the second run would differ and
// show nothing.
func TestSameEventsGiveSameCommands(t *testing.T) {
	p, broken := playSeed(7, 400, true)
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

// TestRandomLong plays runs on all cores for a given time.
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
				p, broken := playSeed(seed, *longSteps, false)
				mu.Lock()
				runs++
				steps += p.steps
				for name, n := range p.faults {
					faults[name] += n
				}
				for name, n := range p.truth.outcomes {
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

// playSeed plays one run; broken is the promise or invariant that failed.
func playSeed(seed, steps int, recording bool) (p *play, broken any) {
	rapid.Custom(func(rt *rapid.T) (done bool) {
		defer func() {
			broken = recover()
			if err, ok := broken.(runtime.Error); ok {
				broken = fmt.Sprintf("%v\n%s", err, debug.Stack())
			}
		}()
		p = newPlay(rt, recording, func(format string, args ...any) { panic(fmt.Sprintf(format, args...)) })
		for range steps {
			p.step()
		}
		p.finish()
		return true
	}).Example(seed)
	return p, broken
}
