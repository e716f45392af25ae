package schedule

import (
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"sapphirepoint.example/sapphirepoint/core/workload"
)

// Guards against a second run beside one whose start was under way when the runner's token was raised for another
// run, on a runner that lists an accepted run a moment later.
func TestAStartUnderWayOutlastsTheFirstListUnderARaisedToken(t *testing.T) {
	for name, accepted := range map[string]bool{"not answered yet": false, "accepted": true} {
		t.Run(name, func(t *testing.T) {
			b := leading(t, testRunner("r1"))
			doubtful := b.unansweredOnce(testJob(1, 300*ms))
			b.started(doubtful, TooLate)
			b.submit(testJob(1, 300*ms), 2*time.Second)
			fresh := one[Start](b)
			b.listWithoutRuns("r1")
			if accepted {
				b.started(fresh, Accepted)
			}
			b.listWithoutRuns("r1")
			for _, c := range take[Start](b) {
				b.g.Expect(c.Run.Task).NotTo(Equal(fresh.Run.Task), "its start may have been carried out, and its lease isn't over")
			}
		})
	}
}

// listWithoutRuns answers the Holds to a runner by lists without runs.
func (b *harness) listWithoutRuns(id workload.RunnerID) {
	for _, h := range take[Hold](b) {
		if h.Runner == id {
			b.answerHold(h, Accepted)
		}
	}
}
