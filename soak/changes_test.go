package soak

import (
	"flag"
	"fmt"
	"path/filepath"
	"syscall"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"sapphirepoint.example/sapphirepoint/standin/deployment"
)

var rounds = flag.Int("soak.rounds", 1, "number of times that the configuration changes during a fault, in TestSoakChangesDuringFaults")

const (
	// observeTime is how long answers are observed after a change; it exceeds contactTime by the time that an
	// old version may still be in force.
	observeTime = 5 * time.Second
	// changeCallers is the number of callers, of which one submits stored jobs.
	changeCallers = 3
)

// Guards against a dropped route that is still served, and an added one that is refused, when the open
// connections to the store go silent just before the change.
func TestSoakSilentStoreConnections(t *testing.T) {
	t.Parallel()
	changeDuring(t, buildEntry(t), storeSilenced, pausesExcepted)
}

// Guards against a process that got no processor time for some seconds and then answers by the configuration
// from before.
func TestSoakPausedProcess(t *testing.T) {
	t.Parallel()
	changeDuring(t, buildEntry(t), processPaused, pausesCounted)
}

// Guards against processes that get little processor time, all of them, and answer by the configuration from
// before, also while connections to the store go silent. They are paused most of the time, which leaves the
// store its own.
func TestSoakStarvedProcesses(t *testing.T) {
	t.Parallel()
	program := buildEntry(t)
	for _, f := range []fault{processesStarved, storeSilencedAndProcessesStarved} {
		t.Run(f.name, func(t *testing.T) {
			t.Parallel()
			changeDuring(t, program, f, pausesCounted)
		})
	}
}

// Guards against changes of the configuration that come into force late, or are taken back, because of a fault.
func TestSoakChangesDuringFaults(t *testing.T) {
	program := buildEntry(t)
	for _, f := range changeFaults {
		t.Run(f.name, func(t *testing.T) {
			t.Parallel()
			changeDuring(t, program, f, pausesExcepted)
		})
	}
}

var (
	storeSilenced = fault{"connections silent", func(w *world) { silenceStoreConnections(w.nodes...) }}
	// processesStarved lets all processes run for a tenth of the time.
	processesStarved = fault{"processes starved", func(w *world) {
		for _, n := range w.nodes {
			for i := range 10 {
				w.pauseAfter(time.Duration(i)*500*time.Millisecond, n, 450*time.Millisecond)
			}
		}
	}}
	storeSilencedAndProcessesStarved = fault{"connections silent and processes starved", func(w *world) {
		storeSilenced.inject(w)
		processesStarved.inject(w)
	}}
	processPaused = fault{"process paused", func(w *world) { w.pause(w.randomNode()) }}
)

// changeFaults are the faults just before a change of the configuration.
var changeFaults = []fault{
	{"none", func(*world) {}},
	{"connections of a domain silent", func(w *world) { silenceStoreConnections(w.nodesOf(w.domain(0))...) }},
	{"connections of a VM silent", func(w *world) { silenceStoreConnections(w.randomNode()) }},
	{"connections silent again and again", func(w *world) {
		for i := range 4 {
			w.runAfter(time.Duration(i)*250*time.Millisecond, func() { silenceStoreConnections(w.nodes...) })
		}
	}},
	{"connections silent while slow", func(w *world) {
		silenceStoreConnections(w.nodes...)
		w.slowStore(200 * time.Millisecond)
	}},
	{"busy", func(w *world) {
		w.injectStoreFault(deployment.StoreFaults{Busy: true}, w.randomDuration(200, 900))
	}},
	{"unanswered", func(w *world) {
		w.injectStoreFault(deployment.StoreFaults{Silent: true}, w.randomDuration(200, 900))
	}},
	{"slow by 50 ms", func(w *world) { w.slowStore(50 * time.Millisecond) }},
	{"slow by 200 ms", func(w *world) { w.slowStore(200 * time.Millisecond) }},
	{"slow by 400 ms", func(w *world) { w.slowStore(400 * time.Millisecond) }},
	{"history forgotten", func(w *world) { w.store.DropHistory() }},
	{"answers of writes lost", func(w *world) {
		w.configuration.disturbances.begin(theStore)()
		w.store.SetFaults(deployment.StoreFaults{LoseReplies: 3})
	}},
	processPaused,
	{"process killed", func(w *world) { w.randomNode().signal(syscall.SIGKILL) }},
	{"process stopped", func(w *world) { w.randomNode().signal(syscall.SIGTERM) }},
	{"all processes killed", func(w *world) {
		for _, n := range w.nodes {
			n.signal(syscall.SIGKILL)
		}
	}},
}

// slowStoreTime is how long the store's answers are late.
const slowStoreTime = 3 * time.Second

func (w *world) slowStore(delay time.Duration) {
	w.injectStoreFault(deployment.StoreFaults{Delay: delay}, slowStoreTime)
}

// pause pauses a node's process for longer than a change may take.
func (w *world) pause(n *node) {
	n.signal(syscall.SIGSTOP)
	w.runAfter(w.randomDuration(2100, 2900), func() { n.signal(syscall.SIGCONT) })
}

// nodesOf returns the nodes of a failure domain.
func (w *world) nodesOf(domain string) []*node {
	var list []*node
	for _, n := range w.nodes {
		if n.Domain == domain {
			list = append(list, n)
		}
	}
	return list
}

// changeDuring changes the configuration twice just after a fault, and checks that the changes come into force in
// time and for good. Another change shortly before the fault makes all processes wait for changes from the
// same moment on; the first one after it ends the calls that still wait.
func changeDuring(t *testing.T, program string, f fault, pauses pauseRule) {
	for i := range *seeds {
		seed := *first + uint64(i)
		t.Run(fmt.Sprint(seed), func(t *testing.T) {
			t.Parallel()
			w := startWorld(t, program, seed, scenario{})
			group := w.startCallers(changeCallers)
			for range *rounds {
				w.putConfiguration()
				time.Sleep(w.randomDuration(20, 400))
				f.inject(w)
				time.Sleep(w.randomDuration(10, 200))
				w.putConfiguration()
				time.Sleep(w.randomDuration(10, 200))
				w.putConfiguration()
				w.timers.Wait()
				time.Sleep(observeTime)
			}
			group.stopAndWait()
			w.checkConfiguration(t, pauses)
			NewWithT(t).Expect(w.checker.allViolations()).To(BeEmpty())
		})
	}
}

// startWorld starts a world, which ends with the test, and waits until a process is ready.
func startWorld(t *testing.T, program string, seed uint64, sc scenario) *world {
	g := NewWithT(t)
	w, err := newWorld(program, t.TempDir(), seed, sc)
	g.Expect(err).NotTo(HaveOccurred())
	t.Cleanup(w.close)
	t.Cleanup(func() {
		if t.Failed() && *logDir != "" {
			w.saveLogs(filepath.Join(*logDir, t.Name()))
		}
	})
	t.Cleanup(func() { w.report(t, nil) })
	g.Eventually(w.ready, time.Minute, 50*time.Millisecond).Should(BeTrue(), "no entry process became ready")
	return w
}
