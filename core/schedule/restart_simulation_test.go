package schedule

import (
	"cmp"
	"container/heap"
	"flag"
	"fmt"
	"maps"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"sapphirepoint.example/sapphirepoint/core/workload"
)

// A simulation of runners that restart under their ids while orders and answers are late or lost. Only their lists name the
// incarnation. An order that is under way is carried out by the incarnation that it finds.

const (
	simulatedRunners = 4
	// faultsFrom and faultsUntil bound the time of restarts and of new jobs.
	faultsFrom, faultsUntil = 5 * time.Second, 15 * time.Second
	simulationEnd           = 32 * time.Second
	// maxOrderDelay is the longest way of an order or an answer that is late.
	maxOrderDelay = 150 * time.Millisecond
	// maxEntryDelay is how late a restart shows in a runner's entry.
	maxEntryDelay = 600 * time.Millisecond
)

var (
	firstRestartSeed = flag.Uint64("restarts.first", 440, "first seed of the simulation of restarts")
	restartSeeds     = flag.Uint64("restarts.seeds", 50, "number of seeds of the simulation of restarts")
)

// Guards against two runs of a task at once, and against jobs that never end, where runners restart while orders and answers are
// late or lost.
func TestRandomRestartsWithLateOrders(t *testing.T) {
	for seed := *firstRestartSeed; seed < *firstRestartSeed+*restartSeeds; seed++ {
		t.Run(fmt.Sprint(seed), func(t *testing.T) {
			m := newRestartSimulation(t, seed)
			m.run()
			m.g.Expect(m.violations).To(BeEmpty())
		})
	}
}

type restartSimulation struct {
	*harness
	random *rand.Rand
	events eventQueue
	// pushed is how many events there were so far.
	pushed uint64
	// lateShare and lostShare are the shares of orders and answers that are late, and of answers that are lost.
	lateShare, lostShare float64
	runners              map[workload.RunnerID]*restartingRunner
	infos                []workload.Runner
	// open are the jobs without an outcome, with the times at which they were sent.
	open       map[workload.JobID]Time
	violations []string
}

type restartingRunner struct {
	workload.RunnerID
	// start is that of the incarnation, and downUntil is from when on it answers.
	start            int64
	since, downUntil Time
	// rate is the pace of its clock.
	rate     float64
	token    uint64
	deadline int64
	running  map[workload.RunKey]bool
	// highest are the highest runs of tasks that have ended or were stopped.
	highest  map[workload.TaskName]int
	ends     []workload.End
	sequence uint64
}

func newRestartSimulation(t *testing.T, seed uint64) *restartSimulation {
	m := &restartSimulation{
		harness: newHarness(t), random: rand.New(rand.NewPCG(seed, 7)),
		runners: make(map[workload.RunnerID]*restartingRunner), open: make(map[workload.JobID]Time),
	}
	m.lateShare, m.lostShare = []float64{0, .1, .3}[seed%3], []float64{0, .05, .2}[seed/3%3]
	for i := range simulatedRunners {
		info := testRunner(fmt.Sprintf("r%d", i))
		info.IncarnationStart = firstIncarnation
		m.infos = append(m.infos, info)
		r := &restartingRunner{RunnerID: info.ID, rate: 1 - .02*m.random.Float64()}
		r.begin(-m.upTo(time.Second), firstIncarnation)
		m.runners[info.ID] = r
	}
	m.s.SetRunners(m.now, slices.Clone(m.infos))
	m.s.Lead(m.now)
	m.ownRows(1)
	return m
}

func (m *restartSimulation) run() {
	m.at(m.now, m.tickScheduler)
	m.at(faultsFrom, m.sendJob)
	m.at(faultsFrom, m.restartOne)
	for len(m.events) > 0 && m.now < simulationEnd {
		e := heap.Pop(&m.events).(queuedEvent)
		m.now = e.at
		e.f()
		m.carryOut()
	}
	for id, at := range m.open {
		if m.s.jobs[id] != nil {
			m.violations = append(m.violations, fmt.Sprintf("job %s of %v hasn't ended", id, at))
		}
	}
}

func (m *restartSimulation) tickScheduler() {
	m.s.EntryAlive(m.now, entryA)
	m.s.RowOwnershipVerified(m.now, m.now)
	m.s.Tick(m.now)
	m.at(m.now+20*ms, m.tickScheduler)
}

func (m *restartSimulation) sendJob() {
	if m.now > faultsUntil {
		return
	}
	j := testJob(1+m.random.IntN(3), 100*ms)
	j.Objective = 3 * time.Second
	if m.random.Float64() < .5 {
		j.Stored, j.Objective = true, 30*time.Second
	}
	m.open[j.ID] = m.now
	m.submit(j, 5*time.Second)
	m.at(m.now+m.upTo(400*ms), m.sendJob)
}

func (m *restartSimulation) restartOne() {
	if m.now > faultsUntil {
		return
	}
	i := m.random.IntN(len(m.infos))
	r := m.runners[m.infos[i].ID]
	r.begin(m.now, r.start+1+m.now.Milliseconds())
	r.downUntil = m.now + m.upTo(20*ms)
	start := r.start
	m.at(m.now+m.upTo(maxEntryDelay), func() {
		if r.start == start {
			m.infos[i].IncarnationStart = start
			m.s.SetRunners(m.now, slices.Clone(m.infos))
		}
	})
	m.at(m.now+m.upTo(700*ms), m.restartOne)
}

// carryOut carries out the scheduler's commands.
func (m *restartSimulation) carryOut() {
	for out := m.s.Ready(); len(out) > 0; out = m.s.Ready() {
		for _, c := range out {
			switch c := c.(type) {
			case Start:
				m.order(c.Runner, c.Timeout, func(r *restartingRunner) CallOutcome { return m.startOn(r, c) }, func(o CallOutcome, clock ClockReading) {
					m.s.Started(m.now, StartResult{Runner: c.Runner, Address: c.Address, Token: c.Token, Run: c.Run, Outcome: o, Clock: clock})
				})
			case Stop:
				m.order(c.Runner, c.Timeout, func(r *restartingRunner) CallOutcome { return m.stopOn(r, c) }, func(o CallOutcome, clock ClockReading) {
					m.s.Stopped(m.now, StopResult{Runner: c.Runner, Address: c.Address, Token: c.Token, Run: c.Run, Outcome: o, Clock: clock})
				})
			case Hold:
				m.hold(c)
			case Save:
				m.at(m.now+4*ms, func() { m.saved(c) })
			case Answer:
				if j := m.s.jobs[c.Job]; j == nil || j.stored == nil {
					delete(m.open, c.Job)
				}
			case OutcomeSaved:
				delete(m.open, c.Job)
			}
		}
	}
}

// order delivers an order, and passes on the answer unless that comes after the timeout.
func (m *restartSimulation) order(id workload.RunnerID, timeout time.Duration, do func(*restartingRunner) CallOutcome, report func(CallOutcome, ClockReading)) {
	r, sentAt, settled := m.runners[id], m.now, false
	settle := func(o CallOutcome, clock int64) {
		if !settled {
			settled = true
			report(o, ClockReading{Milliseconds: clock, SentAt: sentAt, ReceivedAt: m.now})
		}
	}
	m.at(sentAt+timeout, func() { settle(Unanswered, 0) })
	m.at(sentAt+m.transit(), func() {
		if m.now < r.downUntil {
			return
		}
		m.lapse(r)
		o, clock := do(r), r.clock(m.now)
		if m.random.Float64() >= m.lostShare {
			m.at(m.now+m.transit(), func() { settle(o, clock) })
		}
	})
}

func (m *restartSimulation) startOn(r *restartingRunner, c Start) CallOutcome {
	switch {
	case !r.admits(c.Token):
		return Fenced
	case c.LeaseEnd < r.clock(m.now):
		return TooLate
	case r.running[c.Run]:
		return Accepted
	case c.Run.Number <= r.highest[c.Run.Task]:
		return Outdated
	}
	m.checkAlone(r, c.Run)
	r.extend(m.now, c.LeaseEnd)
	r.running[c.Run] = true
	m.endAfter(r, c.Run, 40*ms+m.upTo(200*ms), workload.Done)
	return Accepted
}

// checkAlone notes a violation if another run of a task is alive.
func (m *restartSimulation) checkAlone(r *restartingRunner, k workload.RunKey) {
	for _, info := range m.infos {
		o := m.runners[info.ID]
		m.lapse(o)
		for _, other := range o.sortedRunning() {
			if other.Task == k.Task {
				m.violations = append(m.violations, fmt.Sprintf("%v: %s on %s beside %s on %s", m.now, k, r.RunnerID, other, o.RunnerID))
			}
		}
	}
}

func (m *restartSimulation) stopOn(r *restartingRunner, c Stop) CallOutcome {
	if !r.admits(c.Token) {
		return Fenced
	}
	r.highest[c.Run.Task] = max(r.highest[c.Run.Task], c.Run.Number)
	m.endAfter(r, c.Run, m.upTo(50*ms), workload.Stopped)
	return Accepted
}

// endAfter ends a run after some time unless its incarnation has ended by then.
func (m *restartSimulation) endAfter(r *restartingRunner, k workload.RunKey, d time.Duration, kind workload.EndKind) {
	start := r.start
	m.at(m.now+d, func() {
		if r.start == start {
			m.lapse(r)
			r.end(k, kind)
		}
	})
}

// hold delivers a Hold, whose answer waits for an end.
func (m *restartSimulation) hold(c Hold) {
	r, sentAt, settled := m.runners[c.Runner], m.now, false
	settle := func(res HoldResult) {
		if settled {
			return
		}
		settled = true
		res.Runner, res.Address, res.Token, res.ListOnly, res.ReachabilityOnly = c.Runner, c.Address, c.Token, c.ListOnly, c.ReachabilityOnly
		res.Clock.SentAt, res.Clock.ReceivedAt = sentAt, m.now
		m.s.Held(m.now, res)
	}
	m.at(sentAt+c.Timeout, func() { settle(HoldResult{Outcome: Unanswered}) })
	m.at(sentAt+m.transit(), func() {
		if m.now < r.downUntil {
			return
		}
		m.lapse(r)
		if !r.admits(c.Token) {
			clock := r.clock(m.now)
			m.at(m.now+m.transit(), func() { settle(HoldResult{Outcome: Fenced, Clock: ClockReading{Milliseconds: clock}}) })
			return
		}
		r.extend(m.now, c.LeaseEnd)
		r.ends = slices.DeleteFunc(r.ends, func(e workload.End) bool { return e.Sequence <= c.Acknowledged })
		m.answerHoldAt(r, r.start, m.now+c.Wait, settle)
	})
}

// answerHoldAt answers a Hold as soon as there is an end, and at a time at the latest.
func (m *restartSimulation) answerHoldAt(r *restartingRunner, start int64, until Time, settle func(HoldResult)) {
	m.lapse(r)
	switch {
	case r.start != start:
	case len(r.ends) == 0 && m.now < until:
		m.at(m.now+2*ms, func() { m.answerHoldAt(r, start, until, settle) })
	case m.random.Float64() >= m.lostShare:
		res := HoldResult{
			Outcome: Accepted, Running: r.sortedRunning(), Ends: slices.Clone(r.ends),
			Clock: ClockReading{Milliseconds: r.clock(m.now), IncarnationStart: r.start},
		}
		m.at(m.now+m.transit(), func() { settle(res) })
	}
}

// lapse ends a runner's runs if their lease is over.
func (m *restartSimulation) lapse(r *restartingRunner) {
	if r.clock(m.now) > r.deadline {
		for _, k := range r.sortedRunning() {
			r.end(k, workload.LeaseExpired)
		}
	}
}

func (m *restartSimulation) at(t Time, f func()) {
	m.pushed++
	heap.Push(&m.events, queuedEvent{at: max(t, m.now), number: m.pushed, f: f})
}

func (m *restartSimulation) upTo(d time.Duration) time.Duration {
	return time.Duration(m.random.Int64N(int64(d)))
}

// transit is how long an order or an answer is under way.
func (m *restartSimulation) transit() time.Duration {
	if m.random.Float64() < m.lateShare {
		return m.upTo(maxOrderDelay)
	}
	return ms + m.upTo(2*ms)
}

// begin begins an incarnation, which knows nothing of the one before.
func (r *restartingRunner) begin(now Time, start int64) {
	*r = restartingRunner{
		RunnerID: r.RunnerID, rate: r.rate, start: start, since: now,
		running: make(map[workload.RunKey]bool), highest: make(map[workload.TaskName]int),
	}
}

func (r *restartingRunner) clock(now Time) int64 {
	return int64(float64((now-r.since).Milliseconds())*r.rate) + 1
}

func (r *restartingRunner) admits(token uint64) bool {
	r.token = max(r.token, token)
	return token == r.token
}

func (r *restartingRunner) extend(now Time, deadline int64) {
	if deadline > 0 {
		r.deadline = max(r.deadline, min(deadline, r.clock(now)+maxLease.Milliseconds()))
	}
}

func (r *restartingRunner) end(k workload.RunKey, kind workload.EndKind) {
	if !r.running[k] {
		return
	}
	delete(r.running, k)
	r.highest[k.Task] = max(r.highest[k.Task], k.Number)
	r.sequence++
	r.ends = append(r.ends, workload.End{Sequence: r.sequence, Run: k, Kind: kind})
}

func (r *restartingRunner) sortedRunning() []workload.RunKey {
	return slices.SortedFunc(maps.Keys(r.running), compareKeys)
}

// queuedEvent is due at a time; events of the same time are due in the order of their numbers.
type queuedEvent struct {
	at     Time
	number uint64
	f      func()
}

type eventQueue []queuedEvent

func (q eventQueue) Len() int { return len(q) }
func (q eventQueue) Less(i, j int) bool {
	return cmp.Or(cmp.Compare(q[i].at, q[j].at), cmp.Compare(q[i].number, q[j].number)) < 0
}
func (q eventQueue) Swap(i, j int) { q[i], q[j] = q[j], q[i] }
func (q *eventQueue) Push(x any)   { *q = append(*q, x.(queuedEvent)) }
func (q *eventQueue) Pop() any {
	last := (*q)[len(*q)-1]
	*q = (*q)[:len(*q)-1]
	return last
}
