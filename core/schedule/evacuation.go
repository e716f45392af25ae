package schedule

import (
	"slices"

	"sapphirepoint.example/sapphirepoint/core/workload"
)

// Evacuated failure domains get no new tasks. Runs there go on to their end: their runners work as
// before, and restarting a task elsewhere would only delay it.

// SetEvacuated sets which failure domains are evacuated.
func (s *Scheduler) SetEvacuated(now Time, domains []string) {
	s.now = now
	s.evacuated = domains
	for _, r := range s.runnerList {
		r.evacuated = s.evacuates(r.info.Domain)
	}
	s.refuseEvacuated()
	s.dispatch()
}

func (s *Scheduler) evacuates(domain string) bool { return slices.Contains(s.evacuated, domain) }

// allEvacuated reports whether all runners of a service are in evacuated domains.
func (s *Scheduler) allEvacuated(service string) bool {
	if len(s.evacuated) == 0 {
		return false
	}
	hasRunners := false
	for _, r := range s.runnerList {
		if r.info.Service != service || r.gone {
			continue
		}
		if !r.evacuated {
			return false
		}
		hasRunners = true
	}
	return hasRunners
}

const evacuatedReason = "all runners are in evacuated failure domains"

// refuseEvacuated refuses jobs that have no run and can't be started any more, so that their
// callers learn it at once. Jobs that are held back (see heldBack) are left alone: their runs
// aren't known yet.
func (s *Scheduler) refuseEvacuated() {
	if len(s.evacuated) == 0 || !s.leading {
		return
	}
	allEvacuated := make(map[string]bool)
	for _, service := range s.queuedServices() {
		allEvacuated[service] = s.allEvacuated(service)
	}
	for _, j := range s.sortedJobs() {
		if j.stored == nil && allEvacuated[j.work.Service] && j.idle() && !s.heldBack(j) {
			j.noRoom = !j.started
			s.finishRefused(j, workload.NotRun, workload.RunnersEvacuated, evacuatedReason)
		}
	}
}
