// Package queue orders the tasks that wait for a slot.
package queue

import (
	"sapphirepoint.example/sapphirepoint/core/task"
)

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
	// Work is the expected run time of each task.
	Work []task.Time
}

// Ref names one task of a job.
type Ref struct {
	Job   JobID
	Index int
}

type entry struct {
	job     Job
	waiting []int
	held    bool
}

// Queue holds waiting tasks for each institution.
type Queue struct {
	jobs  map[JobID]*entry
	lists map[string][]JobID
	tasks map[string]int
}

// New returns an empty queue.
func New() *Queue {
	return &Queue{
		jobs:  make(map[JobID]*entry),
		lists: make(map[string][]JobID),
		tasks: make(map[string]int),
	}
}

// Add queues all tasks of a job.
func (q *Queue) Add(j Job) {
	e := &entry{job: j, waiting: make([]int, len(j.Work))}
	for i := range e.waiting {
		e.waiting[i] = i
	}
	q.jobs[j.ID] = e
	q.lists[j.Institution] = append(q.lists[j.Institution], j.ID)
	q.tasks[j.Institution] += len(j.Work)
}

// Hold keeps a job's tasks from being served until it is released.
func (q *Queue) Hold(id JobID, held bool) {
	if e := q.jobs[id]; e != nil {
		e.held = held
	}
}

// Next takes the task to be served next for an institution.
func (q *Queue) Next(now task.Time, institution string) (Ref, bool) {
	for _, id := range q.lists[institution] {
		e := q.jobs[id]
		if e.held || len(e.waiting) == 0 {
			continue
		}
		index := e.waiting[0]
		e.waiting = e.waiting[1:]
		q.tasks[institution]--
		return Ref{id, index}, true
	}
	return Ref{}, false
}

// Requeue puts back a task that never ran.
func (q *Queue) Requeue(r Ref) {
	e := q.jobs[r.Job]
	if e == nil {
		return
	}
	e.waiting = append([]int{r.Index}, e.waiting...)
	q.tasks[e.job.Institution]++
}

// Remove drops a job with all its waiting tasks.
func (q *Queue) Remove(id JobID) {
	e := q.jobs[id]
	if e == nil {
		return
	}
	name := e.job.Institution
	q.tasks[name] -= len(e.waiting)
	delete(q.jobs, id)
	list := q.lists[name]
	for i, other := range list {
		if other == id {
			q.lists[name] = append(list[:i:i], list[i+1:]...)
			break
		}
	}
}

// Tasks is the number of waiting tasks of an institution.
func (q *Queue) Tasks(institution string) int {
	return q.tasks[institution]
}

// Jobs is the number of jobs held.
func (q *Queue) Jobs() int {
	return len(q.jobs)
}
