// Package workload holds the types that describe what callers ask for and
// where it may run: jobs of tasks, and the runners that carry them out.
package workload

import (
	"cmp"
	"fmt"
	"strconv"
	"strings"
	"time"

	"github.com/pkg/errors"
)

// JobID is chosen by the caller and stays the same when it sends a job again.
type JobID string

// Resources is what a task needs or a runner has.
type Resources struct {
	// MilliCPU is in thousandths of a core.
	MilliCPU int
	MemoryMB int
	GPU      int
}

// Fits reports whether r is within what is free.
func (r Resources) Fits(free Resources) bool {
	return r.MilliCPU <= free.MilliCPU && r.MemoryMB <= free.MemoryMB && r.GPU <= free.GPU
}

// Plus returns the sum.
func (r Resources) Plus(o Resources) Resources {
	return Resources{r.MilliCPU + o.MilliCPU, r.MemoryMB + o.MemoryMB, r.GPU + o.GPU}
}

// Minus returns the difference.
func (r Resources) Minus(o Resources) Resources {
	return Resources{r.MilliCPU - o.MilliCPU, r.MemoryMB - o.MemoryMB, r.GPU - o.GPU}
}

// Step is a set of like tasks of a job.
type Step struct {
	Tasks int
	Need  Resources
	// Estimate is the caller's guess of a task's run time; it is often far off.
	Estimate time.Duration
	// DependsOn lists earlier steps that must be done first.
	DependsOn []int
	// Requires is a label that the runner must have, if any.
	Requires string
	// PreferredRack is where the data lies; elsewhere a task takes longer.
	PreferredRack string
	// MaxPerRunner limits the tasks of the step on one runner; 0 is no limit.
	MaxPerRunner int
}

// Job is what a caller submits, with the terms of its queue at arrival.
type Job struct {
	ID JobID
	// Queue and Service are the route that the request took, under the
	// configuration Version in force at its entry VM.
	Queue   string
	Service string
	Version uint64
	// Priority 0 comes first.
	Priority int
	// Stored jobs are kept in the platform's store from their acceptance on.
	// The others are answered when they have ended, and kept nowhere.
	Stored bool
	// MaxAttempts is how often a task may end as failed before its job has.
	MaxAttempts int
	// Objective is the latency objective, from the caller's first send.
	Objective time.Duration
	Spec      string
	Steps     []Step
	// Timed jobs run their steps Times times; 0 is once, at once. The first time
	// is due at StartMs, in milliseconds since 1970, the others Interval apart.
	// They may overlap.
	Times    int
	StartMs  int64
	Interval time.Duration
}

// Occurrences is how often the steps run.
func (j *Job) Occurrences() int { return max(1, j.Times) }

// DueMs is when an occurrence is due, in milliseconds since 1970.
func (j *Job) DueMs(occurrence int) int64 {
	return j.StartMs + int64(occurrence)*j.Interval.Milliseconds()
}

// Tasks is the number of tasks in all steps of all occurrences.
func (j *Job) Tasks() int {
	n := 0
	for _, s := range j.Steps {
		n += s.Tasks
	}
	return n * j.Occurrences()
}

// CriticalPath is the estimated run time of the longest chain of dependent steps.
func (j *Job) CriticalPath() time.Duration {
	ends := make([]time.Duration, len(j.Steps))
	longest := time.Duration(0)
	for i, s := range j.Steps {
		begin := time.Duration(0)
		for _, d := range s.DependsOn {
			begin = max(begin, ends[d])
		}
		ends[i] = begin + s.Estimate
		longest = max(longest, ends[i])
	}
	return longest
}

// MaxTasks bounds a job. The largest jobs planned for have 980 tasks.
const MaxTasks = 4096

// Validate reports what makes a job impossible to run.
func (j *Job) Validate() error {
	if len(j.Steps) == 0 {
		return errors.New("the job has no steps")
	}
	if j.Times < 0 || j.Interval < 0 || j.StartMs < 0 {
		return errors.New("the job has a negative time")
	}
	for i, s := range j.Steps {
		if s.Tasks < 1 || s.Tasks > MaxTasks {
			return errors.Errorf("step %d: %d tasks, not 1 to %d", i, s.Tasks, MaxTasks)
		}
		for _, d := range s.DependsOn {
			if d < 0 || d >= i {
				return errors.Errorf("step %d depends on step %d, which isn't an earlier one", i, d)
			}
		}
		if s.Need.MilliCPU < 0 || s.Need.MemoryMB < 0 || s.Need.GPU < 0 || s.Estimate < 0 || s.MaxPerRunner < 0 {
			return errors.Errorf("step %d has a negative requirement", i)
		}
	}
	if j.Times > MaxTasks || j.Tasks() > MaxTasks {
		return errors.Errorf("more than %d tasks", MaxTasks)
	}
	return nil
}

// TaskName names a task.
type TaskName struct {
	Job JobID
	// Occurrence counts the times of a timed job from 0.
	Occurrence int
	Step       int
	Index      int
}

// String is the form that runners know: job.occurrence.step.index.
func (t TaskName) String() string {
	return string(t.Job) + "." + strconv.Itoa(t.Occurrence) + "." + strconv.Itoa(t.Step) + "." + strconv.Itoa(t.Index)
}

// ParseTaskName reads the form of String.
func ParseTaskName(s string) (TaskName, error) {
	parts := strings.Split(s, ".")
	if len(parts) != 4 {
		return TaskName{}, errors.Errorf("task name %q hasn't four parts", s)
	}
	occurrence, err := strconv.Atoi(parts[1])
	if err != nil {
		return TaskName{}, errors.Errorf("task name %q: occurrence", s)
	}
	step, err := strconv.Atoi(parts[2])
	if err != nil {
		return TaskName{}, errors.Errorf("task name %q: step", s)
	}
	index, err := strconv.Atoi(parts[3])
	if err != nil {
		return TaskName{}, errors.Errorf("task name %q: index", s)
	}
	return TaskName{Job: JobID(parts[0]), Occurrence: occurrence, Step: step, Index: index}, nil
}

// RunKey names one start of a task.
type RunKey struct {
	Task TaskName
	// Number grows with each start of the task.
	Number int
}

// String is for logs.
func (k RunKey) String() string { return fmt.Sprintf("%s#%d", k.Task, k.Number) }

// RunnerID is one lifetime of a runner; after a crash it has another.
type RunnerID string

// Runner is what the platform's list says of a runner.
type Runner struct {
	ID       RunnerID
	Service  string
	Address  string
	Domain   string
	Rack     string
	Labels   []string
	Capacity Resources
	// Draining runners finish what they have and get nothing new.
	Draining bool
	// Lapsed: its entry went away while the store was, and may be back in a
	// moment. It is used while it answers.
	Lapsed bool
	// Revision grows with each change of the entry.
	Revision uint64
	// Born is when its lifetime began, in milliseconds since 1970; 0 if that isn't
	// known. A runner may start again under its id.
	Born int64
}

// CompareRunners orders runners by their ids.
func CompareRunners(a, b Runner) int { return cmp.Compare(a.ID, b.ID) }

// HasLabel reports whether the runner has a label; all have the empty one.
func (r *Runner) HasLabel(label string) bool {
	if label == "" {
		return true
	}
	for _, l := range r.Labels {
		if l == label {
			return true
		}
	}
	return false
}

// EndKind is how a run ended.
type EndKind uint8

// The kinds of ends.
const (
	// Done: the task succeeded.
	Done EndKind = iota
	// Failed: by the task's fault or the runner's.
	Failed
	// Stopped: on an order.
	Stopped
	// LeaseExpired: its lease ran out.
	LeaseExpired
	// Aborted: another task that it works with ended or didn't come.
	Aborted
)

var endNames = [...]string{"done", "failed", "stopped", "lapsed", "aborted"}

// String is for logs.
func (k EndKind) String() string { return endNames[k] }

// End is one end that a runner lists until it is acknowledged.
type End struct {
	// Sequence counts the ends of a lifetime of the runner, from 1.
	Sequence uint64
	Run      RunKey
	Kind     EndKind
	// Checkpoint is where the task can be resumed; "" if nowhere.
	Checkpoint string
}

// Outcome is the final word on a job.
type Outcome uint8

// The outcomes.
const (
	// Completed: all tasks are done.
	Completed Outcome = iota
	// JobFailed: a task failed as often as the queue allows.
	JobFailed
	// Cancelled: the caller took the job back.
	Cancelled
	// NotRun: nothing was started and nothing will be.
	NotRun
	// GaveUp: its time was up; some of it may have run.
	GaveUp
	// Accepted: the job is in the store and will be done.
	Accepted
)

var outcomeNames = [...]string{"completed", "failed", "cancelled", "not-run", "gave-up", "accepted"}

// String is for logs.
func (o Outcome) String() string { return outcomeNames[o] }
