package schedule

import (
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"sapphirepoint.example/sapphirepoint/core/workload"
)

// Entries of runners that another writer may have changed, and prior runs on these runners.

// oddEntries are changes by which an entry says that the runner can't take a task of a job of labelledJob, or is elsewhere.
var oddEntries = map[string]func(*workload.Runner){
	"service":  func(r *workload.Runner) { r.Service = "other" },
	"capacity": func(r *workload.Runner) { r.Capacity.MilliCPU = 1000 },
	"labels":   func(r *workload.Runner) { r.Labels = nil },
	"address":  func(r *workload.Runner) { r.Address = "r1" },
}

// labelledJob returns a job whose tasks require a label.
func labelledJob() *workload.Job {
	j := testJob(1, 400*ms)
	j.Steps[0].Requires = "a"
	return j
}

// passAsOther lets time pass while r2 leaves the orders to its own address unanswered, and another runner answers those
// that go to another address. It collects the starts.
func (b *harness) passAsOther(d time.Duration) []Start {
	var starts []Start
	for end := b.now + d; b.now < end; {
		b.tick(20 * ms)
		for _, h := range take[Hold](b) {
			switch {
			case h.Runner != "r2":
				b.heldBy(h, 1000)
			case h.Address == "r2":
				b.leaveHoldUnanswered(h, ConnectionTimedOut)
			default:
				b.answerHold(h, Replaced)
			}
		}
		starts = append(starts, take[Start](b)...)
	}
	return starts
}

// Guards against a second run beside a prior one on a runner whose entry another writer has changed just before a process
// that has known it for long begins to lead, or just after.
func TestAPriorRunCountsWhoseRunnersEntryHasChanged(t *testing.T) {
	for name, change := range oddEntries {
		for _, after := range []bool{false, true} {
			t.Run(name, func(t *testing.T) {
				b := newHarness(t, withOddEntry("", nil)...)
				b.tick(2 * entryTrustDelay)
				if !after {
					b.s.SetRunners(b.now, withOddEntry("r2", change))
				}
				b.tick(time.Second)
				b.s.Lead(b.now)
				b.ownRows(1)
				if after {
					b.s.SetRunners(b.now, withOddEntry("r2", change))
				}
				b.handOver(labelledJob(), 20*time.Second)
				b.g.Expect(b.passAsOther(maxPriorRunLife+MaxLateEnd-20*ms)).To(BeEmpty(), "r2 hasn't listed its runs")
				b.g.Expect(b.passAsOther(60 * ms)).To(HaveLen(1))
			})
		}
	}
}

// Guards against the same of a process that knows the entry for as long as it has been changed, and for a shorter time than
// prior runs may live.
func TestAPriorRunCountsWhoseRunnersEntryIsNewToTheProcess(t *testing.T) {
	for name, change := range oddEntries {
		t.Run(name, func(t *testing.T) {
			b := newHarness(t, withOddEntry("r2", change)...)
			b.tick(time.Second)
			b.s.Lead(b.now)
			b.ownRows(1)
			b.handOver(labelledJob(), 20*time.Second)
			wait := entryTrustDelay - time.Second
			b.g.Expect(b.passAsOther(wait-20*ms)).To(BeEmpty(), "r2 hasn't listed its runs")
			b.g.Expect(b.passAsOther(1100 * ms)).To(HaveLen(1))
		})
	}
}

// Guards against jobs that wait at each change of the leader for a lost runner of another service, or for one that was
// replaced at its address.
func TestJobsDontWaitForRunnersWhoseEntriesAreKnownForLong(t *testing.T) {
	for name, change := range oddEntries {
		t.Run(name, func(t *testing.T) {
			b := newHarness(t, withOddEntry("r2", change)...)
			b.tick(entryTrustDelay)
			b.s.Lead(b.now)
			b.ownRows(1)
			b.handOver(labelledJob(), 20*time.Second)
			b.g.Expect(b.passAsOther(maxPriorRunLife + 100*ms)).To(HaveLen(1))
		})
	}
}
