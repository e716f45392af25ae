package schedule

import (
	"testing"
	"time"

	. "github.com/onsi/gomega"
)

// Guards against a second run beside one of the scheduler before, which was accepted or stopped just before the job was
// handed over, and which its runner doesn't list now.
func TestAHandedOverJobWaitsUntilStopsMustBeOver(t *testing.T) {
	b := leading(t, testRunner("r1"), testRunner("r2"))
	b.s.Submit(b.now, Submission{
		Job: testJob(1, 300*ms), Entry: entryA, RemainingObjective: time.Second, RemainingTimeout: 5 * time.Second,
		PriorSubmissions: 1, PriorRunsTTL: priorRunsTTL,
	})
	b.expectStartAfter(b.longestStop())
}

// Guards against handed-over jobs that wait for one another's lists: each job needs the lists of its own time.
func TestAStreamOfHandedOverJobsIsStarted(t *testing.T) {
	b := leading(t, testRunner("r1"), testRunner("r2"))
	began, first := b.now, testJob(1, 300*ms)
	for j := first; b.now-began < time.Second; j = testJob(1, 300*ms) {
		b.s.Submit(b.now, Submission{
			Job: j, Entry: entryA, RemainingObjective: time.Second, RemainingTimeout: 5 * time.Second,
			PriorSubmissions: 1, PriorRunsTTL: priorRunsTTL,
		})
		if _, starts := b.passUnlisted(20 * ms); len(starts) > 0 {
			b.g.Expect(starts[0].Run.Task.Job).To(Equal(first.ID))
			b.g.Expect(b.now - began).To(BeNumerically("<=", b.longestStop()+40*ms))
			return
		}
	}
	t.Fatal("none was started")
}
