package schedule

import (
	"maps"
	"slices"

	"sapphirepoint.example/sapphirepoint/core/workload"
)

// Prior runs on silent runners.
//
// A scheduler learns the prior runs of a job from the runners' lists. A runner that has listed nothing since the
// job came may have such a run, and may end it later than its lease. Under the scheduler that started the run it
// counts for MaxLateEnd from the end of the lease (see silence.go). The next scheduler doesn't know which jobs have
// runs there, so it waits as long with each step of which a task may have a run on such a runner.
//
// A runner that can't take a step's tasks has no run of them, if its entry is trusted (see entrytrust.go).

// priorRuns are what is known of the runs that earlier schedulers may have started for a job.
type priorRuns struct {
	// priorSchedulers counts the schedulers that had the job before. listsNeededSince is when stops that the last
	// of them had ordered must be over: lists that are requested then or later show all of its runs.
	priorSchedulers  int
	listsNeededSince Time
	// priorRunsOverAt is when the runs can't be alive any more on runners that end their runs in time, and
	// silentRunsOverAt when they can't on silent ones, which may end them late; 0 if none can be on such a runner.
	priorRunsOverAt, silentRunsOverAt Time
}

// noteSilentRunsOver records until when prior runs of some job may be alive on silent runners.
func (s *Scheduler) noteSilentRunsOver(at Time) {
	s.allSilentRunsOverAt = max(s.allSilentRunsOverAt, at)
}

// mayHaveUnlistedRuns reports whether the runner may have runs of other schedulers that this one doesn't know, since it hasn't
// given the list that shows them all. A runner whose entry has left the platform's list, and isn't back within
// unlistedGrace, counts as gone, unless another scheduler may have used it since.
func (s *Scheduler) mayHaveUnlistedRuns(r *runner) bool {
	expired := r.unlisted && s.now-r.unlistedAt >= unlistedGrace
	return !r.gone && !expired && !r.listedSince(max(s.latestHandoverLists(), s.settledListSince(r, 0)))
}

// runnersToAwait lists the runners of a service that may have prior runs which they haven't listed, of any job.
func (p *placer) runnersToAwait(service string) []*runner {
	if list, ok := p.awaitedRunners[service]; ok {
		return list
	}
	var list []*runner
	for _, r := range p.s.runnerList {
		if r.mayServe(service, p.s.now) && p.s.mayHaveUnlistedRuns(r) {
			list = append(list, r)
		}
	}
	p.awaitedRunners[service] = list
	return list
}

// stepMayRun reports whether a task of a job's step may have a prior run on a silent runner.
func (p *placer) stepMayRun(j *job, i int) bool {
	if p.s.now >= j.silentRunsOverAt {
		return false
	}
	return slices.ContainsFunc(p.runnersToAwait(j.work.Service), func(r *runner) bool {
		return !p.s.listsPriorRuns(r, j) && r.mayTake(j.stepAt(i), p.s.now)
	})
}

// anyStepMayRun reports whether that holds for any step of a job that isn't done.
func (p *placer) anyStepMayRun(j *job) bool {
	for i, open := range j.open {
		if open > 0 && p.stepMayRun(j, i) {
			return true
		}
	}
	return false
}

// mayHaveUnlistedPriorRuns reports whether a runner may have prior runs of any job that it hasn't listed.
func (s *Scheduler) mayHaveUnlistedPriorRuns(r *runner) bool {
	return s.leading && s.now < s.allSilentRunsOverAt && s.mayHaveUnlistedRuns(r)
}

// rememberPriorRuns keeps what is known of the prior runs of a job that is given up. Its caller may send it
// again, as a new job.
func (s *Scheduler) rememberPriorRuns(j *job) {
	if j.stored != nil || s.now >= j.silentRunsOverAt {
		return
	}
	s.priorRuns[j.work.ID] = j.priorRuns
}

// recallPriorRuns adds what is known of the prior runs of a job that comes again, in which the submission's own
// account has been noted.
func (s *Scheduler) recallPriorRuns(j *job) {
	p, ok := s.priorRuns[j.work.ID]
	if !ok {
		return
	}
	j.started = true
	j.priorSchedulers = max(j.priorSchedulers, p.priorSchedulers)
	j.listsNeededSince = max(j.listsNeededSince, p.listsNeededSince)
	j.priorRunsOverAt = max(j.priorRunsOverAt, p.priorRunsOverAt)
	j.silentRunsOverAt = max(j.silentRunsOverAt, p.silentRunsOverAt)
	j.eachTask(func(t *taskState) { t.lastNumber = j.priorSchedulers * runsPerScheduler })
}

// expirePriorRuns forgets the prior runs that are over.
func (s *Scheduler) expirePriorRuns() {
	maps.DeleteFunc(s.priorRuns, func(_ workload.JobID, p priorRuns) bool { return s.now >= p.silentRunsOverAt })
}

// silentRunsOver returns when prior runs are over on silent runners, if they are by a time on all others.
func silentRunsOver(priorRunsOverAt Time) Time { return priorRunsOverAt + MaxLateEnd }
