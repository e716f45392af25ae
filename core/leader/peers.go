package leader

import "slices"

// What a process knows of the others.

type peer struct {
	report Report
	heard  Time
}

// RecordContact takes a heartbeat, or with a nil report any other sign of life.
func (v *View) RecordContact(now Time, id ID, r *Report) {
	p := v.peers[id]
	if p == nil {
		p = &peer{}
		v.peers[id] = p
	}
	p.heard = now
	if r != nil {
		v.dropClaims(id)
		p.report = *r
		for shard, f := range r.Follows {
			if f.Leader == id {
				v.claims[shard] = append(v.claims[shard], id)
			}
		}
	}
}

func (v *View) dropClaims(id ID) {
	for shard, f := range v.peers[id].report.Follows {
		if f.Leader == id {
			v.claims[shard] = slices.DeleteFunc(v.claims[shard], func(o ID) bool { return o == id })
		}
	}
}

// RemovePeer forgets a process that has closed its connection.
func (v *View) RemovePeer(id ID) { v.forget(id) }

func (v *View) forget(id ID) {
	if v.peers[id] != nil {
		v.dropClaims(id)
		delete(v.peers, id)
	}
}

// LastContact is when a process was last heard; 0 if never.
func (v *View) LastContact(id ID) Time {
	if p := v.peers[id]; p != nil {
		return p.heard
	}
	return 0
}

// Report is what a process has last said of itself.
func (v *View) Report(id ID) Report {
	if p := v.peers[id]; p != nil {
		return p.report
	}
	return Report{}
}

// ExpirePeers lists the processes that have become silent, and forgets them.
func (v *View) ExpirePeers(now Time) []ID {
	var lost []ID
	for id, p := range v.peers {
		if now-p.heard > HeartbeatTimeout {
			lost = append(lost, id)
			v.forget(id)
		}
	}
	slices.Sort(lost)
	return lost
}
