package soak

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"maps"
	"net/http"
	"os"
	"slices"
	"strconv"
	"strings"
	"sync"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"sapphirepoint.example/sapphirepoint/core/layout"
	"sapphirepoint.example/sapphirepoint/core/workload"
	"sapphirepoint.example/sapphirepoint/standin/deployment"
)

// checker checks the guarantees by what runners and callers observe.
type checker struct {
	mu         sync.Mutex
	violations []string
	// crashes counts, for each task, the runners that crashed under it.
	crashes map[string]int
	// pairs counts the starts of a task beside another run of it.
	pairs int
	// history lists the starts and ends of runs as the runners saw them.
	history bytes.Buffer
	// runningByTask holds the runs in progress of each task, with the ids of their runners.
	runningByTask map[string]map[deployment.RunID]string
	startsByJob   map[string]int
	// lastRunnerStarts holds when a run was last started on each runner.
	lastRunnerStarts map[string]time.Time
	// doneTasks are the tasks of which a run has ended successfully.
	doneTasks map[string]bool
	// refusedJobs are the jobs whose callers were answered that they have not run.
	refusedJobs map[string]bool
	// answers counts the answers by status, and the accepted jobs.
	answers map[string]int
	// The following concern stored jobs, see isStored. acceptedJobs holds the number of tasks of jobs
	// that were accepted and haven't been reported as completed; completedJobs those that have been.
	// lastStarts is when each task was last started. acknowledgedEnds is when a task first ended
	// successfully by an end that was acknowledged while the runner's lease had not expired.
	acceptedJobs     map[string]int
	completedJobs    map[string]bool
	lastStarts       map[string]time.Time
	acknowledgedEnds map[string]time.Time
}

func newChecker() *checker {
	return &checker{
		runningByTask: make(map[string]map[deployment.RunID]string),
		startsByJob:   make(map[string]int),

		lastRunnerStarts: make(map[string]time.Time),
		crashes:          make(map[string]int),
		doneTasks:        make(map[string]bool),
		refusedJobs:      make(map[string]bool),
		answers:          make(map[string]int),

		acceptedJobs:     make(map[string]int),
		completedJobs:    make(map[string]bool),
		lastStarts:       make(map[string]time.Time),
		acknowledgedEnds: make(map[string]time.Time),
	}
}

func (c *checker) reportViolation(format string, args ...any) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.addViolation(format, args...)
}

func (c *checker) addViolation(format string, args ...any) {
	c.violations = append(c.violations, time.Now().UTC().Format(time.RFC3339Nano)+" "+fmt.Sprintf(format, args...))
}

func (c *checker) allViolations() []string {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.violations
}

func (c *checker) pairCount() int {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.pairs
}

func (c *checker) answerCount(status string) int {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.answers[status]
}

func (c *checker) answerSummary() string {
	c.mu.Lock()
	defer c.mu.Unlock()
	return fmt.Sprint(c.answers)
}

// jobOfTask returns the id of a task's job, which the task's name begins with, up to the first dot.
func jobOfTask(task string) string {
	job, _, _ := strings.Cut(task, ".")
	return job
}

// RunStarted implements deployment.Observer.
func (c *checker) RunStarted(r *deployment.Runner, s deployment.RunID) {
	c.mu.Lock()
	defer c.mu.Unlock()
	runs := c.runningByTask[s.Task]
	if runs == nil {
		runs = make(map[deployment.RunID]string)
		c.runningByTask[s.Task] = runs
	}
	for other, at := range runs {
		c.pairs++
		c.addViolation("%s run %d starts on %s while run %d runs on %s", s.Task, s.Run, r.ID, other.Run, at)
	}
	runs[s] = r.ID
	c.addHistory(s, r.ID, "started")
	c.lastRunnerStarts[r.ID] = time.Now()
	job := jobOfTask(s.Task)
	c.startsByJob[job]++
	if isStored(job) {
		c.lastStarts[s.Task] = time.Now()
		c.checkRestartAfterAcknowledgement(s.Task)
	}
	if c.completedJobs[job] {
		c.addViolation("%s run %d starts though its job was reported as completed", s.Task, s.Run)
	}
	if c.refusedJobs[job] {
		c.addViolation("%s starts though its caller was answered that it has not run", s.Task)
	}
}

// addHistory records an event of a run. The caller holds the lock.
func (c *checker) addHistory(s deployment.RunID, runner, event string) {
	fmt.Fprintf(&c.history, "time=%s run=%s#%d runner=%s event=%s\n", time.Now().UTC().Format(time.RFC3339Nano), s.Task, s.Run, runner, event)
}

// lastStartOn returns when a run was last started on a runner.
func (c *checker) lastStartOn(runner string) time.Time {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.lastRunnerStarts[runner]
}

func (c *checker) saveHistory(path string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	_ = os.WriteFile(path, c.history.Bytes(), 0o600)
}

// RunEnded implements deployment.Observer.
func (c *checker) RunEnded(r *deployment.Runner, s deployment.RunID, how string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	delete(c.runningByTask[s.Task], s)
	c.addHistory(s, r.ID, how)
	switch how {
	case "done":
		c.doneTasks[s.Task] = true
	case "crashed":
		c.crashes[s.Task]++
	}
}

// Guards against a checker that overlooks two runs of one task at once, whether its job is stored or
// best-effort.
func TestCheckerNoticesTwoRunsOfATask(t *testing.T) {
	g := NewWithT(t)
	one, other := &deployment.Runner{ID: "i-1"}, &deployment.Runner{ID: "i-2"}
	for _, job := range []string{"0000000100000001", "0000000300000001"} {
		c := newChecker()
		first, second := deployment.RunID{Task: job + ".0.0.0", Run: 1}, deployment.RunID{Task: job + ".0.0.0", Run: 2}
		c.RunStarted(one, first)
		c.RunEnded(one, first, "done")
		c.RunStarted(other, second)
		g.Expect(c.allViolations()).To(BeEmpty())
		c.RunStarted(one, first)
		g.Expect(c.allViolations()).To(HaveLen(1))
		g.Expect(c.pairCount()).To(Equal(1))
	}
	g.Expect(isStored("0000000100000001")).To(BeFalse())
	g.Expect(isStored("0000000300000001")).To(BeTrue())
}

// Guards against a checker that overlooks a start after its job was reported as completed.
func TestCheckerNoticesAStartAfterCompletion(t *testing.T) {
	g := NewWithT(t)
	c := newChecker()
	runner := &deployment.Runner{ID: "i-1"}
	c.doneTasks["0000000300000001.0.0.0"] = true
	c.recordAccepted("0000000300000001", 1)
	g.Expect(c.checkJobState("0000000300000001", http.StatusOK, "completed")).To(BeTrue())
	c.RunStarted(runner, deployment.RunID{Task: "0000000300000001.0.0.0", Run: 2})
	g.Expect(c.allViolations()).To(HaveLen(1))
}

// isStored reports whether a job is submitted as a stored job (bestEffort is false), as every third
// caller's are. A stored job is answered once it is accepted; its caller then queries its state.
func isStored(job string) bool {
	caller, ok := callerOf(job)
	return ok && caller%3 == 0
}

// callerOf returns the number of a job's caller, with which its id begins, and whether it has one.
func callerOf(job string) (uint64, bool) {
	caller, err := strconv.ParseUint(job[:8], 16, 64)
	return caller, err == nil
}

// checkRestartAfterAcknowledgement checks that a task of a stored job wasn't started after an
// acknowledged end. The caller holds the lock.
func (c *checker) checkRestartAfterAcknowledgement(task string) {
	if at, ok := c.acknowledgedEnds[task]; ok && c.lastStarts[task].After(at) {
		c.addViolation("%s starts again after its end at %v was acknowledged", task, at.UTC())
	}
}

// EndAcknowledged implements deployment.Observer.
func (c *checker) EndAcknowledged(_ *deployment.Runner, e deployment.EndedRun) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if e.Outcome != "done" || e.LeaseExpired || !isStored(jobOfTask(e.Task)) {
		return
	}
	if at, ok := c.acknowledgedEnds[e.Task]; !ok || e.At.Before(at) {
		c.acknowledgedEnds[e.Task] = e.At
	}
	c.checkRestartAfterAcknowledgement(e.Task)
}

// checkJobState checks the state of an accepted job that an entry process has returned to a caller,
// and reports whether no further query is needed.
func (c *checker) checkJobState(job string, status int, body string) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	switch {
	case status == http.StatusGone:
		c.addViolation("%s was accepted and is unknown now", job)
	case status == http.StatusOK && strings.Contains(body, "failed") && c.crashesRunners(job):
		delete(c.acceptedJobs, job)
	case status == http.StatusOK && strings.Contains(body, "failed"), status == http.StatusOK && strings.Contains(body, "cancelled"):
		c.addViolation("%s is reported as %s", job, body)
	case status == http.StatusOK && strings.Contains(body, "completed"):
		c.checkAllTasksDone(job, c.acceptedJobs[job])
		c.completedJobs[job] = true
		delete(c.acceptedJobs, job)
	default:
		return false
	}
	return true
}

// unfinishedJobs lists the accepted jobs that haven't been reported as completed.
func (c *checker) unfinishedJobs() []string {
	c.mu.Lock()
	defer c.mu.Unlock()
	return slices.Sorted(maps.Keys(c.acceptedJobs))
}

func (c *checker) recordAccepted(job string, tasks int) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.answers["accepted"]++
	c.acceptedJobs[job] = tasks
}

// checkAllTasksDone checks that all tasks of a completed job have ended successfully. The caller holds
// the lock.
func (c *checker) checkAllTasksDone(job string, tasks int) {
	for i := range tasks {
		if task := fmt.Sprintf("%s.0.0.%d", job, i); !c.doneTasks[task] {
			c.addViolation("%s is reported as completed though %s has not completed", job, task)
		}
	}
}

// answerName is the name under which an answer is counted.
func answerName(job string, status int) string {
	if isWide(job) {
		return fmt.Sprint("wide ", status)
	}
	return fmt.Sprint(status)
}

// checkAnswer checks the answer to a submission. tries is how often the job has been sent.
func (c *checker) checkAnswer(job string, tasks, status, tries int, body string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.answers[answerName(job, status)]++
	switch {
	case status == http.StatusServiceUnavailable && tries == 1:
		c.refusedJobs[job] = true
		if c.startsByJob[job] > 0 {
			c.addViolation("%s: its caller was answered that it has not run; %d runs were started", job, c.startsByJob[job])
		}
	case status == http.StatusOK && strings.Contains(body, "completed"):
		c.checkAllTasksDone(job, tasks)
	}
}

// callerGroup is a number of callers that submit jobs until they are stopped.
type callerGroup struct {
	stop chan struct{}
	done sync.WaitGroup
}

func (c *callerGroup) stopAndWait() {
	close(c.stop)
	c.done.Wait()
}

const (
	// callerTimeout bounds all submissions of a job; resendInterval is the wait before a job is sent
	// again after a broken connection.
	callerTimeout  = 2500 * time.Millisecond
	resendInterval = 1300 * time.Millisecond
)

func (w *world) startCallers(n int) *callerGroup {
	c := &callerGroup{stop: make(chan struct{})}
	for i := range n {
		c.done.Add(1)
		go func() {
			defer c.done.Done()
			for k := 0; ; k++ {
				select {
				case <-c.stop:
					return
				default:
					w.callOnce(i, k)
				}
			}
		}()
	}
	return c
}

// jobID returns the id of a caller's next job.
func (w *world) jobID(caller, k int) string {
	if w.shards == 0 {
		return fmt.Sprintf("%08x%08x", caller+1, k)
	}
	for n := k * 64; ; n++ {
		id := fmt.Sprintf("%08x%08x", caller+1, n)
		if layout.Pooled(w.shards).JobShard(workload.JobID(id), "") == 0 {
			return id
		}
	}
}

// callOnce submits one job, and submits it again through another entry VM if the connection breaks
// or the outcome is unknown.
func (w *world) callOnce(caller, k int) {
	job := w.jobID(caller, k)
	tasks := 1 + (caller+k)%3
	runTime := time.Duration(20+(caller*37+k*53)%250)*time.Millisecond + w.extraRunTime
	begin := time.Now()
	firstTry := 1
	if answered := w.sendCopy(caller, k, job, runTime, tasks); answered != nil {
		firstTry = firstTryOfCopied
		defer func() { <-answered }()
	}
	for tries := firstTry; time.Since(begin) < callerTimeout; tries++ {
		n := w.nodes[(caller+k+tries)%len(w.nodes)]
		status, body := w.submit(n, job, runTime, tasks, callerTimeout-time.Since(begin))
		w.checker.checkAnswer(job, tasks, status, tries, body)
		if status != 0 && status != http.StatusGatewayTimeout && status != http.StatusBadGateway {
			if status != http.StatusOK {
				time.Sleep(20 * time.Millisecond)
			} else if isStored(job) {
				w.checker.recordAccepted(job, tasks)
				w.queryUntilEnded(caller, job)
			}
			return
		}
		time.Sleep(resendInterval)
	}
}

// queryTime is how long a caller queries its job before it submits the next one.
const queryTime = 3 * time.Second

// queryUntilEnded queries a job through one entry VM after another until it has ended or queryTime
// is over.
func (w *world) queryUntilEnded(caller int, job string) {
	for begin, k := time.Now(), 0; time.Since(begin) < queryTime; k++ {
		status, body := w.request(w.nodes[(caller+k)%len(w.nodes)], http.MethodGet, job, "", time.Second)
		if w.checker.checkJobState(job, status, body) {
			return
		}
		time.Sleep(100 * time.Millisecond)
	}
}

// estimateError is how many times as long as estimated runs take where estimates are wrong.
const estimateError = 6

func (w *world) submit(n *node, job string, runTime time.Duration, tasks int, timeout time.Duration) (int, string) {
	estimate := 100*time.Millisecond + w.extraRunTime
	if w.wrongEstimates {
		estimate = runTime / estimateError
	}
	body := fmt.Sprintf(`{"spec":"%dms","steps":[{"count":%d,"cpu":9000,"memMb":64,"estimateMs":%d}],"bestEffort":%v}`,
		runTime.Milliseconds(), tasks, estimate.Milliseconds(), !isStored(job))
	return w.request(n, http.MethodPost, job, body, timeout)
}

func (w *world) request(n *node, method, job, body string, timeout time.Duration) (int, string) {
	return w.requestWithin(n, method, job, body, timeout, timeout)
}

// requestWithin sends a request that gives a timeout, and breaks the connection when the caller's patience is over.
func (w *world) requestWithin(n *node, method, job, body string, timeout, patience time.Duration) (int, string) {
	ctx, cancel := context.WithTimeout(context.Background(), patience)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, method, "http://"+n.CallerAddress+prefix+job, bytes.NewBufferString(body))
	if err != nil {
		return 0, ""
	}
	req.Host = host
	req.Header.Set("Deadline-Ms", fmt.Sprint(timeout.Milliseconds()))
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
