package schedule

import (
	"fmt"
	"maps"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"sapphirepoint.example/sapphirepoint/core/workload"
)

// Orphans whose stops fail, and the paths on which the scheduler loses their runner.

// unstoppableOrphan leaves an orphan on a runner that rejects stops and answers for its lists, until
// the orphan's caller sends the job again. Its lease is renewed for another job's run there.
func unstoppableOrphan(t *testing.T) (b *harness, j *workload.Job, c Start) {
	b = leading(t, testRunner("r1"), testRunner("r2"))
	b.s.runners["r2"].evacuated = true
	b.submit(testJob(1, 5*time.Second), 8*time.Second)
	b.started(one[Start](b), Accepted)
	j = testJob(1, 3*time.Second)
	b.submit(j, 6*time.Second)
	c = one[Start](b)
	b.started(c, Accepted)
	b.s.runners["r2"].evacuated = false
	b.s.Abandon(b.now, entryA, j.ID)
	left := b.now
	for b.now-left < b.s.cfg.Resend {
		b.rejectStops(c)
		b.tick(20 * ms)
	}
	b.rejectStops(c)
	return b, j, c
}

// rejectStops answers the Holds, which list the run, and rejects the stops.
func (b *harness) rejectStops(c Start) {
	for _, h := range take[Hold](b) {
		if h.Runner == c.Runner {
			b.answerHold(h, Accepted, c.Run)
			continue
		}
		b.held(h)
	}
	for _, stop := range take[Stop](b) {
		b.stopped(stop, Unhealthy)
	}
}

// startsBeside lets time pass without an answer of the orphan's runner, and returns when the job's next
// run is started, or 0 if none is.
func (b *harness) startsBeside(c Start, d time.Duration) Time {
	end := b.now + d
	for b.now < end {
		for _, h := range take[Hold](b) {
			if h.Runner == c.Runner {
				b.answerHold(h, Unanswered)
				continue
			}
			b.held(h)
		}
		for _, next := range take[Start](b) {
			if next.Run.Task == c.Run.Task {
				return b.now
			}
			b.started(next, Accepted)
		}
		b.tick(20 * ms)
	}
	return 0
}

// losses are the paths on which a scheduler loses a runner, and may get it back.
var losses = map[string]func(b *harness, c Start){
	"fenced": func(b *harness, c Start) { b.listsFenced(c.Runner) },
	"retired and leading again": func(b *harness, _ Start) {
		b.s.Retire(b.now)
		b.s.Lead(b.now)
	},
}

// unlist takes a runner off the list.
func (b *harness) unlist(id workload.RunnerID) {
	var rest []workload.Runner
	for _, r := range b.s.runnerList {
		if r.info.ID != id {
			rest = append(rest, r.info)
		}
	}
	b.s.SetRunners(b.now, rest)
}

// Guards against a second run of a job that is sent again while its first run, which couldn't be
// stopped, lives on a runner that was lost.
func TestAnOrphanOnALostRunnerHoldsItsJob(t *testing.T) {
	paths := maps.Clone(losses)
	paths["unlisted"] = func(b *harness, c Start) { b.unlist(c.Runner) }
	paths["unlisted and fenced"] = func(b *harness, c Start) {
		b.unlist(c.Runner)
		b.listsFenced(c.Runner)
	}
	for name, lose := range paths {
		t.Run(name, func(t *testing.T) {
			b, j, c := unstoppableOrphan(t)
			aliveUntil := b.s.runners[c.Runner].aliveUntil
			b.g.Expect(aliveUntil).To(BeNumerically(">", b.now))
			lose(b, c)
			b.submit(j, 12*time.Second)
			at := b.startsBeside(c, 3*time.Second+MaxLateEnd)
			b.g.Expect(at).To(BeNumerically(">", aliveUntil), "the orphan's lease lasts until then")
		})
	}
}

// Guards against the same for a job whose entry process has ended while its run goes on.
func TestARunOfAnEndedEntryProcessOnALostRunnerHoldsItsJob(t *testing.T) {
	for name, lose := range losses {
		t.Run(name, func(t *testing.T) {
			b := leading(t, testRunner("r1"), testRunner("r2"))
			j := testJob(1, 3*time.Second)
			b.submit(j, 6*time.Second)
			c := one[Start](b)
			b.started(c, Accepted)
			b.s.EntryLost(b.now, entryA, true)
			overAt := b.s.runners[c.Runner].runsOverAt()
			lose(b, c)
			b.submit(j, 12*time.Second)
			b.g.Expect(b.startsBeside(c, 3*time.Second+MaxLateEnd)).To(BeNumerically(">=", overAt))
		})
	}
}

// Guards against a job that waits though its lost orphan is known to be over, and against a second run
// beside one that the runner lists.
func TestAListDecidesOnALostOrphan(t *testing.T) {
	for name, lose := range losses {
		for _, alive := range []bool{true, false} {
			t.Run(fmt.Sprintf("%s, alive: %v", name, alive), func(t *testing.T) {
				b, j, c := unstoppableOrphan(t)
				lose(b, c)
				b.submit(j, 6*time.Second)
				var running []workload.RunKey
				if alive {
					running = append(running, c.Run)
				}
				began := b.now
				var starts []Start
				for len(starts) == 0 && b.now-began < 600*ms {
					b.tick(20 * ms)
					for _, h := range take[Hold](b) {
						if h.Runner == c.Runner {
							b.answerHold(h, Accepted, running...)
							continue
						}
						b.held(h)
					}
					starts = take[Start](b)
				}
				b.g.Expect(starts).To(HaveLen(map[bool]int{true: 0, false: 1}[alive]))
				if alive {
					b.end(c.Runner, 1, c.Run, workload.Done)
					b.g.Expect(one[Answer](b).Outcome).To(Equal(workload.Completed))
				}
			})
		}
	}
}

// Guards against an orphan that can't be stopped and lives on under renewed leases, until its job is sent
// again to a scheduler that doesn't know it. Its runner isn't asked without a pause.
func TestNoLeaseIsRenewedForOrphansAlone(t *testing.T) {
	b := leading(t, testRunner("r1"))
	c := b.runningTask()
	b.s.Abandon(b.now, entryA, c.Run.Task.Job)
	left, aliveUntil := b.now, b.s.runners[c.Runner].aliveUntil
	holds := 0
	for b.now-left < b.s.cfg.Resend {
		for _, h := range take[Hold](b) {
			holds++
			if b.now > left {
				b.g.Expect(h.LeaseEnd).To(BeZero())
			}
			b.answerHold(h, Accepted, c.Run)
		}
		for _, stop := range take[Stop](b) {
			b.stopped(stop, Unhealthy)
		}
		b.tick(20 * ms)
	}
	b.g.Expect(b.s.runners[c.Runner].aliveUntil).To(Equal(aliveUntil))
	b.g.Expect(holds).To(BeNumerically("<=", 1+int(b.s.cfg.Resend/(20*ms))))
}

// Guards against a second run beside one that was never ordered to stop: its entry process has ended, and
// its runner was lost before the run was to be stopped. Its job is forgotten by the time it is sent again.
func TestARunThatWasNeverStoppedHoldsItsJob(t *testing.T) {
	for name, lose := range losses {
		t.Run(name, func(t *testing.T) {
			b := leading(t, testRunner("r1"), testRunner("r2"))
			j := testJob(1, 3*time.Second)
			b.submit(j, 6*time.Second)
			c := one[Start](b)
			b.started(c, Accepted)
			b.s.EntryLost(b.now, entryA, true)
			ended := b.now
			for b.now-ended < abandonedGrace-20*ms {
				b.rejectStops(c)
				b.tick(20 * ms)
			}
			b.rejectStops(c)
			aliveUntil := b.s.runners[c.Runner].aliveUntil
			sentAgain := aliveUntil - 100*ms
			b.g.Expect(sentAgain).To(BeNumerically(">", ended+abandonedGrace))
			lose(b, c)
			b.g.Expect(b.startsBeside(c, sentAgain-b.now)).To(BeZero())
			b.g.Expect(take[Stop](b)).To(BeEmpty())
			overAt := aliveUntil - leaseMargin - lateEndMargin + MaxLateEnd
			b.submit(j, 12*time.Second)
			b.g.Expect(b.startsBeside(c, 3*time.Second+MaxLateEnd)).To(BeNumerically(">=", overAt))
		})
	}
}
