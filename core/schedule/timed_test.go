package schedule

import (
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"sapphirepoint.example/sapphirepoint/core/ledger"
	"sapphirepoint.example/sapphirepoint/core/workload"
)

// dayStart is the time of day at time 0 of a harness, in milliseconds since 1970.
const dayStart = 1_700_000_000_000

// timedJob returns a job that is due first after a time, and then at each interval.
func (b *harness) timedJob(times int, first, interval time.Duration) *workload.Job {
	b.s.SetTimeOfDay(b.now, dayStart+b.now.Milliseconds())
	j := storedJob(1, 100*ms)
	j.Times, j.Interval = times, interval
	j.StartMs = dayStart + (b.now + first).Milliseconds()
	return j
}

// A timed job runs each time that it is due, also while an earlier occurrence still runs, and is
// completed when all occurrences have ended.
func TestTimedJob(t *testing.T) {
	b := leading(t, testRunner("r1"))
	j := b.timedJob(3, 500*ms, 300*ms)
	b.accepted(j)
	b.wait(480 * ms)
	b.g.Expect(take[Start](b)).To(BeEmpty(), "it isn't due yet")
	b.g.Expect(b.s.State(j.ID, b.now)).To(Equal(JobState{Known: true}))
	b.wait(40 * ms)
	first := one[Start](b)
	b.g.Expect(first.Run.Task.String()).To(Equal(string(j.ID) + ".0.0.0"))
	b.started(first, Accepted)
	b.wait(260 * ms)
	b.g.Expect(take[Start](b)).To(BeEmpty())
	b.wait(60 * ms)
	second := one[Start](b)
	b.g.Expect(second.Run.Task.String()).To(Equal(string(j.ID)+".1.0.0"), "while the first still runs")
	b.started(second, Accepted)
	b.end("r1", 1, first.Run, workload.Done)
	b.end("r1", 2, second.Run, workload.Done)
	b.wait(320 * ms)
	third := one[Start](b)
	b.started(third, Accepted)
	b.g.Expect(b.s.State(j.ID, b.now).Ended).To(BeFalse())
	b.saved(take[Save](b)...)
	b.end("r1", 3, third.Run, workload.Done)
	saves := take[Save](b)
	b.g.Expect(saves[len(saves)-1].Record.State).To(Equal(ledger.Completed))
}

// A scheduler is lost between two occurrences of a job. The next scheduler knows which occurrences
// have ended, and runs the rest when they are due.
func TestRestoredTimedJob(t *testing.T) {
	b := newHarness(t, testRunner("r1"))
	j := b.timedJob(3, -400*ms, 2*time.Second)
	b.s.Lead(b.now)
	b.held(one[Hold](b))
	bits := ledger.NewBits(1)
	bits.Set(0)
	b.ownRows(2, ledger.Record{Job: j.ID, Definition: j, Epoch: 1, Done: []ledger.Bits{bits, ledger.NewBits(1), ledger.NewBits(1)}})
	b.wait(1580 * ms)
	b.g.Expect(take[Start](b)).To(BeEmpty())
	b.wait(40 * ms)
	b.g.Expect(one[Start](b).Run.Task.Occurrence).To(Equal(1))
}

// Much work is due tomorrow. That is no reason to refuse a job that is due now.
func TestFutureOccurrencesDontBlockNewJobs(t *testing.T) {
	b := leading(t, testRunner("r1"))
	for range 10 {
		b.accepted(b.timedJob(20, 24*time.Hour, time.Millisecond))
	}
	b.accepted(storedJob(2, 100*ms))
	b.g.Expect(take[Start](b)).To(HaveLen(2))
}
