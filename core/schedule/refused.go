package schedule

import "sapphirepoint.example/sapphirepoint/core/workload"

// maxRefusedRemembered bounds the memory of refused jobs in a long overload.
const maxRefusedRemembered = 100_000

// refusedJobs are the stored jobs whose callers were told that they never run. A copy that was sent
// earlier, and held up in another entry process, must not be accepted later.
type refusedJobs struct {
	known map[workload.JobID]struct{}
	// order has the same jobs, oldest first.
	order []refusedJob
}

// refusedJob is a refused job and when it was refused.
type refusedJob struct {
	id workload.JobID
	at Time
}

func newRefusedJobs() refusedJobs {
	return refusedJobs{known: make(map[workload.JobID]struct{})}
}

func (m *refusedJobs) has(id workload.JobID) bool {
	_, ok := m.known[id]
	return ok
}

func (m *refusedJobs) add(id workload.JobID, at Time) {
	if m.has(id) {
		return
	}
	if len(m.order) >= maxRefusedRemembered {
		m.removeOldest()
	}
	m.known[id] = struct{}{}
	m.order = append(m.order, refusedJob{id: id, at: at})
}

func (m *refusedJobs) removeOldest() {
	delete(m.known, m.order[0].id)
	m.order = m.order[1:]
}

// expire removes the jobs that were refused before a time.
func (m *refusedJobs) expire(oldest Time) {
	for len(m.order) > 0 && m.order[0].at < oldest {
		m.removeOldest()
	}
}
