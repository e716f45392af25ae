package soak

import (
	"flag"
	"fmt"
	"io"
	"net/http"
	"regexp"
	"strconv"
	"syscall"
	"testing"
	"time"

	. "github.com/onsi/gomega"
)

const (
	// drainTime is the time after the acknowledgement that a runner is draining from which nothing is
	// started on it.
	drainTime = 2 * time.Second
	// drainObserveTime exceeds drainTime by the time that an old list may still be used.
	drainObserveTime = 8 * time.Second
)

// Guards against tasks that are started on draining runners for too long because the open connections to the
// store have gone silent.
func TestSoakDrainingRunnersAndSilentConnections(t *testing.T) {
	t.Parallel()
	program := buildEntry(t)
	for i := range *seeds {
		seed := *first + uint64(i)
		t.Run(fmt.Sprint(seed), func(t *testing.T) {
			t.Parallel()
			w := startWorld(t, program, seed, scenario{})
			group := w.startCallers(12)
			time.Sleep(time.Second + w.randomDuration(0, 600))
			silenceStoreConnections(w.nodes...)
			silenced := time.Now()
			time.Sleep(w.randomDuration(10, 200))
			g := NewWithT(t)
			draining := w.runners[:len(w.runners)/2]
			for _, r := range draining {
				w.drain(g, r)
			}
			acknowledged := time.Now()
			time.Sleep(drainObserveTime)
			group.stopAndWait()
			last := w.lastStart(draining)
			t.Logf("the last start on a draining runner %v after the acknowledgement", last.Sub(acknowledged).Round(time.Millisecond))
			binds := acknowledged.Add(drainTime)
			if inTouch := silenced.Add(contactTime); inTouch.After(binds) {
				binds = inTouch
			}
			g.Expect(last).To(BeTemporally("<", binds))
			g.Expect(w.checker.allViolations()).To(BeEmpty())
		})
	}
}

// drain lists a runner as draining.
func (w *world) drain(g *WithT, r *proxiedRunner) {
	info := r.entry()
	info.State = "draining"
	g.Expect(w.store.Put("servers", r.runner.ID, info)).To(Succeed())
}

// lastStart returns when a run was last started on one of the runners.
func (w *world) lastStart(list []*proxiedRunner) time.Time {
	var last time.Time
	for _, r := range list {
		if at := w.checker.lastStartOn(r.runner.ID); at.After(last) {
			last = at
		}
	}
	return last
}

// Guards against a process that starts again and isn't ready for long because the others' open connections to
// the store have gone silent, so that they don't learn of it.
func TestSoakRestartAndSilentConnections(t *testing.T) {
	t.Parallel()
	program := buildEntry(t)
	for i := range *seeds {
		seed := *first + uint64(i)
		t.Run(fmt.Sprint(seed), func(t *testing.T) {
			t.Parallel()
			w := startWorld(t, program, seed, scenario{})
			group := w.startCallers(3)
			time.Sleep(time.Second)
			n := w.randomNode()
			n.signal(syscall.SIGKILL)
			killed := time.Now()
			time.Sleep(w.randomDuration(10, 200))
			silenceStoreConnections(w.nodes...)
			g := NewWithT(t)
			g.Eventually(func() bool { return w.serves(n) }, time.Minute, 10*time.Millisecond).Should(BeTrue(), "the process serves again")
			t.Logf("the process serves %v after its kill", time.Since(killed).Round(time.Millisecond))
			group.stopAndWait()
			g.Expect(w.checker.allViolations()).To(BeEmpty())
		})
	}
}

// serves reports whether a process is ready and answers a job with success.
func (w *world) serves(n *node) bool {
	if !w.isReady(n) {
		return false
	}
	// The number of the caller makes the job best-effort and its id one of its own.
	job := fmt.Sprintf("%08x%08x", 1<<20, time.Now().UnixNano()&0xffffffff)
	status, _ := w.submit(n, job, 20*time.Millisecond, 1, time.Second)
	return status == http.StatusOK
}

var storeCalls = regexp.MustCompile(`(?m)^sapphirepoint_store_calls_total\{.*\} (\S+)$`)

// storeCallCount returns how many calls to the store a process has made.
func (w *world) storeCallCount(g *WithT, n *node) float64 {
	res, err := w.health.Get("http://" + n.HealthAddress + "/metrics")
	g.Expect(err).NotTo(HaveOccurred())
	defer res.Body.Close()
	raw, err := io.ReadAll(res.Body)
	g.Expect(err).NotTo(HaveOccurred())
	var sum float64
	for _, m := range storeCalls.FindAllSubmatch(raw, -1) {
		v, err := strconv.ParseFloat(string(m[1]), 64)
		g.Expect(err).NotTo(HaveOccurred())
		sum += v
	}
	return sum
}

var measureCalls = flag.Bool("soak.calls", false, "run TestSoakStoreCalls, a measurement")

// TestSoakStoreCalls measures how often processes call the store, idle and with a change of the configuration
// every second, each for half the length of a run.
func TestSoakStoreCalls(t *testing.T) {
	if !*measureCalls {
		t.Skip("a measurement, not a check")
	}
	w := startWorld(t, buildEntry(t), *first, scenario{})
	w.configuration.finish()
	g := NewWithT(t)
	g.Eventually(w.allReady, time.Minute, 50*time.Millisecond).Should(BeTrue())
	time.Sleep(2 * time.Second)
	duration := time.Duration(*seconds) * time.Second / 2
	idle := w.storeCallRate(g, duration, func() {})
	changing := w.storeCallRate(g, duration, w.putConfiguration)
	t.Logf("calls to the store per VM and second: idle %.2f, with changes %.2f", idle, changing)
}

// storeCallRate returns the calls to the store per VM and second while something is done each second.
func (w *world) storeCallRate(g *WithT, duration time.Duration, each func()) float64 {
	count := func() float64 {
		var sum float64
		for _, n := range w.nodes {
			sum += w.storeCallCount(g, n)
		}
		return sum
	}
	before, begin := count(), time.Now()
	for time.Since(begin) < duration {
		each()
		time.Sleep(time.Second)
	}
	took := time.Since(begin).Seconds()
	return (count() - before) / took / float64(len(w.nodes))
}

// allReady reports whether all processes are ready.
func (w *world) allReady() bool {
	for _, n := range w.nodes {
		if !w.isReady(n) {
			return false
		}
	}
	return true
}
