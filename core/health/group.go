package health

import "sapphirepoint.example/sapphirepoint/core/task"

// minGroupEjections is how many closed upstreams put their whole worker or rack under
// suspicion.
const minGroupEjections = 2

// groupHasEjection says whether another upstream of the same worker or rack is closed
// for failures.
func (t *Tracker) groupHasEjection(u *upstream) bool {
	for _, g := range u.groups {
		if g.ejectedCount(u) > 0 {
			return true
		}
	}
	return false
}

// ejectedCount counts the members ejectedCount for failures, but for one.
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

// ejectGroups closes the rest of a worker or rack once several of it are
// closed and none of the rest has had a success since the first of them.
//
// A rack that fails everything would else cost the jobs that it takes to learn
// it of each of its upstreams.
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

// postponeGroupProbes puts off the trial of the others after one of them has
// failed again, so that a group costs one task a trial and not one a member.
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

// startGroupProbes brings on the trial of the others after one has succeeded.
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
