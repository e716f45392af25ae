package schedule

import (
	"maps"
	"slices"

	"sapphirepoint.example/sapphirepoint/core/workload"
)

// A lost orphan is one that was dropped together with all runs of its runner, and may be alive: the
// runner was fenced, this scheduler has retired, or the runner has restarted and the orphan's start may
// reach the new incarnation. A caller who sends the job again reaches another entry process, which hands
// the job in as a new one. Its task is started only once the orphan is over: the runner has listed its runs
// since without it, or no lease can last any more.

// lostOrphan is a lost orphan as it is remembered.
type lostOrphan struct {
	key    workload.RunKey
	runner workload.RunnerID
	lostAt Time
	// restarted: its runner has restarted, and with it ended the stops that were in progress.
	restarted bool
}

// lostOrphans are the lost orphans by their tasks.
type lostOrphans map[workload.TaskName][]lostOrphan

// noteLostOrphans remembers a runner's orphans, which are about to be dropped.
func (s *Scheduler) noteLostOrphans(r *runner) {
	maps.DeleteFunc(s.lostOrphans, func(_ workload.TaskName, list []lostOrphan) bool {
		return !slices.ContainsFunc(list, s.mayBeAlive)
	})
	for _, u := range r.runs {
		if u.abandoned() {
			s.noteLostOrphan(u, false)
		}
	}
}

// noteLostOrphan remembers an orphan that was lost since its runner has restarted, or for another reason.
func (s *Scheduler) noteLostOrphan(u *run, restarted bool) {
	t := u.key.Task
	s.lostOrphans[t] = append(s.lostOrphans[t], lostOrphan{key: u.key, runner: u.runner.info.ID, lostAt: s.now, restarted: restarted})
}

// abandoned reports whether a run is an orphan or is about to become one.
func (u *run) abandoned() bool { return u.task == nil || u.task.job.abandonedAt > 0 }

// lostOrphanAlive reports whether a lost orphan of a task may be alive.
func (s *Scheduler) lostOrphanAlive(t *taskState) bool {
	return slices.ContainsFunc(s.lostOrphans[t.name], s.mayBeAlive)
}

// mayBeAlive reports whether a lost orphan may be alive. It waits for as long as the runs of tasks on a
// fenced runner, see runnerFenced.
func (s *Scheduler) mayBeAlive(o lostOrphan) bool {
	if s.now >= o.lostAt+s.cfg.Resend {
		return false
	}
	r := s.runners[o.runner]
	return r == nil || !r.gone && !s.listedWithout(r, o)
}

// listedWithout reports whether the runner's list of a time after a lost orphan was dropped doesn't have
// the orphan.
func (s *Scheduler) listedWithout(r *runner, o lostOrphan) bool {
	return r.owned && r.listAsOf >= s.listNeededSince(r, o) && r.runs[o.key] == nil
}

// listNeededSince returns from when on a list of its runner shows whether a lost orphan is over. A stop that another
// scheduler had sent may have been in progress as the runner was acquired again.
func (s *Scheduler) listNeededSince(r *runner, o lostOrphan) Time {
	if o.restarted {
		return o.lostAt
	}
	return max(o.lostAt, r.acquiredAt) + s.longestStop()
}

// askForLostOrphans requests the lists that show whether lost orphans are over.
func (s *Scheduler) askForLostOrphans() {
	for _, t := range slices.SortedFunc(maps.Keys(s.lostOrphans), compareTasks) {
		for _, o := range s.lostOrphans[t] {
			r := s.runners[o.runner]
			if r != nil && r.owned && !r.unresponsive && s.mayBeAlive(o) && s.now >= s.listNeededSince(r, o) {
				s.requestList(r)
			}
		}
	}
}
