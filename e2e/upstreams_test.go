package e2e

import (
	"sync"
	"syscall"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	pb "sapphirepoint.example/sapphirepoint/gen/sapphirepointv1"
)

// issuedIDJob returns a label job under an id issued by this entry.
func (e *entry) issuedIDJob(n, runMs int) *pb.Submission {
	s := labelJob(n, runMs)
	id, err := e.client().NewID(GinkgoT().Context())
	Expect(err).NotTo(HaveOccurred())
	s.Id = id
	return s
}

// ownedSlotCount returns the number of slots that the process owns.
func (e *entry) ownedSlotCount() int {
	n, _ := e.dump()["owned_slots"].(float64)
	return int(n)
}

var _ = Describe("upstreams", func() {
	// A network element between an entry and a runner loses its connection table while tasks run:
	// data is dropped without an error, and new connections work. Callers must neither wait until
	// their deadlines for results that exist nor get labels printed twice.
	It("has connections go silent while new ones work", func() {
		d := deploy([]string{"hinckley"}, 1, 2)
		s := d.entries[0].issuedIDJob(16, 1000)
		answers := make(chan *pb.Answer, 1)
		go func() {
			defer GinkgoRecover()
			answers <- d.entries[0].resubmitUntilFinal(s)
		}()
		d.waitForStarts(16)
		d.controlRunner(0, "silence")
		var answer *pb.Answer
		Eventually(answers, eventualTimeout).Should(Receive(&answer))
		Expect(answer.GetOutcome()).To(Equal(pb.Outcome_OUTCOME_COMPLETE), answer.String())
		Expect(d.entries[0].resubmitUntilFinal(d.entries[0].issuedIDJob(16, 5)).GetOutcome()).To(Equal(pb.Outcome_OUTCOME_COMPLETE))
		d.expectNoSecondStart()
	})

	// A runner with a broken disk fails each task at once and so always looks idle. Callers get
	// "failed, may have run", never a partial answer, and no task that ran is run again elsewhere.
	It("has a runner that fails everything", func() {
		d := deploy([]string{"hinckley"}, 1, 3)
		d.controlRunner(0, "mode?mode=fail")
		for range 20 {
			answer := d.entries[0].resubmitUntilFinal(d.entries[0].issuedIDJob(4, 5))
			if answer.GetOutcome() == pb.Outcome_OUTCOME_COMPLETE {
				Expect(answer.GetResults()).To(HaveLen(4))
				continue
			}
			Expect(answer.GetReason()).To(Equal(pb.Reason_REASON_TASK_FAILED))
			Expect(answer.GetResults()).To(BeEmpty())
			d.expectNoFalseNotRun(answer)
		}
		d.expectNoSecondStart()
		d.controlRunner(0, "mode?mode=normal")
	})

	// The platform announces that a VM is leaving. The tasks that run there are finished and their
	// callers get complete answers. No new tasks may be sent there: they would be cut off when the VM
	// ends.
	It("has a leaving VM, which finishes its tasks and gets no new ones", func() {
		d := deploy([]string{"hinckley"}, 1, 2)
		s := d.entries[0].issuedIDJob(16, 1500)
		answers := make(chan *pb.Answer, 1)
		go func() {
			defer GinkgoRecover()
			answers <- d.entries[0].resubmitUntilFinal(s)
		}()
		d.waitForStarts(16)
		d.announceLeaving(0)
		Eventually(d.entries[0].ownedSlotCount, eventualTimeout, pollInterval).Should(Equal(8))
		before := len(d.ledger(0).Starts)
		Expect(before).To(Equal(8))
		for range 3 {
			Expect(d.entries[0].resubmitUntilFinal(d.entries[0].issuedIDJob(8, 5)).GetOutcome()).To(Equal(pb.Outcome_OUTCOME_COMPLETE))
		}
		var answer *pb.Answer
		Eventually(answers, eventualTimeout).Should(Receive(&answer))
		Expect(answer.GetOutcome()).To(Equal(pb.Outcome_OUTCOME_COMPLETE), answer.String())
		Expect(d.ledger(0).Starts).To(HaveLen(before))
		d.expectNoSecondStart()
	})

	// An upstream is about to stop and announces it in its answers, seconds before the list of VMs
	// does. Each task still sent to it costs a refusal.
	It("has an upstream that announces that it is leaving", func() {
		d := deploy([]string{"hinckley"}, 1, 2)
		d.controlRunner(0, "mode?mode=leave")
		Expect(d.entries[0].resubmitUntilFinal(d.entries[0].issuedIDJob(16, 5)).GetOutcome()).To(Equal(pb.Outcome_OUTCOME_COMPLETE))
		Expect(d.entries[0].ownedSlotCount()).To(Equal(8))
		refused := d.ledger(0).Refused
		Expect(refused).To(BeNumerically(">", 0))
		for range 3 {
			Expect(d.entries[0].resubmitUntilFinal(d.entries[0].issuedIDJob(16, 5)).GetOutcome()).To(Equal(pb.Outcome_OUTCOME_COMPLETE))
		}
		Expect(d.ledger(0).Refused).To(Equal(refused))
		Expect(d.ledger(0).Starts).To(BeEmpty())
	})

	// An entry VM is stopped as planned at peak load. A caller whose request is in progress must get
	// its complete answer.
	It("are released by an entry that stops under load", func() {
		d := deploy([]string{"hinckley"}, 2, 2)
		const callers = 20
		var all sync.WaitGroup
		answers := make([]*pb.Answer, callers)
		jobs := make([]*pb.Submission, callers)
		for i := range jobs {
			jobs[i] = d.entries[0].issuedIDJob(10, 400)
		}
		for i, s := range jobs {
			all.Go(func() {
				ctx := GinkgoT().Context()
				answers[i], _ = d.entries[0].client().SubmitOnce(ctx, s)
			})
		}
		Eventually(func() int {
			list, _ := d.entries[0].dump()["submissions"].([]any)
			return len(list)
		}, eventualTimeout, pollInterval).Should(Equal(callers))
		d.entries[0].signal(syscall.SIGTERM)
		all.Wait()
		for _, w := range answers {
			Expect(w.GetOutcome()).To(Equal(pb.Outcome_OUTCOME_COMPLETE), w.String())
			Expect(w.GetResults()).To(HaveLen(10))
		}
		Eventually(d.entries[0].done, eventualTimeout).Should(BeClosed())
		Expect(d.entries[0].cmd.ProcessState.ExitCode()).To(Equal(0))
		d.expectNoSecondStart()
	})
})
