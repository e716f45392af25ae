package fleet_test

import (
	"time"

	"sapphirepoint.example/sapphirepoint/core/schedule"
)

// New connections to runners' hosts: what an order that stays unanswered shows of them.

// accepts reports whether a runner's host accepts connections from a VM. It does while the runner is
// starved or silent.
func (w *world) accepts(n *fakeNode, r *fakeRunner) bool {
	return r != nil && !r.down && !r.refuses() && w.reaches(n, r)
}

// connection is what a Hold that stayed unanswered shows of its runner's host. A process that is short of
// processor time notices too late that a connection was made.
func (w *world) connection(n *fakeNode, r *fakeRunner, h schedule.Hold, accepted bool) schedule.Connection {
	switch {
	case !h.NewConnection || w.chance(w.lateConnections):
		return schedule.ConnectionUnknown
	case accepted && r.queue.full(r.orders.until):
		return schedule.ConnectionTimedOut
	case accepted:
		return schedule.ConnectionMade
	case r != nil && (r.dark || !w.reaches(n, r)):
		return schedule.ConnectionTimedOut
	}
	return schedule.ConnectionFailed
}

// unansweredHolds counts orders to renew and to list runs that stayed unanswered, by whether the
// runner's host accepted the connection.
type unansweredHolds struct{ accepted, refused int }

func (w *world) noteUnanswered(accepted bool) {
	if accepted {
		w.silences.accepted++
		return
	}
	w.silences.refused++
}

// maxQueueLength is the longest queue of new connections that a silent runner hasn't accepted.
const maxQueueLength = 16

// connectionQueue counts the new connections to a runner in a time in which it accepts none.
type connectionQueue struct {
	// length is the number of connections that are made; 0 for no limit.
	length int
	// silentUntil is the end of that time, and waiting the number of connections so far.
	silentUntil time.Duration
	waiting     int
}

// full counts one more connection, and reports whether it isn't made.
func (q *connectionQueue) full(silentUntil time.Duration) bool {
	if q.silentUntil != silentUntil {
		q.silentUntil, q.waiting = silentUntil, 0
	}
	q.waiting++
	return q.length > 0 && q.waiting > q.length
}
