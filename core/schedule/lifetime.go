package schedule

import "time"

// A runner may start again under the id that it had. It knows nothing of before then: what
// ran there has ended unseen, and its clock, its ends and the tokens that it obeys start
// anew. Its answers tell when its lifetime began.

// checkIncarnation reports whether an answer is of the lifetime of a runner that is known. One of
// a later lifetime begins that, and one of an earlier comes late; neither says anything
// else that can be used.
func (s *Scheduler) checkIncarnation(r *runner, born int64) bool {
	switch {
	case born == 0 || born == r.born:
		return true
	case r.born == 0:
		r.born = born
		return true
	case born > r.born:
		s.beginIncarnation(r, born)
	}
	return false
}

// startConfirmTime is how long runners mostly take to confirm a start; a run lasts longer.
const startConfirmTime = 5 * time.Millisecond

// ackCursor is the sequence up to which the runner is told to forget ends. While a start
// stays unconfirmed for long it is told to forget none: it may have started again, carried
// the start out, and numbered the end of that run like one that was noted before.
func (r *runner) ackCursor(now Time) uint64 {
	for _, u := range r.runs {
		if !u.confirmed && now-u.started >= startConfirmTime {
			return 0
		}
	}
	return r.acknowledged
}

// beginIncarnation takes a runner that has started again. A start that it hasn't confirmed, or
// one of two orders for it, may come after its new beginning: the task waits until the
// runner lists what runs, or a lease must have ended. Orders of before that are carried
// out still later have a lower token.
func (s *Scheduler) beginIncarnation(r *runner, born int64) {
	s.emit(Decision{Event: "runner-restarted", Runner: r.info.ID, Token: r.token, Age: s.now - r.clockAt})
	runs := r.sortedRuns()
	held := r.token != 0
	r.release()
	r.born = born
	r.clock, r.clockAt, r.aliveUntil, r.noLeaseUntil = 0, 0, 0, 0
	r.health = newHealth()
	for _, u := range runs {
		if u.task == nil {
			continue
		}
		if !u.confirmed || u.startAttempts > 1 {
			u.task.notBefore = s.now + maxRunLife(maxLease)
		}
		s.requeue(u.task)
	}
	if held && s.leading {
		s.term++
		s.acquire(r)
	}
}
