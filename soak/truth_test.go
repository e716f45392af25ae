package soak

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"maps"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"sync"
	"time"

	"sapphirepoint.example/sapphirepoint/standin/deployment"
)

// truth checks the promises by what runners and callers see.
type truth struct {
	mu      sync.Mutex
	faults  []string
	running map[string]map[deployment.RunID]string
	starts  map[string]int
	done    map[string]bool
	refused map[string]bool
	answers map[string]int
	// Of stored jobs: those accepted and not shown as completed yet, by their
	// number of tasks, those shown,
	// when each task was last started, and when it ended well by an end that was
	// acknowledged and counts.
	accepted  map[string]int
	completed map[string]bool
	lastStart map[string]time.Time
	noted     map[string]time.Time
}

func newTruth() *truth {
	return &truth{
		running: make(map[string]map[deployment.RunID]string),
		starts:  make(map[string]int),
		done:    make(map[string]bool),
		refused: make(map[string]bool),
		answers: make(map[string]int),

		accepted:  make(map[string]int),
		completed: make(map[string]bool),
		lastStart: make(map[string]time.Time),
		noted:     make(map[string]time.Time),
	}
}

func (t *truth) fail(format string, args ...any) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.note(format, args...)
}

func (t *truth) note(format string, args ...any) {
	t.faults = append(t.faults, time.Now().UTC().Format(time.RFC3339Nano)+" "+fmt.Sprintf(format, args...))
}

func (t *truth) broken() []string {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.faults
}

func (t *truth) count(status string) int {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.answers[status]
}

func (t *truth) statuses() string {
	t.mu.Lock()
	defer t.mu.Unlock()
	return fmt.Sprint(t.answers)
}

func jobOf(task string) string {
	job, _, _ := strings.Cut(task, ".")
	return job
}

// RunStarted implements deployment.Observer.
func (t *truth) RunStarted(r *deployment.Runner, s deployment.RunID) {
	t.mu.Lock()
	defer t.mu.Unlock()
	live := t.running[s.Task]
	if live == nil {
		live = make(map[deployment.RunID]string)
		t.running[s.Task] = live
	}
	for other, at := range live {
		t.note("%s run %d starts on %s while run %d runs on %s", s.Task, s.Run, r.ID, other.Run, at)
	}
	live[s] = r.ID
	job := jobOf(s.Task)
	t.starts[job]++
	if stored(job) {
		t.lastStart[s.Task] = time.Now()
		t.checkNoted(s.Task)
	}
	if t.completed[job] {
		t.note("%s run %d starts though its job is shown as completed", s.Task, s.Run)
	}
	if t.refused[job] {
		t.note("%s starts though its caller was told that it hasn't run", s.Task)
	}
}

// RunEnded implements deployment.Observer.
func (t *truth) RunEnded(_ *deployment.Runner, s deployment.RunID, how string) {
	t.mu.Lock()
	defer t.mu.Unlock()
	delete(t.running[s.Task], s)
	if how == "done" {
		t.done[s.Task] = true
	}
}

// stored reports whether a job is one that is to be kept: every third caller
// sends such jobs.
func stored(job string) bool {
	caller, err := strconv.ParseUint(job[:8], 16, 64)
	return err == nil && caller%3 == 0
}

// checkNoted is called with the lock held, when a task of a stored job was started
// or its end acknowledged.
func (t *truth) checkNoted(task string) {
	if at, ok := t.noted[task]; ok && t.lastStart[task].After(at) {
		t.note("%s starts after it had ended at %v, which was acknowledged", task, at.UTC())
	}
}

// EndAcknowledged implements deployment.Observer.
func (t *truth) EndAcknowledged(_ *deployment.Runner, e deployment.EndedRun) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if e.Outcome != "done" || e.LeaseExpired || !stored(jobOf(e.Task)) {
		return
	}
	if at, ok := t.noted[e.Task]; !ok || e.At.Before(at) {
		t.noted[e.Task] = e.At
	}
	t.checkNoted(e.Task)
}

// shown checks what the caller of an accepted job is told, and reports whether
// the job has ended.
func (t *truth) shown(job string, status int, body string) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	switch {
	case status == http.StatusGone:
		t.note("%s was accepted and isn't known", job)
	case status == http.StatusOK && strings.Contains(body, "failed"), status == http.StatusOK && strings.Contains(body, "cancelled"):
		t.note("%s is shown as %s", job, body)
	case status == http.StatusOK && strings.Contains(body, "completed"):
		t.allDone(job, t.accepted[job])
		t.completed[job] = true
		delete(t.accepted, job)
	default:
		return false
	}
	return true
}

// unfinished lists the accepted jobs that haven't been shown as completed.
func (t *truth) unfinished() []string {
	t.mu.Lock()
	defer t.mu.Unlock()
	return slices.Sorted(maps.Keys(t.accepted))
}

func (t *truth) accept(job string, tasks int) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.answers["accepted"]++
	t.accepted[job] = tasks
}

// allDone is called with the lock held.
func (t *truth) allDone(job string, tasks int) {
	for i := range tasks {
		if task := fmt.Sprintf("%s.0.0.%d", job, i); !t.done[task] {
			t.note("%s is complete without %s", job, task)
		}
	}
}

// answered checks a caller's answer. tries counts how often the job was sent.
func (t *truth) answered(job string, tasks, status, tries int, body string) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.answers[fmt.Sprint(status)]++
	switch {
	case status == http.StatusServiceUnavailable && tries == 1:
		t.refused[job] = true
		if t.starts[job] > 0 {
			t.note("%s: its caller is told that it hasn't run; %d runs were started", job, t.starts[job])
		}
	case status == http.StatusOK && strings.Contains(body, "completed"):
		t.allDone(job, tasks)
	}
}

// crowd is callers that send jobs until they are told to stop.
type crowd struct {
	stop chan struct{}
	done sync.WaitGroup
}

func (c *crowd) end() {
	close(c.stop)
	c.done.Wait()
}

const (
	// callerPatience is how long a caller waits in all, resend how long after a
	// broken connection it sends its job again.
	callerPatience = 2500 * time.Millisecond
	resend         = 1300 * time.Millisecond
)

func (w *world) callers(n int) *crowd {
	c := &crowd{stop: make(chan struct{})}
	for i := range n {
		c.done.Add(1)
		go func() {
			defer c.done.Done()
			for k := 0; ; k++ {
				select {
				case <-c.stop:
					return
				default:
					w.call(i, k)
				}
			}
		}()
	}
	return c
}

// call sends one job, again by another entry VM if the connection breaks or
// nobody knows what became of it.
func (w *world) call(caller, k int) {
	job := fmt.Sprintf("%08x%08x", caller+1, k)
	tasks := 1 + (caller+k)%3
	spec := fmt.Sprintf("%dms", 20+(caller*37+k*53)%250)
	begin := time.Now()
	for tries := 1; time.Since(begin) < callerPatience; tries++ {
		n := w.nodes[(caller+k+tries)%len(w.nodes)]
		status, body := w.send(n, job, spec, tasks, callerPatience-time.Since(begin))
		w.truth.answered(job, tasks, status, tries, body)
		if status != 0 && status != http.StatusGatewayTimeout && status != http.StatusBadGateway {
			if status != http.StatusOK {
				time.Sleep(20 * time.Millisecond)
			} else if stored(job) {
				w.truth.accept(job, tasks)
				w.follow(caller, job)
			}
			return
		}
		time.Sleep(resend)
	}
}

// followTime is how long a caller asks for its job before it sends the next one.
const followTime = 3 * time.Second

// follow asks for a job by one entry VM after the other until it has ended, or for
// a while.
func (w *world) follow(caller int, job string) {
	for begin, k := time.Now(), 0; time.Since(begin) < followTime; k++ {
		status, body := w.ask(w.nodes[(caller+k)%len(w.nodes)], http.MethodGet, job, "", time.Second)
		if w.truth.shown(job, status, body) {
			return
		}
		time.Sleep(100 * time.Millisecond)
	}
}

func (w *world) send(n *node, job, spec string, tasks int, patience time.Duration) (int, string) {
	body := fmt.Sprintf(`{"spec":%q,"steps":[{"count":%d,"cpu":9000,"memMb":64,"estimateMs":100}],"bestEffort":%v}`, spec, tasks, !stored(job))
	return w.ask(n, http.MethodPost, job, body, patience)
}

func (w *world) ask(n *node, method, job, body string, patience time.Duration) (int, string) {
	ctx, cancel := context.WithTimeout(context.Background(), patience)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, method, "http://"+n.CallerAddress+prefix+job, bytes.NewBufferString(body))
	if err != nil {
		return 0, ""
	}
	req.Host = host
	req.Header.Set("Deadline-Ms", fmt.Sprint(patience.Milliseconds()))
	res, err := w.http.Do(req)
	if err != nil {
		return 0, ""
	}
	defer res.Body.Close()
	raw, err := io.ReadAll(res.Body)
	if err != nil {
		return 0, ""
	}
	return res.StatusCode, string(raw)
}
