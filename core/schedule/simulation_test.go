package schedule

import (
	"cmp"
	"fmt"
	"math"
	"math/rand/v2"
	"slices"
	"time"

	"sapphirepoint.example/sapphirepoint/core/workload"
)

// A simulation plays a load against schedulers in virtual time, without faults: jobs arrive at
// random, runners carry out their orders, and the answers to callers are counted.

// jobKind is a kind of job, with the means of its jobs' requirements. Work, width and need of a job
// are sampled from log-normal distributions about the means.
type jobKind struct {
	name      string
	perSecond float64
	tasks     float64
	work      time.Duration
	milliCPU  float64
	value     float64
	priority  int
}

// Standard deviations of logarithms: of work and width between jobs, of needs, of a caller's
// estimate about the work, and of tasks about their job's work.
const (
	workSpread  = 0.4
	widthSpread = 0.4
	needSpread  = 0.2
	estimateOff = 0.4
	taskSpread  = 0.15
)

const (
	simStep = 2 * time.Millisecond
	// orderTime is the round trip time of an order to a runner.
	orderTime = 2 * time.Millisecond
	// A job's objective is objectiveTimes its work plus objectiveBase; its caller waits for three
	// times that plus patienceBase.
	objectiveTimes = 1.6
	objectiveBase  = 100 * time.Millisecond
	patienceBase   = 1500 * time.Millisecond
)

// unequalWork is a load whose tasks need half a runner, and whose longest kind takes fifteen times
// as long as the shortest.
func unequalWork() []jobKind {
	return []jobKind{
		{name: "short", perSecond: 154, tasks: 8, work: 60 * ms, milliCPU: 32000, value: 4.85},
		{name: "long", perSecond: 48.8, tasks: 4, work: 900 * ms, milliCPU: 32000, value: 26.7},
		{name: "usual", perSecond: 450, tasks: 2, work: 200 * ms, milliCPU: 32000, value: 1.67},
	}
}

// competingWork is a load of three queues of different priorities, of which the one with the
// lowest has the longest tasks.
func competingWork() []jobKind {
	return []jobKind{
		{name: "quote", perSecond: 181, tasks: 8, work: 51 * ms, milliCPU: 32000, value: 4.85, priority: 0},
		{name: "confirm", perSecond: 529, tasks: 2, work: 170 * ms, milliCPU: 32000, value: 1.67, priority: 1},
		{name: "revalue", perSecond: 33, tasks: 4, work: 760 * ms, milliCPU: 32000, value: 26.7, priority: 2},
	}
}

// simRunners describes the runners of a simulation. Runner i has the processors (in thousandths of
// a core) and the speed at index i of the two lists, which repeat.
type simRunners struct {
	shards, runners int
	milliCPU        []int
	speeds          []float64
}

// similarRunners differ little in speed; a third of them is larger and faster.
func similarRunners(shards, runners int) simRunners {
	return simRunners{shards: shards, runners: runners, milliCPU: []int{64000, 64000, 96000}, speeds: []float64{1, 1, 1.3}}
}

// unevenRunners are slower than callers estimate, but for a third, which is much faster.
func unevenRunners(shards, runners int) simRunners {
	return simRunners{shards: shards, runners: runners, milliCPU: []int{64000, 64000, 96000}, speeds: []float64{0.7, 0.7, 1.7}}
}

type simulation struct {
	rng     *rand.Rand
	kinds   []jobKind
	shards  []*Scheduler
	speed   map[workload.RunnerID]float64
	number  map[workload.RunnerID]uint64
	domains []string
	now     Time
	events  []simEvent
	jobs    map[workload.JobID]*simJob
	// load returns the present rate relative to the usual one, by kind.
	load func(at time.Duration, kind string) float64
	// route chooses a job's shard.
	route func(w *workload.Job) int
	// tail multiplies the work of a job, for a share of the jobs; nil for none.
	tail func(work, mean time.Duration) time.Duration
	// slowed multiplies the run time on a runner at present; nil for none.
	slowed func(workload.RunnerID) float64
	// estimates multiplies the estimates of a kind; 1 for those that it lacks.
	estimates map[string]float64
	// handle takes a scheduler's command in place of the simulation if it returns true.
	handle func(sch *Scheduler, c Command) bool
	last   int
}

type simEvent struct {
	at Time
	f  func()
}

type simJob struct {
	kind    int
	value   float64
	work    *workload.Job
	tasks   []time.Duration
	arrived Time
	// objective is the caller's own, computed from the work and not from the estimate.
	objective time.Duration
	answered  bool
	outcome   workload.Outcome
	took      time.Duration
	// longestRun and estimate are the scheduler's account of the run time.
	longestRun, estimate time.Duration
	// ran: a start of one of its tasks was ordered.
	ran bool
	// submission is its first one, to the scheduler of shard.
	submission Submission
	shard      int
}

// tally counts the answers that the callers of a kind got.
type tally struct {
	asked, inTime, late, refusedAtOnce, refused, gaveUp, tooLate int
	// falseRefusals counts refusals of jobs of which a task was started.
	falseRefusals int
	owed, earned  float64
}

func newSimulation(seed uint64, kinds []jobKind, shards, runners int) *simulation {
	return newSimulationOn(similarRunners(shards, runners), seed, kinds)
}

func newSimulationOn(fleet simRunners, seed uint64, kinds []jobKind) *simulation {
	s := &simulation{
		rng: rand.New(rand.NewPCG(seed, 7)), kinds: kinds, domains: []string{"a", "b", "c"}, now: time.Second,
		speed: make(map[workload.RunnerID]float64), number: make(map[workload.RunnerID]uint64), jobs: make(map[workload.JobID]*simJob),
		load: func(time.Duration, string) float64 { return 1 },
	}
	lists := make([][]workload.Runner, fleet.shards)
	for i := range fleet.runners {
		r := workload.Runner{
			ID: workload.RunnerID(fmt.Sprintf("r%03d", i)), Service: service, Domain: s.domains[i*len(s.domains)/fleet.runners],
			Capacity: workload.Resources{MilliCPU: fleet.milliCPU[i%len(fleet.milliCPU)], MemoryMB: 131072},
		}
		s.speed[r.ID] = fleet.speeds[i%len(fleet.speeds)]
		n := s.rng.IntN(fleet.shards)
		lists[n] = append(lists[n], r)
	}
	for _, list := range lists {
		sch := New(DefaultConfig())
		sch.SetProcessNumber(7)
		sch.SetNoStoredJobs(true)
		sch.SetRunners(s.now, list)
		sch.Lead(s.now)
		s.shards = append(s.shards, sch)
	}
	s.route = func(*workload.Job) int { return s.rng.IntN(fleet.shards) }
	return s
}

func (s *simulation) after(d time.Duration, f func()) {
	e := simEvent{at: s.now + d, f: f}
	i, _ := slices.BinarySearchFunc(s.events, e, func(a, b simEvent) int { return cmp.Or(cmp.Compare(b.at, a.at), 1) })
	s.events = slices.Insert(s.events, i, e)
}

// idle lets time pass without jobs, so that the schedulers own their runners and have warmed up.
func (s *simulation) idle(d time.Duration) { s.play(d, false) }

func (s *simulation) play(d time.Duration, arrivals bool) {
	begin := s.now
	due := make([]float64, len(s.kinds))
	nextTick := s.now
	for end := s.now + d; s.now < end; s.now += simStep {
		for len(s.events) > 0 && s.events[len(s.events)-1].at <= s.now {
			e := s.events[len(s.events)-1]
			s.events = s.events[:len(s.events)-1]
			e.f()
		}
		if arrivals {
			for i, k := range s.kinds {
				due[i] += k.perSecond * s.load(s.now-begin, k.name) * simStep.Seconds()
				for due[i] > 0 {
					s.submit(i)
					due[i] -= s.rng.ExpFloat64()
				}
			}
		}
		if s.now >= nextTick {
			nextTick += 20 * ms
			for _, sch := range s.shards {
				sch.EntryAlive(s.now, entryA)
				sch.Tick(s.now)
			}
		}
		for _, sch := range s.shards {
			s.carryOut(sch)
		}
	}
}

func (s *simulation) spread(sigma float64) float64 {
	return math.Exp(s.rng.NormFloat64()*sigma - sigma*sigma/2)
}

func (s *simulation) submit(kind int) {
	k := s.kinds[kind]
	s.last++
	work := min(time.Duration(float64(k.work)*s.spread(workSpread)), 4*k.work)
	if s.tail != nil {
		work = s.tail(work, k.work)
	}
	width := max(1, min(int(math.Round(k.tasks*s.spread(widthSpread))), int(4*k.tasks)))
	need := min(int(k.milliCPU*s.spread(needSpread)), 48000)
	estimate := time.Duration(float64(work) * s.spread(estimateOff))
	if f := s.estimates[k.name]; f > 0 {
		estimate = time.Duration(float64(estimate) * f)
	}
	w := &workload.Job{
		ID: workload.JobID(fmt.Sprintf("%016x", s.last)), Queue: k.name, Service: service, Priority: k.priority, MaxAttempts: 3,
		Objective: time.Duration(objectiveTimes*float64(estimate)) + objectiveBase,
		Steps:     []workload.Step{{Tasks: width, Need: workload.Resources{MilliCPU: need, MemoryMB: 64}, Estimate: estimate}},
	}
	j := &simJob{kind: kind, work: w, arrived: s.now, objective: time.Duration(objectiveTimes*float64(work)) + objectiveBase}
	j.value = k.value * min(4, 0.3+0.7*float64(width)*work.Seconds()*float64(need)/(k.tasks*k.work.Seconds()*k.milliCPU))
	for range width {
		j.tasks = append(j.tasks, time.Duration(float64(work)*s.spread(taskSpread)))
	}
	s.jobs[w.ID] = j
	sub := Submission{Job: w, Entry: entryA, RemainingObjective: w.Objective, RemainingTimeout: patienceBase + worthlessFactor*j.objective, Domain: s.domains[s.rng.IntN(len(s.domains))]}
	j.submission, j.shard = sub, s.route(w)
	s.shards[j.shard].Submit(s.now, sub)
}

func (s *simulation) clock() ClockReading {
	return ClockReading{Milliseconds: clockAtZero + s.now.Milliseconds(), ReceivedAt: s.now, SentAt: s.now}
}

func (s *simulation) carryOut(sch *Scheduler) {
	for orders := sch.Ready(); len(orders) > 0; orders = sch.Ready() {
		for _, c := range orders {
			if s.handle != nil && s.handle(sch, c) {
				continue
			}
			switch c := c.(type) {
			case Start:
				s.start(sch, c)
			case Stop:
				s.after(orderTime, func() {
					sch.Stopped(s.now, StopResult{Runner: c.Runner, Token: c.Token, Run: c.Run, Outcome: Accepted, Clock: s.clock()})
					s.end(sch, c.Runner, c.Run, workload.Stopped)
				})
			case Hold:
				if c.Wait == 0 {
					sch.Held(s.now, HoldResult{Runner: c.Runner, Token: c.Token, ListOnly: c.ListOnly, ReachabilityOnly: c.ReachabilityOnly, Outcome: Accepted, Clock: s.clock(), Running: s.running(sch, c.Runner)})
				}
			case Answer:
				s.answer(c)
			}
		}
	}
}

// running lists the runs on a runner by the scheduler's state.
func (s *simulation) running(sch *Scheduler, id workload.RunnerID) []workload.RunKey {
	var keys []workload.RunKey
	for _, u := range sch.runners[id].sortedRuns() {
		keys = append(keys, u.key)
	}
	return keys
}

func (s *simulation) start(sch *Scheduler, c Start) {
	j := s.jobs[c.Run.Task.Job]
	j.ran = true
	took := time.Duration(float64(j.tasks[c.Run.Task.Index]) / s.speed[c.Runner])
	if s.slowed != nil {
		took = time.Duration(float64(took) * s.slowed(c.Runner))
	}
	s.after(orderTime, func() {
		sch.Started(s.now, StartResult{Runner: c.Runner, Token: c.Token, Run: c.Run, Outcome: Accepted, Clock: s.clock()})
		s.after(took, func() { s.end(sch, c.Runner, c.Run, workload.Done) })
	})
}

// end makes a runner list the end of a run, unless it has ended already.
func (s *simulation) end(sch *Scheduler, id workload.RunnerID, k workload.RunKey, kind workload.EndKind) {
	r := sch.runners[id]
	if r == nil || r.runs[k] == nil {
		return
	}
	s.number[id]++
	sch.Held(s.now, HoldResult{
		Runner: id, Token: r.token, Outcome: Accepted, Clock: s.clock(),
		Ends: []workload.End{{Sequence: s.number[id], Run: k, Kind: kind}},
	})
}

func (s *simulation) answer(a Answer) {
	j := s.jobs[a.Job]
	if j == nil || j.answered {
		return
	}
	j.answered, j.outcome, j.took = true, a.Outcome, s.now-j.arrived
	j.longestRun, j.estimate = a.Work, a.Estimate
}

// tallies counts the answers to callers, by kind and in total.
func (s *simulation) tallies() map[string]*tally {
	sums := map[string]*tally{"all": {}}
	for _, k := range s.kinds {
		sums[k.name] = &tally{}
	}
	for _, j := range s.jobs {
		for _, t := range []*tally{sums["all"], sums[s.kinds[j.kind].name]} {
			t.count(j)
		}
	}
	return sums
}

func (t *tally) count(j *simJob) {
	t.asked++
	t.owed += j.value
	if j.outcome == workload.NotRun && j.ran {
		t.falseRefusals++
	}
	switch {
	case !j.answered || j.outcome == workload.GaveUp:
		t.gaveUp++
	case j.outcome == workload.NotRun && j.took <= j.objective/4:
		t.refusedAtOnce++
	case j.outcome == workload.NotRun:
		t.refused++
	case j.took <= j.objective:
		t.inTime++
		t.earned += j.value
	case j.took <= worthlessFactor*j.objective:
		t.late++
		t.earned += j.value / 5
	default:
		t.tooLate++
	}
}

func (t *tally) share(n int) float64 { return float64(n) / float64(max(1, t.asked)) }

func (t *tally) served() float64 { return t.share(t.inTime + t.late) }

func (t *tally) String() string {
	return fmt.Sprintf("asked %5d worth %.3f served %.3f in time %.3f late %.3f refused at once %.3f later %.3f gave up %.3f too late %.3f",
		t.asked, t.earned/t.owed, t.served(), t.share(t.inTime), t.share(t.late), t.share(t.refusedAtOnce), t.share(t.refused), t.share(t.gaveUp), t.share(t.tooLate))
}
