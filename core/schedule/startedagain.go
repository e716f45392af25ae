package schedule

import (
	"fmt"
	"slices"

	"sapphirepoint.example/sapphirepoint/core/workload"
)

// earlierRun is the latest run of a task that has ceased to count, and why it did.
type earlierRun struct {
	key    workload.RunKey
	runner workload.RunnerID
	// evidence is the event of the log for which the run ceased to count, with its reason; at is when that was.
	evidence string
	at       Time
	// dropped is the record of the run if its runner hadn't listed its end, and nil otherwise.
	dropped *droppedRun
}

// noteEarlierRun records with the task of a run, if it has one, why that run has ceased to count.
func (s *Scheduler) noteEarlierRun(u *run, evidence string, d *droppedRun) {
	if u.task == nil {
		return
	}
	u.task.earlier = &earlierRun{key: u.key, runner: u.runner.info.ID, evidence: evidence, at: s.now, dropped: d}
}

// logStartedAgain logs that a task is about to be started which has had a run, or may have had one when
// its job was submitted before. It warns if runners haven't shown that the earlier run is over.
func (s *Scheduler) logStartedAgain(u *run) {
	d := Decision{Event: "task-started-again", Entry: u.task.job.entry, Token: u.runner.token}
	d.Detail = s.describeJob(u.task.job)
	if e := u.task.earlier; e != nil {
		d.Reason, d.Age, d.Warning = e.evidence, s.now-e.at, e.dropped != nil && s.mayStillBeAlive(e.dropped)
		d.Detail = fmt.Sprintf("earlier run %s on %s; %s", e.key, e.runner, d.Detail)
	} else {
		before := s.earlierSubmission(u.task)
		if before.reason == "" {
			return
		}
		d.Reason, d.Age, d.Warning = before.reason, before.age, before.missing != ""
		if d.Warning {
			d.Detail = before.missing + "; " + d.Detail
		}
	}
	s.emitForRun(u, d)
}

// ranJob is a job without an outcome of which tasks have run, or may have.
type ranJob struct {
	// at is when that was last known.
	at Time
	// onlyHere: see job.onlyHere.
	onlyHere bool
}

// knowsAllRuns reports whether this scheduler knows all runs of a job that has run, as far as it can tell: each has ended by
// its runner's list, or is an orphan or a dropped run on record.
func (s *Scheduler) knowsAllRuns(r ranJob) bool { return r.onlyHere && r.at >= s.leadingSince }

// earlierSubmission is what is known of the runs that a task may have had when its job was submitted before.
type earlierSubmission struct {
	// reason says why there may be such runs, and age for how long that is known; "" if nothing is known.
	reason string
	age    Time
	// missing says which evidence is missing that they are over; "" if none is.
	missing string
}

func (s *Scheduler) earlierSubmission(t *taskState) earlierSubmission {
	j := t.job
	if j.priorSchedulers > 0 {
		return earlierSubmission{
			reason: fmt.Sprintf("its job has had %d schedulers before", j.priorSchedulers), age: s.now - j.arrived,
			missing: s.missingEvidence(t, func(r *runner) bool { return s.listsPriorRuns(r, j) }),
		}
	}
	if ran, ok := s.ranJobs[j.work.ID]; ok {
		known := s.knowsAllRuns(ran)
		return earlierSubmission{
			reason: "tasks of its job have run here, or may have", age: s.now - ran.at,
			missing: s.missingEvidence(t, func(r *runner) bool { return known || r.acquiredAt >= s.leadingSince }),
		}
	}
	return earlierSubmission{}
}

// missingEvidence names a run of a task that was dropped and may be alive, or the runners that may have a run of it
// since they haven't listed their runs; "" if there are none.
func (s *Scheduler) missingEvidence(t *taskState, listed func(*runner) bool) string {
	for _, d := range slices.Backward(s.drops.byTask[t.name]) {
		if s.mayStillBeAlive(d) {
			return fmt.Sprintf("earlier run %s on %s: %s", d.key, d.runner, d.evidence)
		}
	}
	var missing []workload.RunnerID
	for _, r := range s.runnerList {
		if !listed(r) && !r.gone && r.mayServe(t.job.work.Service, s.now) && r.mayTake(t.step(), s.now) {
			missing = append(missing, r.info.ID)
		}
	}
	if len(missing) == 0 {
		return ""
	}
	return "no lists of " + nameRunners(missing)
}

// dropLacksEvidence reports whether a run is dropped though its runner hasn't shown that it is over.
func dropLacksEvidence(u *run, why DropReason) bool {
	switch why {
	case LeaseOver, RunnerFenced, StopTimedOut:
		return true
	case RunnerRestarted:
		// The restart has ended the run, unless an order to start it may reach the new incarnation.
		return !u.confirmed || u.startAttempts != 1
	}
	return false
}

// mayStillBeAlive reports whether a run was dropped without evidence that it is over, and its runner hasn't shown that
// since: by its end, by a list without it, or by another incarnation at its address.
func (s *Scheduler) mayStillBeAlive(d *droppedRun) bool {
	if !d.lacksEvidence || d.endListed {
		return false
	}
	r := s.runners[d.runner]
	if r == nil {
		return true
	}
	since := s.settledListSince(r, d.at)
	if d.restarted {
		since = d.at
	}
	u := r.runs[d.key]
	listed := u != nil && u.task == nil
	return !r.gone && (listed || !r.listedSince(since))
}

// describeJob says how long a job has been here and how long its caller still waits.
func (s *Scheduler) describeJob(j *job) string {
	return fmt.Sprintf("job arrived %v ago, %d schedulers before, %v left", round(s.now-j.arrived), j.priorSchedulers, round(j.deadline-s.now))
}
