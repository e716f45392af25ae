package ledger

import (
	"fmt"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"sapphirepoint.example/sapphirepoint/core/workload"
)

const ms = time.Millisecond

// harness drives a ledger step by step.
type harness struct {
	g   *WithT
	l   *Ledger
	now Time
	out []Command
}

func newHarness(t *testing.T) *harness { return &harness{g: NewWithT(t), l: New(), now: time.Second} }

// openHarness returns a harness whose ledger owns its shard under epoch 3.
func openHarness(t *testing.T) *harness {
	b := newHarness(t)
	b.l.Acquire(b.now)
	b.answerClaim(takeOne[Claim](b), Ownership{Epoch: 3, Version: 30})
	b.l.HandleResult(b.now, ReadResult{Call: takeOne[Read](b).Call})
	takeOne[Loaded](b)
	takeAll[Verified](b)
	return b
}

func (b *harness) answerClaim(c Claim, o Ownership) {
	b.l.HandleResult(b.now, ClaimResult{Call: c.Call, Ownership: o, SentAt: b.now})
}

func (b *harness) answerWrite(w Write, o Outcome) {
	b.l.HandleResult(b.now, WriteResult{Call: w.Call, Outcome: o, SentAt: b.now})
}

func (b *harness) tick(d time.Duration) {
	for end := b.now + d; b.now < end; {
		b.now = min(end, b.now+20*ms)
		b.l.Tick(b.now, false)
	}
}

func takeAll[C Command](b *harness) []C {
	b.out = append(b.out, b.l.Ready()...)
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

func takeOne[C Command](b *harness) C {
	list := takeAll[C](b)
	b.g.ExpectWithOffset(1, list).To(HaveLen(1))
	return list[0]
}

func jobs(w Write) []workload.JobID {
	var ids []workload.JobID
	for _, r := range w.Records {
		ids = append(ids, r.Job)
	}
	return ids
}

// The store may carry out two writes in either order. A job's newer record is held back until
// the write of the older one is answered. Otherwise the older record could remain in the
// store, and a task that has ended would run again after a restart.
func TestRecordsOfAJobAreWrittenInOrder(t *testing.T) {
	b := openHarness(t)
	b.l.Save(b.now, 1, Record{Job: "a", Definition: &workload.Job{ID: "a"}})
	first := takeOne[Write](b)
	b.g.Expect(first.Version).To(BeEquivalentTo(30))
	b.l.Save(b.now, 2, Record{Job: "a"})
	b.l.Save(b.now, 3, Record{Job: "a", State: Completed})
	b.tick(100 * ms)
	b.g.Expect(takeAll[Write](b)).To(BeEmpty())
	b.answerWrite(first, Applied)
	b.g.Expect(takeOne[Saved](b).Records).To(Equal([]SavedRecord{{Job: "a", Sequence: 1}}))
	second := takeOne[Write](b)
	b.g.Expect(second.Records).To(HaveLen(1))
	b.g.Expect(second.Records[0].State).To(Equal(Completed))
	b.answerWrite(second, Applied)
	b.g.Expect(takeOne[Saved](b).Records).To(Equal([]SavedRecord{{Job: "a", Sequence: 3}}))
}

// The answer to a write is lost, and the store may still carry it out. The ownership is renewed
// before the rows are written again, so that the lost write can't be carried out after them
// and restore an old state.
func TestUnansweredWriteIsRepeatedAfterRenewal(t *testing.T) {
	b := openHarness(t)
	b.l.Save(b.now, 1, Record{Job: "a", Definition: &workload.Job{ID: "a"}})
	b.answerWrite(takeOne[Write](b), Unanswered)
	b.l.Save(b.now, 2, Record{Job: "a", State: Cancelled})
	b.g.Expect(takeAll[Write](b)).To(BeEmpty())
	renew := takeOne[Claim](b)
	b.g.Expect(renew.Renew).To(BeEquivalentTo(3))
	b.answerClaim(renew, Ownership{Epoch: 3, Version: 31})
	again := takeOne[Write](b)
	b.g.Expect(again.Version).To(BeEquivalentTo(31))
	b.g.Expect(again.Records[0].State).To(Equal(Cancelled))
	b.g.Expect(again.Records[0].Definition).NotTo(BeNil(), "the first record's job may not be in the store")
	b.g.Expect(takeAll[Read](b)).To(BeEmpty(), "no other process has written")
}

// While a write is unanswered, another process takes the shard. The renewal detects that. If
// the ledger took the shard back without reading it, it would continue with an old state.
func TestRenewalDetectsNewOwner(t *testing.T) {
	b := openHarness(t)
	b.l.Save(b.now, 1, Record{Job: "a"})
	b.answerWrite(takeOne[Write](b), Unanswered)
	b.l.HandleResult(b.now, ClaimResult{Call: takeOne[Claim](b).Call, Outcome: Superseded, SentAt: b.now})
	takeOne[Lost](b)
	b.tick(reclaimDelay - 100*ms)
	b.g.Expect(takeAll[Claim](b)).To(BeEmpty(), "the reclaim delay isn't over")
	b.tick(200 * ms)
	b.g.Expect(takeOne[Claim](b).Renew).To(BeZero())
}

// Several processes claim the shard as a deployment starts, and all but one then find that
// another process leads. The leader needn't wait for the reclaim delay.
func TestUncontestedShardIsTakenAgain(t *testing.T) {
	b := openHarness(t)
	b.l.Save(b.now, 1, Record{Job: "a"})
	b.answerWrite(takeOne[Write](b), Superseded)
	takeOne[Lost](b)
	b.l.Uncontested(b.now)
	b.tick(retryDelay + 20*ms)
	c := takeOne[Claim](b)
	b.answerClaim(c, Ownership{Epoch: 5, Version: 50})
	b.g.Expect(takeAll[Write](b)).To(BeEmpty(), "records queued before are dropped")
	b.l.HandleResult(b.now, ReadResult{Call: takeOne[Read](b).Call})
	b.g.Expect(takeOne[Loaded](b).Epoch).To(BeEquivalentTo(5))
}

// The store rejects calls. They had no effect, so they are repeated unchanged and in order,
// without a renewal.
func TestRejectedCallsAreRepeated(t *testing.T) {
	b := openHarness(t)
	b.l.Save(b.now, 1, Record{Job: "a", Definition: &workload.Job{ID: "a"}})
	first := takeOne[Write](b)
	b.l.Save(b.now, 2, Record{Job: "b"})
	b.answerWrite(first, Rejected)
	b.g.Expect(takeAll[Write](b)).To(BeEmpty())
	b.tick(retryDelay + 20*ms)
	b.g.Expect(b.l.FailingFor(b.now)).To(BeNumerically(">=", retryDelay))
	again := takeOne[Write](b)
	b.g.Expect(jobs(again)).To(Equal([]workload.JobID{"a", "b"}))
	b.g.Expect(again.Records[0].Definition).NotTo(BeNil())
	b.answerWrite(again, Applied)
	b.g.Expect(b.l.FailingFor(b.now)).To(BeZero())
	b.g.Expect(takeAll[Claim](b)).To(BeEmpty())
}

// A check that was sent before the ownership was renewed reads an old version. That doesn't
// mean that another process owns the shard.
func TestStaleCheckIsNotALoss(t *testing.T) {
	b := openHarness(t)
	b.now += checkInterval
	b.l.Tick(b.now, true)
	check, sent := takeOne[Check](b), b.now
	b.now += 50 * ms
	b.l.Save(b.now, 1, Record{Job: "a"})
	b.answerWrite(takeOne[Write](b), Unanswered)
	b.answerClaim(takeOne[Claim](b), Ownership{Epoch: 3, Version: 31})
	b.l.HandleResult(b.now, CheckResult{Call: check.Call, Version: 30, SentAt: sent})
	b.g.Expect(takeAll[Lost](b)).To(BeEmpty())
	b.now += checkInterval
	b.l.Tick(b.now, true)
	b.l.HandleResult(b.now, CheckResult{Call: takeOne[Check](b).Call, Version: 40, SentAt: b.now})
	takeOne[Lost](b)
}

// Four hundred jobs arrive at once. No write is larger than the store accepts, and no more
// are in flight than it can answer in time.
func TestWritesAreLimited(t *testing.T) {
	b := openHarness(t)
	for i := range 400 {
		id := workload.JobID(fmt.Sprintf("%04d", i))
		b.l.Save(b.now, uint64(i), Record{Job: id, Definition: &workload.Job{ID: id}})
	}
	saved := 0
	for range 20 {
		b.tick(maxBatchWait + 20*ms)
		writes := takeAll[Write](b)
		b.g.Expect(len(writes)).To(BeNumerically("<=", maxWritesInFlight))
		for _, w := range writes {
			b.g.Expect(len(w.Records)).To(BeNumerically("<=", maxRowsPerWrite/2))
			saved += len(w.Records)
			b.answerWrite(w, Applied)
		}
	}
	b.g.Expect(saved).To(Equal(400))
}

// The process is no longer leader while a write is in flight. The result of that write has no
// effect on its next leadership, which reads the store.
func TestResultAfterReleaseIsIgnored(t *testing.T) {
	b := openHarness(t)
	b.l.Save(b.now, 1, Record{Job: "a"})
	w := takeOne[Write](b)
	b.l.Release()
	b.l.Acquire(b.now)
	c := takeOne[Claim](b)
	b.answerWrite(w, Superseded)
	b.g.Expect(takeAll[Lost](b)).To(BeEmpty())
	b.answerClaim(c, Ownership{Epoch: 4, Version: 40})
	takeOne[Read](b)
}

// Guards against a shard that is served by nobody for seconds: another process took the rows while the
// two had no contact, and has given up the lead to this one, which doesn't know yet that it lost them.
func TestRowsAreReclaimedAtOnceFromAnOwnerThatHasRetired(t *testing.T) {
	b := openHarness(t)
	b.l.OwnerRetired(b.now, 3)
	b.l.OwnerRetired(b.now, 2)
	b.g.Expect(takeAll[Lost](b)).To(BeEmpty(), "an earlier owner")
	b.l.OwnerRetired(b.now, 4)
	takeOne[Lost](b)
	b.tick(20 * ms)
	b.g.Expect(takeOne[Claim](b).Renew).To(BeZero())

	b = openHarness(t)
	b.l.Save(b.now, 1, Record{Job: "a"})
	b.answerWrite(takeOne[Write](b), Superseded)
	takeOne[Lost](b)
	b.tick(reclaimDelay / 2)
	b.g.Expect(takeAll[Claim](b)).To(BeEmpty())
	b.l.OwnerRetired(b.now, 4)
	b.tick(20 * ms)
	takeOne[Claim](b)
}
