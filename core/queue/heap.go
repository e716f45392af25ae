package queue

import "sapphirepoint.example/sapphirepoint/core/heap"

// Before orders jobs by priority, then by rank, and then by ID.
func (e *queuedJob) Before(o *queuedJob) bool {
	if e.job.Priority != o.job.Priority {
		return e.job.Priority > o.job.Priority
	}
	if e.rank != o.rank {
		return e.rank < o.rank
	}
	return e.job.ID < o.job.ID
}

// Position returns the position in the team's heap.
func (e *queuedJob) Position() *int { return &e.heapIndex }

// Before orders teams by their first jobs.
func (t *team) Before(o *team) bool { return t.jobHeap[0].Before(o.jobHeap[0]) }

// Position returns the position in the institution's heap.
func (t *team) Position() *int { return &t.heapIndex }

// updateTeam restores the order of the teams after a change of one. A team without jobs to serve
// isn't in the heap.
func (inst *institution) updateTeam(t *team) {
	if len(t.jobHeap) == 0 {
		inst.teamHeap = heap.Drop(inst.teamHeap, t)
		return
	}
	inst.teamHeap = heap.Put(inst.teamHeap, t)
}

// firstAllowed returns the first team for which allow returns true, in the subheap at index i, or
// nil. It descends only below teams that aren't allowed.
func (inst *institution) firstAllowed(i int, allow func(string) bool) *team {
	if i >= len(inst.teamHeap) {
		return nil
	}
	t := inst.teamHeap[i]
	if allow == nil || allow(t.name) {
		return t
	}
	left := inst.firstAllowed(2*i+1, allow)
	right := inst.firstAllowed(2*i+2, allow)
	if left == nil || right != nil && right.Before(left) {
		return right
	}
	return left
}
