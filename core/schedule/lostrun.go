package schedule

import (
	"maps"
	"slices"

	"sapphirepoint.example/sapphirepoint/core/workload"
)

// A lost run is one that ceased to count though its runner hasn't shown that it is over, in one of these ways:
//
//   - The runner was fenced, or this scheduler has retired. All runs of the runner are lost.
//   - The runner has restarted, or is silent for longer than the run's lease, and an order to start the run may reach, or have
//     reached, a new incarnation, which grants a longer lease.
//   - The start of the run was rejected as outdated. The run that outdated it may still be stopping; its number isn't known,
//     so the rejected run stands for it.
//
// The record outlives the job: a caller who sends the job again reaches another entry process, which hands it in as a new
// one. A task is started only once its lost runs are over: their runners have listed their runs since without them, or
// MaxLateEnd has passed since their leases.

// lostRun is a lost run as it is remembered.
type lostRun struct {
	key    workload.RunKey
	runner workload.RunnerID
	lostAt Time
	// overAt is from when on it counts as over even if its runner has listed nothing since.
	overAt Time
	// listFrom is from when on a list of its runner shows whether it is over; 0 for the time of settledListSince.
	listFrom Time
	// startInvalidAt is when no order to start it can be carried out by a later incarnation any more; 0 if none can.
	startInvalidAt Time
}

// lostRuns are the lost runs by their tasks.
type lostRuns map[workload.TaskName][]lostRun

// noteLostRuns remembers the runs of a runner, which are about to be dropped.
func (s *Scheduler) noteLostRuns(r *runner) {
	for _, u := range r.runs {
		overAt := max(s.now+s.cfg.Resend, r.mayLiveUntil(u))
		s.noteLostRun(u, lostRun{overAt: overAt, startInvalidAt: r.startInvalidAt(u)})
	}
}

// expireLostRuns forgets the lost runs of each task of which all are over.
func (s *Scheduler) expireLostRuns() {
	maps.DeleteFunc(s.lostRuns, func(_ workload.TaskName, list []lostRun) bool {
		return !slices.ContainsFunc(list, s.mayBeAlive)
	})
}

// noteLostRun remembers a lost run.
func (s *Scheduler) noteLostRun(u *run, l lostRun) {
	l.key, l.runner, l.lostAt = u.key, u.runner.info.ID, s.now
	t := u.key.Task
	s.lostRuns[t] = append(s.lostRuns[t], l)
}

// lostRunAlive reports whether a lost run of a task may be alive.
func (s *Scheduler) lostRunAlive(t *taskState) bool {
	return slices.ContainsFunc(s.lostRuns[t.name], s.mayBeAlive)
}

// lostAndAlive reports whether a run is a lost one that may be alive.
func (s *Scheduler) lostAndAlive(u *run) bool {
	return slices.ContainsFunc(s.lostRuns[u.key.Task], func(l lostRun) bool {
		return l.key == u.key && l.runner == u.runner.info.ID && s.mayBeAlive(l)
	})
}

// mayBeAlive reports whether a lost run may be alive.
func (s *Scheduler) mayBeAlive(l lostRun) bool {
	if s.now >= l.overAt {
		return false
	}
	r := s.runners[l.runner]
	return r == nil || !r.gone && !s.listedWithout(r, l)
}

// listedWithout reports whether the runner's list of a time after a run was lost doesn't have the run.
func (s *Scheduler) listedWithout(r *runner, l lostRun) bool {
	return r.owned && r.listAsOf >= s.listNeededSince(r, l) && r.runs[l.key] == nil
}

// listNeededSince returns from when on a list of its runner shows whether a lost run is over.
func (s *Scheduler) listNeededSince(r *runner, l lostRun) Time {
	if l.listFrom > 0 {
		return l.listFrom
	}
	return max(s.settledListSince(r, l.lostAt), l.startInvalidAt)
}

// settledListSince returns from when on a list of a runner shows whether a run is over that ceased to count at a time. When
// the runner was acquired again, a stop that another scheduler had sent may have been in progress.
func (s *Scheduler) settledListSince(r *runner, at Time) Time {
	return max(at, r.acquiredAt) + s.longestStop()
}

// hasLostRun reports whether a task of a job has a lost run that may be alive.
func (s *Scheduler) hasLostRun(j *job) bool {
	if len(s.lostRuns) == 0 {
		return false
	}
	found := false
	j.eachTask(func(t *taskState) { found = found || s.lostRunAlive(t) })
	return found
}

// lostRunUnheard reports whether a lost run of a task may be alive on a runner that doesn't answer. A runner that another
// scheduler has taken is asked again within Resend, so a run isn't unheard before that has passed since its loss.
func (s *Scheduler) lostRunUnheard(t *taskState) bool {
	return slices.ContainsFunc(s.lostRuns[t.name], func(l lostRun) bool {
		r := s.runners[l.runner]
		return s.now >= l.lostAt+s.cfg.Resend && s.mayBeAlive(l) && (r == nil || r.unresponsive)
	})
}

// askForLostRuns requests the lists that show whether lost runs are over.
func (s *Scheduler) askForLostRuns() {
	if len(s.lostRuns) == 0 {
		return
	}
	due := make(map[*runner]bool)
	for _, list := range s.lostRuns {
		for _, l := range list {
			r := s.runners[l.runner]
			if r != nil && !due[r] && r.runs[l.key] == nil && s.mayBeAlive(l) && s.now >= s.listNeededSince(r, l) {
				due[r] = true
			}
		}
	}
	for _, r := range s.runnerList {
		if due[r] && r.owned && !r.unresponsive {
			s.requestList(r)
		}
	}
}
