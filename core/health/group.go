package health

import "sapphirepoint.example/sapphirepoint/core/task"

// groupFrom is how many closed upstreams put their whole worker or rack under
// suspicion.
const groupFrom = 2

// beside says whether another upstream of the same worker or rack is closed
// for failures.
func (t *Tracker) beside(u *upstream) bool {
	for _, g := range u.groups {
		if g.closed(u) > 0 {
			return true
		}
	}
	return false
}

// closed counts the members closed for failures, but for one.
func (g *group) closed(but *upstream) int {
	if g == nil {
		return 0
	}
	n := 0
	for _, u := range g.members {
		if u != but && (u.state == ejected || u.state == probing) {
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
		if g.closed(nil) < groupFrom || g.succeededSinceClosed() {
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

func (g *group) succeededSinceClosed() bool {
	first := task.Time(-1)
	for _, u := range g.members {
		if u.state == ejected && (first < 0 || u.closedAt < first) {
			first = u.closedAt
		}
	}
	for _, u := range g.members {
		if u.state != ejected && u.lastSuccess > first {
			return true
		}
	}
	return false
}

// postponeGroups puts off the trial of the others after one of them has
// failed again, so that a group costs one task a trial and not one a member.
func (t *Tracker) postponeGroups(now task.Time, failed *upstream) {
	if failed.state != ejected {
		return
	}
	for _, g := range failed.groups {
		if g.closed(failed) < groupFrom {
			continue
		}
		for _, u := range g.members {
			if u.state == probing {
				u.state = ejected
			}
			if u.state == ejected && u.until < failed.until {
				u.level = failed.level
				u.wait = failed.wait
				u.until = failed.until + failed.wait/2
				t.reweigh(u)
			}
		}
	}
}

// wakeGroups brings on the trial of the others after one has succeeded.
func (t *Tracker) wakeGroups(now task.Time, u *upstream) {
	for _, g := range u.groups {
		if g == nil {
			continue
		}
		for _, m := range g.members {
			if m.state == ejected && m.until > now {
				m.until = now
				t.reweigh(m)
			}
		}
	}
}
