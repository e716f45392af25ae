//go:build review2

package main

import (
	"bufio"
	"fmt"
	"os"
	"strings"
	"sync"
	"time"
)

// record holds what runners and clients have seen, and writes it to a file.
type record struct {
	mu    sync.Mutex
	begun time.Time
	file  *os.File
	out   *bufio.Writer
	// alive are the runs of each task that haven't ended.
	alive map[string]map[runID]string
	// done is when a run of a task ended done whose end was taken note of; maybe has such ends that aren't yet.
	noted map[string]noted
	// starts are the starts of each task.
	starts map[string][]startSeen
	// runs counts the starts, ends the ends by kind.
	runs int
	ends map[string]int
	// doneEver are the tasks of which a run has ended done, cancelled the jobs whose cancelling was acknowledged, and
	// failed the failed ends of each task that are taken note of.
	doneEver  map[string]bool
	doneAt    map[string]time.Time
	cancelled map[string]time.Time
	failed    map[string]int
	// maxAttempts is that of the queue; 0 checks nothing.
	maxAttempts int
	// broken are the breaks of rules that were seen.
	broken []string
}

type noted struct {
	end   time.Time
	run   runID
	on    string
	token uint64
}

type startSeen struct {
	at    time.Time
	run   runID
	on    string
	token uint64
}

func newRecord(path string) (*record, error) {
	f, err := os.Create(path)
	if err != nil {
		return nil, err
	}
	return &record{
		begun: time.Now(), file: f, out: bufio.NewWriter(f), alive: make(map[string]map[runID]string),
		noted: make(map[string]noted), doneEver: make(map[string]bool), doneAt: make(map[string]time.Time), cancelled: make(map[string]time.Time), failed: make(map[string]int), starts: make(map[string][]startSeen), ends: make(map[string]int),
	}, nil
}

func (c *record) close() {
	c.mu.Lock()
	defer c.mu.Unlock()
	_ = c.out.Flush()
	_ = c.file.Close()
}

func (c *record) line(format string, args ...any) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.write(format, args...)
}

func (c *record) write(format string, args ...any) {
	_, _ = fmt.Fprintf(c.out, "%8.3f "+format+"\n", append([]any{time.Since(c.begun).Seconds()}, args...)...)
}

// breaks records that a rule is broken.
func (c *record) breaks(format string, args ...any) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.breaksLocked(format, args...)
}

func (c *record) breaksLocked(format string, args ...any) {
	c.broken = append(c.broken, fmt.Sprintf(format, args...))
	c.write("BROKEN "+format, args...)
}

// started records a start and checks the rule TWICE.
func (c *record) started(r *runner, id runID, o order) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.runs++
	c.write("start %s run %d on %s token %d", id.task, id.run, r.id, o.FenceToken)
	c.checkKind(r, id)
	s := startSeen{at: time.Now(), run: id, on: r.id, token: o.FenceToken}
	for other, on := range c.alive[id.task] {
		c.breaksLocked("TWICE: %s run %d starts on %s while run %d is alive on %s", id.task, id.run, r.id, other.run, on)
	}
	if n, ok := c.noted[id.task]; ok {
		c.twice(s, n)
	}
	job, _, _ := strings.Cut(id.task, ".")
	if at, ok := c.cancelled[job]; ok && time.Since(at) > 3*time.Second {
		c.breaksLocked("UNASKED: %s starts %.3f s after its job's cancelling was acknowledged", id.task, time.Since(at).Seconds())
	}
	if c.maxAttempts > 0 && r.world.isStored(id.task) && c.failed[id.task] >= c.maxAttempts {
		c.breaksLocked("BUDGET: %s run %d starts after %d failed ends", id.task, id.run, c.failed[id.task])
	}
	for _, task := range r.world.before(id.task) {
		if !c.doneEver[task] {
			c.breaksLocked("ORDER: %s starts before %s is done", id.task, task)
		}
	}
	c.starts[id.task] = append(c.starts[id.task], s)
	if c.alive[id.task] == nil {
		c.alive[id.task] = make(map[runID]string)
	}
	c.alive[id.task][id] = r.id
}

func (c *record) twice(s startSeen, n noted) {
	c.breaksLocked("TWICE: %s run %d (token %d) starts on %s, %.3f s after run %d ended done on %s, and that end is taken note of (token %d)",
		s.run.task, s.run.run, s.token, s.on, s.at.Sub(n.end).Seconds(), n.run.run, n.on, n.token)
}

func (c *record) ended(r *runner, e *runEnd) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.ends[e.how]++
	c.write("end   %s run %d on %s %s", e.task, e.run, r.id, e.how)
	delete(c.alive[e.task], e.runID)
	if e.how == "done" && !c.doneEver[e.task] {
		c.doneEver[e.task], c.doneAt[e.task] = true, e.at
	}
}

// gone records that a run ended with its runner's lifetime.
func (c *record) gone(id runID) {
	c.mu.Lock()
	defer c.mu.Unlock()
	delete(c.alive[id.task], id)
}

// acknowledged records that the cursor has reached an end, and checks the starts since that end.
func (c *record) acknowledged(r *runner, e *runEnd, token uint64) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.write("noted %s run %d on %s %s token %d lapsed %t", e.task, e.run, r.id, e.how, token, e.lapsed)
	if e.how == "failed" && !e.lapsed {
		c.failed[e.task]++
	}
	if e.how != "done" || e.lapsed || !r.world.isStored(e.task) {
		// For a job that needn't be stored the rule holds only for runs at the same time.
		return
	}
	n := noted{end: e.at, run: e.runID, on: r.id, token: token}
	if _, ok := c.noted[e.task]; !ok {
		c.noted[e.task] = n
	}
	for _, s := range c.starts[e.task] {
		if s.at.After(e.at) {
			c.twice(s, n)
		}
	}
}
