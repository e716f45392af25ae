package schedule

import "time"

// Runners out of reach, while other entry VMs are too.
//
// As a cut heals, runners answer before the processes of the other side are
// heard. A scheduler that took them at once, by its higher token, would lose them
// again a moment later: each side in turn would adopt what runs there, each time
// without a lease for some tenths of a second. So a runner that
// was silent for long is only asked whether it is there, by an order that it
// refuses, until there was time to hear of another scheduler. If there is one that
// comes first, this one retires and never takes the runner; else it takes it then.
//
//	all other VMs are heard | silent  | answers  | orders
//	------------------------|---------|----------|--------------------------------
//	yes                     | any     | any      | as usual: nobody else schedules
//	no                      | < 450ms | any      | as usual
//	no                      | longer  | not yet  | only whether it is there
//	no                      | longer  | again    | none for hearWait, then as usual

const (
	// outOfReach is the silence after which a runner may be behind a cut; that of
	// a process after which it counts as lost.
	outOfReach = 450 * time.Millisecond
	// hearWait is how long after it answers again a runner is left alone, unless
	// all other VMs are heard before: processes dial each other every 250 ms, and
	// a leader tells at once that it leads.
	hearWait = 600 * time.Millisecond
	// presenceToken is one that runners refuse: they have all seen a higher one.
	presenceToken = 0
)

// apart brings up to date, and reports, whether a runner may be led by a process
// that isn't heard.
func (s *Scheduler) apart(r *runner) bool {
	if !s.misses {
		r.apart, r.presentAt = false, 0
		return false
	}
	if !r.apart && s.now-max(r.clockAt, r.askedFrom) > outOfReach && (r.inDoubt || !r.owned) {
		r.apart = true
	}
	if r.presentAt > 0 && s.now-r.presentAt >= hearWait {
		r.apart, r.presentAt = false, 0
		r.askedFrom = s.now
	}
	return r.apart
}

// askPresence asks a runner whether it is there.
func (s *Scheduler) askPresence(r *runner) {
	if r.presentAt > 0 {
		return
	}
	r.holding = true
	r.heldAt = s.now
	s.emit(Hold{Runner: r.info.ID, Address: r.info.Address, Token: presenceToken, ReachabilityOnly: true, Timeout: s.callTimeout()})
}

// present takes what came of it.
func (s *Scheduler) present(r *runner, res HoldResult) {
	r.holding = false
	switch res.Outcome {
	case Replaced:
		s.replaced(r)
		s.dispatch()
	case Unanswered:
		s.probe(r)
	default:
		r.presentAt = s.now
		s.emit(Decision{Event: "runner-in-reach", Runner: r.info.ID, Age: s.now - r.clockAt})
	}
}
