package schedule

import (
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"sapphirepoint.example/sapphirepoint/core/workload"
)

// overtaken has a runner list the end of a run in answer to one request, and returns an earlier request
// whose answer, with the run as running, is still on its way.
func (b *harness) overtaken(c Start, kind workload.EndKind) Hold {
	b.t.Helper()
	renewal := one[Hold](b)
	b.s.requestList(b.s.runners[c.Runner])
	list := one[Hold](b)
	b.now += 3 * ms
	b.s.Held(b.now, HoldResult{
		Runner: renewal.Runner, Token: renewal.Token, Outcome: Accepted, Clock: b.clock(),
		Ends: []workload.End{{Sequence: 1, Run: c.Run, Kind: kind}},
	})
	return list
}

// listsFrom answers a request that was sent at a time with a list of running runs.
func (b *harness) listsFrom(h Hold, sentAt Time, running ...workload.RunKey) {
	clock := b.clock()
	clock.SentAt = sentAt
	b.s.Held(b.now, HoldResult{Runner: h.Runner, Token: h.Token, ListOnly: h.ListOnly, Outcome: Accepted, Running: running, Clock: clock})
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
	list := b.overtaken(first, workload.Failed)
	b.g.Expect(r.runs).To(BeEmpty())
	b.now += 3 * ms
	b.listsFrom(list, sentAt, first.Run)
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
	list := b.overtaken(first, workload.Done)
	b.now += 3 * ms
	b.listsFrom(list, sentAt, first.Run)
	b.g.Expect(b.s.runners["r1"].usable(b.now)).To(BeTrue())
	b.g.Expect(take[Stop](b)).To(BeEmpty())
}
