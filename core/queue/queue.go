// Package queue orders the tasks that wait for a slot.
//
// Priority goes first. Within a priority each task has a rank, the time by
// which it has to start: for the longest task of a job that is the arrival of
// the job, for a shorter one as much later as it is shorter, because it can
// wait without holding up the answer. Longer jobs are ranked later by a part of
// their length, since the same wait is a smaller part of their response. A
// rank never passes the last moment that leaves time before the deadline.
//
// Ranks are fixed when a job is added, so a job is overtaken only by jobs that
// arrive within a span in proportion to its own length: none starves.
package queue

import (
	"slices"
	"time"

	"sapphirepoint.example/sapphirepoint/core/heap"
	"sapphirepoint.example/sapphirepoint/core/task"
)

// DefaultRunTime is the expected run time of a task of which nothing is known.
const DefaultRunTime = 200 * time.Millisecond

// JobID numbers the jobs of one incarnation.
type JobID uint64

// Job is what the order depends on.
type Job struct {
	ID          JobID
	Institution string
	Team        string
	// Priority: higher is served first.
	Priority uint32
	Arrived  task.Time
	Deadline task.Time
	// RunTimes is the expected run time of each task.
	RunTimes []task.Time
}

// Ref names one task of a job.
type Ref struct {
	Job   JobID
	Index int
}

// Order sets how ranks are worked out.
type Order struct {
	// LengthPercent is the part of a job's longest task by which its rank is
	// put back, in percent.
	LengthPercent int
	// SlackPercent is the part of a task's slack by which it is put back, in
	// percent.
	SlackPercent int
	// FIFO ranks all tasks of a job by its arrival alone.
	FIFO bool
}

// DefaultOrder is the order that measured best; see docs/design/placement.md.
var DefaultOrder = Order{LengthPercent: 100, SlackPercent: 100}

// queuedJob is a job that has waiting tasks, or may have some again.
type queuedJob struct {
	job     Job
	longest task.Time
	// waiting are the indexes of waiting tasks, the longest last.
	waiting []int32
	held    bool
	team    *team
	// heapIndex is the position in the team's heap, -1 if it isn't there.
	heapIndex int
	// rank is that of the next waiting task.
	rank task.Time
}

// team holds the jobs of one team of an institution.
type team struct {
	name string
	// jobCount counts the team's jobs, those without waiting tasks included.
	jobCount int
	jobHeap  []*queuedJob
	// heapIndex is the position in the institution's heap, -1 if it isn't there.
	heapIndex int
}

// institution holds the teams of one institution.
type institution struct {
	teamsByName map[string]*team
	teamHeap    []*team
	tasks       int
	runTime     task.Time
}

// Queue holds waiting tasks for each institution. Adding, taking and dropping
// cost the logarithm of the jobs and teams that wait.
type Queue struct {
	order        Order
	jobs         map[JobID]*queuedJob
	institutions map[string]*institution
}

// New returns an empty queue with the default order.
func New() *Queue {
	return NewWithOrder(DefaultOrder)
}

// NewWithOrder returns an empty queue with an order.
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

// nextTask is the waiting task to be served first.
func (e *queuedJob) nextTask() int {
	return int(e.waiting[len(e.waiting)-1])
}

// latestStart is the latest start of a task that doesn't hold up its job's answer.
func (e *queuedJob) latestStart(index int) task.Time {
	return e.job.Arrived + e.longest - e.job.RunTimes[index]
}

func (q *Queue) rankOf(e *queuedJob) task.Time {
	if q.order.FIFO {
		return e.job.Arrived
	}
	slack := e.longest - e.job.RunTimes[e.nextTask()]
	r := e.job.Arrived + slack*time.Duration(q.order.SlackPercent)/100 + e.longest*time.Duration(q.order.LengthPercent)/100
	return min(r, e.job.Deadline-e.longest)
}

// update puts a job where it belongs after a change.
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

// Hold keeps a job's tasks from being served until it is released.
func (q *Queue) Hold(id JobID, held bool) {
	e := q.jobs[id]
	if e == nil || e.held == held {
		return
	}
	e.held = held
	q.update(q.institutions[e.job.Institution], e)
}

// Next takes the task to be served next for an institution, from the teams
// that allow accepts; nil accepts all.
func (q *Queue) Next(_ task.Time, institution string, allow func(team string) bool) (Ref, bool) {
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

// Requeue puts back a task that never ran.
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

// Remove drops a job with all its waiting tasks.
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

// Tasks is the number of waiting tasks of an institution.
func (q *Queue) Tasks(institution string) int {
	inst := q.institutions[institution]
	if inst == nil {
		return 0
	}
	return inst.tasks
}

// Work is the expected run time of all waiting tasks of an institution.
func (q *Queue) Work(institution string) task.Time {
	inst := q.institutions[institution]
	if inst == nil {
		return 0
	}
	return inst.runTime
}

// Jobs is the number of jobs held.
func (q *Queue) Jobs() int {
	return len(q.jobs)
}
