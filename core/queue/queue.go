// Package queue orders the tasks that wait for a slot.
//
// Tasks of higher priority come first. Within a priority, tasks are ordered by rank, the time by
// which a task should start, the earliest first. The rank of a task is the sum of
//   - the arrival of its job,
//   - its slack, the difference between the run times of the job's longest task and of this one: it can
//     start that much later without delaying the job's result, and
//   - the run time of the job's longest task, since the same wait is a smaller fraction of a long job's
//     response time.
//
// Order can scale the last two. A rank is at most the deadline minus the run time of the longest
// task.
//
// Ranks don't depend on the present time, so a job can be overtaken only by jobs of its priority
// that arrive within a period proportional to its own length. No job starves within its priority.
package queue

import (
	"slices"
	"time"

	"sapphirepoint.example/sapphirepoint/core/heap"
	"sapphirepoint.example/sapphirepoint/core/task"
)

// DefaultRunTime is the expected run time of a task without any other estimate.
const DefaultRunTime = 200 * time.Millisecond

// JobID identifies a job within one run of a process.
type JobID uint64

// Job holds the properties of a job on which the order depends.
type Job struct {
	ID          JobID
	Institution string
	Team        string
	// Priority is the job's priority; a higher one is served first.
	Priority uint32
	Arrived  task.Time
	Deadline task.Time
	// RunTimes holds the expected run time of each task.
	RunTimes []task.Time
}

// Ref identifies a task of a job.
type Ref struct {
	Job   JobID
	Index int
}

// Order configures the computation of ranks.
type Order struct {
	// LengthPercent is the percentage of the longest task's run time that is added to the ranks of
	// a job's tasks.
	LengthPercent int
	// SlackPercent is the percentage of a task's slack that is added to its rank.
	SlackPercent int
	// FIFO ranks all tasks of a job by its arrival alone.
	FIFO bool
}

// DefaultOrder adds the whole run time of the longest task and the whole slack.
var DefaultOrder = Order{LengthPercent: 100, SlackPercent: 100}

// queuedJob is a job with waiting tasks, or one whose tasks may be requeued.
type queuedJob struct {
	job Job
	// longest is the run time of the job's longest task.
	longest task.Time
	// waiting holds the indexes of the waiting tasks, the longest last.
	waiting []int32
	// held: no task of the job is served until Hold resumes it.
	held bool
	team *team
	// heapIndex is the position in the team's heap, heap.Absent if it isn't in there.
	heapIndex int
	// rank is the rank of the next waiting task.
	rank task.Time
}

// team holds the jobs of one team of an institution.
type team struct {
	name string
	// jobCount is the number of the team's jobs, including those without waiting tasks.
	jobCount int
	// jobHeap is a heap of the jobs that have waiting tasks and aren't held.
	jobHeap []*queuedJob
	// heapIndex is the position in the institution's heap, heap.Absent if it isn't in there.
	heapIndex int
}

// institution holds the teams of one institution.
type institution struct {
	teamsByName map[string]*team
	// teamHeap is a heap of the teams that have jobs in their heaps.
	teamHeap []*team
	// tasks is the number of waiting tasks, runTime the sum of their run times.
	tasks   int
	runTime task.Time
}

// Queue holds the waiting tasks of all institutions. Adding, taking and removing take time
// logarithmic in the number of waiting jobs and teams.
type Queue struct {
	order        Order
	jobs         map[JobID]*queuedJob
	institutions map[string]*institution
}

// New returns an empty queue with DefaultOrder.
func New() *Queue {
	return NewWithOrder(DefaultOrder)
}

// NewWithOrder returns an empty queue with a given order.
func NewWithOrder(o Order) *Queue {
	return &Queue{
		order:        o,
		jobs:         make(map[JobID]*queuedJob),
		institutions: make(map[string]*institution),
	}
}

// Add queues all tasks of a job.
func (q *Queue) Add(j Job) {
	e := &queuedJob{job: j, waiting: make([]int32, len(j.RunTimes)), heapIndex: heap.Absent}
	for i, w := range j.RunTimes {
		e.waiting[i] = int32(len(j.RunTimes) - 1 - i)
		e.longest = max(e.longest, w)
	}
	if !q.order.FIFO {
		slices.SortStableFunc(e.waiting, e.compareRunTimes)
	}
	inst := q.institution(j.Institution)
	e.team = inst.team(j.Team)
	e.team.jobCount++
	q.jobs[j.ID] = e
	inst.tasks += len(j.RunTimes)
	for _, w := range j.RunTimes {
		inst.runTime += w
	}
	q.update(inst, e)
}

func (q *Queue) institution(name string) *institution {
	inst := q.institutions[name]
	if inst == nil {
		inst = &institution{teamsByName: make(map[string]*team)}
		q.institutions[name] = inst
	}
	return inst
}

func (inst *institution) team(name string) *team {
	t := inst.teamsByName[name]
	if t == nil {
		t = &team{name: name, heapIndex: heap.Absent}
		inst.teamsByName[name] = t
	}
	return t
}

// compareRunTimes orders tasks by run time, the shortest first, and those of equal run time by
// descending index.
func (e *queuedJob) compareRunTimes(a, b int32) int {
	wa, wb := e.job.RunTimes[a], e.job.RunTimes[b]
	switch {
	case wa < wb:
		return -1
	case wa > wb:
		return 1
	}
	return int(b) - int(a)
}

// nextTask returns the index of the waiting task to be served first.
func (e *queuedJob) nextTask() int {
	return int(e.waiting[len(e.waiting)-1])
}

// latestStart returns the latest start of a task that doesn't delay its job's result.
func (e *queuedJob) latestStart(index int) task.Time {
	return e.job.Arrived + e.longest - e.job.RunTimes[index]
}

// rankOf returns the rank of a job's next task, see the package comment.
func (q *Queue) rankOf(e *queuedJob) task.Time {
	if q.order.FIFO {
		return e.job.Arrived
	}
	slack := e.longest - e.job.RunTimes[e.nextTask()]
	r := e.job.Arrived + slack*time.Duration(q.order.SlackPercent)/100 + e.longest*time.Duration(q.order.LengthPercent)/100
	return min(r, e.job.Deadline-e.longest)
}

// update moves a job to its place in the heaps after a change.
func (q *Queue) update(inst *institution, e *queuedJob) {
	t := e.team
	if e.held || len(e.waiting) == 0 {
		t.jobHeap = heap.Drop(t.jobHeap, e)
	} else {
		e.rank = q.rankOf(e)
		t.jobHeap = heap.Put(t.jobHeap, e)
	}
	inst.updateTeam(t)
}

// Hold stops the serving of a job's tasks, or resumes it if held is false.
func (q *Queue) Hold(id JobID, held bool) {
	e := q.jobs[id]
	if e == nil || e.held == held {
		return
	}
	e.held = held
	q.update(q.institutions[e.job.Institution], e)
}

// Next takes the first waiting task of an institution, among those of the teams for which allow
// returns true. If allow is nil, all teams are allowed.
func (q *Queue) Next(institution string, allow func(team string) bool) (Ref, bool) {
	inst := q.institutions[institution]
	if inst == nil {
		return Ref{}, false
	}
	t := inst.firstAllowed(0, allow)
	if t == nil {
		return Ref{}, false
	}
	e := t.jobHeap[0]
	index := e.nextTask()
	e.waiting = e.waiting[:len(e.waiting)-1]
	inst.tasks--
	inst.runTime -= e.job.RunTimes[index]
	q.update(inst, e)
	return Ref{e.job.ID, index}, true
}

// Requeue puts back a task that Next returned but that never ran.
func (q *Queue) Requeue(r Ref) {
	e := q.jobs[r.Job]
	if e == nil {
		return
	}
	i, _ := slices.BinarySearchFunc(e.waiting, int32(r.Index), e.compareRunTimes)
	if q.order.FIFO {
		i = len(e.waiting)
	}
	e.waiting = slices.Insert(e.waiting, i, int32(r.Index))
	inst := q.institutions[e.job.Institution]
	inst.tasks++
	inst.runTime += e.job.RunTimes[r.Index]
	q.update(inst, e)
}

// Remove removes a job and its waiting tasks.
func (q *Queue) Remove(id JobID) {
	e := q.jobs[id]
	if e == nil {
		return
	}
	inst := q.institutions[e.job.Institution]
	inst.tasks -= len(e.waiting)
	for _, i := range e.waiting {
		inst.runTime -= e.job.RunTimes[i]
	}
	e.waiting = nil
	q.update(inst, e)
	delete(q.jobs, id)
	e.team.jobCount--
	if e.team.jobCount == 0 {
		delete(inst.teamsByName, e.team.name)
	}
}

// Tasks returns the number of waiting tasks of an institution.
func (q *Queue) Tasks(institution string) int {
	inst := q.institutions[institution]
	if inst == nil {
		return 0
	}
	return inst.tasks
}

// Work returns the total expected run time of an institution's waiting tasks.
func (q *Queue) Work(institution string) task.Time {
	inst := q.institutions[institution]
	if inst == nil {
		return 0
	}
	return inst.runTime
}

// Jobs returns the number of jobs in the queue.
func (q *Queue) Jobs() int {
	return len(q.jobs)
}
