package schedule

import (
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"sapphirepoint.example/sapphirepoint/core/workload"
)

const (
	firstLife  = 1_760_000_000_000
	secondLife = firstLife + 5000
)

// bornClock is a reading in a lifetime whose clock began at a time.
func (b *bench) bornClock(born int64, since Time) ClockReading {
	return ClockReading{Milliseconds: (b.now - since).Milliseconds() + 1, ReceivedAt: b.now, SentAt: b.now, Born: born}
}

// answerAll answers the looks at a runner in a lifetime.
func (b *bench) answerAll(id workload.RunnerID, born int64, since Time, running ...workload.RunKey) {
	for _, h := range take[Hold](b) {
		if h.Runner != id {
			b.held(h)
			continue
		}
		b.s.Held(b.now, HoldResult{Runner: id, Token: h.Token, ListOnly: h.ListOnly, Outcome: Accepted, Running: running, Clock: b.bornClock(born, since)})
	}
}

// restarts returns a bench with a task on r1, which then starts again, and the moment when
// it does.
func restarts(t *testing.T, confirmed bool) (*bench, Start, Time) {
	b := leading(t, testRunner("r1"))
	b.s.runners["r1"].born = firstLife
	b.submit(testJob(1, 400*ms), 4*time.Second)
	c := one[Start](b)
	if confirmed {
		b.started(c, Accepted)
	}
	b.now += 20 * ms
	return b, c, b.now
}

// Guards against a runner that starts again under its id: its tasks would be waited for,
// and its new ends, numbered from one, be taken for old ones.
func TestARunnerThatStartsAgainIsTakenAnew(t *testing.T) {
	b, c, since := restarts(t, true)
	before := b.s.runners["r1"].token
	b.s.Held(b.now, HoldResult{Runner: "r1", Token: before, Outcome: Accepted, Clock: b.bornClock(secondLife, since)})
	b.answerAll("r1", secondLife, since)
	r := b.s.runners["r1"]
	b.g.Expect(r.token).To(BeNumerically(">", before), "orders of before must be refused there")
	again := one[Start](b)
	b.g.Expect(again.Run.Task).To(Equal(c.Run.Task))
	b.g.Expect(again.Run.Number).To(BeNumerically(">", c.Run.Number))
	b.g.Expect(again.LeaseEnd).To(BeNumerically("<", 2000), "on the new clock")
	b.s.Started(b.now, StartResult{Runner: "r1", Run: again.Run, Outcome: Accepted, Clock: b.bornClock(secondLife, since)})
	b.s.Held(b.now, HoldResult{
		Runner: "r1", Token: r.token, Outcome: Accepted, Clock: b.bornClock(secondLife, since),
		Ends: []workload.End{{Sequence: 1, Run: again.Run, Kind: workload.Done}},
	})
	b.g.Expect(one[Answer](b).Outcome).To(Equal(workload.Completed))
}

// Guards against two runs of a task: its start came to the runner just after that had
// started again.
func TestAStartThatTheNewLifetimeHasTakenIsAdopted(t *testing.T) {
	b, c, since := restarts(t, false)
	b.s.Started(b.now, StartResult{Runner: "r1", Run: c.Run, Outcome: Accepted, Clock: b.bornClock(secondLife, since)})
	b.answerAll("r1", secondLife, since, c.Run)
	b.tick(100 * ms)
	b.g.Expect(take[Start](b)).To(BeEmpty())
	b.s.Held(b.now, HoldResult{
		Runner: "r1", Token: b.s.runners["r1"].token, Outcome: Accepted, Clock: b.bornClock(secondLife, since),
		Ends: []workload.End{{Sequence: 1, Run: c.Run, Kind: workload.Done}},
	})
	b.g.Expect(one[Answer](b).Outcome).To(Equal(workload.Completed))
}

// Guards against an answer or a list of the lifetime before that comes late and undoes
// what is known of the present one.
func TestWordOfAnEarlierLifetimeChangesNothing(t *testing.T) {
	b, c, since := restarts(t, true)
	b.s.Held(b.now, HoldResult{Runner: "r1", Token: b.s.runners["r1"].token, Outcome: Accepted, Clock: b.bornClock(secondLife, since)})
	b.answerAll("r1", secondLife, since)
	again := one[Start](b)
	old := testRunner("r1")
	old.Born = firstLife
	b.s.SetRunners(b.now, []workload.Runner{old})
	b.s.Started(b.now, StartResult{Runner: "r1", Run: c.Run, Outcome: Accepted, Clock: b.bornClock(firstLife, 0)})
	r := b.s.runners["r1"]
	b.g.Expect(r.born).To(BeEquivalentTo(secondLife))
	b.g.Expect(r.runs).To(HaveKey(again.Run))
	b.g.Expect(r.clock).To(BeNumerically("<", 1000))
}

// Guards against a scheduler that first hears of the new lifetime by the list of runners.
func TestTheListTellsOfANewLifetime(t *testing.T) {
	b, c, since := restarts(t, true)
	reborn := testRunner("r1")
	reborn.Born = secondLife
	b.s.SetRunners(b.now, []workload.Runner{reborn})
	b.answerAll("r1", secondLife, since)
	b.g.Expect(one[Start](b).Run.Task).To(Equal(c.Run.Task))
}

// Guards against an end that is acknowledged unseen: the runner has started again, taken a
// start whose answer was lost, and its first end has the number of one of before.
func TestNoEndIsAcknowledgedWhileAStartIsUnconfirmed(t *testing.T) {
	b := leading(t, testRunner("r1"))
	b.submit(testJob(1, 60*ms), 4*time.Second)
	c := one[Start](b)
	b.started(c, Accepted)
	b.end("r1", 1, c.Run, workload.Done)
	b.wait(100 * ms)
	b.g.Expect(b.s.runners["r1"].acknowledged).To(BeEquivalentTo(1))
	b.submit(testJob(1, 60*ms), 4*time.Second)
	c = one[Start](b)
	b.g.Expect(one[Hold](b).Acknowledged).To(BeEquivalentTo(1), "it is too early to doubt")
	b.tick(20 * ms)
	b.s.look(b.s.runners["r1"])
	b.g.Expect(one[Hold](b).Acknowledged).To(BeZero())
	b.started(c, Accepted)
	b.g.Expect(b.s.runners["r1"].cursor(b.now)).To(BeEquivalentTo(1))
}
