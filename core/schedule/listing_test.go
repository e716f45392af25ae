package schedule

import (
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"sapphirepoint.example/sapphirepoint/core/workload"
)

// expiredEntryHarness returns a harness that owns two runners; then the entry of the second expires.
func expiredEntryHarness(t *testing.T) *harness {
	stays, expired := testRunner("stays"), testRunner("lapsed")
	b := leading(t, stays, expired)
	expired.EntryExpired = true
	b.s.SetRunners(b.now, []workload.Runner{expired, stays})
	return b
}

// wideJob submits a job that fits on two runners but not on one, and returns the number of its
// tasks that are started.
func (b *harness) wideJob() int {
	b.submit(testJob(4, 100*ms), 1500*ms)
	return len(take[Start](b))
}

// After an outage of the store of some seconds most entries of runners have expired. The runners
// are healthy and answer: jobs are started on them, and none is refused for lack of room.
func TestRunnersWithExpiredEntriesThatAnswerAreUsed(t *testing.T) {
	b := expiredEntryHarness(t)
	b.g.Expect(one[Hold](b).Runner).To(BeEquivalentTo("lapsed"), "it is checked at once")
	b.g.Expect(b.wideJob()).To(Equal(4))
}

// A runner has crashed during an outage of the store. It doesn't answer, and once that is noticed
// nothing is started there.
func TestRunnersWithExpiredEntriesThatAreSilentAreNotUsed(t *testing.T) {
	b := expiredEntryHarness(t)
	b.answerHold(one[Hold](b), Unanswered)
	b.g.Expect(b.wideJob()).To(Equal(2))
}

// A failure domain was cut off, from the store too, for seconds, and its runners are no longer
// listed. When the partition heals the process that led there names them, and they are used from
// their first answer: otherwise a quarter of the capacity would be missing until they have
// registered again. A runner that doesn't register is given up.
func TestRunnersThatAnswerAgainAreUsed(t *testing.T) {
	b := leading(t, testRunner("stays"))
	b.g.Expect(b.wideJob()).To(Equal(2))
	b.s.AddUnlistedRunners(b.now, []workload.Runner{testRunner("cut")})
	b.wait(20 * ms)
	b.g.Expect(b.s.runners["cut"].usable(b.now)).To(BeTrue())
	b.wait(unlistedGrace + 20*ms)
	b.g.Expect(b.s.runners["cut"].usable(b.now)).To(BeFalse())
}

// The same, but the runner had reported before the partition that it drains. Nothing is started
// there.
func TestDrainingRunnersThatAnswerAgainAreNotUsed(t *testing.T) {
	b := leading(t, testRunner("stays"))
	cut := testRunner("cut")
	cut.Draining = true
	b.s.AddUnlistedRunners(b.now, []workload.Runner{cut})
	b.wait(20 * time.Millisecond)
	b.g.Expect(b.s.runners["cut"].usable(b.now)).To(BeFalse())
}

// Guards against a new leader that uses a runner which left the list long ago: no other process knows
// that runner any more, so a successor wouldn't ask it for its runs.
func TestRunnerUnlistedForLongIsNotUsedByANewLeader(t *testing.T) {
	stays, left := testRunner("stays"), testRunner("left")
	b := newHarness(t, stays, left)
	b.s.SetRunners(b.now, []workload.Runner{stays})
	b.tick(b.s.cfg.Resend + 20*ms)
	b.s.Lead(b.now)
	b.g.Expect(one[Hold](b).Runner).To(BeEquivalentTo("stays"))
}

// Guards against starts on an unlisted runner before other processes can know of it, and against
// processes that forget the runner while it is in use.
func TestUnlistedRunnersInUseAreReported(t *testing.T) {
	b := leading(t, testRunner("stays"))
	b.g.Expect(b.wideJob()).To(Equal(2))
	b.g.Expect(take[UnlistedInUse](b)).To(BeEmpty())
	b.s.AddUnlistedRunners(b.now, []workload.Runner{testRunner("back")})
	b.now += 20 * ms
	for _, h := range take[Hold](b) {
		if h.Runner == "back" {
			b.held(h)
		}
	}
	b.collect()
	var order []string
	for _, c := range b.out {
		switch c := c.(type) {
		case UnlistedInUse:
			order = append(order, "reported "+string(c.Runners[0].ID))
		case Start:
			order = append(order, "started on "+string(c.Runner))
		}
	}
	b.g.Expect(order).To(Equal([]string{"reported back", "started on back", "started on back"}))
	take[UnlistedInUse](b)
	b.tick(unlistedInterval + 20*ms)
	b.g.Expect(one[UnlistedInUse](b).Runners).To(HaveLen(1))
}

// Guards against a report to each process for each runner when a partition heals, and against runners
// that are used before they were reported.
func TestManyUnlistedRunnersAreReportedAtOnce(t *testing.T) {
	b := leading(t, testRunner("stays"))
	b.s.AddUnlistedRunners(b.now, []workload.Runner{testRunner("a"), testRunner("b"), testRunner("c")})
	b.now += 20 * ms
	for _, h := range take[Hold](b) {
		b.held(h)
	}
	b.g.Expect(one[UnlistedInUse](b).Runners).To(HaveLen(1))
	b.g.Expect(b.s.runners["c"].usable(b.now)).To(BeFalse())
	b.tick(20 * ms)
	b.g.Expect(one[UnlistedInUse](b).Runners).To(HaveLen(3))
	b.g.Expect(b.s.runners["c"].usable(b.now)).To(BeTrue())
}

// Guards against counts of orphans that differ from the runner's runs: the runner would get no
// lease any more, or one while another scheduler relies on its expiry.
func TestOrphansAreCounted(t *testing.T) {
	b := leading(t, testRunner("r1"), testRunner("r2"))
	check := func() {
		for _, r := range b.s.runnerList {
			orphanCount, foreignOrphanCount := 0, 0
			for _, u := range r.runs {
				if u.task == nil {
					orphanCount++
				}
				if u.task == nil && u.startedElsewhere {
					foreignOrphanCount++
				}
			}
			b.g.ExpectWithOffset(1, r.orphanCount).To(Equal(orphanCount))
			b.g.ExpectWithOffset(1, r.foreignOrphanCount).To(Equal(foreignOrphanCount))
		}
	}
	job := testJob(2, 300*ms)
	foreign := workload.RunKey{Task: workload.TaskName{Job: job.ID}, Number: 1}
	token := b.s.runners["r1"].token
	b.s.Held(b.now, HoldResult{Runner: "r1", Token: token, Outcome: Accepted, Running: []workload.RunKey{foreign}, Clock: b.clock()})
	check()
	b.g.Expect(b.s.runners["r1"].hasForeignOrphans()).To(BeTrue())
	b.submit(job, 3*time.Second)
	check()
	b.g.Expect(b.s.runners["r1"].hasForeignOrphans()).To(BeFalse(), "its job has arrived")
	for _, c := range take[Start](b) {
		b.started(c, Accepted)
	}
	b.s.Abandon(b.now, entryA, job.ID)
	check()
	b.g.Expect(b.s.runners["r1"].hasForeignOrphans()).To(BeTrue())
	b.end("r1", 1, foreign, workload.Stopped)
	check()
	b.s.Retire(b.now)
	check()
}
