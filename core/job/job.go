// Package job assembles the answer of one job from the results of its tasks and ensures that
// each task starts at most once.
package job

import (
	"fmt"

	"sapphirepoint.example/sapphirepoint/core/task"
	pb "sapphirepoint.example/sapphirepoint/gen/sapphirepointv1"
)

// State is the state of one task.
type State uint8

// The states of a task. A task returns from Started to Waiting only on the verdict that it never
// ran.
const (
	Waiting State = iota
	Started
	Done
)

// Assembly is the state of a job in progress.
type Assembly struct {
	// states, starts and results have each task's state, its latest start and its result.
	states  []State
	starts  []task.StartID
	results []*pb.TaskResult
	// waiting, started and done are the numbers of tasks in these states.
	waiting int
	started int
	done    int
	// possiblyRun is the number of tasks that may have run: those started without a verdict that
	// they never ran.
	possiblyRun int
	// sealed: no task may be started any more.
	sealed bool
	// bytes is the size of the results so far.
	bytes int
}

// New returns the assembly of a job of n tasks.
func New(n int) *Assembly {
	return &Assembly{
		states:  make([]State, n),
		starts:  make([]task.StartID, n),
		results: make([]*pb.TaskResult, n),
		waiting: n,
	}
}

// Start records that a task is about to be sent to an upstream.
//
// It panics if the task was started before and there is no verdict that this start never ran,
// since the task could run twice. It also panics if the job is sealed, since its answer may already
// state that the task didn't run.
func (a *Assembly) Start(index int, id task.StartID) {
	if a.sealed {
		panic(fmt.Sprintf("job: start %d of task %d after seal", id, index))
	}
	if a.states[index] != Waiting {
		panic(fmt.Sprintf("job: second start %d of task %d in state %d", id, index, a.states[index]))
	}
	a.states[index] = Started
	a.starts[index] = id
	a.waiting--
	a.started++
	a.possiblyRun++
}

// NotStarted records the verdict that a start never ran, and allows another start of the task.
// A verdict on a start that isn't the current one is ignored, and NotStarted returns false.
func (a *Assembly) NotStarted(index int, id task.StartID) bool {
	if !a.isCurrentStart(index, id) {
		return false
	}
	a.states[index] = Waiting
	a.waiting++
	a.started--
	a.possiblyRun--
	return true
}

// Finish records a task's output. If id isn't the task's current start or the task is already done,
// the output is ignored and Finish returns false.
func (a *Assembly) Finish(index int, id task.StartID, output []byte) bool {
	if !a.isCurrentStart(index, id) {
		return false
	}
	a.states[index] = Done
	a.results[index] = &pb.TaskResult{Index: uint32(index), Output: output}
	a.started--
	a.done++
	a.bytes += len(output)
	return true
}

// isCurrentStart reports whether the task is started and id is its latest start.
func (a *Assembly) isCurrentStart(index int, id task.StartID) bool {
	if index < 0 || index >= len(a.states) {
		return false
	}
	return a.states[index] == Started && a.starts[index] == id
}

// Seal ends the job: no task can be started after it.
func (a *Assembly) Seal() {
	a.sealed = true
}

// Complete reports whether every task has its result.
func (a *Assembly) Complete() bool { return a.done == len(a.states) }

// MayHaveRun reports whether any task may have run.
func (a *Assembly) MayHaveRun() bool { return a.possiblyRun > 0 }

// Waiting is the number of tasks that may be started.
func (a *Assembly) Waiting() int { return a.waiting }

// Running is the number of tasks that are started and have neither an output nor a verdict that they
// never ran.
func (a *Assembly) Running() int { return a.started }

// Bytes is the size of the results so far, in bytes.
func (a *Assembly) Bytes() int { return a.bytes }

// Results returns the results of all tasks. It panics if the job isn't complete, because a
// partial answer would hide from the caller that tasks have no result.
func (a *Assembly) Results() []*pb.TaskResult {
	if !a.Complete() {
		panic("job: results of an incomplete job")
	}
	return a.results
}
