package schedule

import (
	"time"

	"sapphirepoint.example/sapphirepoint/core/workload"
)

// taskPhase is the state of a task.
type taskPhase uint8

const (
	// waiting for a runner, or for the steps that it depends on.
	waiting taskPhase = iota
	// running: a run is on a runner, or may be.
	running
	// done: a run has ended successfully.
	done
)

type taskState struct {
	job   *job
	name  workload.TaskName
	phase taskPhase
	// lastNumber is the number of the latest run, lastStarted that of the latest run that is
	// known to have been started.
	lastNumber  int
	lastStarted int
	run         *run
	// earlier is the latest run that has ceased to count here; nil if none has.
	earlier *earlierRun
	// unseen: contact with a run of the task was lost before the run's end was listed.
	unseen bool
	// checkpoint is the newest one that a runner has listed for the task; "" if none.
	checkpoint string
	// failedOn are the runners on which a run has failed.
	failedOn []*runner
	failures int
	// losses are the runners that were lost with a run of the task, see crash.go. suspectSince is when it
	// first waited for a runner without runs, see suspect.go.
	losses       []loss
	suspectSince Time
	// assumedLoss is the runner on which the task is started next, as the job's record names it: if this
	// process is lost, the next owner of the shard has to assume that the runner is. It is nil unless the
	// task has losses. assumedLossSaved is the sequence of that record.
	assumedLoss      *loss
	assumedLossSaved uint64
	// overstays counts the runs that were stopped as overdue.
	overstays int
	// notBefore delays the next start while an earlier run may be alive.
	notBefore Time
}

// job is a job that this scheduler is responsible for.
type job struct {
	work  *workload.Job
	entry EntryID
	// domain is the failure domain of the entry VM.
	domain string
	// foreign: the job belongs to another shard, see the terms in the package comment.
	foreign bool
	arrived Time
	// due is the end of the latency objective, deadline when the caller stops waiting.
	due      Time
	deadline Time
	// worthlessAt is when the answer has no value to the caller any more.
	worthlessAt Time
	// steps holds the tasks of each step of each occurrence, see stepIndex. An occurrence is one
	// execution of all steps; only timed jobs have more than one.
	steps [][]*taskState
	// open is the number of tasks of each step that aren't done.
	open []int
	// longestRuns is the longest successful run of each step.
	longestRuns []time.Duration
	// longestRun is the longest run of all steps, and longestRunner the runner that it was on.
	longestRun    time.Duration
	longestRunner *runner
	// waiting is the number of tasks in the waiting phase.
	waiting int
	queued  bool
	// started: a start of one of its tasks was ordered, or may have been by an earlier
	// scheduler.
	started bool
	// firstRun is when the first start was ordered here, and runs the number of starts.
	firstRun Time
	runs     int
	// remaining is the estimated run time of the longest chain of dependent steps, and expected the
	// same corrected by what is learned of the job's queue, on a runner of pace 1.
	remaining, expected time.Duration
	// queueRatio is the learned ratio of the job's queue; 0 until it is first needed.
	queueRatio float64
	priorRuns
	// stalledSince is since when a stored job has been stalled, which means that tasks of it are
	// due and none can be running; 0 if it isn't stalled.
	stalledSince Time
	// withdrawn jobs belong to another scheduler now.
	withdrawn bool
	// abandonedAt is when the job's runs are stopped because its entry process has ended or
	// has withdrawn the job; 0 if neither has happened.
	abandonedAt Time
	ended       bool
	// noRoom: the job is refused before any start of its tasks, and another scheduler may have
	// room for it.
	noRoom bool
	// refusedFor is why the job is refused or given up.
	refusedFor workload.RefusalCause
	// awaitsRoom: on arrival the job would have been refused, but another shard may lend room for it.
	// It is in the queue, and starts here if there is room before that.
	awaitsRoom bool
	// denials counts the lenders that have denied room for the job.
	denials int
	// granted: room was granted here for the job of another shard, so it isn't refused for lack of
	// room.
	granted bool
	// begun: a start of one of its tasks is known to have been ordered. ran: a run of one is known to have begun.
	begun, ran bool
	// onlyHere: as far as is known, all runs of the job were started here since this scheduler leads.
	onlyHere bool
	// restarted: a task was started more than once.
	restarted bool
	// tasksWithLosses are the tasks that have losses, or had some.
	tasksWithLosses []*taskState
	// stored is nil for jobs that aren't kept in the store.
	stored *stored
}

func newJob(w *workload.Job, now Time) *job {
	steps := len(w.Steps) * w.Occurrences()
	j := &job{work: w, arrived: now, open: make([]int, steps), longestRuns: make([]time.Duration, steps)}
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
	j.expected = w.CriticalPath()
	j.remaining = j.expected
	return j
}

// stepAt returns the description of a step of an occurrence.
func (j *job) stepAt(i int) *workload.Step { return &j.work.Steps[i%len(j.work.Steps)] }

// occurrence returns the occurrence that a step belongs to.
func (j *job) occurrence(i int) int { return i / len(j.work.Steps) }

// stepIndex returns the index of a task's step in steps: the steps of the first occurrence,
// then those of the second, and so on.
func (j *job) stepIndex(n workload.TaskName) int { return n.Occurrence*len(j.work.Steps) + n.Step }

// task finds a task by its name; nil if the job has no such task.
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

// noteRun marks the job as restarted if the number of a run shows that the task has, or may have,
// other runs: earlier ones, or later ones that another scheduler has started. The job's record must
// say so once the job has ended, since a later owner of the shard has no other means to know.
func (j *job) noteRun(k workload.RunKey) {
	if k.Number > 1 || j.mayHaveRestarted(k) {
		j.restarted = true
	}
}

// mayHaveRestarted reports whether the task of a stored job's run may have been started again since:
// by this scheduler, by the one that had started the run, or by one between the two.
func (j *job) mayHaveRestarted(k workload.RunKey) bool {
	t := j.task(k.Task)
	if j.stored == nil || t == nil {
		return false
	}
	schedulerIndex := k.Number / runsPerScheduler
	return t.lastStarted > k.Number || schedulerIndex < j.priorSchedulers-1 || schedulerIndex < j.priorSchedulers && j.stored.unseenByPredecessor
}

// recordRunTime records the duration of the run that completed a task on a runner.
func (j *job) recordRunTime(n workload.TaskName, elapsed time.Duration, r *runner) {
	i := j.stepIndex(n)
	j.longestRuns[i] = max(j.longestRuns[i], elapsed)
	if elapsed > j.longestRun {
		j.longestRun, j.longestRunner = elapsed, r
	}
}

// longestWork returns the sum over all steps of the longest run.
func (j *job) longestWork() time.Duration {
	var sum time.Duration
	for _, d := range j.longestRuns {
		sum += d
	}
	return sum
}

// idle reports whether no task of the job is in the running phase.
func (j *job) idle() bool {
	idle := true
	j.eachTask(func(t *taskState) { idle = idle && t.phase != running })
	return idle
}

// attempts returns the number of failures of a task with which its job fails.
func (j *job) attempts() int { return max(1, j.work.MaxAttempts) }

func (j *job) complete() bool {
	for _, n := range j.open {
		if n > 0 {
			return false
		}
	}
	return true
}

func (j *job) eachTask(f func(*taskState)) {
	for _, step := range j.steps {
		for _, t := range step {
			f(t)
		}
	}
}

func (t *taskState) step() *workload.Step { return &t.job.work.Steps[t.name.Step] }

// setPhase changes the phase of a task, and the counts of its job.
func (t *taskState) setPhase(p taskPhase) {
	if t.phase == p {
		return
	}
	if t.phase == done {
		panic("a done task changes its phase: " + t.name.String())
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
