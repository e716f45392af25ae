package schedule

import "slices"

// The lists that jobs of another scheduler wait for. That scheduler may have ordered runs to stop, or to start, just
// before, and the runners need not list these runs at once.

// awaitHandoverLists has a job that another scheduler had wait for lists that were requested once a stop which that
// scheduler has ordered must be over.
func (s *Scheduler) awaitHandoverLists(j *job) {
	j.listsNeededSince = s.now + s.longestStop()
	if n := len(s.handoverListsDue); n == 0 || s.handoverListsDue[n-1] < j.listsNeededSince {
		s.handoverListsDue = append(s.handoverListsDue, j.listsNeededSince)
	}
}

// askForHandoverLists requests the lists that are due from the runners that haven't given them.
func (s *Scheduler) askForHandoverLists() {
	for len(s.handoverListsDue) > 0 && s.handoverListsDue[0] <= s.now {
		s.handoverListsAt = s.handoverListsDue[0]
		s.handoverListsDue = s.handoverListsDue[1:]
	}
	awaited := slices.ContainsFunc(s.queue, func(j *job) bool { return j.stored == nil && s.now < j.silentRunsOverAt })
	for _, r := range s.runnerList {
		due := s.handoverListsAt
		if settled := s.settledListSince(r, 0); awaited && settled <= s.now {
			due = max(due, settled)
		}
		if r.owned && !r.unresponsive && r.listAsOf < due {
			s.requestList(r)
		}
	}
}

// handoverListSince returns from when on a list of a runner shows the prior runs of a job. A runner that was silent at the
// handover carries out the former scheduler's orders until it obeys this one, and need not list these runs at once.
func (s *Scheduler) handoverListSince(r *runner, j *job) Time {
	if j.stored != nil {
		return j.listsNeededSince
	}
	return max(j.listsNeededSince, s.settledListSince(r, 0))
}

// listsPriorRuns reports whether a runner has given a list that shows the prior runs of a job.
func (s *Scheduler) listsPriorRuns(r *runner, j *job) bool {
	return r.listedSince(s.handoverListSince(r, j))
}

// latestHandoverLists returns the latest time of lists that such a job waits for.
func (s *Scheduler) latestHandoverLists() Time {
	if n := len(s.handoverListsDue); n > 0 {
		return s.handoverListsDue[n-1]
	}
	return s.handoverListsAt
}
