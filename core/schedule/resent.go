package schedule

import "time"

// Jobs whose callers send them again after their entry process was lost.
//
// If the scheduler that had such a job is lost too, the job reaches the next one as a new job. That
// scheduler finds the runs of the first attempt on the runners' lists. It can't see a run on a runner that
// hasn't listed its runs since this process leads, and that may end the run later than its lease. So jobs that may
// have been sent before wait until each such runner has listed its runs, or resentWait is over.
//
// Callers send a job again Resend after they have lost their entry process at the earliest. Which processes were
// lost when is known from their last messages, so most new jobs can be told from such jobs and don't wait. Jobs that were
// given up may come again sooner (see possibleruns.go).

const (
	// resentWait is how long after a takeover jobs that may have been sent before wait for lists. It is shorter
	// than MaxLateEnd, since all new jobs of a service may have to wait, and for one runner.
	resentWait = time.Second
	// resentPeriod is how long after the last message of a lost entry process its jobs may be sent again while
	// a run of theirs is waited for: the scheduler notices the loss, renews the run for abandonedGrace, and the
	// runner is starved in its last lease.
	resentPeriod = maxSilence + abandonedGrace + maxLease + resentWait
)

// resentJobs says which new jobs their callers may have sent before, to a process that was lost since.
type resentJobs struct {
	// from is the earliest time at which such a job may arrive. It is 0 while losses of before the start
	// of this process matter, and never if no loss matters.
	from Time
	// until is when the losses known so far cease to matter; 0 before the first tick.
	until Time
}

// noteResent records that an entry process may be lost, with the jobs of its callers.
func (s *Scheduler) noteResent(entry EntryID) {
	contact, ok := s.lastContact[entry]
	if !ok {
		return
	}
	s.resent.from = min(s.resent.from, contact+s.cfg.Resend)
	s.resent.until = max(s.resent.until, contact+resentPeriod)
}

// expireResent ends the period in which the losses known so far matter.
func (s *Scheduler) expireResent() {
	if s.resent.until == 0 {
		s.resent.until = s.now + resentPeriod
	}
	if s.now >= s.resent.until {
		s.resent.from = never
	}
}

// mayBeResent reports whether a job that came as a new one may have been sent before, and have a run that no
// runner has listed.
func (s *Scheduler) mayBeResent(j *job) bool {
	return j.stored == nil && j.priorSchedulers == 0 && j.arrived >= s.resent.from &&
		s.now < s.leadingSince+resentWait && s.anyMayHoldRuns(j.work.Service)
}

// anyMayHoldRuns reports whether a runner of a service may hold runs of an earlier scheduler that it hasn't listed.
func (s *Scheduler) anyMayHoldRuns(service string) bool {
	for _, r := range s.runnerList {
		if r.mayServe(service, s.now) && r.mayHoldRuns() {
			return true
		}
	}
	return false
}

// mayHoldRuns reports whether the runner, acquired and asked for its lists, has given none.
func (r *runner) mayHoldRuns() bool { return !r.owned && !r.gone && r.token != 0 }
