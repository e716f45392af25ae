package schedule

import (
	"math"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"sapphirepoint.example/sapphirepoint/core/workload"
)

// shardRunners is the number of runners of a shard, and shardShare its share of the load of
// unequalWork.
const (
	shardRunners = 58
	shardShare   = 1.0 / 6
)

// overloaded plays a wave of load around 1.3 times the usual one against one shard, with a burst
// of all kinds of job and one of the usual kind, and returns the tallies by kind.
func overloaded(seeds int) map[string]*tally {
	sums := make(map[string]*tally)
	for seed := range uint64(seeds) {
		s := newSimulation(seed, unequalWork(), 1, shardRunners)
		s.idle(6 * time.Second)
		s.load = func(at time.Duration, kind string) float64 {
			l := 1.3 * shardShare * (1 + 0.27*math.Sin(2*math.Pi*at.Seconds()/11))
			if at > 1500*ms && at < 5500*ms {
				l *= 1.3
			}
			if kind == "usual" && at > 3*time.Second && at < 7*time.Second {
				l *= 1.9
			}
			return l
		}
		s.play(11*time.Second, true)
		s.idle(5 * time.Second)
		for kind, t := range s.tallies() {
			if sums[kind] == nil {
				sums[kind] = &tally{}
			}
			sums[kind].add(t)
		}
	}
	return sums
}

func (t *tally) add(o *tally) {
	t.asked += o.asked
	t.inTime += o.inTime
	t.late += o.late
	t.refusedAtOnce += o.refusedAtOnce
	t.refused += o.refused
	t.gaveUp += o.gaveUp
	t.tooLate += o.tooLate
	t.falseRefusals += o.falseRefusals
	t.owed += o.owed
	t.earned += o.earned
}

// Guards against work that is started and then given up in a burst of jobs whose tasks need half a
// runner: callers would wait for seconds, and couldn't be told that nothing was run.
func TestWorkThatIsBegunIsFinishedInABurst(t *testing.T) {
	g := NewWithT(t)
	all := overloaded(3)["all"]
	t.Log(all)
	g.Expect(all.asked).To(BeNumerically(">", 3000))
	g.Expect(all.share(all.gaveUp)).To(BeNumerically("<", 0.002))
	g.Expect(all.share(all.tooLate)).To(BeNumerically("<", 0.002))
	g.Expect(all.served()).To(BeNumerically(">", 0.9))
	g.Expect(all.falseRefusals).To(BeZero())
}

// Guards against callers who wait for most of their time in a burst and are then refused: when a
// job turns late it is known that more work arrives than the runners can do.
func TestBurstIsRefusedEarlyOrServed(t *testing.T) {
	b := leading(t, testRunner("r1"), testRunner("r2"))
	for _, c := range fill(b, 4, 300*ms) {
		b.started(c, Accepted)
	}
	late := testJob(1, 200*ms)
	b.submit(late, 3*time.Second)
	for range 20 {
		b.submit(testJob(1, 250*ms), 3*time.Second)
		b.tick(20 * ms)
	}
	waited := time.Duration(-1)
	for _, a := range take[Answer](b) {
		if a.Job == late.ID {
			b.g.Expect(a.Outcome).To(Equal(workload.NotRun))
			b.g.Expect(a.NoRoom).To(BeTrue(), "another shard may have room")
			waited = a.At - (b.now - 400*ms)
		}
	}
	b.g.Expect(waited).To(BeNumerically(">", 0), "it was refused")
	b.g.Expect(waited).To(BeNumerically("<", late.Objective))
}

// fill gives the runners as many tasks as they have room for.
func fill(b *harness, tasks int, estimate time.Duration) []Start {
	b.submit(testJob(tasks, estimate), 5*time.Second)
	starts := take[Start](b)
	b.g.ExpectWithOffset(1, starts).To(HaveLen(tasks))
	return starts
}

// Guards against late jobs that are refused when load is low: too little waits ahead of them to
// keep the runners busy, and a late answer is better than none.
func TestALateJobIsServedInALull(t *testing.T) {
	b := leading(t, testRunner("r1"))
	starts := fill(b, 2, 300*ms)
	for _, c := range starts {
		b.started(c, Accepted)
	}
	late := testJob(1, 200*ms)
	b.submit(late, 3*time.Second)
	b.tick(300 * ms)
	b.g.Expect(take[Answer](b)).To(BeEmpty())
	b.end("r1", 1, starts[0].Run, workload.Done)
	b.g.Expect(one[Start](b).Run.Task.Job).To(Equal(late.ID))
}
