package health

import "sapphirepoint.example/sapphirepoint/core/task"

// Short closures of upstreams that are unreachable, refuse tasks or are suspected of failing them.

// refusalThreshold is the number of consecutive refusals that make an open upstream unavailable.
// A single refusal may concern only the slot. In any other state one refusal is enough.
const refusalThreshold = 3

// setUnavailable closes an upstream that is unreachable, refuses tasks or is suspect. A probing
// upstream is ejected again instead.
func (t *Tracker) setUnavailable(now task.Time, u *upstream) {
	if u.state == ejected || u.state == unavailable && now < u.until {
		return
	}
	t.stats.Unavailable++
	switch u.state {
	case probing:
		t.countEjected(u, -1)
		t.eject(now, u)
		return
	case unavailable:
		u.unavailableLevel++
	default:
		u.unavailableLevel = 0
	}
	u.state = unavailable
	u.until = now + backoff(t.rng, t.cfg.BaseUnavailableTime, t.cfg.MaxUnavailableTime, u.unavailableLevel)
	u.consecutiveRefusals = 0
	t.updateWeight(u)
}

// MarkUnavailable closes an upstream for a while for another reason than an outcome, such as
// an exhausted retry budget.
func (t *Tracker) MarkUnavailable(now task.Time, name string) {
	if u := t.upstreams[name]; u != nil && !t.cfg.Disabled {
		t.setUnavailable(now, u)
	}
}

// endUnavailable opens one slot of an upstream that was unavailable. If the upstream was
// suspect and enough others have succeeded in the meantime, it ejects the upstream instead. The
// state stays unavailable until a task succeeds, so that after another failure the upstream is
// closed for longer than before.
func (t *Tracker) endUnavailable(now task.Time, u *upstream) {
	u.until = 0
	wasSuspect := u.suspect
	u.suspect = false
	if wasSuspect && t.assess(u, t.ejectionThresholdFor(u)) == broken {
		t.eject(now, u)
		t.ejectGroups(now, u)
		return
	}
	t.updateWeight(u)
}
