package schedule

import (
	"testing"
	"time"

	. "github.com/onsi/gomega"
)

// Guards against a start that is carried out after its run has lapsed, under the lease of a later run.
func TestAnUnconfirmedRunThatLapsesHasItsStartRefused(t *testing.T) {
	b := leading(t, testRunner("r1"))
	b.submit(testJob(1, 400*ms), 9*time.Second)
	c := one[Start](b)
	for end := b.now + silentLife + time.Second; b.now < end && b.s.runners["r1"].runs[c.Run] != nil; {
		b.leaveUnanswered("r1", ConnectionTimedOut)
		b.tick(20 * ms)
	}
	b.g.Expect(b.s.runners["r1"].runs).To(BeEmpty())
	holds := take[Hold](b)
	b.g.Expect(holds).NotTo(BeEmpty())
	b.g.Expect(holds[len(holds)-1].Token).To(BeNumerically(">", c.Token))
}
