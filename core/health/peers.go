package health

import (
	"slices"
	"time"

	"sapphirepoint.example/sapphirepoint/core/task"
)

// probeDeferral is how long a trial is put off at a time while another process
// makes it.
const probeDeferral = time.Second

// Ejected lists the upstreams that this process has closed for failures, for
// its peers.
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

// SetPeerReport takes what a peer lists, in place of what it listed before; nothing
// if it is gone.
//
// A report closes no upstream: the peer may be at fault itself, and its
// mistake would be everybody's. It makes one failure here enough to close it,
// and leaves the trials, each of which may cost a caller's job, to the process
// that is first by name of those which have closed it.
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

// deferProbe puts off the trial of an upstream that another process makes.
func (t *Tracker) deferProbe(now task.Time, u *upstream) bool {
	if !slices.ContainsFunc(u.reporters, func(p string) bool { return p < t.cfg.Self }) {
		return false
	}
	u.until = now + probeDeferral
	t.updateWeight(u)
	return true
}
