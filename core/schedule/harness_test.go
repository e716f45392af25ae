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

// harness drives a scheduler manually: the test answers each order.
type harness struct {
	t   *testing.T
	g   *WithT
	s   *Scheduler
	now Time
	out []Command
}

func newHarness(t *testing.T, runners ...workload.Runner) *harness {
	b := &harness{t: t, g: NewWithT(t), s: New(DefaultConfig()), now: time.Second}
	b.s.SetProcessNumber(7)
	b.s.SetRunners(b.now, runners)
	return b
}

// leading returns a harness whose scheduler has owned its runners for some time.
func leading(t *testing.T, runners ...workload.Runner) *harness {
	b := newHarness(t, runners...)
	b.s.Lead(b.now)
	b.ownRows(1)
	for _, h := range take[Hold](b) {
		b.held(h)
	}
	b.wait(takeoverWindow + warmUpTime)
	return b
}

// ownRows makes the scheduler the owner of the shard's rows, with records in them.
func (b *harness) ownRows(epoch uint64, records ...ledger.Record) {
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

// wait lets time pass, and answers the Holds sent to idle runners.
func (b *harness) wait(d time.Duration) {
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
func (b *harness) tick(d time.Duration) {
	end := b.now + d
	for b.now < end {
		b.now = min(end, b.now+20*ms)
		b.s.EntryAlive(b.now, entryA)
		b.s.Tick(b.now)
	}
}

// waitWithoutEntry lets time pass without a message from the entry VM.
func (b *harness) waitWithoutEntry(d time.Duration) {
	end := b.now + d
	for b.now < end {
		b.now = min(end, b.now+20*ms)
		b.s.Tick(b.now)
	}
}

// silence lets time pass, by tick or waitWithoutEntry, while a runner leaves each Hold unanswered.
func (b *harness) silence(id workload.RunnerID, d time.Duration, pass func(time.Duration)) {
	for end := b.now + d; b.now < end; {
		pass(min(20*ms, end-b.now))
		var others []Command
		for _, h := range take[Hold](b) {
			if h.Runner == id {
				b.answerHold(h, Unanswered)
				continue
			}
			others = append(others, h)
		}
		b.out = append(b.out, others...)
	}
}

func (b *harness) collect() {
	out := b.s.Ready()
	for _, c := range out {
		b.checkCause(c)
	}
	b.out = append(b.out, out...)
}

// checkCause guards against a refusal without a cause, which operators couldn't explain, and against
// a cause of a job that wasn't refused.
func (b *harness) checkCause(c Command) {
	a, ok := c.(Answer)
	if !ok {
		return
	}
	refused := a.Outcome == workload.NotRun || a.Outcome == workload.GaveUp
	b.g.Expect(a.Cause != workload.NotRefused).To(Equal(refused), "%s: %s", a.Outcome, a.Reason)
}

// take removes the commands of one type from those not processed yet.
func take[C Command](b *harness) []C {
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

func (b *harness) clock() ClockReading {
	return ClockReading{Milliseconds: clockAtZero + b.now.Milliseconds(), ReceivedAt: b.now, SentAt: b.now}
}

func (b *harness) held(h Hold, ends ...workload.End) {
	b.s.Held(b.now, HoldResult{Runner: h.Runner, Token: h.Token, ListOnly: h.ListOnly, ReachabilityOnly: h.ReachabilityOnly, Outcome: Accepted, Ends: ends, Clock: b.clock()})
}

func (b *harness) answerHold(h Hold, o CallOutcome, running ...workload.RunKey) {
	clock := b.clock()
	connection := ConnectionUnknown
	if o == Unanswered {
		clock.Milliseconds = 0
		if h.NewConnection {
			connection = ConnectionMade
		}
	}
	b.s.Held(b.now, HoldResult{Runner: h.Runner, Address: h.Address, Token: h.Token, ListOnly: h.ListOnly, ReachabilityOnly: h.ReachabilityOnly, Outcome: o, Connection: connection, Running: running, Clock: clock})
}

func (b *harness) started(c Start, o CallOutcome) {
	b.s.Started(b.now, StartResult{Runner: c.Runner, Address: c.Address, Token: c.Token, Run: c.Run, Outcome: o, Clock: b.clock()})
}

func (b *harness) stopped(c Stop, o CallOutcome) {
	b.s.Stopped(b.now, StopResult{Runner: c.Runner, Address: c.Address, Token: c.Token, Run: c.Run, Outcome: o, Clock: b.clock()})
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

func (b *harness) submit(j *workload.Job, timeout time.Duration) {
	b.s.Submit(b.now, Submission{Job: j, Entry: entryA, RemainingObjective: j.Objective, RemainingTimeout: timeout})
}

// one takes the only command of a type.
func one[C Command](b *harness) C {
	b.t.Helper()
	list := take[C](b)
	b.g.Expect(list).To(HaveLen(1))
	return list[0]
}

func (b *harness) end(r workload.RunnerID, seq uint64, k workload.RunKey, kind workload.EndKind) {
	run := b.s.runners[r]
	b.s.Held(b.now, HoldResult{
		Runner: r, Token: run.token, Outcome: Accepted, Clock: b.clock(),
		Ends: []workload.End{{Sequence: seq, Run: k, Kind: kind}},
	})
}
