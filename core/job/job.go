// Package job assembles the answer of one job from the results of its tasks
// and keeps the rule that each task starts at most once.
package job

import (
	"fmt"

	"sapphirepoint.example/sapphirepoint/core/task"
	pb "sapphirepoint.example/sapphirepoint/gen/sapphirepointv1"
)

// State is the state of one task.
type State uint8

// The states of a task. From Started a task returns to Waiting only on the
// verdict that it never ran.
const (
	Waiting State = iota
	Started
	Done
	Abandoned
)

// Assembly is one job in progress.
type Assembly struct {
	states  []State
	starts  []task.StartID
	results []*pb.TaskResult
	waiting int
	started int
	done    int
	// possiblyRun counts tasks that may have run.
	possiblyRun int
	sealed      bool
	bytes       int
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
// It panics when the task was started before and isn't known to have never
// run, or when the job is sealed: either would be the doubled label or the
// false "not run" that this system exists to prevent.
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

// NotStarted records that a start is known never to have run, and makes the
// task startable again. A verdict on another start is ignored and reported
// false.
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

// Finish records a task's output. A late, doubled or crossed result is ignored
// and reported false.
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

func (a *Assembly) isCurrentStart(index int, id task.StartID) bool {
	if index < 0 || index >= len(a.states) {
		return false
	}
	return a.states[index] == Started && a.starts[index] == id
}

// Seal ends the job: no task starts from now on.
func (a *Assembly) Seal() {
	a.sealed = true
}

// Complete says whether every task has its result.
func (a *Assembly) Complete() bool { return a.done == len(a.states) }

// MayHaveRun says whether any task may have run.
func (a *Assembly) MayHaveRun() bool { return a.possiblyRun > 0 }

// Waiting is the number of tasks that may be started.
func (a *Assembly) Waiting() int { return a.waiting }

// Running is the number of tasks started and not settled.
func (a *Assembly) Running() int { return a.started }

// Bytes is the size of the results held, in bytes.
func (a *Assembly) Bytes() int { return a.bytes }

// Results returns the whole result. It panics unless the job is complete: a
// partial answer would leave a tray unlabelled with nobody told.
func (a *Assembly) Results() []*pb.TaskResult {
	if !a.Complete() {
		panic("job: results of an incomplete job")
	}
	return a.results
}
