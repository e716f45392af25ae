package schedule

import (
	"fmt"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"sapphirepoint.example/sapphirepoint/core/ledger"
	"sapphirepoint.example/sapphirepoint/core/workload"
)

const (
	ms      = time.Millisecond
	service = "labels"
	entryA  = EntryID("front-a#1")
	// clockAtZero is the runners' clock, in milliseconds, at time 0.
	clockAtZero = 1_000_000
)

// bench drives a scheduler by hand: each order is answered by the test.
type bench struct {
	t   *testing.T
	g   *WithT
	s   *Scheduler
	now Time
	out []Command
}

func newBench(t *testing.T, runners ...workload.Runner) *bench {
	b := &bench{t: t, g: NewWithT(t), s: New(DefaultConfig()), now: time.Second}
	b.s.SetProcessNumber(7)
	b.s.SetRunners(b.now, runners)
	return b
}

// leading returns a bench whose scheduler has owned its runners for a while.
func leading(t *testing.T, runners ...workload.Runner) *bench {
	b := newBench(t, runners...)
	b.s.Lead(b.now)
	b.own(1)
	for _, h := range take[Hold](b) {
		b.held(h)
	}
	b.wait(unsureWindow + settleTime)
	return b
}

// own gives the scheduler the shard's rows, with records in them.
func (b *bench) own(epoch uint64, records ...ledger.Record) {
	b.s.SetAllReachable(true, b.now)
	b.s.Loaded(b.now, ledger.Loaded{Epoch: epoch, ClaimedAt: b.now, Records: records})
	b.s.RowOwnershipVerified(b.now, b.now)
}

func testRunner(id string) workload.Runner {
	return workload.Runner{
		ID: workload.RunnerID(id), Service: service, Address: id, Rack: "r1", Labels: []string{"a", "r1"},
		Capacity: workload.Resources{MilliCPU: 64000, MemoryMB: 1000},
	}
}

// wait lets time pass and answers looks at idle runners on the way.
func (b *bench) wait(d time.Duration) {
	end := b.now + d
	for b.now < end {
		b.now = min(end, b.now+20*ms)
		b.s.EntryAlive(b.now, entryA)
		b.s.Tick(b.now)
		for _, h := range take[Hold](b) {
			b.held(h)
		}
	}
}

// tick lets time pass and answers nothing.
func (b *bench) tick(d time.Duration) {
	end := b.now + d
	for b.now < end {
		b.now = min(end, b.now+20*ms)
		b.s.EntryAlive(b.now, entryA)
		b.s.Tick(b.now)
	}
}

// silence lets time pass without a sign of life from the entry VM.
func (b *bench) silence(d time.Duration) {
	end := b.now + d
	for b.now < end {
		b.now = min(end, b.now+20*ms)
		b.s.Tick(b.now)
	}
}

func (b *bench) collect() { b.out = append(b.out, b.s.Ready()...) }

// take removes the commands of a kind from those not looked at yet.
func take[C Command](b *bench) []C {
	b.collect()
	var found []C
	var rest []Command
	for _, c := range b.out {
		if match, ok := c.(C); ok {
			found = append(found, match)
			continue
		}
		rest = append(rest, c)
	}
	b.out = rest
	return found
}

func (b *bench) clock() ClockReading {
	return ClockReading{Milliseconds: clockAtZero + b.now.Milliseconds(), ReceivedAt: b.now, SentAt: b.now}
}

func (b *bench) held(h Hold, ends ...workload.End) {
	b.s.Held(b.now, HoldResult{Runner: h.Runner, Token: h.Token, ListOnly: h.ListOnly, ReachabilityOnly: h.ReachabilityOnly, Outcome: Accepted, Ends: ends, Clock: b.clock()})
}

func (b *bench) answerHold(h Hold, o CallOutcome, running ...workload.RunKey) {
	clock := b.clock()
	if o == Unanswered {
		clock.Milliseconds = 0
	}
	b.s.Held(b.now, HoldResult{Runner: h.Runner, Token: h.Token, ListOnly: h.ListOnly, ReachabilityOnly: h.ReachabilityOnly, Outcome: o, Running: running, Clock: clock})
}

func (b *bench) started(c Start, o CallOutcome) {
	b.s.Started(b.now, StartResult{Runner: c.Runner, Run: c.Run, Outcome: o, Clock: b.clock()})
}

func (b *bench) stopped(c Stop, o CallOutcome) {
	b.s.Stopped(b.now, StopResult{Runner: c.Runner, Run: c.Run, Outcome: o, Clock: b.clock()})
}

var lastJob int

func testJob(tasks int, estimate time.Duration) *workload.Job {
	lastJob++
	return &workload.Job{
		ID: workload.JobID(fmt.Sprintf("%016x", lastJob)), Queue: "q", Service: service, MaxAttempts: 2,
		Objective: estimate*8/5 + 60*ms,
		Steps:     []workload.Step{{Tasks: tasks, Need: workload.Resources{MilliCPU: 27000, MemoryMB: 64}, Estimate: estimate}},
	}
}

func (b *bench) submit(j *workload.Job, patience time.Duration) {
	b.s.Submit(b.now, Submission{Job: j, Entry: entryA, RemainingObjective: j.Objective, RemainingTimeout: patience})
}

// one takes the only command of a kind.
func one[C Command](b *bench) C {
	b.t.Helper()
	list := take[C](b)
	b.g.Expect(list).To(HaveLen(1))
	return list[0]
}

func (b *bench) end(r workload.RunnerID, seq uint64, k workload.RunKey, kind workload.EndKind) {
	run := b.s.runners[r]
	b.s.Held(b.now, HoldResult{
		Runner: r, Token: run.token, Outcome: Accepted, Clock: b.clock(),
		Ends: []workload.End{{Sequence: seq, Run: k, Kind: kind}},
	})
}
