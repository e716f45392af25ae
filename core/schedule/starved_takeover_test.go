package schedule

import (
	"testing"
	"time"

	. "github.com/onsi/gomega"
)

// Guards against a second run of a stored job's task after a change of the leader: a runner that has listed nothing
// since may be starved, and end the run of the leader before later than its lease.
func TestARestoredJobWaitsForARunnerThatMayBeStarved(t *testing.T) {
	b := newHarness(t, testRunner("r1"), testRunner("r2"))
	b.s.Lead(b.now)
	b.leaveUnanswered("r2", ConnectionMade)
	b.ownRows(3, openRecord(storedJob(1, 500*ms), 2))
	claimed := b.now
	for b.now < claimed+MaxLateEnd {
		b.tick(20 * ms)
		b.s.RowOwnershipVerified(b.now, b.now)
		b.leaveUnanswered("r2", ConnectionMade)
		b.g.Expect(take[Start](b)).To(BeEmpty(), "%v after the takeover, r2 may have the run of the leader before", b.now-claimed)
	}
}

// Guards against the same for a job that an entry process hands over after its scheduler was lost.
func TestAHandedOverJobWaitsForARunnerThatMayBeStarved(t *testing.T) {
	b := takingOver(t, ConnectionMade)
	j := testJob(1, 400*ms)
	begin := b.now
	b.s.Submit(b.now, Submission{Job: j, Entry: entryA, RemainingObjective: j.Objective, RemainingTimeout: 9 * time.Second, PriorSubmissions: 1, PriorRunsTTL: 1300 * ms})
	b.g.Expect(b.startedWithin(MaxLateEnd, ConnectionMade)).To(BeFalse(), "started %v after it was handed over", b.now-begin)
}
