package bench

import (
	"math/rand/v2"
	"strconv"
	"strings"
	"time"

	"sapphirepoint.example/sapphirepoint/core/dispatch"
	"sapphirepoint.example/sapphirepoint/core/task"
	pb "sapphirepoint.example/sapphirepoint/gen/sapphirepointv1"
)

// Fault is a fault of an upstream.
type Fault uint8

// The faults of upstreams.
const (
	Healthy Fault = iota
	// FailsAll: every task fails within taskFailureTime.
	FailsAll
	// Slow: every task takes slowFactor times as long.
	Slow
	// Unreachable: every start fails before it reaches the upstream.
	Unreachable
	// Refuses: every start is refused.
	Refuses
)

const (
	taskFailureTime = time.Millisecond
	slowFactor      = 5
	// callerTimeout is how long after its arrival a refused job may be submitted again.
	callerTimeout = 30 * time.Second
)

// Scenario is a run of the real decision code under load and faults. Callers submit refused jobs again
// after the delay that the answer gives (retry_after_ms).
type Scenario struct {
	Policy   string
	Site     Site
	Workload Workload
	// LoadAt returns the offered load at a time, at most Workload.Load; nil means Workload.Load.
	LoadAt func(at time.Duration) float64
	// Limit is the contracted response time.
	Limit time.Duration
	// OneEntry: all jobs are submitted to one entry process.
	OneEntry bool
	// CallersLeave: refused callers don't submit their jobs again.
	CallersLeave bool
	ChangeConfig func(*dispatch.Config)
	// ChangeSettings changes the declared settings.
	ChangeSettings func(*pb.Settings)
	// Events are actions by the time at which they happen.
	Events map[time.Duration]func(*Run)
}

// Run is the state and result of a Scenario.
type Run struct {
	clock
	Scenario
	rng     *rand.Rand
	entries []*scenarioEntry
	runners map[string]*scenarioRunner
	// calls holds the unanswered requests by their numbers.
	calls       map[uint64]*callerJob
	jobs        []*callerJob
	lastRequest uint64

	// Total counts jobs that arrived between Workload.Warmup and Workload.Length; PerSecond those that
	// arrived in each second.
	Total     JobCounts
	PerSecond []JobCounts
	// Stops, Forwards and Control count messages since the start of the run, Starts the starts sent
	// and Refusals those that weren't accepted, also by an unreachable upstream.
	Stops, Forwards, Control, Refusals, Starts int
	ratios                                     *Result
	// heldSlots is the number of slots of running tasks, maxHeldSlots its maximum, and heldSlotTime
	// its integral over time since Workload.Warmup.
	heldSlots, maxHeldSlots int
	heldSlotTime            time.Duration
	heldChangedAt           time.Duration
	// startedTwice counts starts of tasks that had been started before.
	startedTwice int
	startedTasks map[string]bool
}

// JobCounts are the outcomes of jobs.
type JobCounts struct {
	Jobs, Complete, Failed, GaveUp int
	// TaskFailures are those of the Failed jobs that failed because a task did.
	TaskFailures int
	// RefusedRequests is the number of refused requests; a job may be submitted several times.
	RefusedRequests int
	// OfferedTime is the slot time of all jobs, CompletedTime that of completed jobs, and UsedTime
	// that of all tasks that were run.
	OfferedTime, CompletedTime, UsedTime time.Duration
}

// callerJob is a job of a caller with its requests.
type callerJob struct {
	job   Job
	index int
	id    *pb.SubmissionId
	ended bool
}

// scenarioEntry is one entry process: the real decision code, whose commands the Run carries out.
type scenarioEntry struct {
	run        *Run
	core       *dispatch.Core
	self       task.Incarnation
	domain     string
	coreTicker coreTicker
	ids        idSource
}

// scenarioRunner is a fake upstream.
type scenarioRunner struct {
	domain  string
	slots   int
	busy    int
	fault   Fault
	running map[string]*runningTask
}

// runningTask is a task at a scenarioRunner; stop ends it as failed.
type runningTask struct{ stop func() }

// NewRun prepares a run of a scenario.
func NewRun(s Scenario) *Run {
	r := &Run{
		Scenario: s, rng: rand.New(rand.NewPCG(s.Workload.Seed, 3)), runners: make(map[string]*scenarioRunner),
		calls: make(map[uint64]*callerJob), startedTasks: make(map[string]bool), ratios: newResult(s.Policy),
		PerSecond: make([]JobCounts, int(s.Workload.Length/time.Second)+1),
	}
	for _, u := range r.members().Upstreams {
		r.runners[u.Name] = &scenarioRunner{domain: u.FailureDomain, slots: int(u.Slots), running: make(map[string]*runningTask)}
	}
	for i := range s.Site.Entries {
		e := &scenarioEntry{run: r, self: task.Incarnation{Node: entryName(i), Run: 1}, domain: s.Site.entryDomain(i)}
		cfg := dispatch.DefaultConfig(e.self, e.domain)
		cfg.Seed = s.Workload.Seed
		if s.ChangeConfig != nil {
			s.ChangeConfig(&cfg)
		}
		e.core = dispatch.New(cfg)
		r.entries = append(r.entries, e)
	}
	for _, e := range r.entries {
		declared := settingsOf(s.Site, Policy{}, s.Limit)
		if s.ChangeSettings != nil {
			s.ChangeSettings(declared)
		}
		e.step(dispatch.SettingsRead{Settings: declared})
		e.step(dispatch.MembersChanged{Members: r.members()})
		for _, o := range r.entries {
			if o != e {
				e.step(dispatch.PeerUp{Peer: o.self, FailureDomain: o.domain})
			}
		}
	}
	return r
}

// members returns the site's members with eight upstreams in each rack and each rack in one failure
// domain.
func (r *Run) members() task.Members {
	m := r.Site.members()
	for i := range m.Upstreams {
		u := &m.Upstreams[i]
		u.Rack = u.FailureDomain + strconv.Itoa(i/len(r.Site.Domains)/8)
	}
	return m
}

// Do runs the scenario to the end.
func (r *Run) Do() *Run {
	for at, event := range r.Events {
		r.at(at, func() { event(r) })
	}
	for i, j := range r.Workload.Stream(r.Site) {
		if r.LoadAt != nil && r.rng.Float64()*r.Workload.Load > r.LoadAt(j.At) {
			continue
		}
		if r.OneEntry {
			j.Entry = 0
		}
		c := &callerJob{job: j, index: i}
		r.jobs = append(r.jobs, c)
		r.at(j.At, func() { r.arrive(c) })
	}
	r.run(r.Workload.Length + drainTime)
	return r
}

// counts returns the counters for a time: those of its second, and the total if the time is measured.
func (r *Run) counts(at time.Duration) []*JobCounts {
	list := []*JobCounts{}
	if s := int(at / time.Second); s < len(r.PerSecond) {
		list = append(list, &r.PerSecond[s])
	}
	if at >= r.Workload.Warmup && at < r.Workload.Length {
		list = append(list, &r.Total)
	}
	return list
}

func (j Job) totalRunTime() time.Duration {
	var d time.Duration
	for _, t := range j.Tasks {
		d += t.Run
	}
	return d
}

func (r *Run) arrive(c *callerJob) {
	for _, n := range r.counts(c.job.At) {
		n.Jobs++
		n.OfferedTime += c.job.totalRunTime()
	}
	r.submitNew(c, c.job.Entry)
}

// submitNew submits a job under a new id.
func (r *Run) submitNew(c *callerJob, entry int) {
	e := r.entries[entry]
	c.id = e.nextID()
	r.request(c, e)
}

func (r *Run) request(c *callerJob, e *scenarioEntry) {
	r.lastRequest++
	n := r.lastRequest
	r.calls[n] = c
	s := &pb.Submission{Id: c.id, Service: "labels"}
	for i, t := range c.job.Tasks {
		s.Tasks = append(s.Tasks, &pb.Task{
			Payload:   []byte(strconv.Itoa(int(t.Run)) + " " + strconv.Itoa(c.index) + "." + strconv.Itoa(i)),
			RunTimeMs: uint32(max(1, t.Declared.Milliseconds())),
		})
	}
	r.after(r.Site.ClientDelay, func() {
		e.step(dispatch.Submit{Request: n, Institution: r.Site.Name, Submission: s})
	})
}

// Resubmit resubmits every unfinished job through a random entry process and returns their number.
func (r *Run) Resubmit() int {
	n := 0
	for _, c := range r.jobs {
		if c.id != nil && !c.ended {
			n++
			r.request(c, r.entries[r.rng.IntN(len(r.entries))])
		}
	}
	return n
}

// CancelAll cancels every unfinished job through the entry where it was submitted and returns their
// number.
func (r *Run) CancelAll() int {
	n := 0
	for _, c := range r.jobs {
		if c.id == nil || c.ended {
			continue
		}
		n++
		c.ended = true
		r.lastRequest++
		request := r.lastRequest
		e := r.entries[c.job.Entry]
		r.after(r.Site.ClientDelay, func() {
			e.step(dispatch.Cancel{Request: request, Institution: r.Site.Name, ID: c.id})
		})
	}
	return n
}

// Running returns the number of tasks that run at present.
func (r *Run) Running() int {
	n := 0
	for _, u := range r.runners {
		n += len(u.running)
	}
	return n
}

// SetFault sets a fault for the upstreams that pick selects.
func (r *Run) SetFault(f Fault, pick func(i int, u task.Upstream) bool) {
	for i, u := range r.members().Upstreams {
		if pick(i, u) {
			r.runners[u.Name].fault = f
		}
	}
}

// answered counts an answer, or submits a refused job again if its caller hasn't given up.
func (r *Run) answered(n uint64, a *pb.Answer) {
	c := r.calls[n]
	delete(r.calls, n)
	if c == nil || c.ended {
		return
	}
	again := time.Duration(a.GetRetryAfterMs()) * time.Millisecond
	gaveUp := r.CallersLeave || again == 0 || r.now+again > c.job.At+callerTimeout
	refused := a.GetOutcome() == pb.Outcome_OUTCOME_NOT_RUN
	if refused {
		for _, n := range r.counts(r.now) {
			n.RefusedRequests++
		}
	}
	if refused && !gaveUp {
		r.after(r.Site.ClientDelay+again, func() { r.submitNew(c, c.job.Entry) })
		return
	}
	c.ended = true
	for _, n := range r.counts(c.job.At) {
		switch {
		case a.GetOutcome() == pb.Outcome_OUTCOME_COMPLETE:
			n.Complete++
		case refused:
			n.GaveUp++
		default:
			n.Failed++
			if a.GetReason() == pb.Reason_REASON_TASK_FAILED {
				n.TaskFailures++
			}
		}
	}
	if a.GetOutcome() != pb.Outcome_OUTCOME_COMPLETE {
		return
	}
	// For goodput, the work of a job counts at the time of its completion.
	for _, n := range r.counts(r.now) {
		n.CompletedTime += c.job.totalRunTime()
	}
	if c.job.At >= r.Workload.Warmup {
		r.ratios.complete(r.now+r.Site.ClientDelay-c.job.At, r.Site.ideal(c.job))
	}
}

func (e *scenarioEntry) nextID() *pb.SubmissionId {
	if e.run.now%(5*time.Minute) == 0 {
		e.ids = idSource{}
	}
	return e.ids.next(e.core, e.run.now)
}

func (e *scenarioEntry) step(ev dispatch.Event) {
	e.core.Step(e.run.now, ev)
	e.executeCommands()
}

func (e *scenarioEntry) executeCommands() {
	r := e.run
	for _, cmd := range e.core.TakeCommands() {
		switch cmd := cmd.(type) {
		case dispatch.StartTask:
			r.Starts++
			e.start(cmd)
		case dispatch.StopTask:
			r.Stops++
			e.stop(cmd)
		case dispatch.Send:
			e.send(cmd)
		case dispatch.Reply:
			r.answered(cmd.Request, cmd.Answer)
		}
	}
	e.coreTicker.schedule(&e.run.clock, e.core, e.executeCommands)
}

func (e *scenarioEntry) send(cmd dispatch.Send) {
	r := e.run
	switch cmd.Message.GetBody().(type) {
	case *pb.PeerMessage_Forward, *pb.PeerMessage_ForwardAnswer:
		r.Forwards++
	default:
		r.Control++
	}
	for _, to := range r.entries {
		if to.self == cmd.Peer {
			r.after(r.Site.delay(e.domain, to.domain), func() {
				to.step(dispatch.PeerMessage{Peer: e.self, Message: cmd.Message})
			})
		}
	}
}

func (e *scenarioEntry) start(cmd dispatch.StartTask) {
	r := e.run
	u := r.runners[cmd.Upstream]
	delay := r.Site.delay(e.domain, u.domain)
	respond := func(res task.Result) {
		r.after(delay, func() { e.step(dispatch.StartResult{Start: cmd.Start, Result: res}) })
	}
	r.after(delay, func() { u.begin(r, cmd, respond) })
}

// begin starts a task according to the upstream's fault, and calls respond at its end or refusal.
func (u *scenarioRunner) begin(r *Run, cmd dispatch.StartTask, respond func(task.Result)) {
	switch {
	case u.fault == Unreachable:
		r.Refusals++
		respond(task.Result{Verdict: task.NotStarted})
		return
	case u.fault == Refuses || u.busy >= u.slots:
		r.Refusals++
		respond(task.Result{Verdict: task.NotStarted, Refused: true})
		return
	}
	field, _, _ := strings.Cut(string(cmd.Payload), " ")
	ns, _ := strconv.Atoi(field)
	took, verdict := time.Duration(ns), task.Finished
	switch u.fault {
	case FailsAll:
		took, verdict = taskFailureTime, task.Failed
	case Slow:
		took *= slowFactor
	}
	u.busy++
	r.addHeldSlots(1)
	if r.startedTasks[cmd.Name] {
		r.startedTwice++
	}
	r.startedTasks[cmd.Name] = true
	began := r.now
	t := &runningTask{}
	end := func(v task.Verdict) {
		if u.running[cmd.Name] != t {
			return
		}
		delete(u.running, cmd.Name)
		u.busy--
		r.addHeldSlots(-1)
		for _, n := range r.counts(r.now) {
			n.UsedTime += r.now - began
		}
		respond(task.Result{Verdict: v})
	}
	t.stop = func() { end(task.Failed) }
	u.running[cmd.Name] = t
	r.after(took, func() { end(verdict) })
}

// addHeldSlots records that slots are taken (n > 0) or released (n < 0).
func (r *Run) addHeldSlots(n int) {
	if r.now > r.Workload.Warmup && r.now <= r.Workload.Length {
		r.heldSlotTime += time.Duration(r.heldSlots) * (r.now - max(r.heldChangedAt, r.Workload.Warmup))
	}
	r.heldChangedAt = r.now
	r.heldSlots += n
	r.maxHeldSlots = max(r.maxHeldSlots, r.heldSlots)
}

// MeanHeld returns the mean number of held slots since Workload.Warmup.
func (r *Run) MeanHeld() float64 {
	return r.heldSlotTime.Seconds() / (r.Workload.Length - r.Workload.Warmup).Seconds()
}

func (e *scenarioEntry) stop(cmd dispatch.StopTask) {
	r := e.run
	u := r.runners[cmd.Upstream]
	r.after(r.Site.delay(e.domain, u.domain), func() {
		if t := u.running[cmd.Name]; t != nil {
			t.stop()
		}
	})
}

// Goodput returns the slot time of completed jobs divided by that of all slots.
func (r *Run) Goodput() float64 {
	span := (r.Workload.Length - r.Workload.Warmup).Seconds()
	return r.Total.CompletedTime.Seconds() / span / float64(r.Site.totalSlots())
}
