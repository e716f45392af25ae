package schedule

import (
	"fmt"
	"os"
	"testing"
	"time"

	"sapphirepoint.example/sapphirepoint/core/workload"
)

// Loads for runners of different speeds, with callers whose estimates are far off.

const (
	// A share of tailShare of the jobs has tailFactor times the work, at most maxTail times the
	// mean.
	tailShare  = 0.03
	tailFactor = 7
	maxTail    = 10
)

// withTail gives some jobs several times the work of the others.
func (s *simulation) withTail() {
	s.tail = func(work, mean time.Duration) time.Duration {
		if s.rng.Float64() < tailShare {
			work *= tailFactor
		}
		return min(work, maxTail*mean)
	}
}

// fullLoad returns the rate, relative to that of the kinds, whose work fills the usable share of
// the runners at their speeds.
func (s *simulation) fullLoad(fleet simRunners) float64 {
	offered, capacity := 0.0, 0.0
	for _, k := range s.kinds {
		offered += k.perSecond * k.tasks * k.work.Seconds() * k.milliCPU
	}
	for i := range fleet.runners {
		capacity += float64(fleet.milliCPU[i%len(fleet.milliCPU)]) * fleet.speeds[i%len(fleet.speeds)]
	}
	return capacity * usableShare / (offered * (1 + tailShare*(tailFactor-1)))
}

// unevenPlay is one play of a load against a shard.
type unevenPlay struct {
	fleet simRunners
	kinds []jobKind
	load  float64
	tail  bool
}

func (p unevenPlay) simulation(seed uint64) *simulation {
	s := newSimulationOn(p.fleet, seed, p.kinds)
	s.idle(6 * time.Second)
	if p.tail {
		s.withTail()
	}
	full := s.fullLoad(p.fleet)
	s.load = func(time.Duration, string) float64 { return p.load * full }
	return s
}

// forget drops the jobs so far from the counts.
func (s *simulation) forget() { clear(s.jobs) }

// play returns the tallies of some seconds after the first ones.
func (p unevenPlay) play(seeds int) map[string]*unevenTally {
	sums := make(map[string]*unevenTally)
	for seed := range uint64(seeds) {
		s := p.simulation(seed)
		s.play(10*time.Second, true)
		s.idle(5 * time.Second)
		s.addTo(sums)
	}
	return sums
}

// unevenTally counts, beside the answers, those that are late only because a run took longer than
// estimated.
type unevenTally struct {
	tally
	slow int
}

func (s *simulation) addTo(sums map[string]*unevenTally) {
	for _, j := range s.jobs {
		for _, name := range []string{"all", s.kinds[j.kind].name} {
			if sums[name] == nil {
				sums[name] = &unevenTally{}
			}
			sums[name].count(j)
			if j.slowRun() {
				sums[name].slow++
			}
		}
	}
}

// slowRun reports whether a job's answer was late but would have been in time if its runs had
// taken as long as estimated.
func (j *simJob) slowRun() bool {
	return j.outcome == workload.Completed && j.took > j.objective && j.took-j.longestRun+j.estimate <= j.objective
}

func (t *unevenTally) String() string {
	return fmt.Sprintf("%v slow %.3f", &t.tally, t.share(t.slow))
}

// TestUnevenTable prints the figures of the design note, if UNEVEN_SEEDS is set.
func TestUnevenTable(t *testing.T) {
	var seeds int
	if _, err := fmt.Sscan(os.Getenv("UNEVEN_SEEDS"), &seeds); err != nil {
		t.Skip("UNEVEN_SEEDS isn't set")
	}
	fleets := map[string]simRunners{"uneven": unevenRunners(1, shardRunners), "similar": similarRunners(1, shardRunners)}
	for _, name := range []string{"uneven", "similar"} {
		for _, load := range []float64{0.6, 0.8, 1, 1.3} {
			t.Run(fmt.Sprintf("%s/%.1f", name, load), func(t *testing.T) {
				t.Parallel()
				sums := unevenPlay{fleet: fleets[name], kinds: competingWork(), load: load, tail: true}.play(seeds)
				for _, kind := range sortedKeys(sums) {
					t.Logf("%-8s %.1f %-8s %v", name, load, kind, sums[kind])
				}
			})
		}
	}
}
