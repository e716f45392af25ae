// Package workload holds the types that describe what callers submit and where it runs: jobs
// of tasks, and runners.
package workload

import (
	"cmp"
	"strconv"
	"strings"
	"time"

	"github.com/pkg/errors"
)

// JobID is chosen by the caller and stays the same when the caller sends a job again.
type JobID string

// Resources is what a task requires or a runner has.
type Resources struct {
	// MilliCPU is in thousandths of a core.
	MilliCPU int
	MemoryMB int
	// GPU is the number of GPUs.
	GPU int
}

// Fits reports whether r is at most the free resources, in each of its fields.
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

// Step is a set of tasks of a job that have the same requirements.
type Step struct {
	// Tasks is the number of tasks.
	Tasks int
	// Need is what each task requires of its runner.
	Need Resources
	// Estimate is the caller's estimate of a task's run time; it is often far off.
	Estimate time.Duration
	// DependsOn lists the earlier steps that must be done first.
	DependsOn []int
	// Requires is a label that the runner must have; "" if none is required.
	Requires string
	// PreferredRack is the rack that has the data; on other racks a task takes longer.
	PreferredRack string
	// MaxPerRunner limits the tasks of the step on one runner; 0 is no limit.
	MaxPerRunner int
}

// Job is what a caller submits, with the settings of its queue at arrival.
type Job struct {
	ID JobID
	// Queue and Service are those of the request's route (see routing.Route), by the configuration
	// Version in force at its entry VM.
	Queue   string
	Service string
	Version uint64
	// Priority 0 is the highest.
	Priority int
	// Stored jobs are saved in the platform's store from their acceptance on. Other jobs are
	// answered when they have ended, and aren't saved.
	Stored bool
	// MaxAttempts is how often a task may fail before its job fails.
	MaxAttempts int
	// Objective is the latency objective, counted from when the caller first sent the job.
	Objective time.Duration
	// Spec is the caller's description of the work, passed on to the runners.
	Spec string
	// Steps are the steps in an order in which each depends only on earlier ones.
	Steps []Step
	// Times is how often the steps of a timed job run. These occurrences may overlap. 0 is a job
	// that isn't timed: its steps run once, without delay.
	Times int
	// StartMs is when the first occurrence of a timed job is due, in milliseconds since 1970.
	StartMs int64
	// Interval is the time from when one occurrence is due until the next is.
	Interval time.Duration
}

// Occurrences is the number of times that the steps run.
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

// TimeToAnswer is the estimated time until a job that a scheduler gets now is answered: that of its
// run, or 0 if it is stored, since the answer then says only that it is in the store.
func (j *Job) TimeToAnswer() time.Duration {
	if j.Stored {
		return 0
	}
	return j.CriticalPath()
}

// MaxTasks is the maximum number of tasks of a job, over all its occurrences. The largest expected
// jobs have 980 tasks.
const MaxTasks = 4096

// Validate returns an error if the job can't be run.
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

// maxNeed is far above the capacity of any runner. A task that needs less than that and fits no runner is refused by
// schedulers; sums over tasks that need more would overflow.
var maxNeed = Resources{MilliCPU: 1_000_000_000, MemoryMB: 100_000_000_000, GPU: 1_000_000}

const (
	// MaxEstimate is the longest estimate of a task's run time, so that those of a job's steps can be added up.
	MaxEstimate = 24 * time.Hour
	// maxStartMs is the latest time at which a timed job may begin, and maxInterval the longest interval: those of all
	// occurrences can be added up.
	maxStartMs  = 1 << 53
	maxInterval = 366 * 24 * time.Hour
)

// CheckLimits returns an error if a job that a caller submits asks for so much that sums over jobs would overflow.
func (j *Job) CheckLimits() error {
	if j.StartMs > maxStartMs || j.Interval > maxInterval {
		return errors.Errorf("the job begins after %d ms or has an interval over %v", int64(maxStartMs), maxInterval)
	}
	for i, s := range j.Steps {
		switch {
		case !s.Need.Fits(maxNeed):
			return errors.Errorf("step %d: a task needs %+v, over %+v", i, s.Need, maxNeed)
		case s.Estimate > MaxEstimate:
			return errors.Errorf("step %d: an estimate of %v, over %v", i, s.Estimate, MaxEstimate)
		}
	}
	return nil
}

// TaskName identifies a task.
type TaskName struct {
	Job JobID
	// Occurrence counts the occurrences of a timed job from 0, Step the steps of the job, and Index
	// the tasks of the step.
	Occurrence int
	Step       int
	Index      int
}

// String is the form that is sent to runners: job.occurrence.step.index.
func (t TaskName) String() string {
	return string(t.Job) + "." + strconv.Itoa(t.Occurrence) + "." + strconv.Itoa(t.Step) + "." + strconv.Itoa(t.Index)
}

// ParseTaskName parses the form that String returns.
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

// RunKey identifies one start of a task.
type RunKey struct {
	Task TaskName
	// Number grows with each start of the task.
	Number int
}

// String is the form for logs.
func (k RunKey) String() string { return k.Task.String() + "#" + strconv.Itoa(k.Number) }

// RunnerID identifies one incarnation of a runner. After a crash the runner has another ID.
type RunnerID string

// Runner is a runner's entry in the platform's list.
type Runner struct {
	ID       RunnerID
	Service  string
	Address  string
	Domain   string
	Rack     string
	Labels   []string
	Capacity Resources
	// Draining: the runner finishes its tasks and gets no new ones.
	Draining bool
	// EntryExpired: the entry disappeared from the list while the store was unavailable, and may
	// reappear. The runner is used while it answers.
	EntryExpired bool
	// Revision grows with each change of the entry.
	Revision uint64
	// IncarnationStart is when the incarnation began, in milliseconds since 1970; 0 if unknown.
	// It distinguishes incarnations of a runner that restarted under the same ID.
	IncarnationStart int64
}

// CompareRunners orders runners by their ids.
func CompareRunners(a, b Runner) int { return cmp.Compare(a.ID, b.ID) }

// HasLabel reports whether the runner has a label; every runner has the empty label.
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

// EndKind is the way in which a run, one start of a task on a runner, ended.
type EndKind uint8

// The kinds of ends of runs.
const (
	// Done: the task succeeded.
	Done EndKind = iota
	// Failed: the task or the runner failed.
	Failed
	// Stopped: the run was stopped by request.
	Stopped
	// LeaseExpired: the run's lease expired.
	LeaseExpired
	// Aborted: another task that this one works with ended or didn't start.
	Aborted
)

var endNames = [...]string{"done", "failed", "stopped", "lapsed", "aborted"}

// String is the name for logs.
func (k EndKind) String() string { return endNames[k] }

// End is the end of a run. The runner reports it until it is acknowledged.
type End struct {
	// Sequence numbers the ends of one incarnation of the runner, from 1.
	Sequence uint64
	Run      RunKey
	Kind     EndKind
	// Checkpoint is where the task can be resumed; "" if it can't.
	Checkpoint string
}

// Outcome is the final outcome of a job.
type Outcome uint8

// The outcomes.
const (
	// Completed: all tasks are done.
	Completed Outcome = iota
	// JobFailed: a task failed MaxAttempts times.
	JobFailed
	// Cancelled: the caller cancelled the job.
	Cancelled
	// NotRun: no task was started and none will be.
	NotRun
	// GaveUp: the job ended without any of the other outcomes, for instance because its time was up.
	// Some tasks may have run.
	GaveUp
	// Accepted: the job is in the store and will be run.
	Accepted
)

var outcomeNames = [...]string{"completed", "failed", "cancelled", "not-run", "gave-up", "accepted"}

// String is the name for logs.
func (o Outcome) String() string { return outcomeNames[o] }
