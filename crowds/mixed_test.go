package crowds

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"

	. "github.com/onsi/gomega"
)

// gatherAll starts crowds of several kinds that call the same addresses.
func gatherAll(addresses []string, health []string) func() {
	lines, over := shortLines(legalHead), shortLines(longHead)
	text, large := strings.Repeat(" ", bodyBytes-1), manySteps(largestJob)
	empty := `{"bestEffort":true,"steps":[` + strings.Repeat("{},", 86_999) + `{}]}`
	crowds := []*crowd{
		gather(60, sendAndStay(func(int) string { return requestLine() + "Content-Length: 100\r\n" + over + "\r\n{" }), addresses...),
		gather(300, sendAndStay(func(int) string { return requestLine() + lines }), addresses...),
		gather(150, sendAndStay(func(int) string {
			return fmt.Sprintf("%sContent-Length: %d\r\n\r\n%s", requestLine(), bodyBytes, text)
		}), addresses...),
		gather(50, exchange(func(int) string { return post(newID(), empty) }), addresses...),
		gather(100, exchange(func(int) string { return post(newID(), large) }), addresses...),
		gather(300, sendAndStay(fixed("")), addresses...),
		gather(100, sendAndStay(fixed("GET /ready HTTP/1.1\r\nHost: a\r\nContent-Length: 100\r\n"+over+"\r\n{")), health...),
	}
	return func() {
		for _, c := range crowds {
			c.leave()
		}
	}
}

// Guards against limits that hold for each kind of crowd alone.
func TestSeveralCrowdsAtOnce(t *testing.T) {
	for _, processes := range []int{1, 3} {
		t.Run(fmt.Sprint(processes), func(t *testing.T) {
			w := newWorld(t, smallest, processes)
			leave := gatherAll(w.addresses(false), w.addresses(true))
			time.Sleep(2 * holdTime)
			w.expectWithstood(leave)
		})
	}
}

// Guards against a process that leads and has no memory left for the jobs of all others.
func TestCrowdsAtTheLeader(t *testing.T) {
	w := newWorld(t, smallest, 3)
	n := w.leader()
	leave := gatherAll([]string{n.CallerAddress}, []string{n.HealthAddress})
	time.Sleep(2 * holdTime)
	w.expectWithstood(leave)
}

// Guards against crowds that keep other processes from taking over from a leader that is killed.
func TestCrowdsDuringAChangeOfLeader(t *testing.T) {
	w := newWorld(t, smallest, 3)
	leave := gatherAll(w.addresses(false), w.addresses(true))
	time.Sleep(holdTime)
	n := w.leader()
	n.stopping = true
	if err := n.cmd.Process.Kill(); err != nil {
		t.Fatal(err)
	}
	time.Sleep(holdTime)
	w.expectWithstood(leave)
}

// Guards against a planned stop that a crowd holds up, or that cuts a request.
func TestCrowdsDuringAStop(t *testing.T) {
	w := newWorld(t, smallest, 3)
	leave := gatherAll(w.addresses(false), w.addresses(true))
	time.Sleep(holdTime)
	n := w.leader()
	n.stop()
	NewWithT(t).Eventually(n.ended, testTimeout, sampleEvery).Should(BeTrue(), "%s doesn't stop", n.name)
	w.expectWithstood(leave)
}

// Guards against crowds that get by during a change of the operators' limits.
func TestCrowdsDuringAChangeOfTheLimits(t *testing.T) {
	w := newWorld(t, smallest, 1)
	leave := gatherAll(w.addresses(false), w.addresses(true))
	for i := range 8 {
		l := usualLimits
		if i%2 == 0 {
			l = limits{headBytes / 2, bodyBytes / 2, 1000, 3000}
		}
		w.configure(l)
		time.Sleep(holdTime / 4)
	}
	w.expectWithstood(leave)
}

// answerTo sends a text on a connection and returns the status of the answer; 0 if the connection is closed.
func answerTo(c net.Conn, text string) int {
	go func() { _, _ = io.WriteString(c, text) }()
	res, err := http.ReadResponse(bufio.NewReader(c), nil)
	if err != nil {
		return 0
	}
	defer res.Body.Close()
	if _, err := io.Copy(io.Discard, res.Body); err != nil {
		return 0
	}
	return res.StatusCode
}

func (w *world) dial() net.Conn {
	w.t.Helper()
	g := NewWithT(w.t)
	c, err := net.Dial("tcp", w.nodes[0].CallerAddress)
	g.Expect(err).NotTo(HaveOccurred())
	w.t.Cleanup(func() { _ = c.Close() })
	g.Expect(c.SetDeadline(time.Now().Add(testTimeout))).To(Succeed())
	return c
}

// Guards against operators' limits that are read and not applied, or only from the next start on.
func TestOperatorsLimits(t *testing.T) {
	g := NewWithT(t)
	w := newWorld(t, smallest, 1)
	long := requestLine() + "Long: " + strings.Repeat("x", 12_000) + "\r\n" + content(job("1ms", 1))
	g.Eventually(func() int { return answerTo(w.dial(), long) }, testTimeout, sampleEvery).Should(Equal(http.StatusOK))
	open := w.dial()
	g.Expect(answerTo(open, post(newID(), job("1ms", 1)))).To(Equal(http.StatusOK))
	g.Expect(answerTo(w.dial(), requestLine()+"Long: "+strings.Repeat("x", 100_000)+"\r\n"+content(job("1ms", 1)))).
		To(BeElementOf(0, http.StatusRequestHeaderFieldsTooLarge))
	w.configure(limits{headBytes: 4096, bodyBytes: 1024, headerTimeoutMs: 500, idleTimeoutMs: 1000})
	g.Eventually(func() int { return answerTo(w.dial(), long) }, testTimeout, sampleEvery).
		Should(BeElementOf(0, http.StatusRequestHeaderFieldsTooLarge))
	g.Expect(answerTo(w.dial(), post(newID(), job(strings.Repeat("x", 2000), 1)))).To(Equal(http.StatusRequestEntityTooLarge))
	_, err := open.Read(make([]byte, 1))
	g.Expect(err).To(Equal(io.EOF), "a connection that was open before is closed by the new idle timeout")
	unfinished := w.dial()
	_, err = io.WriteString(unfinished, requestLine())
	g.Expect(err).NotTo(HaveOccurred())
	_, err = unfinished.Read(make([]byte, 1))
	g.Expect(err).To(Equal(io.EOF), "a head that doesn't end is closed by the new timeout")
}

// outcomes holds the statuses that callers got for each job.
type outcomes struct {
	mu       sync.Mutex
	statuses map[string][]int
}

func (o *outcomes) add(id string, status int) {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.statuses[id] = append(o.statuses[id], status)
}

// Guards against callers that are told that a job never runs, though a copy of it does.
func TestRefusalsUnderPressureAreTrue(t *testing.T) {
	w := newWorld(t, smallest, 3)
	seen := &outcomes{statuses: make(map[string][]int)}
	large, small := manySteps(1000), job("1ms", 3)
	// Each id comes three times, to different processes at about the same time.
	copies := func(_ context.Context, c net.Conn, i int) {
		id := fmt.Sprintf("%012x%04x", time.Now().UnixMilli()/200, i/3)
		text := small
		if i%2 == 0 {
			text = large
		}
		seen.add(id, answerTo(c, post(id, text)))
	}
	crowds := []*crowd{
		gather(240, copies, w.addresses(false)...),
		gather(100, sendAndStay(func(int) string {
			return fmt.Sprintf("%sContent-Length: %d\r\n\r\n%s", requestLine(), bodyBytes, strings.Repeat(" ", bodyBytes-1))
		}), w.addresses(false)...),
	}
	time.Sleep(3 * holdTime)
	w.expectOrdinaryAnswers()
	for _, c := range crowds {
		c.leave()
	}
	started := make(map[string]bool)
	for _, r := range w.runners {
		for _, s := range r.Starts() {
			id, _, _ := strings.Cut(s.Task, ".")
			started[id] = true
		}
	}
	counts := make(map[int]int)
	seen.mu.Lock()
	defer seen.mu.Unlock()
	for id, list := range seen.statuses {
		rejected := true
		for _, s := range list {
			counts[s]++
			rejected = rejected && (s == http.StatusServiceUnavailable || s == http.StatusTooManyRequests)
		}
		if rejected && started[id] {
			t.Errorf("job %s: all attempts were rejected (%v), and a task of it started", id, list)
		}
	}
	t.Logf("%d jobs, %d started, answers %v", len(seen.statuses), len(started), counts)
	for _, n := range w.nodes {
		w.expectWithinMachine(n)
	}
}
