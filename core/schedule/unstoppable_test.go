package schedule

import (
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"sapphirepoint.example/sapphirepoint/core/workload"
)

// renewing answers a runner's Holds with empty lists, each after its wait.
type renewing struct {
	*harness
	waiting []waitingHold
}

type waitingHold struct {
	hold       Hold
	sent, over Time
}

// pass lets a millisecond pass. Holds are accepted, and stops get an outcome.
func (b *renewing) pass(stops CallOutcome) {
	b.now += ms
	if b.now%(20*ms) == 0 {
		b.s.EntryAlive(b.now, entryA)
		b.s.Tick(b.now)
	}
	for _, h := range take[Hold](b.harness) {
		b.waiting = append(b.waiting, waitingHold{hold: h, sent: b.now, over: b.now + h.Wait})
	}
	b.answerHolds()
	for _, c := range take[Stop](b.harness) {
		b.stopped(c, stops)
	}
}

func (b *renewing) answerHolds() {
	var rest []waitingHold
	for _, w := range b.waiting {
		if b.now < w.over {
			rest = append(rest, w)
			continue
		}
		clock := b.clock()
		clock.SentAt = w.sent
		b.s.Held(b.now, HoldResult{Runner: w.hold.Runner, Token: w.hold.Token, ListOnly: w.hold.ListOnly, Outcome: Accepted, Clock: clock})
	}
	b.waiting = rest
}

// Guards against a task that waits for as long as orders to stop its run fail: the start stayed
// unanswered, and the runner's lists, which are answered, never show the run. After the end of the
// lease in the start it can't begin any more.
func TestTaskOfARunThatCannotBeStoppedIsStartedAgain(t *testing.T) {
	for _, stops := range []CallOutcome{Unhealthy, Unanswered} {
		b := &renewing{harness: leading(t, testRunner("x"), testRunner("y"))}
		b.submit(testJob(1, 300*ms), 20*time.Second)
		for range maxStartAttempts {
			b.started(one[Start](b.harness), Unanswered)
		}
		began := b.now
		starts := 0
		for starts == 0 && b.now-began < 5*time.Second {
			b.pass(stops)
			starts = len(take[Start](b.harness))
		}
		b.g.Expect(b.now-began).To(BeNumerically("<", time.Second), "stops are answered %v", stops)
	}
}

// Guards against a second run beside one that its runner has agreed to stop, and is late to: the list shows
// the run.
func TestAStoppedRunThatIsListedCounts(t *testing.T) {
	b := leading(t, testRunner("r1"), testRunner("r2"))
	b.submit(testJob(1, 400*ms), 4*time.Second)
	b.started(one[Start](b), Unanswered)
	again := one[Start](b)
	b.started(again, Unanswered)
	b.stopped(one[Stop](b), Accepted)
	b.now += 2 * ms
	b.lists(again.Runner, b.now, again.Run)
	b.tick(400 * ms)
	b.g.Expect(take[Start](b)).To(BeEmpty())
	b.end(again.Runner, 1, again.Run, workload.Stopped)
	b.g.Expect(one[Start](b).Run.Number).To(BeNumerically(">", again.Run.Number))
}
