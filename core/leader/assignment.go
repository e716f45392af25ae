package leader

import (
	"cmp"
	"slices"
)

// assignment is who should lead each shard of the cell. valid is false if it must be computed
// anew, as it must after validUntil, when a candidate's last contact may be too old.
type assignment struct {
	valid      bool
	validUntil Time
	// candidates, from which leaders follows, are ordered by ID.
	candidates []ID
	leaders    map[int]ID
}

// invalidateAssignment must be called by each method that changes what candidates depends on.
func (v *View) invalidateAssignment() { v.assigned.valid = false }

// preferred is the process that should lead a shard of this cell; "" if none can. The
// candidates are the same for all shards, and most heartbeats change none of them, so they are
// determined only after a change: in a cell both the heartbeats and the shards grow with its size.
func (v *View) preferred(now Time, shard int) ID {
	if !v.assigned.valid || now > v.assigned.validUntil {
		v.assign(now)
	}
	return v.assigned.leaders[shard]
}

// assign computes the assignment. The leaders of several shards, which depend only on the
// candidates' IDs, are kept while the candidates are the same.
func (v *View) assign(now Time) {
	candidates, validUntil := v.candidates(now)
	if v.assigned.leaders == nil || len(v.shards) == 1 || !slices.Equal(candidates, v.assigned.candidates) {
		v.assigned.leaders = v.leadersAmong(candidates)
	}
	v.assigned.valid, v.assigned.validUntil, v.assigned.candidates = true, validUntil, candidates
}

// Successor returns the process that should lead a shard of this cell if only those processes were
// left for which remains is true; "" if none of them can.
func (v *View) Successor(now Time, shard int, remains func(ID) bool) ID {
	first, _ := v.candidatesAmong(now, remains)
	return v.leadersAmong(first)[shard]
}

// leadersAmong chooses the leader of each shard of the cell.
func (v *View) leadersAmong(candidates []ID) map[int]ID {
	switch {
	case len(candidates) == 0:
		return map[int]ID{}
	case len(v.shards) == 1:
		oldest := slices.MinFunc(candidates, func(x, y ID) int { return cmp.Compare(v.reportOf(x).Number, v.reportOf(y).Number) })
		return map[int]ID{v.shards[0]: oldest}
	}
	return distribute(candidates, v.shards)
}

// candidate is a process that is able to lead, with its latest report.
type candidate struct {
	id     ID
	report *Report
}

// candidates lists the processes of the cell that are able to lead and that no other of them
// precedes by class, ordered by ID, and until when they are the same if nothing changes.
func (v *View) candidates(now Time) ([]ID, Time) {
	return v.candidatesAmong(now, func(ID) bool { return true })
}

// candidatesAmong is the same for a part of the processes.
func (v *View) candidatesAmong(now Time, includes func(ID) bool) ([]ID, Time) {
	var able []candidate
	validUntil := now + HeartbeatTimeout
	if v.own.Able && v.settled(now) && includes(v.self) {
		able = append(able, candidate{v.self, &v.own})
	}
	if !v.settlePeriodOver(now) {
		// Whether this process may lead depends on each report until then.
		validUntil = now
	}
	for id, p := range v.peers {
		if p.report.Able && p.report.Cell == v.own.Cell && now-p.lastContact <= HeartbeatTimeout && includes(id) {
			able = append(able, candidate{id, &p.report})
			validUntil = min(validUntil, p.lastContact+HeartbeatTimeout)
		}
	}
	var first []ID
	for _, x := range able {
		preceded := slices.ContainsFunc(able, func(y candidate) bool { return compareClass(y.report, x.report) < 0 })
		if !preceded {
			first = append(first, x.id)
		}
	}
	slices.Sort(first)
	return first, validUntil
}

// sameCandidate reports whether two reports of a process are the same for the choice of candidates.
func sameCandidate(a, b *Report) bool {
	return a.Number == b.Number && a.Able == b.Able && a.Cell == b.Cell && a.Stopping == b.Stopping &&
		a.StoreLost == b.StoreLost && a.Demotions == b.Demotions && a.Starvations == b.Starvations && a.MilliCPU == b.MilliCPU
}
