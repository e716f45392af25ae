package fleet_test

import (
	"slices"
	"testing"
	"time"
)

// Processes that are paused for less than it takes to replace them, between deciding on an order and sending
// it, or while its answer arrives.

func init() {
	faults["paused before sending"] = func(w *world) {
		w.missesAnswers = true
		n := w.leader()
		if n == nil {
			return
		}
		for i := range 2 + w.rng.IntN(6) {
			w.after(time.Duration(i)*w.randomDuration(60, 500), func() { n.pauseAtOrder = w.randomDuration(20, 390) })
		}
	}
}

// pauseBeforeSending pauses a process that is to be paused at its next order, and returns how much later it
// sends the order.
func (w *world) pauseBeforeSending(n *fakeNode) time.Duration {
	d := n.pauseAtOrder
	if d == 0 || w.now < n.frozen {
		return 0
	}
	n.pauseAtOrder = 0
	w.freeze(n, d)
	return d
}

// answerMissed reports whether an answer that arrives now is missed since the process is paused until after
// the order's timeout.
func (w *world) answerMissed(n *fakeNode, timeoutAt time.Duration) bool {
	return w.missesAnswers && w.now < n.frozen && timeoutAt <= n.frozen && w.chance(0.5)
}

// Guards against tasks that run twice when orders are sent late, with old deadlines, and answers are missed.
func TestRandomPausesBeforeSending(t *testing.T) {
	t.Parallel()
	pauses := slices.Repeat([]string{"paused before sending"}, 12)
	playFaultyRuns(t, append(pauses, append(rejectionFaults(), lateStartFaults()...)...)...)
}
