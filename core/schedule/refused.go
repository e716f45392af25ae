package schedule

import (
	"slices"

	"sapphirepoint.example/sapphirepoint/core/workload"
)

// maxRefusedRemembered bounds the memory of refused jobs in a long overload.
const maxRefusedRemembered = 100_000

// refusedJobs are the stored jobs whose callers were told that they never run. A copy that was sent
// before, and held up in another entry process, must not be accepted later. What an entry process hands
// in after it was told of the refusal has reached it since, so it is a new attempt and no such copy.
type refusedJobs struct {
	// told are the entry processes that were told of each job's refusal.
	told map[workload.JobID][]EntryID
	// order has the same jobs, oldest first.
	order []refusedJob
}

// refusedJob is a refused job and when it was first refused.
type refusedJob struct {
	id workload.JobID
	at Time
}

func newRefusedJobs() refusedJobs {
	return refusedJobs{told: make(map[workload.JobID][]EntryID)}
}

// refusedElsewhere reports whether a job was refused, and an entry process wasn't told.
func (m *refusedJobs) refusedElsewhere(id workload.JobID, entry EntryID) bool {
	told, refused := m.told[id]
	return refused && !slices.Contains(told, entry)
}

// add records that an entry process is told of a job's refusal.
func (m *refusedJobs) add(id workload.JobID, entry EntryID, at Time) {
	told, known := m.told[id]
	if slices.Contains(told, entry) {
		return
	}
	if !known {
		if len(m.order) >= maxRefusedRemembered {
			m.removeOldest()
		}
		m.order = append(m.order, refusedJob{id: id, at: at})
	}
	m.told[id] = append(told, entry)
}

func (m *refusedJobs) removeOldest() {
	delete(m.told, m.order[0].id)
	m.order = m.order[1:]
}

// expire removes the jobs that were refused before a time.
func (m *refusedJobs) expire(oldest Time) {
	for len(m.order) > 0 && m.order[0].at < oldest {
		m.removeOldest()
	}
}
