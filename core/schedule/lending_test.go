package schedule

import (
	"slices"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"sapphirepoint.example/sapphirepoint/core/workload"
)

// idleLender is a shard that reports room.
func idleLender(shard int, age time.Duration) Lender {
	return Lender{Shard: shard, SameCell: true, Load: Load{IdleMilliCPU: 640000}, Age: age}
}

// borrower returns a harness whose runner is full, with a waiting job for which room is requested.
func borrower(t *testing.T) (*harness, *workload.Job, RequestRoom) {
	b := leading(t, testRunner("r1"))
	b.s.SetUnreachable(false)
	for _, c := range fill(b, 2, 900*ms) {
		b.started(c, Accepted)
	}
	b.s.SetLenders(b.now, []Lender{idleLender(3, 0)})
	j := testJob(1, 300*ms)
	b.submit(testJob(2, 100*ms), 3*time.Second)
	b.submit(j, 3*time.Second)
	b.tick(40 * ms)
	requests := take[RequestRoom](b)
	b.g.Expect(requests).NotTo(BeEmpty())
	for _, q := range requests {
		for _, n := range q.Needs {
			if n.Job == j.ID {
				return b, j, q
			}
		}
	}
	b.g.Expect(requests).To(BeNil(), "room is requested for the second job")
	return nil, nil, RequestRoom{}
}

func grantFor(ids ...workload.JobID) RoomGrant { return RoomGrant{Lender: 3, Jobs: ids} }

// lentAnswers takes the answers of jobs that were lent.
func lentAnswers(b *harness) (list []Answer) {
	for _, a := range take[Answer](b) {
		if a.Lent {
			list = append(list, a)
		}
	}
	return list
}

// A shard is full while another reports room. The job that would begin too late goes there, and the
// verdict names the lender.
func TestAJobGoesWhereRoomIsGranted(t *testing.T) {
	b, j, q := borrower(t)
	b.g.Expect(q.To).To(Equal(3))
	b.s.RoomGranted(b.now, grantFor(j.ID))
	answers := lentAnswers(b)
	b.g.Expect(answers).To(HaveLen(1))
	b.g.Expect(answers[0].Job).To(Equal(j.ID))
	b.g.Expect(answers[0].Lender).To(Equal(3))
	b.g.Expect(answers[0].NoRoom).To(BeTrue())
	b.g.Expect(b.s.jobs).NotTo(HaveKey(j.ID))
	b.g.Expect(b.s.Counters().Refused).To(BeZero())
}

// submitCopy submits a copy of a job by way of another entry process.
func (b *harness) submitCopy(j *workload.Job, entry EntryID) {
	b.s.Submit(b.now, Submission{Job: j, Entry: entry, RemainingObjective: j.Objective, RemainingTimeout: 2 * time.Second})
}

// handBack submits a job as an entry process does that can't reach the lender.
func (b *harness) handBack(j *workload.Job, entry EntryID) {
	b.s.Submit(b.now, Submission{Job: j, Entry: entry, RemainingObjective: j.Objective, RemainingTimeout: 2 * time.Second, HandedBack: true})
}

// Guards against a lent job that runs a second time here: a copy of it arrives, perhaps after it has
// ended in the lender's shard. The copy goes there, and its caller isn't told that nothing was run.
func TestACopyOfALentJobGoesToTheLender(t *testing.T) {
	b, j, _ := borrower(t)
	b.s.RoomGranted(b.now, grantFor(j.ID))
	b.g.Expect(lentAnswers(b)).To(HaveLen(1))
	b.tick(1300 * ms)
	b.submitCopy(j, "front-b#2")
	answers := lentAnswers(b)
	b.g.Expect(answers).To(HaveLen(1))
	b.g.Expect(answers[0].Lender).To(Equal(3))
	b.g.Expect(answers[0].Outcome).To(Equal(workload.GaveUp))
	b.g.Expect(b.s.jobs).NotTo(HaveKey(j.ID))

	b.handBack(j, "front-b#2")
	a := one[Answer](b)
	b.g.Expect(a.Lent).To(BeFalse(), "the entry process can't reach the lender")
	b.g.Expect(a.Outcome).To(Equal(workload.GaveUp))
	b.g.Expect(b.s.jobs).NotTo(HaveKey(j.ID))
}

// The lender of a lent job was lost, and the entry process hands the job in here when its runs there
// must be over. Guards against a job that is sent to the lost lender again.
func TestALentJobComesBackFromALostLender(t *testing.T) {
	b, j, _ := borrower(t)
	b.s.RoomGranted(b.now, grantFor(j.ID))
	b.g.Expect(lentAnswers(b)).To(HaveLen(1))
	b.tick(1300 * ms)
	b.s.Submit(b.now, Submission{Job: j, Entry: entryA, RemainingObjective: j.Objective, RemainingTimeout: 2 * time.Second, PriorSubmissions: 1})
	b.g.Expect(lentAnswers(b)).To(BeEmpty())
	b.g.Expect(b.s.jobs).To(HaveKey(j.ID))
}

// The lender has completed a job, and its caller sends it again at once by way of the same entry
// process. Guards against a second run at home: only a job that is handed back stays.
func TestAJobThatIsSentAgainFollowsItsFirstCopy(t *testing.T) {
	b, j, _ := borrower(t)
	b.s.RoomGranted(b.now, grantFor(j.ID))
	b.g.Expect(lentAnswers(b)).To(HaveLen(1))
	b.tick(100 * ms)
	b.submitCopy(j, entryA)
	b.g.Expect(lentAnswers(b)).To(HaveLen(1))
	b.g.Expect(b.s.jobs).NotTo(HaveKey(j.ID))
	b.g.Expect(b.s.Counters().Lending.HandedBack).To(BeZero())
}

// A copy of a lent job went to the lender by way of another entry process, and the first one hands the
// job in again. Guards against a run here beside that of the copy.
func TestALentJobWithACopyAtTheLenderStaysThere(t *testing.T) {
	b, j, _ := borrower(t)
	b.s.RoomGranted(b.now, grantFor(j.ID))
	b.submitCopy(j, "front-b#2")
	b.g.Expect(lentAnswers(b)).To(HaveLen(2))
	b.tick(1300 * ms)
	b.s.Submit(b.now, Submission{Job: j, Entry: entryA, RemainingObjective: j.Objective, RemainingTimeout: 2 * time.Second, PriorSubmissions: 1})
	b.g.Expect(lentAnswers(b)).To(HaveLen(1))
	b.g.Expect(b.s.jobs).NotTo(HaveKey(j.ID))
}

// Guards against a grant that has expired at the lender, and against one that names jobs or a shard that
// weren't asked for.
func TestAGrantThatWasNotAskedForIsIgnored(t *testing.T) {
	b, j, _ := borrower(t)
	b.s.RoomGranted(b.now, RoomGrant{Lender: 99, Jobs: []workload.JobID{j.ID}})
	b.g.Expect(lentAnswers(b)).To(BeEmpty())
	b.tick(requestTimeout + 40*ms)
	b.s.RoomGranted(b.now, grantFor(j.ID))
	b.g.Expect(lentAnswers(b)).To(BeEmpty())
}

// Guards against a request that keeps the lender from its work, or whose sums overflow.
func TestAbsurdRequestsAreDenied(t *testing.T) {
	b := leading(t, testRunner("r1"))
	for _, step := range []workload.Step{
		{Tasks: 40_000_000}, {Tasks: 0}, {Tasks: 1, Estimate: 1 << 62}, {Tasks: 1, Estimate: -1},
		{Tasks: 1, Need: workload.Resources{MilliCPU: -5}},
	} {
		b.s.RoomRequested(b.now, RoomRequest{Borrower: 1, Needs: []RoomNeed{{Job: "j", Service: service, Step: step, Slack: time.Second}}})
		b.g.Expect(one[GrantRoom](b).Jobs).To(BeEmpty())
	}
}

// Guards against a caller who is told that nothing was run while the lender runs the job: the entry
// process hands a lent job back to its home shard, which has no room for it.
func TestALentJobThatIsHandedBackIsNotToldThatNothingRan(t *testing.T) {
	b, j, _ := borrower(t)
	b.s.RoomGranted(b.now, grantFor(j.ID))
	b.g.Expect(lentAnswers(b)).To(HaveLen(1))
	b.s.SetLenders(b.now, nil)
	b.handBack(j, entryA)
	b.waitWithoutEntry(2500 * ms)
	var outcomes []workload.Outcome
	for _, a := range take[Answer](b) {
		if a.Job == j.ID {
			outcomes = append(outcomes, a.Outcome)
		}
	}
	b.g.Expect(outcomes).To(Equal([]workload.Outcome{workload.GaveUp}))
}

// The grant is lost, or the lender is lost or of an older version and ignores the request. Guards
// against a job that waits for an answer without end, and against requests to a lender that doesn't
// answer: it isn't asked again before it has reported anew.
func TestARequestWithoutAnAnswerExpires(t *testing.T) {
	b, j, _ := borrower(t)
	b.tick(requestTimeout + 40*ms)
	b.g.Expect(b.s.borrowing.request).To(BeNil())
	b.g.Expect(take[RequestRoom](b)).To(BeEmpty())
	b.s.SetLenders(b.now, []Lender{idleLender(3, requestTimeout)})
	b.tick(40 * ms)
	b.g.Expect(take[RequestRoom](b)).To(BeEmpty(), "the report is older than the request")
	b.s.SetLenders(b.now, []Lender{idleLender(3, 0)})
	b.tick(40 * ms)
	b.g.Expect(take[RequestRoom](b)).NotTo(BeEmpty())
	b.g.Expect(b.s.jobs).To(HaveKey(j.ID))
	b.g.Expect(b.s.Counters().Lending.RequestsExpired).To(BeEquivalentTo(1))
}

// Guards against a job that is given up here though a task of it was started while the grant was
// on its way: it would run twice.
func TestAGrantForAJobThatHasBegunIsIgnored(t *testing.T) {
	b, j, _ := borrower(t)
	b.s.jobs[j.ID].started = true
	b.s.RoomGranted(b.now, grantFor(j.ID))
	b.g.Expect(lentAnswers(b)).To(BeEmpty())
	b.g.Expect(b.s.jobs).To(HaveKey(j.ID))
}

// Both sides of a network partition lead the shard. A job that the other side had is handed over
// here, and a grant that the other side asked for arrives. Guards against lending a job that may
// have run.
func TestAHandedOverJobIsNotLent(t *testing.T) {
	b, _, _ := borrower(t)
	j := testJob(1, 300*ms)
	b.s.Submit(b.now, Submission{Job: j, Entry: entryA, RemainingObjective: j.Objective, RemainingTimeout: 3 * time.Second, PriorSubmissions: 1, PriorRunsTTL: time.Second})
	b.s.RoomGranted(b.now, grantFor(j.ID))
	b.g.Expect(lentAnswers(b)).To(BeEmpty())
	b.g.Expect(b.s.jobs).To(HaveKey(j.ID))
}

// Guards against a scheduler that acts on the grants of a former incarnation, whose jobs it doesn't
// know, or on its own after it has retired.
func TestAGrantForAFormerIncarnationIsIgnored(t *testing.T) {
	b, j, _ := borrower(t)
	b.s.RoomGranted(b.now, grantFor("ffffffffffffffff"))
	b.g.Expect(lentAnswers(b)).To(BeEmpty())
	b.s.Retire(b.now)
	b.s.RoomGranted(b.now, grantFor(j.ID))
	b.g.Expect(lentAnswers(b)).To(BeEmpty())
	b.g.Expect(b.s.ranJobs).NotTo(HaveKey(j.ID))
}

// Stored jobs and jobs of other shards are never lent.
func TestJobsOfOtherShardsAreNotLentOn(t *testing.T) {
	b, _, _ := borrower(t)
	j := testJob(1, 300*ms)
	b.s.Submit(b.now, Submission{Job: j, Entry: entryA, RemainingObjective: j.Objective, RemainingTimeout: 3 * time.Second, Foreign: true})
	b.s.RoomGranted(b.now, grantFor(j.ID))
	b.g.Expect(lentAnswers(b)).To(BeEmpty())
}

// needs lists jobs of one task that must begin at once.
func needs(count int) (list []RoomNeed) {
	for range count {
		j := testJob(1, 200*ms)
		list = append(list, RoomNeed{Job: j.ID, Service: service, Step: j.Steps[0]})
	}
	return list
}

// Several shards ask at the same time. Guards against promises of more room than there is.
func TestALenderPromisesEachPlaceOnce(t *testing.T) {
	b := leading(t, testRunner("r1"), testRunner("r2"))
	b.s.RoomRequested(b.now, RoomRequest{Borrower: 1, Needs: needs(3)})
	b.s.RoomRequested(b.now, RoomRequest{Borrower: 2, Needs: needs(3)})
	grants := take[GrantRoom](b)
	b.g.Expect(grants).To(HaveLen(2))
	b.g.Expect(grants[0].Jobs).To(HaveLen(3))
	b.g.Expect(grants[1].Jobs).To(HaveLen(1), "two runners have four places")
	b.g.Expect(grants[1].Denied).To(Equal(2))
	b.g.Expect(b.s.ExpectedWait()).To(BeNumerically(">", 0), "promised work counts")
	b.g.Expect(b.s.Load().IdleMilliCPU).To(BeZero())
	b.g.Expect(b.s.Dump(b.now).GrantsOut).To(HaveLen(4))
}

// The borrower is lost, or a network partition separates the two, with grants out. Guards against
// room that stays promised.
func TestGrantsExpire(t *testing.T) {
	b := leading(t, testRunner("r1"))
	before := b.s.Load()
	b.s.RoomRequested(b.now, RoomRequest{Borrower: 1, Needs: needs(2)})
	b.g.Expect(one[GrantRoom](b).Jobs).To(HaveLen(2))
	b.wait(grantLifetime + 20*ms)
	b.g.Expect(b.s.grants).To(BeEmpty())
	b.g.Expect(b.s.Load()).To(Equal(before))
	b.g.Expect(b.s.Counters().Lending.Expired).To(BeEquivalentTo(2))
	b.s.RoomRequested(b.now, RoomRequest{Borrower: 1, Needs: needs(2)})
	b.s.Retire(b.now)
	b.g.Expect(b.s.grants).To(BeEmpty())
}

// Guards against a refusal of a job for which room was granted: meanwhile the lender's own jobs
// have filled its queue.
func TestAJobWithAGrantIsNotRefused(t *testing.T) {
	b := leading(t, testRunner("r1"))
	var own []*workload.Job
	for range 30 {
		own = append(own, testJob(2, 200*ms))
	}
	j, other := testJob(1, 200*ms), testJob(1, 200*ms)
	b.s.RoomRequested(b.now, RoomRequest{Borrower: 1, Needs: []RoomNeed{{Job: j.ID, Service: service, Step: j.Steps[0]}}})
	b.g.Expect(one[GrantRoom](b).Jobs).To(Equal([]workload.JobID{j.ID}))
	for _, o := range own {
		b.submit(o, 2*time.Second)
	}
	take[Answer](b)
	for _, w := range []*workload.Job{j, other} {
		b.s.Submit(b.now, Submission{Job: w, Entry: entryA, RemainingObjective: w.Objective, RemainingTimeout: 2 * time.Second, Foreign: true})
	}
	refused := take[Answer](b)
	b.g.Expect(refused).To(HaveLen(1))
	b.g.Expect(refused[0].Job).To(Equal(other.ID))
	b.g.Expect(b.s.Counters().Lending.Used).To(BeEquivalentTo(1))
}

// Guards against a service whose jobs aren't lent because a lender has no runner of another service.
func TestALenderIsExhaustedByService(t *testing.T) {
	b, j, q := borrower(t)
	b.s.RoomGranted(b.now, grantFor())
	l := b.s.lender(q.To)
	b.g.Expect(l.mayHaveRoom(b.now, j.Service)).To(BeFalse())
	b.g.Expect(l.mayHaveRoom(b.now, "other")).To(BeTrue())
}

// A scheduler whose runners are all in use, whose own jobs wait, or that has just become leader,
// grants nothing.
func TestNothingIsGrantedWithoutRoom(t *testing.T) {
	b := leading(t, testRunner("r1"))
	for _, c := range fill(b, 2, 900*ms) {
		b.started(c, Accepted)
	}
	b.s.RoomRequested(b.now, RoomRequest{Borrower: 1, Needs: needs(1)})
	b.g.Expect(one[GrantRoom](b).Jobs).To(BeEmpty())

	b = newHarness(t, testRunner("r1"))
	b.s.Lead(b.now)
	b.s.RoomRequested(b.now, RoomRequest{Borrower: 1, Needs: needs(1)})
	b.g.Expect(one[GrantRoom](b).Jobs).To(BeEmpty())
}

// With one shard, or while no other reports room, nothing is requested.
func TestNothingIsRequestedWithoutRoomElsewhere(t *testing.T) {
	b := leading(t, testRunner("r1"))
	full := Lender{Shard: 2, Load: Load{ExpectedWait: time.Second}}
	for _, lenders := range [][]Lender{nil, {full}} {
		b.s.SetLenders(b.now, lenders)
		for range 10 {
			b.submit(testJob(2, 200*ms), 2*time.Second)
		}
		b.tick(60 * ms)
		b.g.Expect(take[RequestRoom](b)).To(BeEmpty())
	}
}

// An entry process can't reach the lender and hands the job back. Guards against jobs that are given
// up for that lender again and again.
func TestALenderOutOfReachOfAnEntryProcess(t *testing.T) {
	b, j, _ := borrower(t)
	b.s.RoomGranted(b.now, grantFor(j.ID))
	b.g.Expect(lentAnswers(b)).To(HaveLen(1))
	b.s.RoomGranted(b.now, grantFor())
	take[RequestRoom](b)
	b.handBack(j, entryA)
	b.g.Expect(b.s.Counters().Lending.HandedBack).To(BeEquivalentTo(1))
	b.submit(testJob(1, 300*ms), 3*time.Second)
	b.s.SetLenders(b.now, []Lender{idleLender(3, 0)})
	b.tick(60 * ms)
	b.g.Expect(take[RequestRoom](b)).To(BeEmpty())
	b.s.SetLenders(b.now, []Lender{idleLender(3, 0), idleLender(4, 0)})
	b.tick(60 * ms)
	b.g.Expect(one[RequestRoom](b).To).To(Equal(4))
}

// Many shards report room that they deny when asked. Guards against a job that is held until its
// caller's time is up, since one of them always reports room anew.
func TestAJobThatIsDeniedRoomIsRefused(t *testing.T) {
	b, j, q := borrower(t)
	var lenders []Lender
	for shard := range 24 {
		lenders = append(lenders, idleLender(shard+10, 0))
	}
	denied := 0
	for range 30 {
		b.s.RoomGranted(b.now, RoomGrant{Lender: q.To})
		denied++
		b.s.SetLenders(b.now, lenders)
		b.tick(20 * ms)
		requests := take[RequestRoom](b)
		if len(requests) == 0 || !slices.ContainsFunc(requests[0].Needs, func(n RoomNeed) bool { return n.Job == j.ID }) {
			break
		}
		q = requests[0]
	}
	b.g.Expect(denied).To(Equal(maxDenials))
	b.g.Expect(b.s.mayBorrow(b.s.jobs[j.ID])).To(BeFalse())
}

// A timed job waits whose first occurrence is due in a day. Guards against a shard that lends nothing
// until then.
func TestATimedJobTakesNoRoomBeforeItIsDue(t *testing.T) {
	b := leading(t, testRunner("r1"))
	b.s.SetTimeOfDay(b.now, 1_000_000)
	timed := testJob(2, 200*ms)
	timed.Times, timed.Interval, timed.StartMs = 20, time.Hour, 1_000_000+24*time.Hour.Milliseconds()
	idle := b.s.Load().IdleMilliCPU
	b.submit(timed, 5*time.Second)
	b.g.Expect(b.s.Load().IdleMilliCPU).To(Equal(idle))
	b.s.RoomRequested(b.now, RoomRequest{Borrower: 1, Needs: needs(1)})
	b.g.Expect(one[GrantRoom](b).Jobs).To(HaveLen(1))
}

// Guards against a run in a third shard beside that of a copy at the lender: an entry process of an
// earlier version takes the verdict on a lent job for a refusal.
func TestJobsOfEarlierVersionsAreNotLent(t *testing.T) {
	b := leading(t, testRunner("r1"))
	b.s.SetTakesLent(entryA, false)
	for _, c := range fill(b, 2, 900*ms) {
		b.started(c, Accepted)
	}
	b.s.SetLenders(b.now, []Lender{idleLender(3, 0)})
	b.submit(testJob(2, 100*ms), 3*time.Second)
	b.submit(testJob(1, 300*ms), 3*time.Second)
	b.tick(40 * ms)
	b.g.Expect(take[RequestRoom](b)).To(BeEmpty())
	b.s.SetTakesLent(entryA, true)
	b.tick(40 * ms)
	b.g.Expect(take[RequestRoom](b)).NotTo(BeEmpty())
}
