package e2e

import (
	"sync"
	"syscall"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	pb "sapphirepoint.example/sapphirepoint/gen/sapphirepointv1"
)

var _ = Describe("entries", func() {
	// All entry VMs are stopped as planned at the same moment, as by a faulty rollout, with callers at
	// each. There is no peer left to hand answers over to. Each caller must still get its complete
	// answer and each process must end. After a restart the processes must serve as before.
	It("all stop at the same moment under load and start again", func() {
		d := deploy([]string{"hinckley", "melton"}, 2, 2)
		const jobsEach = 5
		var all sync.WaitGroup
		answers := make([]*pb.Answer, jobsEach*len(d.entries))
		jobs := make([]*pb.Submission, len(answers))
		for i := range jobs {
			jobs[i] = d.entries[i%len(d.entries)].issuedIDJob(8, 600)
		}
		for i, s := range jobs {
			all.Go(func() {
				answers[i], _ = d.entries[i%len(d.entries)].client().SubmitOnce(GinkgoT().Context(), s)
			})
		}
		d.waitForStarts(4)
		for _, e := range d.entries {
			Eventually(func() int {
				list, _ := e.dump()["submissions"].([]any)
				return len(list)
			}, eventualTimeout, pollInterval).Should(Equal(jobsEach), e.name)
		}
		for _, e := range d.entries {
			e.signal(syscall.SIGTERM)
		}
		all.Wait()
		for _, w := range answers {
			Expect(w.GetOutcome()).To(Equal(pb.Outcome_OUTCOME_COMPLETE), w.String())
		}
		for _, e := range d.entries {
			Eventually(e.done, eventualTimeout).Should(BeClosed(), e.name)
			Expect(e.cmd.ProcessState.ExitCode()).To(Equal(0), e.name)
			e.start()
		}
		for _, e := range d.entries {
			Eventually(e.ready, eventualTimeout, pollInterval).Should(BeTrue(), e.name)
			Eventually(e.peerCount, eventualTimeout, pollInterval).Should(Equal(len(d.entries)-1), e.name)
			Expect(e.resubmitUntilFinal(e.issuedIDJob(20, 5)).GetOutcome()).To(Equal(pb.Outcome_OUTCOME_COMPLETE))
		}
		d.expectNoSecondStart()
	})
})
