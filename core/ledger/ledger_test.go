package ledger

import (
	"fmt"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"sapphirepoint.example/sapphirepoint/core/workload"
)

const ms = time.Millisecond

// bench drives a ledger by hand.
type bench struct {
	g   *WithT
	l   *Ledger
	now Time
	out []Command
}

func newBench(t *testing.T) *bench { return &bench{g: NewWithT(t), l: New(), now: time.Second} }

// opened returns a bench whose ledger owns its shard under epoch 3.
func opened(t *testing.T) *bench {
	b := newBench(t)
	b.l.Acquire(b.now)
	b.claimed(one[Claim](b), Ownership{Epoch: 3, Version: 30})
	b.l.HandleResult(b.now, ReadResult{Call: one[Read](b).Call})
	one[Loaded](b)
	take[Verified](b)
	return b
}

func (b *bench) claimed(c Claim, o Ownership) {
	b.l.HandleResult(b.now, ClaimResult{Call: c.Call, Ownership: o, SentAt: b.now})
}

func (b *bench) wrote(w Write, o Outcome) {
	b.l.HandleResult(b.now, WriteResult{Call: w.Call, Outcome: o, SentAt: b.now})
}

func (b *bench) tick(d time.Duration) {
	for end := b.now + d; b.now < end; {
		b.now = min(end, b.now+20*ms)
		b.l.Tick(b.now, false)
	}
}

func take[C Command](b *bench) []C {
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

func one[C Command](b *bench) C {
	list := take[C](b)
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

// Two writes may be carried out in either order. A job's newer record is held
// back until the older one's write is answered; otherwise the older could stay,
// and a task that has ended would run again after a restart.
func TestRecordsOfAJobFollowEachOther(t *testing.T) {
	b := opened(t)
	b.l.Save(b.now, 1, Record{Job: "a", Definition: &workload.Job{ID: "a"}})
	first := one[Write](b)
	b.g.Expect(first.Version).To(BeEquivalentTo(30))
	b.l.Save(b.now, 2, Record{Job: "a"})
	b.l.Save(b.now, 3, Record{Job: "a", State: Completed})
	b.tick(100 * ms)
	b.g.Expect(take[Write](b)).To(BeEmpty())
	b.wrote(first, Applied)
	b.g.Expect(one[Saved](b).Records).To(Equal([]SavedRecord{{Job: "a", Sequence: 1}}))
	second := one[Write](b)
	b.g.Expect(second.Records).To(HaveLen(1))
	b.g.Expect(second.Records[0].State).To(Equal(Completed))
	b.wrote(second, Applied)
	b.g.Expect(one[Saved](b).Records).To(Equal([]SavedRecord{{Job: "a", Sequence: 3}}))
}

// The answer to a write is lost, and the store may yet carry it out. Before the
// rows are written again the ownership is renewed, so that it can't come after
// them and bring an old state back.
func TestLostAnswer(t *testing.T) {
	b := opened(t)
	b.l.Save(b.now, 1, Record{Job: "a", Definition: &workload.Job{ID: "a"}})
	b.wrote(one[Write](b), Unanswered)
	b.l.Save(b.now, 2, Record{Job: "a", State: Cancelled})
	b.g.Expect(take[Write](b)).To(BeEmpty())
	renew := one[Claim](b)
	b.g.Expect(renew.Renew).To(BeEquivalentTo(3))
	b.claimed(renew, Ownership{Epoch: 3, Version: 31})
	again := one[Write](b)
	b.g.Expect(again.Version).To(BeEquivalentTo(31))
	b.g.Expect(again.Records[0].State).To(Equal(Cancelled))
	b.g.Expect(again.Records[0].Definition).NotTo(BeNil(), "the first record's job may not be in the store")
	b.g.Expect(take[Read](b)).To(BeEmpty(), "nobody else has written")
}

// While an answer is awaited another process takes the shard. The renewal finds
// that; taking the shard back without reading it would go on with an old state.
func TestRenewalFindsAnotherOwner(t *testing.T) {
	b := opened(t)
	b.l.Save(b.now, 1, Record{Job: "a"})
	b.wrote(one[Write](b), Unanswered)
	b.l.HandleResult(b.now, ClaimResult{Call: one[Claim](b).Call, Outcome: Superseded, SentAt: b.now})
	one[Lost](b)
	b.tick(reclaimPause - 100*ms)
	b.g.Expect(take[Claim](b)).To(BeEmpty(), "the other one has it for a while")
	b.tick(200 * ms)
	b.g.Expect(one[Claim](b).Renew).To(BeZero())
}

// Several processes take the shard as a deployment starts, and all but one see
// then that another leads. That one needn't wait before it takes it again.
func TestUncontestedShardIsTakenAgain(t *testing.T) {
	b := opened(t)
	b.l.Save(b.now, 1, Record{Job: "a"})
	b.wrote(one[Write](b), Superseded)
	one[Lost](b)
	b.l.Uncontested(b.now)
	b.tick(retryPause + 20*ms)
	c := one[Claim](b)
	b.claimed(c, Ownership{Epoch: 5, Version: 50})
	b.g.Expect(take[Write](b)).To(BeEmpty(), "what was to be saved before is void")
	b.l.HandleResult(b.now, ReadResult{Call: one[Read](b).Call})
	b.g.Expect(one[Loaded](b).Epoch).To(BeEquivalentTo(5))
}

// The store turns calls away. They have done nothing, so they are repeated as
// they were, in order, without a renewal.
func TestCallsTurnedAway(t *testing.T) {
	b := opened(t)
	b.l.Save(b.now, 1, Record{Job: "a", Definition: &workload.Job{ID: "a"}})
	first := one[Write](b)
	b.l.Save(b.now, 2, Record{Job: "b"})
	b.wrote(first, Rejected)
	b.g.Expect(take[Write](b)).To(BeEmpty())
	b.tick(retryPause + 20*ms)
	b.g.Expect(b.l.FailingFor(b.now)).To(BeNumerically(">=", retryPause))
	again := one[Write](b)
	b.g.Expect(jobs(again)).To(Equal([]workload.JobID{"a", "b"}))
	b.g.Expect(again.Records[0].Definition).NotTo(BeNil())
	b.wrote(again, Applied)
	b.g.Expect(b.l.FailingFor(b.now)).To(BeZero())
	b.g.Expect(take[Claim](b)).To(BeEmpty())
}

// A check that was sent before the ownership was renewed reads an old version.
// It doesn't mean that another process has the shard.
func TestOldCheck(t *testing.T) {
	b := opened(t)
	b.now += checkInterval
	b.l.Tick(b.now, true)
	check, sent := one[Check](b), b.now
	b.now += 50 * ms
	b.l.Save(b.now, 1, Record{Job: "a"})
	b.wrote(one[Write](b), Unanswered)
	b.claimed(one[Claim](b), Ownership{Epoch: 3, Version: 31})
	b.l.HandleResult(b.now, CheckResult{Call: check.Call, Version: 30, SentAt: sent})
	b.g.Expect(take[Lost](b)).To(BeEmpty())
	b.now += checkInterval
	b.l.Tick(b.now, true)
	b.l.HandleResult(b.now, CheckResult{Call: one[Check](b).Call, Version: 40, SentAt: b.now})
	one[Lost](b)
}

// Four hundred jobs come at once. No write is larger than the store takes, and
// no more are on their way than it can answer in time.
func TestManyRecords(t *testing.T) {
	b := opened(t)
	for i := range 400 {
		id := workload.JobID(fmt.Sprintf("%04d", i))
		b.l.Save(b.now, uint64(i), Record{Job: id, Definition: &workload.Job{ID: id}})
	}
	saved := 0
	for range 20 {
		b.tick(linger + 20*ms)
		writes := take[Write](b)
		b.g.Expect(len(writes)).To(BeNumerically("<=", mostWrites))
		for _, w := range writes {
			b.g.Expect(len(w.Records)).To(BeNumerically("<=", mostRows/2))
			saved += len(w.Records)
			b.wrote(w, Applied)
		}
	}
	b.g.Expect(saved).To(Equal(400))
}

// A process that gives up the lead has a write on its way. What comes of it is
// nothing to the next leadership, which reads what is in the store.
func TestAnswersAfterRetiring(t *testing.T) {
	b := opened(t)
	b.l.Save(b.now, 1, Record{Job: "a"})
	w := one[Write](b)
	b.l.Release()
	b.l.Acquire(b.now)
	c := one[Claim](b)
	b.wrote(w, Superseded)
	b.g.Expect(take[Lost](b)).To(BeEmpty())
	b.claimed(c, Ownership{Epoch: 4, Version: 40})
	one[Read](b)
}
