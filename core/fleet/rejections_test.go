package fleet_test

import (
	"fmt"
	"maps"
	"slices"
	"strings"
	"testing"
	"time"

	"sapphirepoint.example/sapphirepoint/core/fleet"
	"sapphirepoint.example/sapphirepoint/core/schedule"
	"sapphirepoint.example/sapphirepoint/core/workload"
)

// Runners that reject orders or are slow to carry them out and to answer. The dangerous case is a
// start that stays unanswered but is carried out, and that is rejected when it is sent again.

// rejections are the shares of its orders that a runner rejects. It hasn't looked at them, except for
// noRoom: that is the share of the starts of new runs for which it has no room.
type rejections struct {
	starts, noRoom float64
	// holds is the share of the orders to renew and to list runs.
	stops, holds float64
}

// slowness is the share of a runner's orders, and of its answers, that take longer.
type slowness struct {
	share       float64
	least, most int
	// tail is the share of the slow ones that take up to maxTail.
	tail float64
}

const maxTail = 900

// chance draws whether something happens. It draws nothing for a share of 0, so that the random
// sequences of worlds without it don't depend on it.
func (w *world) chance(share float64) bool { return share > 0 && w.rng.Float64() < share }

// slowed returns how much longer the next order to a runner, or its next answer, takes.
func (w *world) slowed(r *fakeRunner) time.Duration {
	if !w.chance(r.slow.share) {
		return 0
	}
	if w.chance(r.slow.tail) {
		return w.randomDuration(r.slow.most, maxTail)
	}
	return w.randomDuration(r.slow.least, r.slow.most)
}

// unlessRejected carries out an order unless the runner rejects it as unhealthy.
func (r *fakeRunner) unlessRejected(share float64, order func() schedule.CallOutcome) schedule.CallOutcome {
	if r.w.chance(share) {
		return schedule.Unhealthy
	}
	return order()
}

// rejectOrders has a third of the runners reject orders for a while.
func (w *world) rejectOrders(draw func() rejections) {
	var chosen []*fakeRunner
	for _, r := range w.runners {
		if w.rng.IntN(3) == 0 {
			r.rejects = draw()
			chosen = append(chosen, r)
		}
	}
	w.after(w.randomDuration(1000, 5000), func() {
		for _, r := range chosen {
			r.rejects = rejections{}
		}
	})
}

// slowDown slows all runners down for a while.
func (w *world) slowDown(s slowness) {
	for _, r := range w.runners {
		r.slow = s
	}
	w.after(w.randomDuration(1000, 5000), func() {
		for _, r := range w.runners {
			r.slow = slowness{}
		}
	})
}

func (w *world) randomShare(least, most float64) float64 { return least + w.rng.Float64()*(most-least) }

func init() {
	faults["runners reject starts"] = func(w *world) {
		w.rejectOrders(func() rejections { return rejections{starts: w.randomShare(0.2, 0.7)} })
	}
	faults["runners reject all orders"] = func(w *world) {
		w.rejectOrders(func() rejections {
			starts, others := w.randomShare(0.2, 0.7), w.randomShare(0.1, 0.9)
			return rejections{starts: starts, stops: others, holds: others}
		})
	}
	faults["runners without room"] = func(w *world) {
		w.rejectOrders(func() rejections { return rejections{noRoom: w.randomShare(0.2, 0.7)} })
	}
	faults["some orders are slow"] = func(w *world) {
		w.slowDown(slowness{share: w.randomShare(0.02, 0.22), least: 10, most: 800})
	}
	// The average latency grows, and with it the timeout of the orders.
	faults["all orders are slow"] = func(w *world) {
		w.slowDown(slowness{share: 1, least: 1, most: 50 + w.rng.IntN(550)})
	}
}

// The processes and the list of runners change while starts are unanswered.
func init() {
	// Its VM leads again within the lease of its runs.
	faults["leader restarts"] = func(w *world) {
		if n := w.leader(); n != nil {
			w.kill(n, w.randomDuration(10, 300))
		}
	}
	// The leader reaches its runners, and retires when it reaches another leader again.
	faults["part leader"] = func(w *world) {
		if n := w.leader(); n != nil {
			w.partFromAll(n, w.randomDuration(200, 2500))
		}
	}
	faults["unlisted runners"] = func(w *world) { w.unlist(w.randomDuration(100, 3000)) }
	faults["mute runners leave the list"] = func(w *world) {
		faults["mute runners"](w)
		w.unlist(w.randomDuration(100, 3000))
	}
}

// partFromAll cuts the connections between a VM and all others for a while.
func (w *world) partFromAll(n *fakeNode, d time.Duration) {
	for _, o := range w.nodes {
		if o == n {
			continue
		}
		pair := [2]string{n.name, o.name}
		w.partitioned[pair] = true
		w.after(d, func() { delete(w.partitioned, pair) })
	}
}

// unlist takes a third of the runners off the platform's list for a while, although they work.
func (w *world) unlist(d time.Duration) {
	for _, r := range w.runners {
		if r.down || !w.listed[r.info.ID] || w.rng.IntN(3) > 0 {
			continue
		}
		delete(w.listed, r.info.ID)
		w.after(d, func() {
			if !r.down {
				w.listed[r.info.ID] = true
			}
		})
	}
}

func changeFaults() []string {
	return []string{"mute runners", "leader restarts", "leader restarts", "part leader", "part leader", "unlisted runners", "mute runners leave the list", "mute runners leave the list"}
}

func rejectionFaults() []string {
	return []string{"mute runners", "mute runners", "runners reject starts", "runners reject starts", "runners reject all orders", "runners without room"}
}

func slownessFaults() []string {
	return []string{"some orders are slow", "some orders are slow", "all orders are slow", "all orders are slow", "all orders are slow"}
}

// faultyRuns are the deployments and the loads in which runners reject orders or are slow, beside
// the other faults there.
var faultyRuns = []struct {
	name string
	run  func(seed uint64, faults []string) (*world, []string)
}{
	{"pooled", func(seed uint64, faults []string) (*world, []string) {
		return randomRun(seed, 1+int(seed%2), append(faultNames(), faults...))
	}},
	{"stored jobs", func(seed uint64, faults []string) (*world, []string) {
		return storedRun(seed, append(storedFaultNames(), faults...))
	}},
	{"cells", func(seed uint64, faults []string) (*world, []string) {
		return randomRunOf(cellDeployment(seed, 1+int(seed%2)), append(linkFaultNames(), faults...))
	}},
	{"lending", func(seed uint64, faults []string) (*world, []string) {
		return lendingRun(seed, append(append(faultNames(), "part", "part", "replace"), faults...))
	}},
	{"restarts", func(seed uint64, faults []string) (*world, []string) {
		names := append(faultNames(), "late orders", "runner restart", "runner restart", "runner restart", "runner restart")
		return randomRun(seed, 1+int(seed%2), append(names, faults...))
	}},
	{"links", func(seed uint64, faults []string) (*world, []string) {
		return randomRun(seed, 1+int(seed%2), append(linkFaultNames(), faults...))
	}},
}

func linkFaultNames() []string {
	return append(faultNames(), "store for some", "part", "part", "replace")
}

// playFaultyRuns plays all seeds, also after a failure, and prints what happened to the tasks that
// had two runs.
func playFaultyRuns(t *testing.T, faults ...string) {
	playFaultySeedsOf(t, faultyRunSeeds(), faults)
}

// playFaultySeedsOf is playFaultyRuns with a number of seeds of each deployment.
func playFaultySeedsOf(t *testing.T, seedCount int, faults []string) {
	for _, v := range faultyRuns {
		t.Run(v.name, func(t *testing.T) {
			t.Parallel()
			served, asked, red, ledTwo := 0, 0, 0, 0
			var unanswered unansweredHolds
			pairs := make(map[string]int)
			rejected := make(map[schedule.CallOutcome]int)
			for i := range seedCount {
				seed := *firstSeed + uint64(i)
				w, played := v.run(seed, faults)
				served += w.completed()
				asked += len(w.jobs)
				for o, n := range w.checker.rejectedRuns {
					rejected[o] += n
				}
				for kind, n := range w.checker.pairKinds {
					pairs[kind] += n
				}
				unanswered.accepted += w.silences.accepted
				unanswered.refused += w.silences.refused
				if w.mostLed > 1 {
					ledTwo++
				}
				if len(w.checker.violations) > 0 {
					red++
					t.Errorf("seed %d: %v\n%s\n%v", seed, strings.Join(w.checker.violations, "\n"), w.describeDoubles(), played)
				}
			}
			t.Logf("%d of %d seeds failed; %d of %d jobs complete; outcomes of starts whose run was there: %v", red, seedCount, served, asked, rejected)
			t.Logf("unanswered holds: %+v; seeds in which runners were starved while one process led several shards: %d", unanswered, ledTwo)
			for _, kind := range slices.Sorted(maps.Keys(pairs)) {
				t.Logf("pairs of runs, %d: %s", pairs[kind], kind)
			}
		})
	}
}

// Guards against two runs of a task at the same time, and against lost runs, when runners leave orders
// unanswered and reject others.
func TestRandomRejections(t *testing.T) {
	t.Parallel()
	playFaultyRuns(t, rejectionFaults()...)
}

// Guards against the same when orders and answers take longer than the scheduler waits, and overtake
// each other.
func TestRandomSlowOrders(t *testing.T) {
	t.Parallel()
	playFaultyRuns(t, slownessFaults()...)
}

// Guards against the same with both.
func TestRandomRejectionsAndSlowOrders(t *testing.T) {
	t.Parallel()
	playFaultyRuns(t, append(rejectionFaults(), slownessFaults()...)...)
}

// Guards against the same when leaders restart on their VM or retire for a while, and when runners leave
// the list, with starts unanswered.
func TestRandomChangesWithUnansweredStarts(t *testing.T) {
	t.Parallel()
	playFaultyRuns(t, changeFaults()...)
}

// Guards against the same when runners reject orders as well.
func TestRandomChangesAndRejections(t *testing.T) {
	t.Parallel()
	playFaultyRuns(t, append(changeFaults(), rejectionFaults()...)...)
}

// faultySeed is a seed of one of faultyRuns that once violated an invariant, with the cause.
type faultySeed struct {
	run    string
	seed   uint64
	faults []string
	cause  string
}

var rejectionRegressions = []faultySeed{
	{"pooled", 3, rejectionFaults(), "the same as seed 6"},
	{"pooled", 6, rejectionFaults(), "a start was carried out without an answer, and the second order was rejected by a runner that was unhealthy"},
	{"lending", 2, append(rejectionFaults(), slownessFaults()...), "a start was still on its way when the second order was rejected for lack of room"},
	{"cells", 22, append(rejectionFaults(), slownessFaults()...), "a start was still on its way when the second order was rejected by a runner that was unhealthy"},
}

func TestRejectionRegressions(t *testing.T) {
	t.Parallel()
	playFaultySeeds(t, rejectionRegressions)
}

func playFaultySeeds(t *testing.T, list []faultySeed) {
	for _, c := range list {
		for _, v := range faultyRuns {
			if v.name != c.run {
				continue
			}
			w, _ := v.run(c.seed, c.faults)
			if len(w.checker.violations) > 0 {
				t.Errorf("%s, seed %d, %s: %v\n%s", c.run, c.seed, c.cause, strings.Join(w.checker.violations, "\n"), w.describeDoubles())
			}
		}
	}
}

// Guards against two runs of a task at the same time when all orders are slow and some are far slower:
// the timeout grows, so that the second order of a start may arrive after the lease in it has ended. A
// runner accepts an order for a run that is there before it looks at the lease.
func TestSecondOrdersThatArriveTooLate(t *testing.T) {
	t.Parallel()
	rejected := make(map[schedule.CallOutcome]int)
	for i := range singleRunSeeds() {
		w := deployment(*firstSeed+uint64(i), 1)
		w.run(2 * time.Second)
		for _, r := range w.runners {
			r.slow = slowness{share: 1, least: 10 + w.rng.IntN(30), most: 50 + w.rng.IntN(70), tail: w.randomShare(0.05, 0.4)}
		}
		for w.now < 9*time.Second {
			w.submit([]string{"a", "b", "c"}[w.rng.IntN(3)], 2, w.randomDuration(700, 1500), 2200*time.Millisecond)
			w.run(w.randomDuration(10, 80))
		}
		for o, n := range w.checker.rejectedRuns {
			rejected[o] += n
		}
		if len(w.checker.violations) > 0 {
			t.Errorf("seed %d: %v\n%s", *firstSeed+uint64(i), strings.Join(w.checker.violations, "\n"), w.describeDoubles())
		}
	}
	t.Logf("outcomes of starts whose run was there: %v", rejected)
}

// Guards against two runs of a task at the same time, and against lost jobs, when jobs move to another
// shard whose runners leave starts unanswered and reject others.
func TestMovedJobsAndRejections(t *testing.T) {
	t.Parallel()
	moved := 0
	for i := range singleRunSeeds() {
		seed := *firstSeed + uint64(i)
		w := cellDeployment(seed, 1)
		w.sendJob(w.newStoredJob())
		w.run(2 * time.Second)
		jobs := w.submitStoredJobs(12)
		w.removeRunners("a")
		w.run(1200 * time.Millisecond)
		for _, r := range w.runners {
			r.rejects.starts, r.unansweredShare = w.randomShare(0.2, 0.6), w.randomShare(0.1, 0.5)
		}
		w.run(4 * time.Second)
		for _, r := range w.runners {
			r.rejects.starts, r.unansweredShare = 0, 0
		}
		w.run(10 * time.Second)
		w.checker.checkSettled()
		for _, j := range jobs {
			if w.layout().StoredJobShard(j.work.ID) == 0 {
				moved++
			}
		}
		if len(w.checker.violations) > 0 {
			t.Errorf("seed %d: %v\n%s", seed, strings.Join(w.checker.violations, "\n"), w.describeDoubles())
		}
	}
	t.Logf("%d jobs of the shard without runners", moved)
}

// runEvent is an order of a run, its outcome, a decision on it or what happens to it on its runner.
type runEvent struct {
	at   time.Duration
	key  string
	by   string
	what string
	// decision: a process has logged it.
	decision bool
}

func (w *world) noteRun(k workload.RunKey, by, what string) {
	w.note(runEvent{key: k.String(), by: by, what: what})
}

// noteDecision notes a process's decision on a run.
func (w *world) noteDecision(n *fakeNode, c fleet.Notice) {
	key, ok := fieldOf(c, "run").(string)
	if !ok {
		return
	}
	reason, _ := fieldOf(c, "reason").(string)
	w.note(runEvent{key: key, by: string(n.id), what: c.Event + " " + reason, decision: true})
}

func (w *world) note(e runEvent) {
	e.at = w.now
	task, _, _ := strings.Cut(e.key, "#")
	w.history[task] = append(w.history[task], e)
}

// describeDoubles describes what happened to the tasks that had two runs at the same time.
func (w *world) describeDoubles() string {
	var b strings.Builder
	for _, task := range w.checker.doubled {
		for _, e := range w.history[task.String()] {
			fmt.Fprintf(&b, "  %v %s: %s: %s\n", e.at, e.by, e.key, e.what)
		}
	}
	return b.String()
}
