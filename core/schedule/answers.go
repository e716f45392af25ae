package schedule

import (
	"fmt"
	"time"
)

// A runner that restarts under its id answers at the same address as before. Its answers to Holds contain the start of the
// incarnation. Answers to other orders needn't, and a start that was meant for an incarnation may be carried out by the next
// one. They contain a reading of the runner's clock, which starts anew with each incarnation. An answer that neither names its
// incarnation nor proves it by its clock shows nothing about the known one.

// answerOrigin is the incarnation that an answer comes from, as far as the answer shows it.
type answerOrigin uint8

const (
	// unknownIncarnation: the answer doesn't show it.
	unknownIncarnation answerOrigin = iota
	knownIncarnation
	laterIncarnation
	earlierIncarnation
)

// originOfAnswer returns the incarnation that an answer comes from. A runner that doesn't report the starts of its
// incarnations never restarts under its id.
func (r *runner) originOfAnswer(c ClockReading) answerOrigin {
	switch start := c.IncarnationStart; {
	case r.incarnationStart == 0, start == r.incarnationStart:
		return knownIncarnation
	case start > r.incarnationStart:
		return laterIncarnation
	case start > 0:
		return earlierIncarnation
	case r.tooOldForLater(c) && r.continuesClock(c):
		return knownIncarnation
	}
	return unknownIncarnation
}

// clockRounding is by how much a difference between two readings of a clock may be off: both are whole milliseconds, and a
// clock may start at 1.
const clockRounding = 2 * time.Millisecond

// tooOldForLater reports whether a clock reading is larger than that of a later incarnation can be. Such an incarnation began
// after the latest order that the known one has answered was sent.
func (r *runner) tooOldForLater(c ClockReading) bool {
	return milliseconds(c.Milliseconds) > c.ReceivedAt-r.knownAt+clockRounding
}

// continuesClock reports whether a clock reading continues the last one of the known incarnation, on a clock that is slow by
// clockDriftPercent at most. Either reading was taken at some time between the sending of its order and the answer.
func (r *runner) continuesClock(c ClockReading) bool {
	if r.clock == 0 || c.Milliseconds == 0 {
		return false
	}
	least := c.SentAt - r.clockAt
	if least > 0 {
		least = least * (100 - clockDriftPercent) / 100
	}
	passed := milliseconds(c.Milliseconds - r.clock)
	return passed >= least-clockRounding && passed <= c.ReceivedAt-r.clockSentAt+clockRounding
}

func milliseconds(n int64) time.Duration { return time.Duration(n) * time.Millisecond }

// doubtIncarnation handles an answer whose clock doesn't show that it comes from the known incarnation. Until a list that is
// requested now or later says which incarnation answers, nothing is started there and no ends are acknowledged.
func (s *Scheduler) doubtIncarnation(r *runner, c ClockReading) {
	if r.doubtedAt == 0 {
		detail := fmt.Sprintf("clock %d, last known %d read %v ago", c.Milliseconds, r.clock, round(s.now-r.clockAt))
		s.emit(Decision{Event: "runner-incarnation-doubted", Runner: r.info.ID, Token: r.token, Age: s.now - r.knownAt, Detail: detail})
	}
	r.doubtedAt = s.now
	s.requestList(r)
}

// settleDoubt ends the doubt about a runner's incarnation if the known one has answered a Hold that was sent since, and
// requests another list otherwise.
func (s *Scheduler) settleDoubt(r *runner, sentAt Time) {
	switch {
	case r.doubtedAt == 0:
	case sentAt >= r.doubtedAt:
		r.doubtedAt = 0
	default:
		s.requestList(r)
	}
}

// acceptedInDoubt records that a start was accepted, perhaps by another incarnation than the known one. The run counts as
// unconfirmed until a list has it.
func (s *Scheduler) acceptedInDoubt(u *run) {
	if u.confirmed {
		return
	}
	u.acceptedAt = s.now
	if u.task != nil {
		u.task.job.ran = true
	}
}
