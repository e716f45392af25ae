package health

import (
	"slices"
	"time"

	"sapphirepoint.example/sapphirepoint/core/task"
)

// probeDeferral is how long a probe is postponed each time that it is left to a peer.
const probeDeferral = time.Second

// Ejected lists the upstreams that this process has ejected or is probing, to report to its
// peers.
func (t *Tracker) Ejected() []string {
	if t.ejected == 0 {
		return nil
	}
	var list []string
	for _, u := range t.sorted {
		if u.state == ejected || u.state == probing {
			list = append(list, u.name)
		}
	}
	return list
}

// SetPeerReport replaces the list of upstreams that a peer reports as ejected. A peer that is gone
// gets an empty list.
//
// A report alone ejects no upstream, because the fault may be the peer's own, and all processes
// would repeat its mistake. It reduces the evidence that is needed in this process to one failure,
// see reducedEjectionThreshold. Each probe may cost a caller's job, so only the process whose name
// is first among those that have ejected the upstream probes it.
func (t *Tracker) SetPeerReport(peer string, names []string) {
	for _, name := range t.reports[peer] {
		if u := t.upstreams[name]; u != nil {
			u.reporters = slices.DeleteFunc(u.reporters, func(p string) bool { return p == peer })
		}
	}
	delete(t.reports, peer)
	if len(names) == 0 {
		return
	}
	t.reports[peer] = names
	for _, name := range names {
		if u := t.upstreams[name]; u != nil {
			u.reporters = append(u.reporters, peer)
		}
	}
}

// deferProbe postpones the probe of an upstream if a peer whose name is before this process's has
// ejected it too, since that peer probes it. It reports whether the probe was postponed.
func (t *Tracker) deferProbe(now task.Time, u *upstream) bool {
	if !slices.ContainsFunc(u.reporters, func(p string) bool { return p < t.cfg.Self }) {
		return false
	}
	u.until = now + probeDeferral
	t.updateWeight(u)
	return true
}
