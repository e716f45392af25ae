package fleet_test

import (
	"fmt"
	"maps"
	"slices"
	"time"

	"sapphirepoint.example/sapphirepoint/core/fleet"
	"sapphirepoint.example/sapphirepoint/core/workload"
)

// truth sees what runners and callers see, and notes each broken promise.
type truth struct {
	w       *world
	broken  []string
	running map[workload.TaskName]map[workload.RunKey]*fakeRunner
	done    map[workload.TaskName]bool
	// starts are when each task of a stored job was started.
	starts map[workload.TaskName][]time.Duration
	// noted are the ends of tasks of stored jobs that were acknowledged while
	// the runner's lease lasted, and failures how many of them were failures.
	noted    map[workload.TaskName]time.Duration
	failures map[workload.TaskName]int
	// failed are all runs that have failed.
	failed map[workload.TaskName]int
}

func newTruth(w *world) *truth {
	return &truth{
		w:        w,
		running:  make(map[workload.TaskName]map[workload.RunKey]*fakeRunner),
		done:     make(map[workload.TaskName]bool),
		starts:   make(map[workload.TaskName][]time.Duration),
		noted:    make(map[workload.TaskName]time.Duration),
		failures: make(map[workload.TaskName]int),
		failed:   make(map[workload.TaskName]int),
	}
}

func (t *truth) fail(format string, args ...any) {
	t.broken = append(t.broken, fmt.Sprintf("at %v: ", t.w.now)+fmt.Sprintf(format, args...))
}

func (t *truth) started(r *fakeRunner, k workload.RunKey) {
	live := t.running[k.Task]
	if live == nil {
		live = make(map[workload.RunKey]*fakeRunner)
		t.running[k.Task] = live
	}
	for other, at := range live {
		t.fail("%v starts on %s while %v runs on %s", k, r.info.ID, other, at.info.ID)
	}
	live[k] = r
	if at, ok := t.w.evacuations.since[r.info.Domain]; ok && t.w.now > at+evacuateTime {
		t.fail("%v starts on %s, in a domain that was evacuated at %v", k, r.info.ID, at)
	}
	j := t.w.jobs[k.Task.Job]
	j.starts++
	if j.work.Stored {
		t.storedStart(j, k)
	}
	if j.refused {
		t.fail("%v starts on %s though its caller was told that it hasn't run", k, r.info.ID)
	}
}

func (t *truth) ended(_ *fakeRunner, k workload.RunKey, kind workload.EndKind) {
	delete(t.running[k.Task], k)
	if kind == workload.Done {
		t.done[k.Task] = true
	}
	if kind == workload.Failed {
		t.failed[k.Task]++
	}
}

func (t *truth) answered(j *fakeJob, o workload.Outcome) {
	j.outcome, j.answered, j.took = o, true, t.w.now-j.sent
	switch o {
	case workload.NotRun:
		j.refused = true
		if j.starts > 0 {
			t.fail("job %s: its caller is told that it hasn't run; %d runs were started", j.work.ID, j.starts)
		}
	case workload.Completed:
		for i := range j.work.Tasks() {
			if !t.done[workload.TaskName{Job: j.work.ID, Index: i}] {
				t.fail("job %s is complete without task %d", j.work.ID, i)
			}
		}
	}
	if j.work.Stored {
		return
	}
	// A process that was frozen gives its answers as it wakes.
	if t.w.now > j.sent+j.patience+200*time.Millisecond && t.w.now > t.w.awake+200*time.Millisecond {
		t.fail("job %s is answered %v after its caller has left", j.work.ID, t.w.now-j.sent-j.patience)
	}
}

// cancelMost is how long after its cancelling a job may still be started.
const cancelMost = 3 * time.Second

func (t *truth) storedStart(j *fakeJob, k workload.RunKey) {
	t.starts[k.Task] = append(t.starts[k.Task], t.w.now)
	if at, ok := t.noted[k.Task]; ok {
		t.fail("%v starts though an end of the task at %v was acknowledged", k, at)
	}
	if t.failures[k.Task] >= j.work.MaxAttempts {
		t.fail("%v starts after %d failures", k, t.failures[k.Task])
	}
	if j.cancelled > 0 && t.w.now > j.cancelled+cancelMost {
		t.fail("%v starts %v after its job was cancelled", k, t.w.now-j.cancelled)
	}
	if j.ended && j.outcome == workload.Completed {
		t.fail("%v starts after its job was shown as completed", k)
	}
}

// acknowledged notes that a runner may forget an end. One before which its lease
// has ended counts for nothing.
func (t *truth) acknowledged(e fakeEnd) {
	task := e.Run.Task
	if j := t.w.jobs[task.Job]; !j.work.Stored || e.lapsed {
		return
	}
	switch e.Kind {
	case workload.Done:
		t.noted[task] = e.at
		for _, at := range t.starts[task] {
			if at > e.at {
				t.fail("the end of %v at %v is acknowledged though the task was started again at %v", e.Run, e.at, at)
			}
		}
	case workload.Failed:
		t.failures[task]++
	}
}

// shown checks what the caller of an accepted job is told of it.
func (t *truth) shown(j *fakeJob, cancel bool, a fleet.StateAnswer) {
	s := a.State
	switch {
	case a.Unreachable || s.Unsure || j.ended:
		return
	case !s.Known:
		t.fail("job %s was accepted at %v and isn't known", j.work.ID, j.accepted)
		return
	case cancel:
		j.cancelled, j.ended, j.outcome = t.w.now, true, s.Outcome
		return
	case !s.Ended:
		return
	}
	j.ended, j.outcome = true, s.Outcome
	switch s.Outcome {
	case workload.Completed:
		t.answered(j, workload.Completed)
	case workload.Cancelled:
		if j.cancelSent == 0 {
			t.fail("job %s is shown as cancelled", j.work.ID)
		}
	case workload.JobFailed:
		t.failedJob(j)
	}
}

// known checks that a process doesn't deny a job that was accepted and that its caller
// hasn't cancelled, ended or not.
func (t *truth) known(j *fakeJob, n *fakeNode, a fleet.StateAnswer) {
	if !a.Unreachable && !a.State.Unsure && !a.State.Known && j.cancelSent == 0 {
		t.fail("job %s was accepted at %v and isn't known to %s", j.work.ID, j.accepted, n.id)
	}
}

func (t *truth) failedJob(j *fakeJob) {
	for task, n := range t.failed {
		if task.Job == j.work.ID && n >= j.work.MaxAttempts {
			return
		}
	}
	t.fail("job %s is shown as failed", j.work.ID)
}

// settled checks that all accepted jobs have ended, after a calm while.
func (t *truth) settled() {
	for _, id := range slices.Sorted(maps.Keys(t.w.jobs)) {
		if j := t.w.jobs[id]; j.work.Stored && j.accepted > 0 && !j.ended {
			t.fail("job %s was accepted at %v and hasn't ended", id, j.accepted)
		}
	}
}
