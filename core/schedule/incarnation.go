package schedule

import (
	"fmt"
	"slices"
	"time"

	"sapphirepoint.example/sapphirepoint/core/workload"
)

// A runner may restart under the same id. Its new incarnation has no memory of the previous one:
// earlier runs have ended without being listed, and its clock, its sequence of ends and the
// tokens that it has seen start anew. Its answers contain the start time of the incarnation, as does its
// entry on the platform's list: nothing is started on it by the entry of an earlier one.

// checkIncarnation returns the incarnation that an answer comes from. An answer of a later one begins that incarnation; an
// answer of an earlier one is late. Nothing else in either may be used, but for the list in an answer to a Hold; list is nil
// for other answers.
func (s *Scheduler) checkIncarnation(r *runner, c ClockReading, list *HoldResult) answerOrigin {
	if r.incarnationStart == 0 {
		r.incarnationStart = c.IncarnationStart
	}
	origin := r.originOfAnswer(c)
	if origin == laterIncarnation {
		s.beginIncarnation(r, c.IncarnationStart, list)
	}
	return origin
}

// heldByOtherIncarnation reports whether a Hold was answered by another incarnation than the known one. A list of which neither
// the start nor the clock shows that it is the known one's counts as such: the runner is acquired again, and as any of its runs
// may still be there, none counts as ended by a restart.
func (s *Scheduler) heldByOtherIncarnation(r *runner, res HoldResult) bool {
	origin := s.checkIncarnation(r, res.Clock, &res)
	if origin != unknownIncarnation || res.Outcome != Accepted || r.clock == 0 {
		return origin == laterIncarnation || origin == earlierIncarnation
	}
	for _, u := range r.runs {
		u.confirmed = false
	}
	s.beginIncarnation(r, r.incarnationStart, &res)
	return true
}

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

// startConfirmTime is within what time runners usually confirm a start; runs take longer. A runner answers a Hold at once, in
// place of waiting for an end, while it has ends to list. So runners with many starts would be asked all the time if no cursor
// were sent to them before their starts are confirmed.
const startConfirmTime = 5 * time.Millisecond

// ackCursor returns the sequence up to which ends are acknowledged to the runner; 0 if the runner has forgotten all of them,
// so that no cursor is under way as it restarts. It is 0 while a start has stayed unconfirmed for long: the runner may have
// restarted, carried the start out, and given the end of that run the sequence of an end recorded before. It is 0 as well while
// the runner is unresponsive, since an unconfirmed run is dropped when it lapses, and while it isn't known which incarnation
// answers.
func (r *runner) ackCursor(now Time) uint64 {
	if !r.cursorDue || r.unresponsive || r.doubtedAt > 0 {
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

// beganOnce reports whether the known incarnation has confirmed a run of which no other order can be under way.
func (u *run) beganOnce() bool { return u.confirmed && u.startAttempts <= 1 }

// awaitRepeatedOrder has the task of a run that has ended wait until no other order to start the run can be carried out by a
// later incarnation. The known one refuses such an order.
func (s *Scheduler) awaitRepeatedOrder(u *run) {
	invalidAt := u.runner.startInvalidAt(u)
	if u.startAttempts <= 1 || s.now >= invalidAt {
		return
	}
	u.delayTask(invalidAt)
	s.noteLostRun(u, lostRun{overAt: s.now + longestLateLife, listFrom: invalidAt})
}

// longestLateLife is how long a run may live after its start was accepted, under the longest lease, on a runner whose clock
// is slow and that ends its runs late.
const longestLateLife = maxLease*(100+clockDriftPercent)/100 + MaxLateEnd

// startInvalidAt returns when a run must be over even if an order to start it has reached a later
// incarnation of the runner. On that incarnation's clock the lease in the order ends far in the future,
// and the runner shortens it to maxLease. The result is 0 if no order can, or if the runner's lists
// don't contain the start of its incarnation, so that it never restarts under its id.
func (r *runner) startInvalidAt(u *run) Time {
	if u.beganOnce() || r.incarnationStart == 0 {
		return 0
	}
	return u.orderedAt + maxRunLife(maxLease)
}

// mayLiveUntil returns when a run of a silent runner must be over. A later incarnation may have carried out the start, or a
// renewal since, under the longest lease.
func (r *runner) mayLiveUntil(u *run) Time {
	if r.startInvalidAt(u) == 0 {
		return r.runsOverAt()
	}
	return max(r.runsOverAt(), max(u.orderedAt, r.leaseSentAt)+longestLateLife)
}

// beginIncarnation handles the restart of a runner. list is an answer of the new incarnation to a Hold, or nil. Runs that it
// lists go on, also those that have ended, since the next list has these ends as well. A start that was unconfirmed or sent
// twice may still arrive at the new incarnation, or its run may be over there; its task waits for a list that shows this. The
// runner is acquired again under a higher token, so it refuses orders from before the restart that arrive even later.
func (s *Scheduler) beginIncarnation(r *runner, start int64, list *HoldResult) {
	alive, lost := r.splitRuns(list)
	s.emit(Decision{
		Event: "runner-restarted", Runner: r.info.ID, Token: r.token, Age: s.now - r.clockAt,
		Detail: fmt.Sprintf("%s, %d go on", describeRuns(r), len(alive)),
	})
	held := r.token != 0
	for _, u := range lost {
		s.noteLoss(u, start > r.incarnationStart)
		s.dropRun(u, RunnerRestarted)
	}
	r.release()
	r.incarnationStart, r.leaving = start, false
	r.clock, r.clockSentAt, r.clockAt, r.knownAt = 0, 0, 0, 0
	r.aliveUntil, r.noLeaseUntil, r.leaseLimit = 0, 0, 0
	r.health = newHealth()
	s.learned.ForgetRunner(string(r.info.ID))
	s.updatePace(r)
	for _, u := range lost {
		s.awaitLostStart(u)
		if u.task != nil {
			s.requeue(u.task)
		}
	}
	if held && s.leading {
		s.term++
		s.acquire(r)
	}
	for _, u := range alive {
		s.continueRun(r, u)
	}
	s.judgeAllLosses()
	s.refreshEntries()
}

// awaitLostStart has the task of a run wait whose runner has restarted, unless the restart has certainly ended the run. An order
// that stayed unanswered may reach even the incarnation after the new one, which hasn't seen the raised token.
func (s *Scheduler) awaitLostStart(u *run) {
	if u.beganOnce() {
		return
	}
	l := lostRun{overAt: s.now + longestLateLife}
	if u.acceptedAt == 0 || u.startAttempts > 1 {
		l.startInvalidAt = s.now + maxRunLife(maxLease)
		u.delayTask(l.startInvalidAt)
	}
	s.noteLostRun(u, l)
}

// splitRuns divides the runs of a runner into those that a list has as running or ended and the others.
func (r *runner) splitRuns(list *HoldResult) (listed, others []*run) {
	for _, u := range r.sortedRuns() {
		if list != nil && list.has(u.key) {
			listed = append(listed, u)
			continue
		}
		others = append(others, u)
	}
	return listed, others
}

// has reports whether a list has a run as running or ended.
func (h *HoldResult) has(k workload.RunKey) bool {
	return slices.Contains(h.Running, k) || slices.ContainsFunc(h.Ends, func(e workload.End) bool { return e.Run == k })
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

// continueRun has a run go on that a new incarnation of its runner has begun. An order to stop it may have reached the
// incarnation before only. The lease there may be that of a start under the clock of that incarnation, which the new one
// has shortened to the longest that it grants.
func (s *Scheduler) continueRun(r *runner, u *run) {
	u.confirm()
	u.listedAt, u.acceptedAt = 0, 0
	u.stopping, u.stopped, u.overAt = false, false, 0
	u.inDoubt, u.startExpiredAt = false, 0
	u.awaitList(0)
	u.stopAt = 0
	if u.task == nil {
		u.stopAt = s.now
	}
	r.add(u)
	s.forgetLoss(r, u.key, u.startedElsewhere)
	if u.task != nil && len(u.task.losses) >= suspectLosses {
		r.reserved = u.task
	}
	r.noteLease(s.now, maxLease)
	s.emitForRun(u, Decision{Event: "run-adopted", Reason: "begun by the new incarnation", Token: r.token, Age: s.now - u.started})
}
