package schedule

import (
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"sapphirepoint.example/sapphirepoint/core/workload"
)

// Guards against a second run beside one whose start reaches the runner's next incarnation after the one before has written the
// list without it: the list comes once no such start is valid any more, but says nothing of the time between.
func TestALateListDoesntShowThatAStartReachesNoLaterIncarnation(t *testing.T) {
	b, j := stoppedInDoubt(t, firstIncarnation, false)
	b.s.jobs[j.ID].deadline += 20 * time.Second
	var silent workload.RunnerID
	var invalidAt Time
	for id, r := range b.s.runners {
		for _, u := range r.runs {
			silent, invalidAt = id, r.startInvalidAt(u)
		}
	}
	for b.now < invalidAt {
		b.tick(20 * ms)
	}
	b.lists(silent, invalidAt-300*ms)
	b.g.Expect(take[Start](b)).To(BeEmpty(), "the start may have been carried out after the list was written")
	b.now += 20 * ms
	b.lists(silent, b.now)
	b.g.Expect(take[Start](b)).To(HaveLen(1))
}
