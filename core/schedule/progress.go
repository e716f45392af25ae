package schedule

import (
	"maps"
	"slices"
	"time"

	"sapphirepoint.example/sapphirepoint/core/workload"
)

// Progress is what a retiring scheduler reports to the next leader. Runners list an end only until
// it is acknowledged, so without the report tasks whose ends were acknowledged would run again.
type Progress struct {
	// Epoch is the scheduler's ownership of the shard's rows, 0 if it had none. PriorRunsTTL is
	// how much longer runs may be alive that earlier owners have started and that it didn't see.
	Epoch        uint64
	PriorRunsTTL time.Duration
	// Done are the tasks that have ended successfully, of jobs that the scheduler still has.
	Done []workload.TaskName
	// Restarted are the stored jobs of which a task was started more than once. Their latest records
	// may not be in the store.
	Restarted []workload.JobID
	// Ended are recently ended jobs.
	Ended []EndedJob
	// MayRun are jobs that the scheduler doesn't have and of which a run may be alive. Their callers may send them again.
	MayRun []workload.JobID
}

// EndedJob is the outcome of a job.
type EndedJob struct {
	Job     workload.JobID
	Outcome workload.Outcome
}

const (
	// progressTimeout bounds how long a new leader holds back the jobs of its predecessor until
	// the predecessor's Progress arrives: a task that the new leader starts without it may already
	// have ended. Progress usually takes a millisecond or two, but a busy process may need some
	// hundred milliseconds. A process that is about to stop lives for two and a half seconds more;
	// the wait ends when the process is lost. Callers of the shortest jobs wait for a second and a
	// half.
	progressTimeout = time.Second
	// maxEndedJobAge is how long ago a job may have ended to be included in Progress: callers
	// wait up to 2.7 s.
	maxEndedJobAge = 4 * time.Second
)

// Progress returns what the next leader should know.
func (s *Scheduler) Progress(now Time) Progress {
	p := Progress{Epoch: s.rows.epoch, PriorRunsTTL: max(0, s.rows.priorRunsOverAt-now)}
	for _, j := range s.sortedJobs() {
		j.eachTask(func(t *taskState) {
			if t.phase == done {
				p.Done = append(p.Done, t.name)
			}
		})
		if j.stored != nil && j.restarted {
			p.Restarted = append(p.Restarted, j.work.ID)
		}
	}
	for i := len(s.resultOrder) - 1; i >= 0; i-- {
		id := s.resultOrder[i]
		r := s.results[id]
		if now-r.at > maxEndedJobAge {
			break
		}
		p.Ended = append(p.Ended, EndedJob{Job: id, Outcome: r.outcome})
	}
	p.MayRun = s.jobsThatMayRun()
	return p
}

// jobsThatMayRun lists the jobs without an outcome that this scheduler doesn't have, and of which a run may be alive: an
// orphan, a lost run, or one that no runner has listed.
func (s *Scheduler) jobsThatMayRun() []workload.JobID {
	ids := make(map[workload.JobID]bool)
	for _, r := range s.runnerList {
		for k, u := range r.runs {
			if u.task == nil {
				ids[k.Task.Job] = true
			}
		}
	}
	for task, lost := range s.lostRuns {
		if slices.ContainsFunc(lost, s.mayBeAlive) {
			ids[task.Job] = true
		}
	}
	for id, ran := range s.ranJobs {
		if s.now < s.allSilentRunsOverAt && !s.knowsAllRuns(ran) {
			ids[id] = true
		}
	}
	maps.DeleteFunc(ids, func(id workload.JobID, _ bool) bool {
		_, ended := s.results[id]
		return ended || s.jobs[id] != nil
	})
	return sortedKeys(ids)
}

// AwaitProgress holds back jobs that another scheduler had until its Progress arrives or its
// process is lost.
func (s *Scheduler) AwaitProgress(now Time, from EntryID) {
	s.progressFrom = from
	s.progressWaitUntil = now + progressTimeout
}

func (s *Scheduler) stopAwaiting() { s.progressFrom, s.progressWaitUntil = "", 0 }

// ApplyProgress applies the Progress of a previous leader. Only that of the process that is awaited ends the wait for it:
// another one, which had led beyond a cut, knows nothing of the awaited one's runs.
func (s *Scheduler) ApplyProgress(now Time, from EntryID, p Progress) {
	s.now = now
	if from == s.progressFrom {
		s.stopAwaiting()
	}
	s.predecessorRetired(p)
	for _, id := range p.Restarted {
		if j := s.jobs[id]; j != nil {
			j.restarted = true
		}
	}
	for _, e := range p.Ended {
		if j := s.jobs[e.Job]; j != nil {
			s.finishElsewhere(j, e.Outcome)
			continue
		}
		if _, known := s.results[e.Job]; !known {
			s.retainResult(e.Job, e.Outcome)
		}
	}
	for _, name := range p.Done {
		s.applyDone(name)
	}
	for _, id := range p.MayRun {
		s.applyMayRun(id)
	}
	s.dispatch()
}

// finishElsewhere ends a job that has ended under another scheduler.
func (s *Scheduler) finishElsewhere(j *job, o workload.Outcome) {
	if o == workload.NotRun || o == workload.GaveUp {
		j.refusedFor = workload.CopyRefused
	}
	s.finish(j, o, "ended under another scheduler")
}

// predecessorRetired records that the previous owner has retired: it starts no more tasks, and its
// Progress bounds how long runs of earlier owners may live.
func (s *Scheduler) predecessorRetired(p Progress) {
	s.rows.predecessor = &p
	if !s.rows.loaded || p.Epoch == 0 || p.Epoch+1 != s.rows.epoch {
		return
	}
	s.rows.priorRunsOverAt = min(s.rows.priorRunsOverAt, s.now+p.PriorRunsTTL)
	for _, j := range s.jobs {
		if j.stored != nil {
			j.priorRunsOverAt = min(j.priorRunsOverAt, s.rows.priorRunsOverAt)
		}
	}
}

// applyMayRun has a job that is sent again, or that has come already, wait for runners that haven't listed their runs.
func (s *Scheduler) applyMayRun(id workload.JobID) {
	s.ranJobs[id] = ranJob{at: s.now}
	if j := s.jobs[id]; j != nil && j.stored == nil {
		j.started = true
		s.noteRunsElsewhere(j)
	}
}

func (s *Scheduler) applyDone(name workload.TaskName) {
	s.ranJobs[name.Job] = ranJob{at: s.now}
	j := s.jobs[name.Job]
	if j == nil {
		s.doneWithoutJob[name] = doneRun{at: s.now}
		return
	}
	if t := j.task(name); t != nil && t.phase != done {
		j.started = true
		s.taskDone(t, nil, nil)
	}
}
