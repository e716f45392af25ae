package schedule

import (
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"sapphirepoint.example/sapphirepoint/core/workload"
)

// withoutStoredJobs returns a harness whose scheduler leads, and knows of no stored jobs.
func withoutStoredJobs(t *testing.T, runners ...workload.Runner) *harness {
	b := newHarness(t, runners...)
	b.s.SetNoStoredJobs(true)
	b.s.NoStoredJobsAt(b.now, b.now)
	b.s.Lead(b.now)
	for _, h := range take[Hold](b) {
		b.held(h)
	}
	b.wait(takeoverWindow + warmUpTime)
	return b
}

// acknowledgedSoon returns the sequence that a runner's orders acknowledge by and by, and answers them.
func (b *harness) acknowledgedSoon() uint64 {
	acknowledged := uint64(0)
	for range 10 {
		b.tick(20 * ms)
		for _, h := range take[Hold](b) {
			acknowledged = h.Acknowledged
			b.held(h)
		}
	}
	return acknowledged
}

// Guards against a task that runs twice: the end of a stored job's run is acknowledged by a scheduler that knew of no
// stored jobs when it was last told.
func TestEndOfAnUnknownRunWaitsForTheStore(t *testing.T) {
	b := withoutStoredJobs(t, testRunner("r1"))
	b.end("r1", 1, runOf(storedJob(1, 100*ms), 0, 1), workload.Done)
	b.g.Expect(b.acknowledgedSoon()).To(BeZero())
	b.g.Expect(b.s.RunnersWithUnprovenEnds()).To(Equal(1))

	b.s.NoStoredJobsAt(b.now, b.now-time.Minute)
	b.g.Expect(b.s.RunnersWithUnprovenEnds()).To(Equal(1), "the store was read before the end was listed")

	b.s.NoStoredJobsAt(b.now, b.now)
	b.g.Expect(b.s.RunnersWithUnprovenEnds()).To(BeZero())
	b.g.Expect(b.acknowledgedSoon()).To(BeEquivalentTo(1))
}

// Guards against ends of unknown runs that are acknowledged once stored jobs are known, before they are read.
func TestEndOfAnUnknownRunWaitsForTheRecords(t *testing.T) {
	b := withoutStoredJobs(t, testRunner("r1"))
	j := storedJob(1, 100*ms)
	b.end("r1", 1, runOf(j, 0, 1), workload.Done)
	b.s.SetNoStoredJobs(false)
	b.g.Expect(b.acknowledgedSoon()).To(BeZero())
	b.ownRows(1, openRecord(j, 1))
	saves := take[Save](b)
	b.g.Expect(saves).NotTo(BeEmpty())
	b.g.Expect(saves[0].Record.Done[0].Has(0)).To(BeTrue())
}

// Guards against a runner that is of no use while the store is away: more ends wait than it lists at once. Its lease
// expires before they are acknowledged, so they bind nobody.
func TestUnprovenEndsAreBounded(t *testing.T) {
	b := withoutStoredJobs(t, testRunner("r1"))
	r := b.s.runners["r1"]
	for n := range maxUnprovenEnds - 1 {
		b.end("r1", uint64(n+1), runOf(storedJob(1, 100*ms), 0, 1), workload.Done)
	}
	b.wait(unprovenEndsTimeout)
	b.g.Expect(r.ends).To(HaveLen(maxUnprovenEnds - 1))

	b.submit(testJob(1, 100*ms), 2*time.Second)
	start := one[Start](b)
	b.started(start, Accepted)
	b.wait(20 * ms)
	b.end("r1", maxUnprovenEnds, start.Run, workload.Done)
	b.g.Expect(r.usable(b.now)).To(BeFalse(), "a start would extend the lease")

	leaseOver := r.aliveUntil
	for b.now < leaseOver {
		for _, h := range take[Hold](b) {
			b.g.Expect(h.Acknowledged).To(BeZero())
			b.g.Expect(h.LeaseEnd).To(BeZero())
			b.held(h)
		}
		b.tick(20 * ms)
	}
	b.wait(200 * ms)
	b.g.Expect(r.ends).To(BeEmpty())
	b.g.Expect(r.acknowledged).To(BeEquivalentTo(maxUnprovenEnds))
	b.submit(testJob(1, 100*ms), 2*time.Second)
	b.g.Expect(take[Start](b)).To(HaveLen(1))
}
