package e2e

import (
	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	pb "sapphirepoint.example/sapphirepoint/gen/sapphirepointv1"
)

// dumpCounter returns a counter of the process's dump.
func (e *entry) dumpCounter(name string) float64 {
	stats, _ := e.dump()["stats"].(map[string]any)
	n, _ := stats[name].(float64)
	return n
}

var _ = Describe("idle slots", func() {
	// All callers of one domain submit at once while the other domain is idle. Without loans the job
	// would run on its own VM's slots only, in several rounds, and take several times as long.
	It("are lent to the other domain and returned", func(ctx SpecContext) {
		d := deploy([]string{"loughborough", "melton"}, 1, 1)
		busy, idle := d.entries[0], d.entries[1]
		a, err := busy.client().Submit(ctx, labelJob(48, 300))
		Expect(err).NotTo(HaveOccurred())
		Expect(a.GetOutcome()).To(Equal(pb.Outcome_OUTCOME_COMPLETE))
		Expect(busy.dumpCounter("borrowed_slots")).To(BeNumerically(">", 0))
		Expect(idle.dumpCounter("lent_slots")).To(BeNumerically(">=", busy.dumpCounter("borrowed_slots")))
		Expect(len(d.totalStarts())).To(Equal(48))
		d.expectNoSecondStart()
		Eventually(func() int { return idle.idleSlotCount() }, eventualTimeout, pollInterval).Should(Equal(idle.ownedSlotCount()))
	})
})

// idleSlotCount returns the number of the process's own slots that are idle.
func (e *entry) idleSlotCount() int {
	n, _ := e.dump()["idle_slots"].(float64)
	return int(n)
}
