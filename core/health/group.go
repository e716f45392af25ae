package health

import "sapphirepoint.example/sapphirepoint/core/task"

// minGroupEjections is the number of ejected upstreams of a worker or rack from which the whole
// worker or rack may be ejected, and from which its probes are postponed together.
const minGroupEjections = 2

// groupHasEjection reports whether another upstream of the same worker or rack is ejected.
func (t *Tracker) groupHasEjection(u *upstream) bool {
	for _, g := range u.groups {
		if g.ejectedCount(u) > 0 {
			return true
		}
	}
	return false
}

// ejectedCount returns the number of members that are ejected or probing, without except.
func (g *group) ejectedCount(except *upstream) int {
	if g == nil {
		return 0
	}
	n := 0
	for _, u := range g.members {
		if u != except && (u.state == ejected || u.state == probing) {
			n++
		}
	}
	return n
}

// ejectGroups ejects the rest of the upstream's worker or rack if several upstreams of it are
// ejected and none of the rest has succeeded since the first ejection.
//
// Otherwise each upstream of a rack that fails every task would fail tasks, and with them their
// jobs, until it is ejected on its own.
func (t *Tracker) ejectGroups(now task.Time, u *upstream) {
	for _, g := range u.groups {
		if g.ejectedCount(nil) < minGroupEjections || g.succeededSinceEjection() {
			continue
		}
		t.stats.GroupEjections++
		for _, m := range g.members {
			if m.state == open || m.state == returning {
				t.eject(now, m)
			}
		}
	}
}

// succeededSinceEjection reports whether a member that isn't ejected has succeeded with a task sent
// after the earliest of the present ejections.
func (g *group) succeededSinceEjection() bool {
	first := task.Time(-1)
	for _, u := range g.members {
		if u.state == ejected && (first < 0 || u.ejectedAt < first) {
			first = u.ejectedAt
		}
	}
	for _, u := range g.members {
		if u.state != ejected && u.lastSuccess > first {
			return true
		}
	}
	return false
}

// postponeGroupProbes postpones the probes of the other members of a worker or rack after a probe
// of one has failed, so that probing the group costs one task and not one for each member. Their
// probes are due half an ejection time after the next probe of the failed one. If that upstream
// wasn't ejected again because of MaxEjectedPercent, nothing is postponed.
func (t *Tracker) postponeGroupProbes(now task.Time, failed *upstream) {
	if failed.state != ejected {
		return
	}
	for _, g := range failed.groups {
		if g.ejectedCount(failed) < minGroupEjections {
			continue
		}
		for _, u := range g.members {
			if u.state == probing {
				u.state = ejected
			}
			if u.state == ejected && u.until < failed.until {
				u.ejectionLevel = failed.ejectionLevel
				u.ejectionTime = failed.ejectionTime
				u.until = failed.until + failed.ejectionTime/2
				t.updateWeight(u)
			}
		}
	}
}

// startGroupProbes makes the probes of all other ejected members of a worker or rack due at once
// after a probe of one has succeeded.
func (t *Tracker) startGroupProbes(now task.Time, u *upstream) {
	for _, g := range u.groups {
		if g == nil {
			continue
		}
		for _, m := range g.members {
			if m.state == ejected && m.until > now {
				m.until = now
				t.updateWeight(m)
			}
		}
	}
}
