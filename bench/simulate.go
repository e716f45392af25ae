package bench

import (
	"encoding/binary"
	"strings"
	"time"

	"sapphirepoint.example/sapphirepoint/core/dispatch"
	"sapphirepoint.example/sapphirepoint/core/task"
	pb "sapphirepoint.example/sapphirepoint/gen/sapphirepointv1"
)

// drainTime is how long a run continues after the last arrival.
const drainTime = 60 * time.Second

// Policy is a configuration of the real decision code.
type Policy struct {
	Name string
	// Tolerance is the institution's borrow_tolerance_ms: how long a task waits for an own slot
	// before one is borrowed.
	Tolerance time.Duration
	// ChangeConfig changes the configuration of each process.
	ChangeConfig func(*dispatch.Config)
}

// fleet is the entry processes and upstreams of one site in virtual time.
type fleet struct {
	clock
	site    Site
	limit   time.Duration
	jobs    []Job
	result  *Result
	warmup  time.Duration
	entries []*entry
	byName  map[string]*entry
	runners map[string]*runner
	// partitioned: the first domain can't reach the others.
	partitioned bool
}

// entry is one entry process.
type entry struct {
	fleet      *fleet
	core       *dispatch.Core
	self       task.Incarnation
	domain     string
	ids        idSource
	coreTicker coreTicker
}

// runner is one fake upstream.
type runner struct {
	domain string
	slots  int
	busy   int
}

// SimulateDispatch runs a stream of jobs through the real decision code.
func SimulateDispatch(p Policy, site Site, workload Workload, limit time.Duration, jobs []Job) *Result {
	f := newFleet(p, site, workload, limit, jobs)
	for i, j := range jobs {
		if j.At >= f.warmup {
			f.result.Jobs++
			f.result.Tasks += len(j.Tasks)
		}
		f.at(j.At+site.ClientDelay, func() { f.submit(i) })
	}
	if workload.PartitionUntil > workload.PartitionFrom {
		f.at(workload.PartitionFrom, func() { f.setPartitioned(true) })
		f.at(workload.PartitionUntil, func() { f.setPartitioned(false) })
	}
	f.run(workload.Length + drainTime)
	return f.result
}

// setPartitioned begins or ends a network partition between the first domain and the others.
func (f *fleet) setPartitioned(partitioned bool) {
	f.partitioned = partitioned
	for _, e := range f.entries {
		for _, o := range f.entries {
			switch {
			case !f.crossesPartition(e, o):
			case partitioned:
				e.step(dispatch.PeerDown{Peer: o.self})
			default:
				e.step(dispatch.PeerUp{Peer: o.self, FailureDomain: o.domain})
			}
		}
	}
}

// crossesPartition reports whether a partition separates two entry processes: just one of them is in the
// first domain.
func (f *fleet) crossesPartition(a, b *entry) bool {
	first := f.site.Domains[0]
	return (a.domain == first) != (b.domain == first)
}

func newFleet(p Policy, site Site, workload Workload, limit time.Duration, jobs []Job) *fleet {
	f := &fleet{
		site: site, limit: limit, jobs: jobs, warmup: workload.Warmup, result: newResult(p.Name),
		byName: make(map[string]*entry), runners: make(map[string]*runner),
	}
	for i := range site.Upstreams {
		f.runners[upstreamName(i)] = &runner{domain: site.upstreamDomain(i), slots: site.Slots}
	}
	for i := range site.Entries {
		e := &entry{fleet: f, self: task.Incarnation{Node: entryName(i), Run: 1}, domain: site.entryDomain(i)}
		cfg := dispatch.DefaultConfig(e.self, e.domain)
		cfg.Seed = workload.Seed
		if p.ChangeConfig != nil {
			p.ChangeConfig(&cfg)
		}
		e.core = dispatch.New(cfg)
		f.entries = append(f.entries, e)
		f.byName[e.self.Node] = e
	}
	for _, e := range f.entries {
		e.step(dispatch.SettingsRead{Settings: settingsOf(site, p, limit)})
		e.step(dispatch.MembersChanged{Members: site.members()})
		for _, o := range f.entries {
			if o != e {
				e.step(dispatch.PeerUp{Peer: o.self, FailureDomain: o.domain})
			}
		}
	}
	for _, e := range f.entries {
		if !e.core.Ready() {
			panic("bench: an entry process did not accept the settings")
		}
	}
	return f
}

// settingsOf returns the settings of a site with one institution.
func settingsOf(site Site, p Policy, limit time.Duration) *pb.Settings {
	return &pb.Settings{Version: 1, Institutions: []*pb.Institution{{
		Name:              site.Name,
		TokenSha256:       []string{strings.Repeat("a", 64)},
		CapacityPercent:   100,
		Priority:          1,
		ResponseTimeMs:    uint32(limit.Milliseconds()),
		BorrowToleranceMs: uint32(p.Tolerance.Milliseconds()),
		RetryPercent:      20,
		ResubmitWindowS:   600,
		Services: []*pb.Service{{
			Name: "labels", Idempotent: true, RunTimeMs: 200, CpuMillis: 1000, MemoryMib: 256,
			MaxTasks: maxTasks, MaxPayloadBytes: 64,
		}},
	}}}
}

// payload encodes the job and index of a task for the fake upstreams.
func payload(job, index int) []byte {
	return binary.LittleEndian.AppendUint32(binary.LittleEndian.AppendUint32(nil, uint32(job)), uint32(index))
}

func (f *fleet) taskOf(b []byte) Task {
	return f.jobs[binary.LittleEndian.Uint32(b)].Tasks[binary.LittleEndian.Uint32(b[4:])]
}

func (f *fleet) submit(job int) {
	j := f.jobs[job]
	s := &pb.Submission{Id: f.entries[j.Entry].ids.next(f.entries[j.Entry].core, f.now), Service: "labels"}
	for i, t := range j.Tasks {
		s.Tasks = append(s.Tasks, &pb.Task{Payload: payload(job, i), RunTimeMs: uint32(max(1, t.Declared.Milliseconds()))})
	}
	f.entries[j.Entry].step(dispatch.Submit{Request: uint64(job) + 1, Institution: f.site.Name, Submission: s})
}

func (e *entry) step(ev dispatch.Event) {
	e.core.Step(e.fleet.now, ev)
	e.executeCommands()
}

func (e *entry) executeCommands() {
	for _, cmd := range e.core.TakeCommands() {
		switch cmd := cmd.(type) {
		case dispatch.StartTask:
			e.start(cmd)
		case dispatch.Send:
			e.send(cmd)
		case dispatch.Reply:
			e.fleet.reply(int(cmd.Request)-1, cmd.Answer)
		case dispatch.Settle:
			e.fleet.currentWaste().Other += 2
		case dispatch.StopTask:
			e.fleet.currentWaste().Other++
		}
	}
	e.coreTicker.schedule(&e.fleet.clock, e.core, e.executeCommands)
}

func (e *entry) start(cmd dispatch.StartTask) {
	f := e.fleet
	r := f.runners[cmd.Upstream]
	delay := f.site.delay(e.domain, r.domain)
	respond := func(res task.Result) {
		f.after(delay, func() { e.step(dispatch.StartResult{Start: cmd.Start, Result: res}) })
	}
	f.after(delay, func() {
		if r.busy >= r.slots {
			f.currentWaste().Refusals += 2
			respond(task.Result{Verdict: task.NotStarted, Refused: true})
			return
		}
		r.busy++
		f.after(f.taskOf(cmd.Payload).Run, func() {
			r.busy--
			respond(task.Result{Verdict: task.Finished})
		})
	})
}

func (e *entry) send(cmd dispatch.Send) {
	f := e.fleet
	switch cmd.Message.GetBody().(type) {
	case nil:
		f.currentWaste().Control++
	case *pb.PeerMessage_BorrowRequest:
		f.currentWaste().Requests++
	case *pb.PeerMessage_LendGrant:
		f.currentWaste().Grants++
	case *pb.PeerMessage_LendReturn:
		f.currentWaste().Returns++
	default:
		f.currentWaste().Other++
	}
	to := f.byName[cmd.Peer.Node]
	f.after(f.site.delay(e.domain, to.domain), func() {
		if f.partitioned && f.crossesPartition(e, to) {
			return
		}
		to.step(dispatch.PeerMessage{Peer: e.self, Message: cmd.Message})
	})
}

// currentWaste returns where a message is counted at present. Messages during the warm-up and after
// the last arrival aren't counted.
func (f *fleet) currentWaste() *Waste {
	if f.now < f.warmup || f.now > f.jobs[len(f.jobs)-1].At {
		return &Waste{}
	}
	return &f.result.Waste
}

func (f *fleet) reply(job int, a *pb.Answer) {
	j := f.jobs[job]
	if j.At < f.warmup {
		return
	}
	switch a.GetOutcome() {
	case pb.Outcome_OUTCOME_COMPLETE:
		f.result.complete(f.now+f.site.ClientDelay-j.At, f.site.ideal(j))
	case pb.Outcome_OUTCOME_NOT_RUN:
		f.result.NotRun++
	default:
		f.result.Failed++
	}
}
