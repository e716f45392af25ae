package schedule

import (
	"fmt"
	"slices"
	"strings"

	"sapphirepoint.example/sapphirepoint/core/workload"
)

// Log lines on jobs of which a copy may have run before, here or elsewhere. A task that has two runs is
// rarely seen by one scheduler; these lines are what a single process can say.

// maxNamedRunners bounds the runners that a line names.
const maxNamedRunners = 5

// logCopy logs that a job has arrived which this scheduler has known before. Lent jobs are logged by their
// verdicts, stored ones as accepted.
func (s *Scheduler) logCopy(sub Submission) {
	d := Decision{Event: "job-copy-received", Job: sub.Job.ID, Entry: sub.Entry, Token: s.token()}
	if sub.PriorSubmissions > 0 {
		d.Detail = fmt.Sprintf("%d schedulers before", sub.PriorSubmissions)
	}
	if d.Reason, d.Age = s.earlierCopy(sub.Job.ID); d.Reason == "" {
		return
	}
	s.emit(d)
}

// earlierCopy says what this scheduler knows of an earlier copy of a job, and for how long; "" if nothing.
func (s *Scheduler) earlierCopy(id workload.JobID) (string, Time) {
	if r, ok := s.results[id]; ok {
		return "ended here: " + r.outcome.String(), s.now - r.at
	}
	if j := s.jobs[id]; j != nil {
		return fmt.Sprintf("in progress here for %s, %d runs", j.entry, j.runs), s.now - j.arrived
	}
	if ran, ok := s.ranJobs[id]; ok {
		return "tasks of it may have run here", s.now - ran.at
	}
	return "", 0
}

// logMissingLists logs that a task is started though a runner of its service hasn't listed its runs since
// this scheduler began to lead, or since the job came from another scheduler. A run of an earlier copy may
// be alive there. It is logged for each job that is known to have had a scheduler before, and for others
// as noteMissing says.
func (s *Scheduler) logMissingLists(u *run) {
	j := u.task.job
	if j.stored != nil || j.runs > 1 || j.priorSchedulers == 0 && s.now >= s.uncertainUntil {
		return
	}
	missing := s.runnersWithoutList(j)
	worthALine := s.noteMissing(j.work.Service, missing)
	if len(missing) == 0 || j.priorSchedulers == 0 && !worthALine {
		return
	}
	reason := "no earlier scheduler of the job is known"
	if j.priorSchedulers > 0 {
		reason = fmt.Sprintf("runs of %d earlier schedulers count as over", j.priorSchedulers)
	}
	s.emitForRun(u, Decision{
		Event: "started-without-lists", Entry: j.entry, Token: u.runner.token, Reason: reason,
		Detail: "no lists of " + nameRunners(missing), Age: s.now - s.leadingSince,
	})
}

// noteMissing records which runners of a service lack a list, and reports whether that is to be logged
// although it concerns no job in particular: one is new, or no more than half of those that were last logged
// are left. When a scheduler begins to lead the lists come one by one.
func (s *Scheduler) noteMissing(service string, missing []workload.RunnerID) bool {
	logged := s.loggedMissing[service]
	added := slices.ContainsFunc(missing, func(id workload.RunnerID) bool { return !slices.Contains(logged, id) })
	if !added && len(missing) > len(logged)/2 {
		return false
	}
	s.loggedMissing[service] = missing
	return true
}

// runnersWithoutList lists the runners that hold back a job from an earlier scheduler, see allListed.
func (s *Scheduler) runnersWithoutList(j *job) []workload.RunnerID {
	var list []workload.RunnerID
	for _, r := range s.runnerList {
		if r.info.Service == j.work.Service && !r.gone && !s.listsPriorRuns(r, j) {
			list = append(list, r.info.ID)
		}
	}
	return list
}

// listedSince reports whether the runner has answered with a complete list that was requested since a time.
func (r *runner) listedSince(at Time) bool { return r.owned && r.listAsOf > 0 && r.listAsOf >= at }

// nameRunners names the first runners of a list, and counts the others.
func nameRunners(list []workload.RunnerID) string {
	var names []string
	for _, id := range list[:min(len(list), maxNamedRunners)] {
		names = append(names, string(id))
	}
	text := strings.Join(names, ", ")
	if more := len(list) - maxNamedRunners; more > 0 {
		text += fmt.Sprintf(" and %d more", more)
	}
	return text
}

// logInTwoShards warns if a job that is reported to be in another shard has been started here, or was
// reported to be in a third shard by another entry process.
func (s *Scheduler) logInTwoShards(e JobElsewhere) {
	d := Decision{Event: "job-in-two-shards", Job: e.Job, Entry: e.Entry, Reason: fmt.Sprintf("shard %d", e.Shard), Warning: true}
	if l, ok := s.borrowing.lent[e.Job]; ok && l.to != e.Shard && l.entry != e.Entry {
		d.Detail = fmt.Sprintf("in shard %d for %s", l.to, l.entry)
		d.Age = s.now - l.at
		s.emit(d)
	}
	if j := s.jobs[e.Job]; j != nil && j.stored == nil && j.entry != e.Entry && j.begun {
		d.Detail = fmt.Sprintf("here for %s, %d runs", j.entry, j.runs)
		d.Age = s.now - j.arrived
		s.emit(d)
	}
}
