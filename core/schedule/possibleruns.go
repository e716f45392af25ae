package schedule

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"sapphirepoint.example/sapphirepoint/core/workload"
)

// A leader that is killed reports nothing, unlike one that retires (see Progress.MayRun). So while it leads it names to the
// processes that may lead next the best-effort jobs that may have a run on a silent runner. Callers may send these jobs
// again, as new ones; at the next leader they wait for runners that haven't listed their runs.

// MaxPossibleRuns bounds the jobs that a leader names, and those that the next one remembers.
const MaxPossibleRuns = 4096

// PossibleRun is a best-effort job of which a run may be alive on a silent runner.
type PossibleRun struct {
	Job workload.JobID
	// Rest is how much longer the run may live.
	Rest time.Duration
}

// PossibleRuns lists the jobs without an outcome that may have a run on a silent runner, those first whose run may live
// longest. The list is cut to MaxPossibleRuns jobs; left out is the number of others.
func (s *Scheduler) PossibleRuns(now Time) (list []PossibleRun, leftOut int) {
	if !s.leading {
		return nil, 0
	}
	overAt := make(map[workload.JobID]Time)
	note := func(id workload.JobID, at Time) { overAt[id] = max(overAt[id], at) }
	s.eachRunOnSilentRunners(note)
	s.eachPriorRunOnSilentRunners(note)
	for id, at := range overAt {
		j := s.jobs[id]
		if _, ended := s.results[id]; ended || at <= now || j != nil && j.stored != nil {
			continue
		}
		list = append(list, PossibleRun{Job: id, Rest: at - now})
	}
	slices.SortFunc(list, func(a, b PossibleRun) int { return cmp.Or(cmp.Compare(b.Rest, a.Rest), cmp.Compare(a.Job, b.Job)) })
	leftOut = max(0, len(list)-MaxPossibleRuns)
	return list[:len(list)-leftOut], leftOut
}

// eachRunOnSilentRunners calls f with each best-effort job that has a run, or a lost one, on a silent runner, and with the
// time at which that run counts as over.
func (s *Scheduler) eachRunOnSilentRunners(f func(workload.JobID, Time)) {
	for _, r := range s.runnerList {
		if !r.unresponsive || r.gone {
			continue
		}
		for k, u := range r.runs {
			if u.task == nil || u.task.job.stored == nil {
				f(k.Task.Job, r.mayLiveUntil(u))
			}
		}
	}
	for task, lost := range s.lostRuns {
		for _, l := range lost {
			r := s.runners[l.runner]
			if (r == nil || r.unresponsive) && s.mayBeAlive(l) {
				f(task.Job, l.overAt)
			}
		}
	}
}

// eachPriorRunOnSilentRunners does the same for jobs that may have runs of earlier schedulers there.
func (s *Scheduler) eachPriorRunOnSilentRunners(f func(workload.JobID, Time)) {
	if !slices.ContainsFunc(s.runnerList, func(r *runner) bool { return r.unresponsive && s.mayHaveUnlistedPriorRuns(r) }) {
		return
	}
	for id, ran := range s.ranJobs {
		if !s.knowsAllRuns(ran) {
			f(id, s.allSilentRunsOverAt)
		}
	}
	for id, j := range s.jobs {
		if j.stored == nil && s.now < j.silentRunsOverAt {
			f(id, j.silentRunsOverAt)
		}
	}
}

// NotePossibleRuns records what the leader of the shard has named.
func (s *Scheduler) NotePossibleRuns(now Time, list []PossibleRun) {
	s.now = now
	list = list[:min(len(list), MaxPossibleRuns)]
	if len(s.possibleRuns)+len(list) > MaxPossibleRuns {
		clear(s.possibleRuns)
	}
	for _, p := range list {
		over := now + min(p.Rest, silentRunsOver(maxPriorRunLife))
		s.possibleRuns[p.Job] = max(s.possibleRuns[p.Job], over)
	}
	if s.leading {
		s.applyPossibleRuns()
	}
}

// applyPossibleRuns has the jobs that were named wait for runners that haven't listed their runs.
func (s *Scheduler) applyPossibleRuns() {
	s.expirePossibleRuns()
	for id, over := range s.possibleRuns {
		if _, ended := s.results[id]; !ended {
			s.noteSilentRunsOver(over)
			s.applyMayRun(id)
		}
	}
	clear(s.possibleRuns)
}

// expirePossibleRuns forgets the jobs whose runs are over.
func (s *Scheduler) expirePossibleRuns() {
	maps.DeleteFunc(s.possibleRuns, func(_ workload.JobID, over Time) bool { return s.now >= over })
}
