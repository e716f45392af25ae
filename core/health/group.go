package health

import "sapphirepoint.example/sapphirepoint/core/task"

// minGroupEjections is the number of ejected upstreams from which their whole worker or rack
// may be ejected.
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

// ejectGroups ejects the rest of a worker or rack if several of its upstreams are ejected and
// none of the rest has succeeded since the first ejection.
//
// Otherwise a rack that fails every task would cost the jobs that it takes to detect this
// for each of its upstreams.
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

// postponeGroupProbes postpones the probes of the other members after a probe of one has
// failed, so that probing a group costs one task and not one for each member.
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

// startGroupProbes makes the probes of the other members due after a probe has succeeded.
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
