package schedule

import (
	"slices"
	"time"

	"sapphirepoint.example/sapphirepoint/core/workload"
)

const (
	// unlistedGrace is how long an unlisted runner is used that answers after a long silence.
	// A failure domain that was cut off from the store and the other domains loses its
	// entries in the list, and they are back within two seconds if the runners still exist.
	// Without the grace a quarter of the runners would be unused in that time.
	unlistedGrace = 2500 * time.Millisecond
	// longSilence is the length of such a silence: less than an entry takes to expire.
	longSilence = time.Second
	// expiredCheckInterval is how often an idle runner with an expired entry is checked, so that its
	// loss is noticed before a job is placed on it.
	expiredCheckInterval = 200 * time.Millisecond
	// unlistedInterval is how often unlisted runners in use are reported to other processes, and
	// minReportInterval the shortest time between two reports: as a partition heals, the runners of a
	// failure domain answer all at once.
	unlistedInterval  = time.Second
	minReportInterval = 20 * time.Millisecond
)

// noteAnswerAfterSilence handles an answer of a runner that was silent for some time.
func (s *Scheduler) noteAnswerAfterSilence(r *runner, silence time.Duration) {
	if r.unlisted && !r.askedOnly && silence > longSilence {
		s.assumePresent(r)
	}
}

// assumePresent has an unlisted runner that answers count as existing for a while.
func (s *Scheduler) assumePresent(r *runner) {
	if r.info.Draining {
		return
	}
	r.assumedPresentUntil = s.now + unlistedGrace
	s.unreported = s.unreported || !r.reported
	s.tickUnlisted()
}

// tickUnlisted reports the unlisted runners in use when that is due: one that hasn't been reported isn't
// used before.
func (s *Scheduler) tickUnlisted() {
	interval := unlistedInterval
	if s.unreported {
		interval = minReportInterval
	}
	if s.now-s.unlistedReportedAt >= interval {
		s.reportUnlisted()
	}
}

// reportUnlisted reports the unlisted runners in use, if there are any.
func (s *Scheduler) reportUnlisted() {
	s.unreported = false
	var list []workload.Runner
	for _, r := range s.runnerList {
		if r.unlistedInUse(s.now) {
			r.reported = true
			list = append(list, r.info)
		}
	}
	if len(list) > 0 {
		s.unlistedReportedAt = s.now
		s.emit(UnlistedInUse{At: s.now, Runners: list})
	}
}

// unlistedInUse reports whether the runner isn't listed, and has runs or may get some.
func (r *runner) unlistedInUse(now Time) bool {
	return r.unlisted && !r.gone && r.token != 0 && (len(r.runs) > 0 || now < r.assumedPresentUntil)
}

// present reports whether the runner counts as existing, by the list or by its answers. By its answers
// it doesn't until it was reported to other processes.
func (r *runner) present(now Time) bool {
	return !r.unlisted || r.reported && now < r.assumedPresentUntil
}

// SetRunners replaces the list of runners.
func (s *Scheduler) SetRunners(now Time, runnerList []workload.Runner) {
	s.now = now
	listed := make(map[workload.RunnerID]bool, len(runnerList))
	for _, info := range runnerList {
		listed[info.ID] = true
		r := s.runners[info.ID]
		if r == nil {
			s.addRunner(newRunner(info, now))
			continue
		}
		s.refresh(r, info)
	}
	for _, r := range s.runnerList {
		if !listed[r.info.ID] && !r.unlisted {
			r.unlisted, r.unlistedAt = true, now
			r.retainUntil = now + s.cfg.Resend
		}
	}
	s.forgetRunners()
	s.sortRunners()
	s.judgeAllLosses()
	s.dispatch()
}

// refresh takes over a runner's entry.
func (s *Scheduler) refresh(r *runner, info workload.Runner) {
	if r.answersAt(info) {
		info.Address = r.info.Address
	}
	r.noteEntryChange(info)
	moved := info.Address != r.info.Address
	expired := info.EntryExpired && !r.info.EntryExpired
	laterStart := info.IncarnationStart > max(r.incarnationStart, r.info.IncarnationStart)
	r.unlisted, r.reported, r.assumedPresentUntil, r.info = false, false, 0, info
	s.useAgain(r)
	r.evacuated = s.evacuates(info.Domain)
	if laterStart {
		r.laterStartAt = s.now
	}
	r.noteEntryStart()
	if moved {
		s.addressChanged(r)
	}
	if expired || laterStart {
		s.requestList(r)
	}
	if r.described() {
		r.leaving = info.Draining
	}
}

// answersAt reports whether the incarnation that an entry names, or a later one, answers at the address known so far. An
// incarnation keeps its address, so that another one in its entry comes from another writer.
func (r *runner) answersAt(entry workload.Runner) bool {
	return !r.unresponsive && r.answeredAddress == r.info.Address && entry.IncarnationStart <= r.incarnationStart
}

// addressChanged handles a runner whose entry has another address than before. One that counts as gone is asked again:
// another incarnation has answered at the old address only.
func (s *Scheduler) addressChanged(r *runner) {
	r.addressSince = s.now
	if !r.gone {
		return
	}
	r.gone, r.answeredAddress = false, ""
	if s.leading {
		s.acquire(r)
	}
}

// noteEntryStart takes the start of the incarnation from the runner's entry, unless the runner's answers tell it.
func (r *runner) noteEntryStart() {
	unanswered := r.clock == 0 && r.incarnationStart == r.entryStart
	if unanswered || r.incarnationStart == 0 {
		r.incarnationStart, r.entryStart = r.info.IncarnationStart, r.info.IncarnationStart
	}
}

// tickEntryStart begins the incarnation that a runner's entry shows, if the runner has answered nothing for as long
// as a run may live. Alone a later start in an entry is no evidence of a restart, since another writer may have
// changed it: the runs go on, and nothing is started there until an answer shows the same start.
func (s *Scheduler) tickEntryStart(r *runner) {
	start := r.info.IncarnationStart
	if start <= r.incarnationStart || s.now-max(r.laterStartAt, r.clockAt) < longestLateLife {
		return
	}
	r.entryStart = start
	s.beginIncarnation(r, start, nil)
}

// AddUnlistedRunners adds runners on which another scheduler may have started jobs that are about
// to be handed in here.
//
// While a failure domain is cut off from the store its runners vanish from the platform's list,
// but the scheduler on that side still uses them. When the partition heals, that side's jobs
// arrive here before its runners are listed again; unless these runners are asked for their lists
// the tasks would be started a second time.
func (s *Scheduler) AddUnlistedRunners(now Time, list []workload.Runner) {
	s.now = now
	for _, info := range list {
		if r := s.runners[info.ID]; r != nil {
			s.noteNamed(r)
			continue
		}
		r := newRunner(info, now)
		r.unlisted, r.unlistedAt = true, now
		r.retainUntil = now + s.cfg.Resend
		s.addRunner(r)
	}
	s.sortRunners()
}

// noteNamed records that another process knows a runner. If the runner has left the list, another scheduler may have used it
// since.
func (s *Scheduler) noteNamed(r *runner) {
	r.retainUntil, r.unlistedAt = s.now+s.cfg.Resend, s.now
	if r.askedOnly && r.owned && !r.unresponsive {
		s.assumePresent(r)
	}
	s.useAgain(r)
}

// useAgain has a recalled runner used like any other one, and asked at once if it hasn't been asked yet.
func (s *Scheduler) useAgain(r *runner) {
	if r.askedOnly && s.leading && r.token == 0 {
		s.acquire(r)
	}
	r.askedOnly = false
}

// addRunner adds an unknown runner, and acquires it if this scheduler leads.
func (s *Scheduler) addRunner(r *runner) {
	r.evacuated = s.evacuates(r.info.Domain)
	s.runners[r.info.ID] = r
	s.runnerList = append(s.runnerList, r)
	s.updatePace(r)
	if s.leading {
		s.acquire(r)
	}
}

func (s *Scheduler) sortRunners() {
	slices.SortFunc(s.runnerList, func(a, b *runner) int { return workload.CompareRunners(a.info, b.info) })
}

// forgetRunners drops unlisted runners without runs.
func (s *Scheduler) forgetRunners() {
	s.forgotten = slices.DeleteFunc(s.forgotten, func(r *runner) bool { return s.now-r.unlistedAt >= unlistedGrace })
	remaining := s.runnerList[:0]
	for _, r := range s.runnerList {
		if r.unlisted && len(r.runs) == 0 && s.now >= max(r.retainUntil, r.assumedPresentUntil) && !s.mayHaveUnlistedPriorRuns(r) {
			delete(s.runners, r.info.ID)
			s.forgotten = append(s.forgotten, r)
			continue
		}
		remaining = append(remaining, r)
	}
	s.runnerList = remaining
}

// recallRunners adds the forgotten runners as this scheduler begins to lead, and has them asked for their runs at the next
// tick. They left the list before, but not so long ago that they count as gone.
func (s *Scheduler) recallRunners() {
	for _, before := range slices.Backward(s.forgotten) {
		if before.gone || s.runners[before.info.ID] != nil {
			continue
		}
		r := newRunner(before.info, s.now)
		r.unlisted, r.unlistedAt, r.entryTrustedAt = true, before.unlistedAt, before.entryTrustedAt
		r.evacuated = s.evacuates(r.info.Domain)
		r.askedOnly, r.reacquireAt = true, s.now
		s.runners[r.info.ID] = r
		s.runnerList = append(s.runnerList, r)
	}
	s.forgotten = nil
	s.sortRunners()
}
