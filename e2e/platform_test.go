package e2e

import (
	"syscall"

	"connectrpc.com/connect"
	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	pb "sapphirepoint.example/sapphirepoint/gen/sapphirepointv1"
	"sapphirepoint.example/sapphirepoint/standin"
	"sapphirepoint.example/sapphirepoint/standin/platform"
)

// version returns the settings version in force at the process.
func (e *entry) version() uint64 {
	v, _ := e.dump()["settings_version"].(float64)
	return uint64(v)
}

var _ = Describe("the platform", func() {
	var d *deployment
	BeforeEach(func() { d = deploy([]string{"hinckley", "melton"}, 1, 2) })

	// The table service commits a claim, loses the reply and goes down. The caller's deadline passes
	// without a final answer. When the caller resubmits the key after the outage, the settlement must
	// run exactly once.
	It("fails in the middle of a claim", func() {
		s := settlementJob("lot-3", 3, 20)
		s.TimeoutMs = 1500
		d.setFaults(platform.Faults{LoseReplies: 1, ThenOutage: true})
		answer := d.entries[0].submitOnce(s)
		Expect(answer.GetOutcome()).To(Equal(pb.Outcome_OUTCOME_UNKNOWN), answer.String())
		Expect(answer.GetRetryAfterMs()).NotTo(BeZero())
		Expect(d.totalStarts()).To(BeEmpty())
		d.setFaults(platform.Faults{})
		for _, e := range d.entries {
			Expect(e.resubmitUntilFinal(s).GetOutcome()).To(Equal(pb.Outcome_OUTCOME_COMPLETE))
		}
		Expect(d.totalStarts()).To(HaveLen(3))
		d.expectNoSecondStart()
	})

	// A claim is written and its reply is lost. An entry that took its own row for another process's
	// claim would never run the settlement; one that ignored the row would run it without a claim.
	It("loses the reply to a claim that took effect", func() {
		d.setFaults(platform.Faults{LoseReplies: 2})
		s := settlementJob("lot-4", 3, 20)
		Expect(d.entries[0].submitOnce(s).GetOutcome()).To(Equal(pb.Outcome_OUTCOME_COMPLETE))
		Expect(d.entries[1].resubmitUntilFinal(s).GetOutcome()).To(Equal(pb.Outcome_OUTCOME_COMPLETE))
		Expect(d.totalStarts()).To(HaveLen(3))
		d.expectNoSecondStart()
	})

	// Calls to the platform are accepted and never answered. Jobs under issued ids must not depend on
	// these calls.
	It("hangs, and jobs under issued ids complete", func() {
		d.setFaults(platform.Faults{Hang: true})
		for _, e := range d.entries {
			a, err := e.client().Submit(GinkgoT().Context(), labelJob(10, 5))
			Expect(err).NotTo(HaveOccurred())
			Expect(a.GetOutcome()).To(Equal(pb.Outcome_OUTCOME_COMPLETE))
		}
	})

	// Two operators change the settings at the same moment through different entries. Only one of
	// them may be answered that its settings are accepted.
	It("accepts one of two operators' settings, also when the reply is lost", func() {
		type attempt struct {
			quota uint32
			err   error
		}
		d.setFaults(platform.Faults{LoseReplies: 1, DelayMs: 50})
		attempts := make(chan attempt, 2)
		for i, e := range d.entries {
			changed := standin.Settings()
			changed.Institutions[0].Teams[0].QuotaSlots = uint32(100 + i)
			go func() { attempts <- attempt{uint32(100 + i), apply(e, 1, changed)} }()
		}
		var won []uint32
		for range 2 {
			var a attempt
			Eventually(attempts, eventualTimeout).Should(Receive(&a))
			if a.err == nil {
				won = append(won, a.quota)
				continue
			}
			Expect(connect.CodeOf(a.err)).To(Equal(connect.CodeAborted), a.err.Error())
		}
		Expect(won).To(HaveLen(1))
		for _, e := range d.entries {
			Eventually(e.version, eventualTimeout, pollInterval).Should(BeEquivalentTo(2))
			Expect(e.quota()).To(Equal(won[0]))
		}
	})

	// An entry VM is replaced while the platform is down, so that the new process can read neither the
	// settings nor the list of VMs. Without peers it must not serve, since it has no limits to apply;
	// with a peer it takes the peer's settings.
	It("is down while a process starts", func() {
		changed := standin.Settings()
		changed.Institutions[0].Teams[0].QuotaSlots = 77
		Expect(apply(d.entries[0], 1, changed)).To(Succeed())
		Eventually(d.entries[1].version, eventualTimeout, pollInterval).Should(BeEquivalentTo(2))
		d.setFaults(platform.Faults{Outage: true})
		d.entries[1].signal(syscall.SIGSTOP)
		d.entries[0].signal(syscall.SIGKILL)
		<-d.entries[0].done
		d.entries[0].start()
		Eventually(d.entries[0].dump, eventualTimeout, pollInterval).Should(HaveKeyWithValue("settings_version", BeEquivalentTo(0)))
		Expect(d.entries[0].ready()).To(BeFalse())
		d.entries[1].signal(syscall.SIGCONT)
		Eventually(d.entries[0].ready, eventualTimeout, pollInterval).Should(BeTrue())
		Expect(d.entries[0].version()).To(BeEquivalentTo(2))
		Expect(d.entries[0].quota()).To(BeEquivalentTo(77))
		Expect(d.entries[0].resubmitUntilFinal(d.entries[0].issuedIDJob(5, 5)).GetOutcome()).To(Equal(pb.Outcome_OUTCOME_COMPLETE))
	})
})
