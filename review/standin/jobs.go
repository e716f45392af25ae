//go:build review

package main

import (
	"bytes"
	"context"
	"encoding/base64"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"net/http/httptrace"
	"net/url"
	"slices"
	"strconv"
	"strings"
	"sync/atomic"
	"time"
)

// lossSlack is how soon after its last byte a request may be cut around planned work.
const lossSlack = 200 * time.Millisecond

// stepSpec is a step of a job to be sent, with how the stand-ins run its tasks.
type stepSpec struct {
	Count        int     `json:"count"`
	CPU          int     `json:"cpu,omitempty"`
	MemMB        int     `json:"memMb,omitempty"`
	EstimateMs   float64 `json:"estimateMs,omitempty"`
	DependsOn    []int   `json:"dependsOn,omitempty"`
	AntiAffinity int     `json:"antiAffinity,omitempty"`
	Checkpoint   bool    `json:"checkpoint,omitempty"`

	work time.Duration
	// failures is how many runs of a task fail by its own fault.
	failures int
	// crash tasks crash the runner that starts them, which is back after crashDown.
	crash     bool
	crashDown time.Duration
}

// jobSpec is a job to be sent.
type jobSpec struct {
	Spec       string     `json:"spec"`
	Steps      []stepSpec `json:"steps"`
	BestEffort bool       `json:"bestEffort,omitempty"`
	Times      int        `json:"times,omitempty"`
	StartAtMs  int64      `json:"startAtMs,omitempty"`
	IntervalMs int64      `json:"intervalMs,omitempty"`
}

// taskRecord is a task as the stand-ins know it.
type taskRecord struct {
	job    *jobRecord
	name   string
	k      int
	step   int
	cpu    int
	mem    int
	work   time.Duration
	fail   int
	failed int
	crash  bool

	crashDown time.Duration
	runs      []*runRecord
}

// runRecord is a run as the runners saw it.
type runRecord struct {
	task   *taskRecord
	name   string
	run    int
	runner *runner
	spec   string
	begun  time.Time
	ended  time.Time
	how    string
	acked  time.Time
	late   bool
	// lapsedAfterEnd: the runner's lease lapsed after the end and before it was acknowledged.
	lapsedAfterEnd bool
}

// jobRecord is a job as its client knows it.
type jobRecord struct {
	id   string
	spec jobSpec
	// firstSent, acceptedAt, completedAt, cancelSent and cancelAcked are zero until it happens.
	firstSent, acceptedAt, shownAt, cancelSent, cancelAcked time.Time
	state                                                   string
	answers                                                 []int
	tasks                                                   []*taskRecord
	byName                                                  map[string]*taskRecord
}

// fails reports whether a run of a task that ends now fails by the task's own fault.
func (w *world) fails(t *taskRecord) bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	if t.failed < t.fail {
		t.failed++
		return true
	}
	return false
}

func (w *world) noteStart(r *runner, k runKey, o order, late bool) *runRecord {
	t := w.task(k.task)
	w.mu.Lock()
	ref := &runRecord{task: t, name: k.task, run: k.run, runner: r, spec: o.Spec, begun: time.Now(), late: late}
	w.runs = append(w.runs, ref)
	if t != nil {
		t.runs = append(t.runs, ref)
	}
	w.mu.Unlock()
	w.rec.line("started task=%s run=%d runner=%s token=%d.%d late=%v", k.task, k.run, r.id, o.FenceToken>>20, o.FenceToken&(1<<20-1), late)
	return ref
}

func (w *world) noteEnd(ref *runRecord, how string) {
	w.mu.Lock()
	ref.ended, ref.how = time.Now(), how
	w.mu.Unlock()
	w.rec.line("ended task=%s run=%d runner=%s how=%s", ref.name, ref.run, ref.runner.id, how)
}

func (w *world) noteAck(ref *runRecord) {
	w.mu.Lock()
	if ref.acked.IsZero() {
		ref.acked = time.Now()
	}
	w.mu.Unlock()
}

// newJob registers a job, so that the runners know how its tasks run.
func (w *world) newJob(id string, s jobSpec) *jobRecord {
	j := &jobRecord{id: id, spec: s, byName: make(map[string]*taskRecord)}
	w.mu.Lock()
	defer w.mu.Unlock()
	w.jobs[id] = j
	w.order = append(w.order, j)
	if s.Times == 0 {
		j.addOccurrence(0)
	}
	return j
}

// addOccurrence adds the tasks of an occurrence, unless they are known. Those of a scheduled job are added
// when their time has come, or when a runner gets one of them.
func (j *jobRecord) addOccurrence(k int) {
	if k < 0 || k >= max(1, j.spec.Times) || j.byName[taskName(j.id, k, 0, 0)] != nil {
		return
	}
	for i, step := range j.spec.Steps {
		for n := range step.Count {
			t := &taskRecord{
				job: j, name: taskName(j.id, k, i, n), k: k, step: i, cpu: step.CPU, mem: step.MemMB,
				work: step.work, fail: step.failures, crash: step.crash, crashDown: step.crashDown,
			}
			j.byName[t.name] = t
			j.tasks = append(j.tasks, t)
		}
	}
}

// taskName returns the name of a task on the wire.
func taskName(id string, k, step, index int) string {
	return id + "." + strconv.Itoa(k) + "." + strconv.Itoa(step) + "." + strconv.Itoa(index)
}

// addDueOccurrences adds the tasks of all occurrences that are due.
func (j *jobRecord) addDueOccurrences() {
	now := time.Now().UnixMilli()
	for k := 0; k < j.spec.Times && j.spec.StartAtMs+int64(k)*j.spec.IntervalMs <= now; k++ {
		j.addOccurrence(k)
	}
}

// stepTasks returns the tasks of a step of an occurrence; nil if they haven't been added.
func (j *jobRecord) stepTasks(k, step int) []*taskRecord {
	if j.byName[taskName(j.id, k, step, 0)] == nil {
		return nil
	}
	list := make([]*taskRecord, j.spec.Steps[step].Count)
	for n := range list {
		list[n] = j.byName[taskName(j.id, k, step, n)]
	}
	return list
}

// task returns a task by its name; nil if no client sent it.
func (w *world) task(name string) *taskRecord {
	w.mu.Lock()
	defer w.mu.Unlock()
	id, rest, _ := strings.Cut(name, ".")
	j := w.jobs[id]
	if j == nil {
		return nil
	}
	occurrence, _, _ := strings.Cut(rest, ".")
	if k, err := strconv.Atoi(occurrence); err == nil {
		j.addOccurrence(k)
	}
	return j.byName[name]
}

// call sends a request to a node; the status is 0 if there is no whole answer.
func (w *world) call(n *node, method, id string, body []byte, timeout time.Duration) (int, string) {
	ctx, cancel := context.WithTimeout(context.Background(), timeout)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, method, "http://"+n.CallerAddress+pathPrefix+id, bytes.NewReader(body))
	if err != nil {
		return 0, ""
	}
	req.Host = hostName
	req.Header.Set("Deadline-Ms", fmt.Sprint(timeout.Milliseconds()))
	if body != nil {
		req.Header.Set("Content-Type", "application/json")
	}
	var wrote atomic.Int64
	trace := &httptrace.ClientTrace{WroteRequest: func(i httptrace.WroteRequestInfo) {
		if i.Err == nil {
			wrote.Store(time.Now().UnixNano())
		}
	}}
	res, err := w.http.Do(req.WithContext(httptrace.WithClientTrace(ctx, trace)))
	if err != nil {
		w.noteCut(n, method, id, &wrote, ctx, err)
		return 0, ""
	}
	defer res.Body.Close()
	raw, err := io.ReadAll(res.Body)
	if err != nil {
		w.noteCut(n, method, id, &wrote, ctx, err)
		return 0, ""
	}
	return res.StatusCode, string(raw)
}

// submit sends a job, and sends it again to another node 1.3 s later while there is no answer, or a 502
// or 504. It reports whether the job was accepted.
func (w *world) submit(j *jobRecord, first, tries int, timeout time.Duration) bool {
	body, err := json.Marshal(j.spec)
	if err != nil {
		return false
	}
	for try := range tries {
		n := w.nodes[(first+try)%len(w.nodes)]
		w.mu.Lock()
		if j.firstSent.IsZero() {
			j.firstSent = time.Now()
		}
		w.mu.Unlock()
		w.rec.line("sent POST job=%s node=%s bytes=%d try=%d", j.id, n.name, len(body), try+1)
		status, text := w.call(n, http.MethodPost, j.id, body, timeout)
		w.rec.line("answer POST job=%s node=%s status=%d %s", j.id, n.name, status, strings.TrimSpace(text))
		w.mu.Lock()
		j.answers = append(j.answers, status)
		if status/100 == 2 {
			j.acceptedAt = time.Now()
			if j.spec.BestEffort {
				j.state, j.shownAt = stateOf(text), time.Now()
			}
		}
		w.mu.Unlock()
		switch status {
		case 0, http.StatusBadGateway, http.StatusGatewayTimeout:
			time.Sleep(1300 * time.Millisecond)
			continue
		}
		return status/100 == 2
	}
	return false
}

// noteCut records that a connection ended without a whole answer, and when the request had been sent.
func (w *world) noteCut(n *node, method, id string, wrote *atomic.Int64, ctx context.Context, err error) {
	sent := wrote.Load()
	if ctx.Err() != nil || sent == 0 {
		return
	}
	age := time.Since(time.Unix(0, sent))
	w.rec.line("cut %s job=%s node=%s %v after it was sent: %v", method, id, n.name, age, err)
	if age > lossSlack {
		w.mu.Lock()
		w.cut = append(w.cut, fmt.Sprintf("LOST: the connection to %s ended %v after %s of %s was sent: %v", n.name, age, method, id, err))
		w.mu.Unlock()
	}
}

func stateOf(text string) string {
	var b struct {
		State string `json:"state"`
	}
	_ = json.Unmarshal([]byte(text), &b)
	return b.State
}

// ask asks a node for a job's state, and notes it.
func (w *world) ask(j *jobRecord, node int) (int, string) {
	n := w.nodes[node%len(w.nodes)]
	status, text := w.call(n, http.MethodGet, j.id, nil, 1500*time.Millisecond)
	state := stateOf(text)
	w.rec.line("answer GET job=%s node=%s status=%d state=%s", j.id, n.name, status, state)
	w.mu.Lock()
	defer w.mu.Unlock()
	if status == http.StatusOK && (state == "completed" || state == "failed" || state == "cancelled") && j.state == "" {
		j.state, j.shownAt = state, time.Now()
	}
	return status, state
}

// cancel sends a DELETE until it is answered.
func (w *world) cancel(j *jobRecord, node, tries int) {
	for try := range tries {
		n := w.nodes[(node+try)%len(w.nodes)]
		w.mu.Lock()
		if j.cancelSent.IsZero() {
			j.cancelSent = time.Now()
		}
		w.mu.Unlock()
		status, text := w.call(n, http.MethodDelete, j.id, nil, 2*time.Second)
		w.rec.line("answer DELETE job=%s node=%s status=%d %s", j.id, n.name, status, strings.TrimSpace(text))
		if status/100 == 2 || status == http.StatusGone {
			w.mu.Lock()
			j.cancelAcked = time.Now()
			w.mu.Unlock()
			return
		}
		time.Sleep(300 * time.Millisecond)
	}
}

// ownerRow is the VM of the owner of the first shard's rows.
func (w *world) ownerRow() string {
	q := url.Values{"table": {"sapphirepoint-ownership"}, "part": {"shard-0"}}
	res, err := w.http.Get("http://" + w.store.Address() + "/rows-get?" + q.Encode())
	if err != nil {
		return ""
	}
	defer res.Body.Close()
	var a struct {
		Rows []struct {
			Value string `json:"value"`
		} `json:"rows"`
	}
	if json.NewDecoder(res.Body).Decode(&a) != nil || len(a.Rows) == 0 {
		return ""
	}
	raw, err := base64.StdEncoding.DecodeString(a.Rows[0].Value)
	if err != nil {
		return ""
	}
	var o struct {
		Owner string `json:"owner"`
	}
	_ = json.Unmarshal(raw, &o)
	vm, _, _ := strings.Cut(o.Owner, "#")
	return vm
}

// accepted lists the accepted jobs that are stored.
func (w *world) accepted() []*jobRecord {
	w.mu.Lock()
	defer w.mu.Unlock()
	var list []*jobRecord
	for _, j := range w.order {
		if !j.spec.BestEffort && !j.acceptedAt.IsZero() {
			list = append(list, j)
		}
	}
	return slices.Clone(list)
}
