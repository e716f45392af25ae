package soak

import (
	"slices"
	"syscall"
	"testing"
	"time"

	"sapphirepoint.example/sapphirepoint/standin/deployment"
)

// Faults that the platform's interfaces allow beside the usual ones: runners without room, calls that are
// carried out and not answered or seconds late, runners whose entries disappear for a while, entry VMs whose
// views of the store differ, and jobs that arrive twice at once.

// Guards against tasks that run twice when orders are carried out seconds late, after newer ones.
func TestSoakOrdersCarriedOutLate(t *testing.T) {
	soakOnly(t, scenario{faults: slices.Concat(orderFaults, orderFaults, processFaults)})
}

// Guards against the same on runners that carry out starts after their deadlines while they have a lease.
func TestSoakLenientStarts(t *testing.T) {
	soakOnly(t, scenario{faults: slices.Concat(orderFaults, orderFaults, processFaults), lenientStarts: true, extraRunTime: 500 * time.Millisecond})
}

// Guards against the same on such runners when a run is given up whose starts stay unanswered and whose stops
// are rejected, while the runner renews its lease for others.
func TestSoakStartsUnderALaterLease(t *testing.T) {
	soakOnly(t, scenario{faults: []fault{ordersOutliveLeases}, lenientStarts: true, extraRunTime: 700 * time.Millisecond})
}

// Guards against tasks that run twice when the entry VMs see different lists of runners as leaders change.
func TestSoakDifferentLists(t *testing.T) {
	soakOnly(t, scenario{faults: slices.Concat(listFaults, listFaults, processFaults), extraRunTime: 500 * time.Millisecond})
}

// Guards against tasks that run twice when a job arrives again while its first request is open.
func TestSoakCopies(t *testing.T) {
	soakOnly(t, scenario{faults: slices.Concat(processFaults, listFaults, orderFaults), copies: 0.3, extraRunTime: 300 * time.Millisecond})
}

// Guards against the same when entry processes are paused again and again for short times.
func TestSoakPausesInSeries(t *testing.T) {
	soakOnly(t, scenario{faults: slices.Concat(processFaults, orderFaults, []fault{pausedInSeries, pausedInSeries, pausedInSeries}), copies: 0.1, extraRunTime: 500 * time.Millisecond})
}

// Guards against a second run beside one that is being stopped and that its runner doesn't list any more.
func TestSoakUnlistedStops(t *testing.T) {
	soakOnly(t, scenario{faults: []fault{runnersPause}, unlistedStops: true, wrongEstimates: true, extraRunTime: 900 * time.Millisecond})
}

// runnersPause lets a few runners handle no calls for a moment.
var runnersPause = fault{"runners pause", func(w *world) {
	for _, r := range w.randomRunners(6) {
		r.PauseCalls(w.randomDuration(50, 200))
	}
}}

var orderFaults = []fault{
	{"runners without room", func(w *world) {
		share := 0.2 + w.rng.Float64()/2
		w.changeFaults(func(f *deployment.RunnerFaults, on bool) { f.StartsWithoutRoom = set(share, on) })
	}},
	{"calls unanswered", func(w *world) {
		starts, others := 0.3+w.rng.Float64()/2, 0.1+w.rng.Float64()/2
		w.changeFaults(func(f *deployment.RunnerFaults, on bool) {
			f.UnansweredStarts, f.UnansweredOthers = set(starts, on), set(others, on)
		})
	}},
	ordersLate,
	{"orders carried out late, stops rejected", func(w *world) {
		share, stops, delay := 0.2+w.rng.Float64()/2, 0.5+w.rng.Float64()/2, w.randomDuration(500, 3000)
		w.changeFaults(func(f *deployment.RunnerFaults, on bool) {
			f.Slow, f.MaxDelay, f.RejectedStops = set(share, on), delay, set(stops, on)
		})
	}},
}

var ordersLate = fault{"orders carried out late", func(w *world) {
	share, delay := 0.2+w.rng.Float64()/2, w.randomDuration(800, 6000)
	w.changeFaults(func(f *deployment.RunnerFaults, on bool) {
		f.Slow, f.MaxDelay = set(share, on), delay
	})
}}

// ordersOutliveLeases lets about a third of the runners carry out some orders after the leases in them, and
// reject nearly all stops.
var ordersOutliveLeases = fault{"orders outlive leases", func(w *world) {
	share, delay := 0.2+w.rng.Float64()/5, w.randomDuration(1200, 2400)
	w.changeFaults(func(f *deployment.RunnerFaults, on bool) {
		f.Slow, f.MaxDelay, f.RejectedStops = set(share, on), delay, set(0.95, on)
	})
}}

var processFaults = []fault{leaderPaused, leaderKilled, pausedInSeries}

var listFaults = []fault{
	{"entries disappear", func(w *world) {
		for _, r := range w.runners {
			if w.rng.IntN(4) > 0 {
				continue
			}
			w.store.Remove("servers", r.runner.ID)
			w.runAfter(w.randomDuration(200, 3000), func() { w.register(r) })
		}
	}},
	{"runner replaced", func(w *world) { w.replaceRunner(w.rng.IntN(len(w.runners))) }},
	{"store silent for a VM", func(w *world) { silenceStoreConnections(w.randomNode()) }},
	{"store cut off from a VM", func(w *world) {
		n := w.randomNode()
		end := n.disturbances.begin(n.name)
		n.storeProxy.Drop(w.rng.IntN(2) == 0, true)
		w.runAfter(w.randomDuration(300, 3800), func() {
			n.storeProxy.Drop(false, false)
			end()
		})
	}},
}

// leaderKilled kills a leader.
var leaderKilled = fault{"leader killed", func(w *world) {
	if leaders := w.leaders(); len(leaders) > 0 {
		leaders[w.rng.IntN(len(leaders))].signal(syscall.SIGKILL)
	}
}}

// pausedInSeries pauses a process for short times with shorter times between.
var pausedInSeries = fault{"paused in series", func(w *world) {
	n := w.randomNode()
	if leaders := w.leaders(); len(leaders) > 0 && w.rng.IntN(4) > 0 {
		n = leaders[w.rng.IntN(len(leaders))]
	}
	var at time.Duration
	for range 3 + w.rng.IntN(6) {
		d := w.randomDuration(50, 390)
		w.pauseAfter(at, n, d)
		at += d + w.randomDuration(2, 80)
	}
}}

// register puts the entry of a runner back, if the runner still exists.
func (w *world) register(r *proxiedRunner) {
	if r.runner.Crashed() {
		return
	}
	if err := w.store.Put(runnerTable, r.runner.ID, r.entry()); err != nil {
		w.checker.reportViolation("the soak test itself failed: %v", err)
	}
}

// copyDelay is within what time after a request a copy of it is sent.
const copyDelay = 1600 * time.Millisecond

// firstTryOfCopied is the number of the first request for a job of which a copy is sent. It isn't 1, since a refusal of
// one of the two says nothing of the other. The copy goes to the VM after that of this request.
const firstTryOfCopied = 2

// sendCopy sends a copy of a job to another entry VM than the first request, for a share of the jobs. It
// returns a channel that is closed when the copy was answered; nil if there is none.
func (w *world) sendCopy(caller, k int, job string, runTime time.Duration, tasks int) chan struct{} {
	rng := w.callerRand(caller, k)
	if rng.Float64() >= w.copies {
		return nil
	}
	delay := time.Duration(rng.Int64N(int64(copyDelay)))
	n, answered := w.nodes[(caller+k+firstTryOfCopied+1)%len(w.nodes)], make(chan struct{})
	go func() {
		defer close(answered)
		time.Sleep(delay)
		w.submit(n, job, runTime, tasks, callerTimeout)
	}()
	return answered
}
