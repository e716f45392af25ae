package e2e

import (
	"syscall"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	pb "sapphirepoint.example/sapphirepoint/gen/sapphirepointv1"
)

var _ = Describe("a paused entry process", func() {
	// Guards against a job that is given up although its results are there: the process was paused
	// until after the job's deadline, and its timers fire before it reads what has arrived.
	It("resumes after a job's deadline with all results waiting", func() {
		d := deploy([]string{"hinckley"}, 1, 2)
		s := d.entries[0].issuedIDJob(16, 1500)
		answers := make(chan *pb.Answer, 1)
		go func() {
			defer GinkgoRecover()
			answers <- d.entries[0].resubmitUntilFinal(s)
		}()
		d.waitForStarts(16)
		d.entries[0].signal(syscall.SIGSTOP)
		time.Sleep(7 * time.Second)
		d.entries[0].signal(syscall.SIGCONT)
		var answer *pb.Answer
		Eventually(answers, eventualTimeout).Should(Receive(&answer))
		Expect(answer.GetOutcome()).To(Equal(pb.Outcome_OUTCOME_COMPLETE), answer.String())
		d.expectNoSecondStart()
	})
})
