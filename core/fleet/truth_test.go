package fleet_test

import (
	"fmt"
	"time"

	"sapphirepoint.example/sapphirepoint/core/workload"
)

// truth sees what runners and callers see, and notes each broken promise.
type truth struct {
	w       *world
	broken  []string
	running map[workload.TaskName]map[workload.RunKey]*fakeRunner
	done    map[workload.TaskName]bool
}

func newTruth(w *world) *truth {
	return &truth{w: w, running: make(map[workload.TaskName]map[workload.RunKey]*fakeRunner), done: make(map[workload.TaskName]bool)}
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
	j := t.w.jobs[k.Task.Job]
	j.starts++
	if j.refused {
		t.fail("%v starts on %s though its caller was told that it hasn't run", k, r.info.ID)
	}
}

func (t *truth) ended(_ *fakeRunner, k workload.RunKey, kind workload.EndKind) {
	delete(t.running[k.Task], k)
	if kind == workload.Done {
		t.done[k.Task] = true
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
	// A process that was frozen gives its answers as it wakes.
	if t.w.now > j.sent+j.patience+200*time.Millisecond && t.w.now > t.w.awake+200*time.Millisecond {
		t.fail("job %s is answered %v after its caller has left", j.work.ID, t.w.now-j.sent-j.patience)
	}
}
