package soak

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"net/http"
	"strings"
	"sync"
	"time"

	"sapphirepoint.example/sapphirepoint/standin/deployment"
)

// truth checks the promises by what runners and callers see.
type truth struct {
	mu      sync.Mutex
	faults  []string
	running map[string]map[deployment.Started]string
	starts  map[string]int
	done    map[string]bool
	refused map[string]bool
	answers map[string]int
}

func newTruth() *truth {
	return &truth{
		running: make(map[string]map[deployment.Started]string),
		starts:  make(map[string]int),
		done:    make(map[string]bool),
		refused: make(map[string]bool),
		answers: make(map[string]int),
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
func (t *truth) RunStarted(r *deployment.Runner, s deployment.Started) {
	t.mu.Lock()
	defer t.mu.Unlock()
	live := t.running[s.Task]
	if live == nil {
		live = make(map[deployment.Started]string)
		t.running[s.Task] = live
	}
	for other, at := range live {
		t.note("%s run %d starts on %s while run %d runs on %s", s.Task, s.Run, r.ID, other.Run, at)
	}
	live[s] = r.ID
	job := jobOf(s.Task)
	t.starts[job]++
	if t.refused[job] {
		t.note("%s starts though its caller was told that it hasn't run", s.Task)
	}
}

// RunEnded implements deployment.Observer.
func (t *truth) RunEnded(_ *deployment.Runner, s deployment.Started, how string) {
	t.mu.Lock()
	defer t.mu.Unlock()
	delete(t.running[s.Task], s)
	if how == "done" {
		t.done[s.Task] = true
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
		for i := range tasks {
			if task := fmt.Sprintf("%s.0.0.%d", job, i); !t.done[task] {
				t.note("%s is complete without %s", job, task)
			}
		}
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
			}
			return
		}
		time.Sleep(resend)
	}
}

func (w *world) send(n *node, job, spec string, tasks int, patience time.Duration) (int, string) {
	ctx, cancel := context.WithTimeout(context.Background(), patience)
	defer cancel()
	body := fmt.Sprintf(`{"spec":%q,"steps":[{"count":%d,"cpu":9000,"memMb":64,"estimateMs":100}],"bestEffort":true}`, spec, tasks)
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+n.Callers+prefix+job, bytes.NewBufferString(body))
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
