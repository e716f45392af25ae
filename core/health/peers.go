package health

import (
	"slices"
	"time"

	"sapphirepoint.example/sapphirepoint/core/task"
)

// probeDeferral is how long a probe is postponed at a time while a peer probes the upstream.
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

// SetPeerReport replaces the list of upstreams that a peer has ejected. An empty list is for
// a peer that is gone.
//
// A report ejects no upstream, because the fault may be the peer's own, and all processes
// would repeat its mistake. It reduces the evidence that is needed here to one failure. Each
// probe may cost a caller's job, so only the process whose name is first among those that have
// ejected the upstream probes it.
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

// deferProbe postpones the probe of an upstream that a peer probes, and reports whether it did.
func (t *Tracker) deferProbe(now task.Time, u *upstream) bool {
	if !slices.ContainsFunc(u.reporters, func(p string) bool { return p < t.cfg.Self }) {
		return false
	}
	u.until = now + probeDeferral
	t.updateWeight(u)
	return true
}
