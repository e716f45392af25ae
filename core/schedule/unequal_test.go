package schedule

import (
	"math"
	"testing"
	"time"

	. "github.com/onsi/gomega"
)

// shardRunners is the size of a shard, and shardShare its part of the load of unequalWork.
const (
	shardRunners = 58
	shardShare   = 1.0 / 6
)

// overloaded plays a wave at 1.3 times the usual load to one shard, with a burst of all
// kinds of job and one of the usual kind, and returns what callers got.
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
	t.owed += o.owed
	t.earned += o.earned
}

// Guards against work that is begun and then given up, in a burst of jobs whose tasks need
// half a runner: callers wait for seconds, and can't be told that nothing was run.
func TestWorkThatIsBegunIsFinishedInABurst(t *testing.T) {
	g := NewWithT(t)
	all := overloaded(3)["all"]
	t.Log(all)
	g.Expect(all.asked).To(BeNumerically(">", 3000))
	g.Expect(all.share(all.gaveUp)).To(BeNumerically("<", 0.002))
	g.Expect(all.share(all.tooLate)).To(BeNumerically("<", 0.002))
	g.Expect(all.served()).To(BeNumerically(">", 0.9))
}
