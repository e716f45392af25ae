package e2e

import (
	"context"
	"sync"
	"syscall"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"sapphirepoint.example/sapphirepoint/client"
	pb "sapphirepoint.example/sapphirepoint/gen/sapphirepointv1"
)

// askTimeout bounds one request through one entry; the entry behind may be
// paused or gone.
const submitTimeout = 4 * time.Second

// settlement is a job of n tasks that must run at most once, under an own key.
func settlementJob(key string, n, runMs int) *pb.Submission {
	s := labelJob(n, runMs)
	s.Service = "settle"
	s.Id = client.OwnKey(key)
	return s
}

// ask submits once and returns the word, or nil if no word came back.
func (e *entry) submitOnce(s *pb.Submission) *pb.Answer {
	ctx, cancel := context.WithTimeout(context.Background(), submitTimeout)
	defer cancel()
	a, err := e.client().SubmitOnce(ctx, s)
	if err != nil {
		return nil
	}
	return a
}

// askUntilFinal resubmits until the word is final.
func (e *entry) resubmitUntilFinal(s *pb.Submission) *pb.Answer {
	var answer *pb.Answer
	Eventually(func() pb.Outcome {
		answer = e.submitOnce(s)
		return answer.GetOutcome()
	}, eventualTimeout, pollInterval).Should(BeElementOf(pb.Outcome_OUTCOME_COMPLETE, pb.Outcome_OUTCOME_FAILED, pb.Outcome_OUTCOME_NOT_RUN))
	return answer
}

// askAll resubmits through several entries at once until each has the final
// word.
func resubmitThroughAll(s *pb.Submission, entries ...*entry) []*pb.Answer {
	answers := make([]*pb.Answer, len(entries))
	var all sync.WaitGroup
	for i, e := range entries {
		all.Go(func() {
			defer GinkgoRecover()
			answers[i] = e.resubmitUntilFinal(s)
		})
	}
	all.Wait()
	return answers
}

// running waits until the runners have started n tasks in all.
func (d *deployment) waitForStarts(n int) {
	Eventually(func() int { return len(d.totalStarts()) }, eventualTimeout, pollInterval).Should(BeNumerically(">=", n))
}

// expectTruth checks words on a submission whose tasks were started.
func (d *deployment) expectNoFalseNotRun(answers ...*pb.Answer) {
	for _, w := range answers {
		Expect(w.GetOutcome()).NotTo(Equal(pb.Outcome_OUTCOME_NOT_RUN), w.String())
		if w.GetOutcome() == pb.Outcome_OUTCOME_FAILED {
			Expect(w.GetMayHaveRun()).To(BeTrue(), w.String())
		}
	}
	d.expectNoSecondStart()
}

var _ = Describe("the holder of a claim", func() {
	var d *deployment
	BeforeEach(func() { d = deploy([]string{"hinckley", "melton"}, 2, 2) })

	// The process that took a settlement is killed while the settlement runs.
	// The caller sees its connection break and sends the settlement again
	// through every other entry and through the dead one's successor. A family
	// would wait weeks for its money if it ran twice, and "not run" would make
	// the caller pay it by hand as well.
	It("is killed between resubmissions", func() {
		own, issued := settlementJob("lot-1", 4, 800), labelJob(4, 800)
		id, err := d.entries[0].client().NewID(context.Background())
		Expect(err).NotTo(HaveOccurred())
		issued.Id = id
		go d.entries[0].submitOnce(own)
		go d.entries[0].submitOnce(issued)
		d.waitForStarts(8)
		d.entries[0].signal(syscall.SIGKILL)
		<-d.entries[0].done
		for _, s := range []*pb.Submission{own, issued} {
			d.expectNoFalseNotRun(d.entries[1].submitOnce(s), d.entries[2].submitOnce(s), d.entries[3].submitOnce(s))
		}
		d.entries[0].start()
		Eventually(d.entries[0].ready, eventualTimeout, pollInterval).Should(BeTrue())
		for _, s := range []*pb.Submission{own, issued} {
			d.expectNoFalseNotRun(resubmitThroughAll(s, d.entries[0], d.entries[3])...)
		}
		Expect(d.totalStarts()).To(HaveLen(8))
	})

	// An entry process is frozen, by its hypervisor say, until every lease and
	// timeout has passed, and wakes with its timers due at once. Callers that
	// resubmit meanwhile and afterwards must neither get a second run nor the
	// word that nothing ran.
	It("is paused past every timeout and woken, between resubmissions", func() {
		own, issued := settlementJob("lot-2", 3, 800), labelJob(3, 800)
		id, err := d.entries[0].client().NewID(context.Background())
		Expect(err).NotTo(HaveOccurred())
		issued.Id = id
		go d.entries[0].submitOnce(own)
		go d.entries[0].submitOnce(issued)
		d.waitForStarts(6)
		d.entries[0].signal(syscall.SIGSTOP)
		Eventually(d.entries[1].peerCount, eventualTimeout, pollInterval).Should(Equal(2))
		Eventually(d.entries[3].peerCount, eventualTimeout, pollInterval).Should(Equal(2))
		for _, s := range []*pb.Submission{own, issued} {
			d.expectNoFalseNotRun(d.entries[1].submitOnce(s), d.entries[2].submitOnce(s), d.entries[3].submitOnce(s))
		}
		Expect(d.entries[1].connectedNodes()).To(HaveKeyWithValue(d.entries[0].name, false))
		d.entries[0].signal(syscall.SIGCONT)
		for _, s := range []*pb.Submission{own, issued} {
			d.expectNoFalseNotRun(resubmitThroughAll(s, d.entries[3], d.entries[0])...)
		}
		Expect(d.totalStarts()).To(HaveLen(6))
	})

	// A VM is replaced and its successor gets the same name and address. An id
	// that the old process issued and never used reaches the new one, which
	// can't know whether it was used: a start could print a label twice.
	It("is replaced under the same address and is another incarnation", func() {
		s := labelJob(2, 10)
		id, err := d.entries[0].client().NewID(context.Background())
		Expect(err).NotTo(HaveOccurred())
		s.Id = id
		old := d.entries[0].dump()["incarnation"]
		d.entries[0].signal(syscall.SIGKILL)
		<-d.entries[0].done
		d.entries[0].start()
		Eventually(d.entries[0].ready, eventualTimeout, pollInterval).Should(BeTrue())
		Expect(d.entries[0].dump()["incarnation"]).NotTo(Equal(old))
		for _, w := range resubmitThroughAll(s, d.entries...) {
			Expect(w.GetOutcome()).To(Equal(pb.Outcome_OUTCOME_FAILED))
			Expect(w.GetMayHaveRun()).To(BeTrue())
		}
		Expect(d.totalStarts()).To(BeEmpty())
	})
})
