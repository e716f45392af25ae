package schedule

import (
	"fmt"
	"math"
	"testing"
	"time"
)

// burstOn plays a wave at a level, with a burst of all kinds and one of the usual kind.
func burstOn(seed uint64, shards int, level float64) *simulation {
	s := newSimulation(seed, unequalWork(), shards, 350)
	s.idle(6 * time.Second)
	s.load = func(at time.Duration, kind string) float64 {
		l := level * (1 + 0.27*math.Sin(2*math.Pi*at.Seconds()/11))
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
	return s
}

func TestSimulatedDay(t *testing.T) {
	for _, shards := range []int{1, 2, 3, 6} {
		for _, level := range []float64{0.8, 1.1} {
			sums := map[string]*tally{}
			begin := time.Now()
			for seed := range uint64(2) {
				for k, v := range burstOn(seed, shards, level).tallies() {
					if sums[k] == nil {
						sums[k] = &tally{}
					}
					sums[k].add(v)
				}
			}
			for _, k := range []string{"all", "short", "long", "usual"} {
				fmt.Printf("shards %d level %.1f %-6s %v\n", shards, level, k, sums[k])
			}
			fmt.Println(time.Since(begin).Round(time.Millisecond))
		}
	}
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
