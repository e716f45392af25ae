package schedule

import (
	"fmt"
	"slices"
	"time"
)

// A runner may restart under the same id. Its new incarnation has no memory of the previous one:
// earlier runs have ended without being listed, and its clock, its sequence of ends and the
// tokens that it has seen start anew. Its answers contain the start time of the incarnation, as does its
// entry on the platform's list: nothing is started on it by the entry of an earlier one.

// checkIncarnation reports whether an answer comes from the known incarnation of a runner. An
// answer of a later one begins that incarnation; an answer of an earlier one is late. Nothing
// else in either may be used.
func (s *Scheduler) checkIncarnation(r *runner, start int64) bool {
	switch {
	case r.isIncarnation(start):
		return true
	case r.incarnationStart == 0:
		r.incarnationStart = start
		return true
	case start > r.incarnationStart:
		s.beginIncarnation(r, start)
	}
	return false
}

// isIncarnation reports whether an answer comes from the known incarnation, or doesn't say.
func (r *runner) isIncarnation(start int64) bool { return start == 0 || start == r.incarnationStart }

// described reports whether the runner's entry is that of the known incarnation. A later incarnation may
// have other labels, less capacity or another service, which its answers don't tell.
func (r *runner) described() bool {
	return r.info.IncarnationStart == 0 || r.info.IncarnationStart == r.incarnationStart
}

// entryRefreshInterval is how often the platform's list is read while the entry of a new incarnation is awaited.
const entryRefreshInterval = 300 * time.Millisecond

// refreshEntries requests the platform's list while it has the entry of an earlier incarnation of a runner.
func (s *Scheduler) refreshEntries() {
	if s.now-s.refreshedAt < entryRefreshInterval {
		return
	}
	outdated := slices.ContainsFunc(s.runnerList, func(r *runner) bool {
		return !r.gone && !r.unlisted && !r.described()
	})
	if !outdated {
		return
	}
	s.refreshedAt = s.now
	s.emit(RefreshEntries{})
}

// noteEarlierIncarnation handles a Hold under the present token that an incarnation with an earlier start
// has answered: the clock by which the runner reports its start has stepped back. The answer can't be
// told from a late one, so the Hold counts as unanswered. A later incarnation was acquired again, under
// another token.
func (s *Scheduler) noteEarlierIncarnation(r *runner, res HoldResult) {
	if res.Token != r.token {
		return
	}
	r.noteAnsweredHold(res)
	r.noteSilence(res)
	r.host = host{answers: true}
	s.unanswered(r)
	s.probe(r)
}

// startConfirmTime is within what time runners usually confirm a start; runs take longer.
const startConfirmTime = 5 * time.Millisecond

// ackCursor returns the sequence up to which ends are acknowledged to the runner. It is 0 while a
// start has stayed unconfirmed for long: the runner may have restarted, carried the start out, and
// given the end of that run the sequence of an end recorded before. It is 0 as well while the runner is
// unresponsive, since an unconfirmed run is dropped when it lapses.
func (r *runner) ackCursor(now Time) uint64 {
	if r.unresponsive {
		return 0
	}
	for _, u := range r.runs {
		if !u.confirmed && now-u.started >= startConfirmTime && !u.startVoid(now) {
			return 0
		}
	}
	return r.acknowledged
}

// startVoid reports whether no order to start a run can be carried out any more, by this incarnation or
// a later one. Such a run doesn't hold back the acknowledgement of ends: where they fill the list, its own
// end is listed only after they are acknowledged.
func (u *run) startVoid(now Time) bool {
	rejected := u.stopped || u.startExpiredAt > 0
	return rejected && now >= u.orderedAt+maxRunLife(maxLease)
}

// longestLateLife is how long a run may live after its start was accepted, under the longest lease, on a runner whose clock
// is slow and that ends its runs late.
const longestLateLife = maxLease*(100+clockDriftPercent)/100 + MaxLateEnd

// startInvalidAt returns when an unconfirmed run must be over even if its start has reached a later
// incarnation of the runner. On that incarnation's clock the lease in the order ends far in the future,
// and the runner shortens it to maxLease. The result is 0 if the run is confirmed, or if the runner's
// answers don't contain the start of its incarnation, so that it never restarts under its id.
func (r *runner) startInvalidAt(u *run) Time {
	if u.confirmed || r.incarnationStart == 0 {
		return 0
	}
	return u.orderedAt + maxRunLife(maxLease)
}

// describeRuns says how many runs a runner is known to have, and how many of them it has confirmed.
func describeRuns(r *runner) string {
	confirmed := 0
	for _, u := range r.runs {
		if u.confirmed {
			confirmed++
		}
	}
	return fmt.Sprintf("%d runs, %d confirmed", len(r.runs), confirmed)
}

// beginIncarnation handles the restart of a runner. A start that was unconfirmed or sent twice may
// still arrive at the new incarnation, so its task waits until the runner lists its runs or the
// run must be over, also if it ends late. The runner is acquired again under a higher token, so it refuses orders
// from before the restart that arrive even later.
func (s *Scheduler) beginIncarnation(r *runner, start int64) {
	s.emit(Decision{Event: "runner-restarted", Runner: r.info.ID, Token: r.token, Age: s.now - r.clockAt, Detail: describeRuns(r)})
	runs := r.sortedRuns()
	for _, u := range runs {
		s.noteLoss(u, true)
	}
	held := r.token != 0
	s.dropRuns(r, RunnerRestarted)
	r.incarnationStart, r.leaving = start, false
	r.clock, r.clockSentAt, r.clockAt, r.knownAt = 0, 0, 0, 0
	r.aliveUntil, r.noLeaseUntil, r.leaseLimit = 0, 0, 0
	r.health = newHealth()
	s.learned.ForgetRunner(string(r.info.ID))
	s.updatePace(r)
	for _, u := range runs {
		mayBegin := !u.confirmed || u.startAttempts > 1
		if mayBegin {
			// Any list of the new incarnation shows it: stops that were in progress have ended with the one before.
			s.noteLostRun(u, lostRun{overAt: s.now + longestLateLife, listFrom: s.now})
			u.delayTask(s.now + maxRunLife(maxLease))
		}
		if u.task != nil {
			s.requeue(u.task)
		}
	}
	if held && s.leading {
		s.term++
		s.acquire(r)
	}
	s.judgeAllLosses()
	s.refreshEntries()
}
