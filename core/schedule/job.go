package schedule

import (
	"time"

	"sapphirepoint.example/sapphirepoint/core/workload"
)

// taskPhase is where a task stands.
type taskPhase uint8

const (
	// waiting for a runner, or for the tasks that it depends on.
	waiting taskPhase = iota
	// running: a run is on a runner, or may be.
	running
	// done: a run has ended well.
	done
)

type taskState struct {
	job   *job
	name  workload.TaskName
	phase taskPhase
	// lastNumber is the number of the latest run, and startedAs that of the
	// latest one that is known to have been started.
	lastNumber int
	startedAs  int
	run        *run
	// unseen: a run of it went out of sight before its end was listed.
	unseen bool
	// checkpoint is the newest one that a runner has told; "" if none.
	checkpoint string
	// failedOn are the runners on which a run has failed.
	failedOn []*runner
	failures int
	// overstays counts runs stopped for taking too long.
	overstays int
	// notBefore holds the task back while an earlier run may be alive.
	notBefore Time
}

// job is a job in hand.
type job struct {
	work  *workload.Job
	entry EntryID
	// domain is that of the entry VM.
	domain string
	// guest: it belongs to another shard.
	guest   bool
	arrived Time
	// due is the end of the latency objective, deadline that of the caller's
	// patience.
	due      Time
	deadline Time
	// useless is when the answer is worth nothing any more.
	useless Time
	// steps are the tasks of each step of each occurrence, see stepIndex.
	steps [][]*taskState
	// open is the number of tasks of each step that aren't done.
	open []int
	// longest is the longest run of each step of those that have ended well.
	longest []time.Duration
	// waiting is the number of tasks that wait.
	waiting int
	queued  bool
	// started: a start of one of its tasks was ordered, by this scheduler or
	// an earlier one.
	started   bool
	firstRun  Time
	runs      int
	remaining time.Duration
	// knownFrom is when what an earlier scheduler may have started can't be
	// alive any more, on runners that didn't answer.
	knownFrom Time
	// handed counts the schedulers before, listsSince is when the job came from
	// the last of them.
	handed     int
	listsSince Time
	// stillSince is since when nothing of a stored job runs though something is due; 0
	// if something does.
	stillSince Time
	// withdrawn jobs are another scheduler's now.
	withdrawn bool
	// abandonedAt is when the job's runs are stopped since its entry process
	// has ended; 0 if it lives.
	abandonedAt Time
	ended       bool
	// noRoom: it was refused as it came, and another scheduler may have room.
	noRoom bool
	// begun: a start of one of its tasks is known of.
	begun bool
	// restarted: a task was started more than once.
	restarted bool
	// stored is nil for jobs that aren't kept in the store.
	stored *stored
}

func newJob(w *workload.Job, now Time) *job {
	steps := len(w.Steps) * w.Occurrences()
	j := &job{work: w, arrived: now, open: make([]int, steps), longest: make([]time.Duration, steps)}
	j.steps = make([][]*taskState, steps)
	for i := range j.steps {
		tasks := j.stepAt(i).Tasks
		j.open[i] = tasks
		j.steps[i] = make([]*taskState, tasks)
		for n := range j.steps[i] {
			name := workload.TaskName{Job: w.ID, Occurrence: j.occurrence(i), Step: i % len(w.Steps), Index: n}
			j.steps[i][n] = &taskState{job: j, name: name}
		}
	}
	j.waiting = w.Tasks()
	j.remaining = w.CriticalPath()
	return j
}

// stepAt describes a step of an occurrence.
func (j *job) stepAt(i int) *workload.Step { return &j.work.Steps[i%len(j.work.Steps)] }

// occurrence is that of a step.
func (j *job) occurrence(i int) int { return i / len(j.work.Steps) }

// stepIndex is the place of a task's step in steps: the steps of the first
// occurrence, then those of the second, and so on.
func (j *job) stepIndex(n workload.TaskName) int { return n.Occurrence*len(j.work.Steps) + n.Step }

// task finds a task by its name; nil if the job has none such.
func (j *job) task(n workload.TaskName) *taskState {
	if n.Step < 0 || n.Step >= len(j.work.Steps) || n.Occurrence < 0 || n.Occurrence >= j.work.Occurrences() {
		return nil
	}
	i := j.stepIndex(n)
	if n.Index < 0 || n.Index >= len(j.steps[i]) {
		return nil
	}
	return j.steps[i][n.Index]
}

// ready reports whether all steps that a step depends on are done.
func (j *job) ready(i int) bool {
	first := j.occurrence(i) * len(j.work.Steps)
	for _, d := range j.stepAt(i).DependsOn {
		if j.open[first+d] > 0 {
			return false
		}
	}
	return true
}

// noteRun notes a run that is known of.
func (j *job) noteRun(k workload.RunKey) {
	if k.Number > 1 {
		j.restarted = true
	}
}

// ran notes how long the run took that did a task.
func (j *job) ran(n workload.TaskName, elapsed time.Duration) {
	i := j.stepIndex(n)
	j.longest[i] = max(j.longest[i], elapsed)
}

// longestWork is the time that the longest run of each step took, summed.
func (j *job) longestWork() time.Duration {
	var sum time.Duration
	for _, d := range j.longest {
		sum += d
	}
	return sum
}

// idle reports whether nothing of the job runs, as far as is known.
func (j *job) idle() bool {
	idle := true
	j.each(func(t *taskState) { idle = idle && t.phase != running })
	return idle
}

// attempts is how often a task may fail.
func (j *job) attempts() int { return max(1, j.work.MaxAttempts) }

func (j *job) complete() bool {
	for _, n := range j.open {
		if n > 0 {
			return false
		}
	}
	return true
}

func (j *job) each(f func(*taskState)) {
	for _, step := range j.steps {
		for _, t := range step {
			f(t)
		}
	}
}

func (t *taskState) step() *workload.Step { return &t.job.work.Steps[t.name.Step] }

func (t *taskState) setPhase(p taskPhase) {
	if t.phase == p {
		return
	}
	if t.phase == done {
		panic("a task that is done is to be done again: " + t.name.String())
	}
	if t.phase == waiting {
		t.job.waiting--
	}
	if p == waiting {
		t.job.waiting++
	}
	if p == done {
		t.job.open[t.job.stepIndex(t.name)]--
	}
	t.phase = p
}
