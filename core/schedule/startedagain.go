package schedule

import (
	"fmt"

	"sapphirepoint.example/sapphirepoint/core/workload"
)

// earlierRun is the latest run of a task that has ceased to count, and why it did.
type earlierRun struct {
	key    workload.RunKey
	runner workload.RunnerID
	// evidence is the event of the log for which the run ceased to count, with its reason; at is when that was.
	evidence string
	at       Time
	// mayOverlap: see DropReason.mayOverlap.
	mayOverlap bool
}

// noteEarlierRun records with the task of a run, if it has one, why that run has ceased to count.
func (s *Scheduler) noteEarlierRun(u *run, evidence string, mayOverlap bool) {
	if u.task == nil {
		return
	}
	u.task.earlier = &earlierRun{key: u.key, runner: u.runner.info.ID, evidence: evidence, at: s.now, mayOverlap: mayOverlap}
}

// logStartedAgain logs that a task is about to be started which has had a run, or may have had one in an earlier life
// of its job. It warns if the earlier run is known and its runner may not have ended it yet.
func (s *Scheduler) logStartedAgain(u *run) {
	d := Decision{Event: "task-started-again", Entry: u.task.job.entry, Token: u.runner.token}
	d.Detail = s.describeJob(u.task.job)
	if e := u.task.earlier; e != nil {
		d.Reason, d.Age, d.Warning = e.evidence, s.now-e.at, e.mayOverlap
		d.Detail = fmt.Sprintf("earlier run %s on %s; %s", e.key, e.runner, d.Detail)
	} else {
		d.Reason, d.Age = s.earlierLife(u.task.job)
		if d.Reason == "" {
			return
		}
	}
	s.emitForRun(u, d)
}

// earlierLife says why a job's tasks may have run before it arrived here, and since when that is known; "" if nothing is known.
func (s *Scheduler) earlierLife(j *job) (reason string, age Time) {
	if j.priorSchedulers > 0 {
		return fmt.Sprintf("its job has had %d schedulers before", j.priorSchedulers), s.now - j.arrived
	}
	if at, ok := s.ranJobs[j.work.ID]; ok {
		return "tasks of its job have run here, or may have", s.now - at
	}
	return "", 0
}

// describeJob says how long a job has been here and how long its caller still waits.
func (s *Scheduler) describeJob(j *job) string {
	return fmt.Sprintf("job arrived %v ago, %d schedulers before, %v left", round(s.now-j.arrived), j.priorSchedulers, round(j.deadline-s.now))
}
