package schedule

import (
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"sapphirepoint.example/sapphirepoint/core/workload"
)

// overtaken has a runner list the end of a run in answer to one request, while the answer to an earlier
// one, with the run as running, is still on its way.
func (b *harness) overtaken(c Start, kind workload.EndKind) {
	b.t.Helper()
	renewal := one[Hold](b)
	b.s.requestList(b.s.runners[c.Runner])
	one[Hold](b)
	b.now += 3 * ms
	b.s.Held(b.now, HoldResult{
		Runner: renewal.Runner, Token: renewal.Token, Outcome: Accepted, Clock: b.clock(),
		Ends: []workload.End{{Sequence: 1, Run: c.Run, Kind: kind}},
	})
}

// Guards against a task that waits for a run that has ended: a newer list with the run's end has
// overtaken one with the run.
func TestAnOvertakenListDoesntReviveAnEndedRun(t *testing.T) {
	b := leading(t, testRunner("r1"))
	first := b.storedStart()
	b.started(first, Accepted)
	sentAt := b.now
	r := b.s.runners["r1"]
	r.health.closedUntil = b.now + time.Second
	b.overtaken(first, workload.Failed)
	b.g.Expect(r.runs).To(BeEmpty())
	b.now += 3 * ms
	b.lists(first.Runner, sentAt, first.Run)
	b.g.Expect(r.runs).To(BeEmpty())
}

// Guards against a runner that gets no new tasks since an overtaken list shows a run there whose task
// is done.
func TestAnOvertakenListDoesntCloseARunner(t *testing.T) {
	b := leading(t, testRunner("r1"))
	b.submit(testJob(1, 100*ms), 2*time.Second)
	first := one[Start](b)
	b.started(first, Accepted)
	sentAt := b.now
	b.overtaken(first, workload.Done)
	b.now += 3 * ms
	b.lists(first.Runner, sentAt, first.Run)
	b.g.Expect(b.s.runners["r1"].usable(b.now)).To(BeTrue())
	b.g.Expect(take[Stop](b)).To(BeEmpty())
}
