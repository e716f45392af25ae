package schedule

import (
	"math"
	"math/rand/v2"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"sapphirepoint.example/sapphirepoint/core/workload"
)

// overload submits jobs of one task faster than the runners can run them, with run times that
// spread about their estimates as in production, and returns the share of all jobs that ended
// within their objective.
func overload(t *testing.T, seed uint64, load float64) float64 {
	const runners, slots, estimate, step = 10, 2, 100 * ms, 5 * ms
	rng := rand.New(rand.NewPCG(seed, 1))
	var list []workload.Runner
	for i := range runners {
		list = append(list, testRunner(string(rune('a'+i))))
	}
	b := leading(t, list...)
	type running struct {
		start Start
		ends  Time
	}
	var runs []running
	due, sequence := make(map[workload.JobID]Time), make(map[workload.RunnerID]uint64)
	inTime, asked, credit := 0, 0, 0.0
	for end := b.now + 6*time.Second; b.now < end; b.now += step {
		b.s.EntryAlive(b.now, entryA)
		b.s.Tick(b.now)
		var rest []running
		for _, r := range runs {
			if r.ends > b.now {
				rest = append(rest, r)
				continue
			}
			sequence[r.start.Runner]++
			b.end(r.start.Runner, sequence[r.start.Runner], r.start.Run, workload.Done)
			if b.now <= due[r.start.Run.Task.Job] {
				inTime++
			}
		}
		runs = rest
		for credit += load * runners * slots * float64(step) / float64(estimate); credit >= 1; credit-- {
			j := testJob(1, estimate)
			asked++
			due[j.ID] = b.now + j.Objective
			b.submit(j, 1500*ms)
		}
		for _, c := range take[Start](b) {
			b.started(c, Accepted)
			took := time.Duration(float64(estimate) * math.Exp(rng.NormFloat64()*estimateSpread))
			runs = append(runs, running{start: c, ends: b.now + took})
		}
		for _, h := range take[Hold](b) {
			if h.Wait == 0 {
				b.held(h)
			}
		}
	}
	return float64(inTime) / float64(asked)
}

// During a burst of some seconds a quarter more work arrives than the runners can do. Some callers
// must wait too long; the others are to be answered in time. If all jobs started at their latest
// start, half of the others would be late too.
func TestOverloadLeavesMostInTime(t *testing.T) {
	sum := 0.0
	const runs = 5
	for seed := range uint64(runs) {
		sum += overload(t, seed, 1.25)
	}
	NewWithT(t).Expect(sum/runs).To(BeNumerically(">", 0.5), "share in time, of at most 0.72")
}
