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

// submitTimeout bounds one request through one entry. The entry that holds the job's claim, and so is
// the only one that may start its tasks, may be paused or gone.
const submitTimeout = 4 * time.Second

// settlementJob returns a job of n tasks that aren't idempotent, under a key of the caller's own.
func settlementJob(key string, n, runMs int) *pb.Submission {
	s := labelJob(n, runMs)
	s.Service = "settle"
	s.Id = client.OwnKey(key)
	return s
}

// submitOnce submits a job once and returns the answer, or nil if none came.
func (e *entry) submitOnce(s *pb.Submission) *pb.Answer {
	ctx, cancel := context.WithTimeout(context.Background(), submitTimeout)
	defer cancel()
	a, err := e.client().SubmitOnce(ctx, s)
	if err != nil {
		return nil
	}
	return a
}

// resubmitUntilFinal resubmits a job until the answer is final.
func (e *entry) resubmitUntilFinal(s *pb.Submission) *pb.Answer {
	var answer *pb.Answer
	Eventually(func() pb.Outcome {
		answer = e.submitOnce(s)
		return answer.GetOutcome()
	}, eventualTimeout, pollInterval).Should(BeElementOf(pb.Outcome_OUTCOME_COMPLETE, pb.Outcome_OUTCOME_FAILED, pb.Outcome_OUTCOME_NOT_RUN))
	return answer
}

// resubmitThroughAll resubmits a job through several entries at once until each has returned a final
// answer.
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

// waitForStarts waits until the runners have started at least n tasks in all.
func (d *deployment) waitForStarts(n int) {
	Eventually(func() int { return len(d.totalStarts()) }, eventualTimeout, pollInterval).Should(BeNumerically(">=", n))
}

// expectNoFalseNotRun checks answers to a job whose tasks were started: none may say that nothing ran,
// and no task may have been started twice.
func (d *deployment) expectNoFalseNotRun(answers ...*pb.Answer) {
	for _, w := range answers {
		Expect(w.GetOutcome()).NotTo(Equal(pb.Outcome_OUTCOME_NOT_RUN), w.String())
		if w.GetOutcome() == pb.Outcome_OUTCOME_FAILED {
			Expect(w.GetMayHaveRun()).To(BeTrue(), w.String())
		}
	}
	d.expectNoSecondStart()
}

// A claim is the right to start the tasks of a submission. Its holder is the entry process that issued
// the submission's id, or whose claim row for a caller's own key is stored at the platform.
var _ = Describe("the holder of a claim", func() {
	var d *deployment
	BeforeEach(func() { d = deploy([]string{"hinckley", "melton"}, 2, 2) })

	// The process that accepted a settlement is killed while the settlement runs. The caller's
	// connection breaks, and it resubmits the settlement through all other entries and through the
	// killed process's successor. If the settlement ran twice, a family would wait weeks for its
	// money; after a false "not run" the caller would pay it by hand as well.
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

	// An entry process is paused, for example by its hypervisor, until all leases and timeouts have
	// expired, and resumes with all its timers due at once. Callers that resubmit meanwhile and
	// afterwards must get neither a second run nor the answer that nothing ran.
	It("is paused past every timeout and resumed, between resubmissions", func() {
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

	// A VM is replaced and its successor gets the same name and address. It receives an id that the
	// old process issued and never used. The successor can't know whether the id was used, so it must
	// not start the job: a label could be printed twice.
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
