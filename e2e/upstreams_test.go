package e2e

import (
	"sync"
	"syscall"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	pb "sapphirepoint.example/sapphirepoint/gen/sapphirepointv1"
)

// job is a job of labels under an id of the entry's own.
func (e *entry) issuedIDJob(n, runMs int) *pb.Submission {
	s := labelJob(n, runMs)
	id, err := e.client().NewID(GinkgoT().Context())
	Expect(err).NotTo(HaveOccurred())
	s.Id = id
	return s
}

// ownedSlots is the number of slots that the process owns.
func (e *entry) ownedSlotCount() int {
	n, _ := e.dump()["owned_slots"].(float64)
	return int(n)
}

var _ = Describe("upstreams", func() {
	// Something between an entry and a runner forgets their connection while
	// tasks run over it: nothing arrives any more, nothing fails, and new
	// connections work. The caller would wait until its deadline for results
	// that are there, or get its labels printed twice.
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

	// A worker with a broken disk fails each task at once and so always looks
	// idle. Callers get "failed, may have run", never a part of an answer, and
	// no task that ran is run again elsewhere.
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

	// The platform announces that a VM leaves. What it runs is finished and
	// its callers get their whole answer; work sent to it afterwards would be
	// cut off when the VM goes.
	It("has a leaving VM, which finishes and gets nothing new", func() {
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

	// An upstream is told to stop and says so itself, seconds before the list
	// does. Work that is still sent to it costs a refusal each time.
	It("has an upstream that says itself that it leaves", func() {
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

	// An entry VM is stopped as planned in the rush before service. A caller
	// whose request is in progress must get its whole answer.
	It("are given up by an entry that stops under load", func() {
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
