package schedule

import (
	"testing"
	"time"

	. "github.com/onsi/gomega"
)

// Guards against a second run beside one in another shard: a job of long tasks was lent some seconds before a planned change of the
// leader, its entry process has just been told that it was given up there, and its caller sends it again.
func TestTheNextLeaderLearnsOfAJobThatWasLentLongBefore(t *testing.T) {
	b, j, _ := borrower(t)
	b.s.RoomGranted(b.now, grantFor(j.ID))
	b.g.Expect(lentAnswers(b)).To(HaveLen(1))
	b.tick(maxEndedJobAge + time.Second)
	next := leading(t, testRunner("r1"))
	next.tick(b.now - next.now)
	next.s.NoteElsewhere(next.now, b.s.Elsewhere())
	next.submitCopy(j, entryB)
	next.g.Expect(take[Start](next)).To(BeEmpty())
	next.g.Expect(lentAnswers(next)).To(HaveLen(1), "the copy goes to the lender")
}
