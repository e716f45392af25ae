package leader

import "slices"

// The reports of the other processes, and when each was last in contact.

type peer struct {
	report      Report
	lastContact Time
}

// RecordContact records that a message of a process has arrived. r is the report of a
// heartbeat, and nil for any other message.
func (v *View) RecordContact(now Time, id ID, r *Report) {
	p := v.peers[id]
	if p == nil {
		p = &peer{lastContact: now}
		v.peers[id] = p
	}
	if now-p.lastContact > HeartbeatTimeout || r != nil && !sameCandidate(&p.report, r) || !v.settlePeriodOver(now) {
		v.invalidateAssignment()
	}
	p.lastContact = now
	if r != nil {
		v.removeClaims(id)
		p.report = *r
		for shard, f := range r.Follows {
			if f.Leader == id {
				v.claimants[shard] = append(v.claimants[shard], id)
			}
		}
	}
}

// removeClaims removes a process from the claimants of all shards.
func (v *View) removeClaims(id ID) {
	for shard, f := range v.peers[id].report.Follows {
		if f.Leader == id {
			v.claimants[shard] = slices.DeleteFunc(v.claimants[shard], func(o ID) bool { return o == id })
		}
	}
}

// RemovePeer removes a process that has ended.
func (v *View) RemovePeer(id ID) { v.remove(id) }

func (v *View) remove(id ID) {
	if v.peers[id] != nil {
		v.removeClaims(id)
		delete(v.peers, id)
		v.invalidateAssignment()
	}
}

// LastContact is when a message of a process last arrived; 0 if never.
func (v *View) LastContact(id ID) Time {
	if p := v.peers[id]; p != nil {
		return p.lastContact
	}
	return 0
}

// Report is the latest report of a process; the zero Report if there is none.
func (v *View) Report(id ID) Report {
	if p := v.peers[id]; p != nil {
		return p.report
	}
	return Report{}
}

// ExpirePeers removes the processes that have been silent for longer than HeartbeatTimeout,
// and returns them in order.
func (v *View) ExpirePeers(now Time) []ID {
	var lost []ID
	for id, p := range v.peers {
		if now-p.lastContact > HeartbeatTimeout {
			lost = append(lost, id)
			v.remove(id)
		}
	}
	slices.Sort(lost)
	return lost
}
