package health_test

import (
	"flag"
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/onsi/gomega"
	"pgregory.net/rapid"

	"sapphirepoint.example/sapphirepoint/core/health"
	"sapphirepoint.example/sapphirepoint/core/task"
)

func init() {
	_ = flag.Set("rapid.seed", "20261202")
	_ = flag.Set("rapid.nofailfile", "true")
}

const service = "label"

// upstreams lists two racks of eight in one failure domain.
func upstreams() []task.Upstream {
	var list []task.Upstream
	for i := range 16 {
		list = append(list, task.Upstream{
			Name:          fmt.Sprintf("u%02d", i),
			FailureDomain: "loughborough",
			Institution:   "hollowell",
			Worker:        fmt.Sprintf("w%02d", i),
			Rack:          fmt.Sprintf("r%d", i/8),
			Slots:         8,
		})
	}
	return list
}

// healthyTracker returns a tracker of the listed upstreams, with ten successful tasks on each.
func healthyTracker() *health.Tracker { return healthyTrackerWith(health.DefaultConfig()) }

func healthyTrackerWith(cfg health.Config) *health.Tracker {
	t := health.New(cfg, rand.New(rand.NewPCG(1, 2)))
	t.SetMembers(upstreams())
	for range 10 {
		for _, u := range upstreams() {
			observe(t, 0, u.Name, health.Succeeded, 1)
		}
	}
	t.TakeChanges()
	return t
}

func observe(t *health.Tracker, now task.Time, name string, o health.Outcome, slowness float64) {
	t.Observe(now, health.Result{Upstream: name, Service: service, Outcome: o, Sent: now, Slowness: slowness})
}

func fail(t *health.Tracker, now task.Time, names ...string) {
	for _, n := range names {
		observe(t, now, n, health.TaskFailed, 0)
	}
}

func succeed(t *health.Tracker, now task.Time, names ...string) {
	for _, n := range names {
		observe(t, now, n, health.Succeeded, 1)
	}
}

// failRack reports three failures on two upstreams of the first rack, and successes on the second
// rack in between.
func failRack(t *health.Tracker) {
	fail(t, time.Second, "u00")
	succeed(t, time.Second, "u08", "u09", "u10")
	fail(t, time.Second, "u00", "u01")
}

func closedCount(t *health.Tracker) int {
	n := 0
	for _, u := range upstreams() {
		if t.Weight(u.Name) == 0 {
			n++
		}
	}
	return n
}

// A runner's disk is full, and every task fails there within a millisecond. The runner looks
// idle and fast, so without ejection it would get most of the tasks and fail job after job.
func TestUpstreamThatFailsEverythingIsClosedAfterTwoTasks(t *testing.T) {
	g := gomega.NewWithT(t)
	h := healthyTracker()
	fail(h, time.Second, "u03")
	g.Expect(h.Weight("u03")).To(gomega.Equal(1.0))
	fail(h, time.Second, "u03")
	g.Expect(h.Weight("u03")).To(gomega.BeZero())
	g.Expect(h.Ejected()).To(gomega.BeEmpty(), "no other upstream has succeeded since")
	succeed(h, time.Second+time.Millisecond, "u00", "u08", "u09")
	h.Tick(time.Second + 60*time.Millisecond)
	g.Expect(h.Ejected()).To(gomega.Equal([]string{"u03"}))
	g.Expect(closedCount(h)).To(gomega.Equal(1))
}

// One caller sends payloads that fail on every upstream. Ejecting upstreams for them would take
// the service from the other callers.
func TestBadPayloadsCloseNoUpstream(t *testing.T) {
	g := gomega.NewWithT(t)
	h := healthyTracker()
	rng := rand.New(rand.NewPCG(3, 4))
	for range 4000 {
		name := upstreams()[rng.IntN(16)].Name
		o := health.Succeeded
		if rng.IntN(10) < 4 {
			o = health.TaskFailed
		}
		observe(h, time.Second, name, o, 1)
	}
	g.Expect(h.Stats().Ejections).To(gomega.BeZero())
}

// A new release of a service fails every task on every upstream. The upstreams are not the
// cause. Ejecting half of them, as MaxEjectedPercent allows, would only increase the load on the
// rest.
func TestServiceThatFailsEverywhereClosesNoUpstream(t *testing.T) {
	g := gomega.NewWithT(t)
	h := healthyTracker()
	rng := rand.New(rand.NewPCG(5, 6))
	for i := range 2000 {
		now := time.Second + time.Duration(i)*time.Millisecond
		h.Tick(now)
		if name := upstreams()[rng.IntN(16)].Name; h.Weight(name) > 0 {
			fail(h, now, name)
		}
	}
	g.Expect(h.Stats().Ejections).To(gomega.BeZero())
}

// All runners of a rack fail because of a storage volume that they share. Ejecting the eight
// upstreams one by one would cost 16 failed tasks; ejecting the rack costs three.
func TestRackThatFailsEverythingIsClosedAsOne(t *testing.T) {
	g := gomega.NewWithT(t)
	h := healthyTracker()
	failRack(h)
	g.Expect(closedCount(h)).To(gomega.Equal(8))
	g.Expect(h.Weight("u07")).To(gomega.BeZero())
	g.Expect(h.Weight("u08")).To(gomega.Equal(1.0))
}

// A whole rack stays broken. Each probe may cost a caller's job, so the rack is probed by one
// task at a time, at growing intervals.
func TestBrokenRackIsProbedOncePerInterval(t *testing.T) {
	g := gomega.NewWithT(t)
	h := healthyTracker()
	failRack(h)
	probes := 0
	for now := time.Second; now < 61*time.Second; now += 10 * time.Millisecond {
		h.Tick(now)
		for i := range 8 {
			if name := fmt.Sprintf("u%02d", i); h.Weight(name) > 0 {
				probes++
				fail(h, now, name)
			}
		}
	}
	g.Expect(probes).To(gomega.BeNumerically("<=", 12))
	g.Expect(probes).To(gomega.BeNumerically(">=", 3))
}

// Long tasks that were running when a runner's disk filled up succeed, while every new task
// fails. Their success must not count as evidence that the runner is healthy.
func TestSuccessOfTaskSentBeforeTheFaultIsIgnored(t *testing.T) {
	g := gomega.NewWithT(t)
	h := healthyTracker()
	succeed(h, 2*time.Second, "u00", "u08", "u09")
	for i := range 2 {
		now := 2*time.Second + time.Duration(i)*time.Millisecond
		fail(h, now, "u03")
		succeed(h, now, "u00", "u08", "u09")
		for range 5 {
			h.Observe(now, health.Result{Upstream: "u03", Service: service, Outcome: health.Succeeded, Sent: time.Second})
		}
	}
	h.Tick(3 * time.Second)
	g.Expect(h.Ejected()).To(gomega.Equal([]string{"u03"}))
}

// A broken runner has been repaired. It must get work again, but not on all slots at once,
// since it may still be broken.
func TestRecoveredUpstreamReturnsInSteps(t *testing.T) {
	g := gomega.NewWithT(t)
	h := healthyTracker()
	fail(h, time.Second, "u03")
	succeed(h, time.Second, "u00", "u08", "u09")
	fail(h, time.Second, "u03")
	h.Tick(3 * time.Second)
	g.Expect(h.Weight("u03")).To(gomega.Equal(health.MinWeight))
	var weights []float64
	for range 4 {
		observe(h, 3*time.Second, "u03", health.Succeeded, 1)
		weights = append(weights, h.Weight("u03"))
	}
	g.Expect(weights).To(gomega.Equal([]float64{0.125, 0.25, 0.5, 1}))
}

// A runner's process is gone and connections to it are refused. An attempt loses no task but
// wastes a message, so attempts are made at growing intervals. The first success restores the
// full weight.
func TestUnreachableUpstreamIsRetriedAtGrowingIntervals(t *testing.T) {
	g := gomega.NewWithT(t)
	h := healthyTracker()
	attempts := 0
	for now := task.Time(0); now < 30*time.Second; now += time.Millisecond {
		h.Tick(now)
		if h.Weight("u05") > 0 {
			attempts++
			observe(h, now, "u05", health.Unreachable, 0)
		}
	}
	g.Expect(attempts).To(gomega.BeNumerically("<=", 25))
	h.Tick(40 * time.Second)
	observe(h, 40*time.Second, "u05", health.Succeeded, 1)
	g.Expect(h.Weight("u05")).To(gomega.Equal(1.0))
}

// A worker is overcommitted because the declared task sizes are wrong, and its tasks take
// three times as long as elsewhere. Fewer tasks at once must go there.
func TestSlowUpstreamGetsFewerSlots(t *testing.T) {
	g := gomega.NewWithT(t)
	h := healthyTracker()
	rng := rand.New(rand.NewPCG(7, 8))
	for range 200 {
		variation := 0.3 + 1.4*rng.Float64()
		observe(h, time.Second, "u02", health.Succeeded, 3*variation)
		observe(h, time.Second, "u09", health.Succeeded, variation)
	}
	g.Expect(h.Weight("u02")).To(gomega.BeNumerically("<=", 0.5))
	g.Expect(h.Weight("u02")).To(gomega.BeNumerically(">=", 0.25))
	g.Expect(h.Weight("u09")).To(gomega.Equal(1.0))
}

// Seven entry processes eject the same runner. If each of them probed it, this would cost
// seven jobs where one is enough.
func TestOneProcessProbesForAll(t *testing.T) {
	g := gomega.NewWithT(t)
	cfg := health.DefaultConfig()
	cfg.Self = "entry-2"
	h := healthyTrackerWith(cfg)
	h.SetPeerReport("entry-1", []string{"u03"})
	fail(h, time.Second, "u03")
	succeed(h, time.Second, "u00", "u08", "u09")
	h.Tick(2 * time.Second)
	g.Expect(h.Ejected()).To(gomega.Equal([]string{"u03"}), "one failure is enough after a peer's report")
	for now := 2 * time.Second; now < 30*time.Second; now += 100 * time.Millisecond {
		h.Tick(now)
		g.Expect(h.Weight("u03")).To(gomega.BeZero())
	}
	h.SetPeerReport("entry-1", nil)
	h.Tick(31 * time.Second)
	g.Expect(h.Weight("u03")).To(gomega.Equal(health.MinWeight))
}

// Whatever the outcomes, at most half of a failure domain's upstreams are ejected, weights are
// between 0 and 1, and a change that closes an upstream has a time, not in the past, from which the
// upstream may be used again.
func TestCeilingOnEjections(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		h := healthyTracker()
		now := task.Time(0)
		steps := rapid.IntRange(50, 400).Draw(rt, "steps")
		broken := rapid.Uint16().Draw(rt, "broken")
		for range steps {
			now += time.Duration(rapid.IntRange(0, 400).Draw(rt, "ms")) * time.Millisecond
			h.Tick(now)
			i := rapid.IntRange(0, 15).Draw(rt, "upstream")
			o := health.Succeeded
			if broken>>i&1 == 1 {
				o = health.Outcome(rapid.SampledFrom([]int{1, 1, 1, 2, 3}).Draw(rt, "outcome"))
			}
			observe(h, now, fmt.Sprintf("u%02d", i), o, 1)
			for _, c := range h.TakeChanges() {
				if c.Weight < 0 || c.Weight > 1 || (c.Weight == 0) != (c.Until > 0) || c.Weight == 0 && c.Until < now {
					rt.Fatalf("change %+v at %v", c, now)
				}
			}
			if n := len(h.Ejected()); n > 8 {
				rt.Fatalf("%d upstreams are closed for failures", n)
			}
		}
	})
}

func BenchmarkObserveSuccess(b *testing.B) {
	h := healthyTracker()
	b.ReportAllocs()
	for b.Loop() {
		observe(h, time.Second, "u03", health.Succeeded, 1)
	}
}

func BenchmarkObserveFailure(b *testing.B) {
	h := health.New(health.DefaultConfig(), rand.New(rand.NewPCG(1, 2)))
	var list []task.Upstream
	for i := range 6700 {
		list = append(list, task.Upstream{Name: fmt.Sprint(i), Institution: "hollowell", FailureDomain: "d", Rack: fmt.Sprint(i / 8)})
	}
	h.SetMembers(list)
	for range 6 {
		for _, u := range list {
			observe(h, 0, u.Name, health.Succeeded, 1)
			observe(h, 0, u.Name, health.TaskFailed, 1)
		}
	}
	b.ReportAllocs()
	for b.Loop() {
		observe(h, time.Second, "3000", health.TaskFailed, 0)
		observe(h, time.Second, "3000", health.Succeeded, 1)
	}
}

// An upstream is closed as unreachable, and a task that was running there succeeds. Guards against a
// dump that shows a time until which the upstream, which is open and slow, is closed.
func TestSuccessEndsTheClosure(t *testing.T) {
	g := gomega.NewWithT(t)
	h := healthyTracker()
	for range 100 {
		observe(h, time.Second, "u02", health.Succeeded, 3)
	}
	observe(h, time.Second, "u02", health.Unreachable, 0)
	g.Expect(h.Dump()[0].UntilMs).To(gomega.BeNumerically(">", 1000))
	observe(h, time.Second, "u02", health.Succeeded, 3)
	g.Expect(h.Dump()).To(gomega.HaveLen(1))
	g.Expect(h.Dump()[0].State).To(gomega.Equal("open"))
	g.Expect(h.Dump()[0].UntilMs).To(gomega.BeZero())
}
