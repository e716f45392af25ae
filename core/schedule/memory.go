package schedule

import "sapphirepoint.example/sapphirepoint/core/workload"

const (
	// jobBytes, stepBytes and taskBytes are what a job, a step of one occurrence, and a task with a run take.
	jobBytes  = 1024
	stepBytes = 160
	taskBytes = 512
	// dependencyBytes is what an entry of workload.Step.DependsOn takes.
	dependencyBytes = 8
	// freeMemoryShare is the part of the free memory, one in so many, that a new job may take. Large jobs are refused
	// first, so that small ones are still accepted.
	freeMemoryShare = 2
)

// Memory bounds what the jobs of all schedulers of a process take. Jobs that an earlier scheduler may have started are
// taken beyond the bound, since they can't be refused. A nil Memory has no bound.
type Memory struct {
	limit, used int64
}

// NewMemory returns a bound in bytes.
func NewMemory(limit int64) *Memory { return &Memory{limit: limit} }

// Used returns the bytes that jobs take.
func (m *Memory) Used() int64 {
	if m == nil {
		return 0
	}
	return m.used
}

func (m *Memory) add(bytes int64) {
	if m != nil {
		m.used += bytes
	}
}

// fits reports whether a job may be added that takes a number of bytes.
func (m *Memory) fits(bytes int64) bool {
	return m == nil || bytes <= (m.limit-m.used)/freeMemoryShare
}

// memoryOf returns the bytes that a job takes in a scheduler.
func memoryOf(w *workload.Job) int64 {
	steps := int64(len(w.Steps)) * int64(w.Occurrences())
	bytes := jobBytes + int64(len(w.Spec)) + steps*stepBytes + int64(w.Tasks())*taskBytes
	for i := range w.Steps {
		s := &w.Steps[i]
		bytes += int64(len(s.Requires) + len(s.PreferredRack) + len(s.DependsOn)*dependencyBytes)
	}
	return bytes
}

// add adds a job to the scheduler's jobs.
func (s *Scheduler) add(j *job) {
	s.remove(j.work.ID)
	s.jobs[j.work.ID] = j
	s.cfg.Memory.add(memoryOf(j.work))
}

// remove removes a job from the scheduler's jobs, if it is there.
func (s *Scheduler) remove(id workload.JobID) {
	if j := s.jobs[id]; j != nil {
		delete(s.jobs, id)
		s.cfg.Memory.add(-memoryOf(j.work))
	}
}

// lacksMemory reports whether a new job, which may have been added already, takes too much of the memory that is free
// without it.
func (s *Scheduler) lacksMemory(j *job) bool {
	bytes := memoryOf(j.work)
	if s.jobs[j.work.ID] != j {
		return !s.cfg.Memory.fits(bytes)
	}
	s.cfg.Memory.add(-bytes)
	defer s.cfg.Memory.add(bytes)
	return !s.cfg.Memory.fits(bytes)
}
