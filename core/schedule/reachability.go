package schedule

import "time"

// Unreachable runners while other entry VMs are unreachable too.
//
// When a partition heals, runners answer before the processes of the other side are reachable. A
// scheduler that acquired them at once, by its higher token, would lose them again shortly after:
// each side in turn would adopt the runs there, each time without a lease for some tenths of a
// second. So a runner that was silent for long only gets orders that it refuses, which show
// whether it is reachable, until there was time to connect to another scheduler. If one that takes
// precedence is reachable by then, this scheduler retires and never acquires the runner; otherwise
// it acquires the runner then.
//
//	all other VMs reachable | silent  | answers  | orders
//	------------------------|---------|----------|--------------------------------
//	yes                     | any     | any      | as usual: no other scheduler leads
//	no                      | < 450ms | any      | as usual
//	no                      | longer  | not yet  | reachability checks only
//	no                      | longer  | again    | none for discoveryWait, then as usual

const (
	// maxSilence is the silence after which a runner may be beyond a partition. A process counts
	// as lost after the same time.
	maxSilence = 450 * time.Millisecond
	// discoveryWait is how long a runner gets no orders after it answers again, unless all other
	// VMs are reachable before: processes dial each other every 250 ms, and a leader announces
	// itself at once.
	discoveryWait = 600 * time.Millisecond
	// reachabilityToken is refused by all runners, since each has seen a higher one.
	reachabilityToken = 0
)

// partitioned updates and reports whether a runner may be led by an unreachable process.
func (s *Scheduler) partitioned(r *runner) bool {
	if !s.anyUnreachable {
		r.partitioned, r.reachableAt = false, 0
		return false
	}
	if !r.partitioned && s.now-max(r.clockAt, r.lastAskedAt) > maxSilence && (r.unresponsive || !r.owned) {
		r.partitioned = true
	}
	if r.reachableAt > 0 && s.now-r.reachableAt >= discoveryWait {
		r.partitioned, r.reachableAt = false, 0
		r.lastAskedAt = s.now
	}
	return r.partitioned
}

// checkReachability sends a runner an order that only shows whether it is reachable.
func (s *Scheduler) checkReachability(r *runner) {
	if r.reachableAt > 0 {
		return
	}
	r.holdInFlight = true
	r.holdSentAt = s.now
	s.emit(Hold{Runner: r.info.ID, Address: r.info.Address, Token: reachabilityToken, ReachabilityOnly: true, NewConnection: true, Timeout: s.callTimeout()})
}

// handleReachability handles the result of checkReachability.
func (s *Scheduler) handleReachability(r *runner, res HoldResult) {
	r.holdInFlight = false
	if r.checkReplaced(res.Outcome, res.Address, s.now) != res.Outcome {
		r.nextHoldAt = s.now + orphanCheckInterval
		return
	}
	switch res.Outcome {
	case Replaced:
		s.replaced(r, nil)
		s.dispatch()
	case Unanswered:
		r.noteSilence(res)
		if !r.unresponsive {
			r.markUnresponsive(s.now)
		}
		s.probe(r)
	default:
		r.reachableAt = s.now
		r.unansweredAt = 0
		s.emit(Decision{Event: "runner-in-reach", Runner: r.info.ID, Age: s.now - r.clockAt})
	}
}
