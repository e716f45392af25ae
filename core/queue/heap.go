package queue

import "sapphirepoint.example/sapphirepoint/core/heap"

// Before is the order of service of two jobs.
func (e *entry) Before(o *entry) bool {
	if e.job.Priority != o.job.Priority {
		return e.job.Priority > o.job.Priority
	}
	if e.rank != o.rank {
		return e.rank < o.rank
	}
	return e.job.ID < o.job.ID
}

func (e *entry) Position() *int { return &e.at }

// Before is the order of two teams: that of their first jobs.
func (t *team) Before(o *team) bool { return t.jobs[0].Before(o.jobs[0]) }

func (t *team) Position() *int { return &t.at }

// place restores the order of the teams after a change of one.
func (inst *institution) place(t *team) {
	if len(t.jobs) == 0 {
		inst.heap = heap.Drop(inst.heap, t)
		return
	}
	inst.heap = heap.Put(inst.heap, t)
}

// firstFrom finds the first team that allow accepts among those from a
// position down. Only what stands below teams that aren't accepted is looked
// at.
func (inst *institution) firstFrom(i int, allow func(string) bool) *team {
	if i >= len(inst.heap) {
		return nil
	}
	t := inst.heap[i]
	if allow == nil || allow(t.name) {
		return t
	}
	left := inst.firstFrom(2*i+1, allow)
	right := inst.firstFrom(2*i+2, allow)
	if left == nil || right != nil && right.Before(left) {
		return right
	}
	return left
}
