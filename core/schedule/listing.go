package schedule

import (
	"slices"
	"time"

	"sapphirepoint.example/sapphirepoint/core/workload"
)

const (
	// believedTime is how long a runner is used that isn't listed and answers
	// after a long silence, as when a failure domain was cut off, from the store
	// too: the entry is back within two seconds, if the runner is there to stay.
	// In that time a quarter of the runners would be missing.
	believedTime = 2500 * time.Millisecond
	// longSilence is how long that is: less than an entry takes to lapse.
	longSilence = time.Second
	// lapsedCheck is how often a runner whose entry has lapsed is looked at while
	// it is idle, so that a job doesn't find out first that it has gone.
	lapsedCheck = 200 * time.Millisecond
)

// answersAgain notes that a runner has answered after a silence.
func (s *Scheduler) answersAgain(r *runner, silence time.Duration) {
	if r.unlisted && !r.info.Draining && silence > longSilence {
		r.believedUntil = s.now + believedTime
	}
}

// known reports whether the runner is there, by the list or by its answers.
func (r *runner) known(now Time) bool { return !r.unlisted || now < r.believedUntil }

// SetRunners replaces the list of runners.
func (s *Scheduler) SetRunners(now Time, list []workload.Runner) {
	s.now = now
	listed := make(map[workload.RunnerID]bool, len(list))
	for _, info := range list {
		listed[info.ID] = true
		r := s.runners[info.ID]
		if r == nil {
			s.addRunner(newRunner(info, now))
			continue
		}
		lapsed := info.Lapsed && !r.info.Lapsed
		r.unlisted, r.believedUntil, r.info = false, 0, info
		if lapsed {
			s.look(r)
		}
		s.sameLife(r, info.Born)
	}
	for _, r := range s.list {
		if !listed[r.info.ID] && !r.unlisted {
			r.unlisted = true
			r.suspectUntil = now + s.cfg.Resend
		}
	}
	s.forgetRunners()
	s.sortRunners()
	s.dispatch()
}

// AddUnlistedRunners adds runners on which another scheduler may have started jobs that
// are about to be handed in here.
//
// While a failure domain is cut off from the store its runners vanish from the
// platform's list, yet the scheduler on that side uses them. When the cut heals
// its jobs come here before the runners are listed again; without a look at
// these the tasks would be started a second time.
func (s *Scheduler) AddUnlistedRunners(now Time, list []workload.Runner) {
	s.now = now
	for _, info := range list {
		if r := s.runners[info.ID]; r != nil {
			r.suspectUntil = now + s.cfg.Resend
			continue
		}
		r := newRunner(info, now)
		r.unlisted = true
		r.suspectUntil = now + s.cfg.Resend
		s.addRunner(r)
	}
	s.sortRunners()
}

// addRunner adds one that isn't known yet, and takes it if this scheduler leads.
func (s *Scheduler) addRunner(r *runner) {
	r.evacuated = s.evacuates(r.info.Domain)
	s.runners[r.info.ID] = r
	s.list = append(s.list, r)
	if s.leading {
		s.acquire(r)
	}
}

func (s *Scheduler) sortRunners() {
	slices.SortFunc(s.list, func(a, b *runner) int { return workload.CompareRunners(a.info, b.info) })
}

// forgetRunners drops runners that aren't listed and have nothing running.
func (s *Scheduler) forgetRunners() {
	kept := s.list[:0]
	for _, r := range s.list {
		if r.unlisted && len(r.runs) == 0 && s.now >= max(r.suspectUntil, r.believedUntil) {
			delete(s.runners, r.info.ID)
			continue
		}
		kept = append(kept, r)
	}
	s.list = kept
}
