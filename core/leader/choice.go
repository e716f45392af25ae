package leader

// Choice is the leader that a process follows.
type Choice struct {
	// Leader is "" if there is none.
	Leader ID
	// Reachable is false if there is no leader, or if other processes follow the leader but
	// this one has no contact with it.
	Reachable bool
}

// Choose returns the leader that this process follows in a shard; leading tells whether this
// process leads the shard now.
//
// Three processes may differ. preferred is the reachable candidate that ranks first and should
// lead. claimingLeader is the highest ranking of the other processes that report that they do
// lead. The result, Choice.Leader, is the one to hand jobs in to.
//
// Until the preferred process reports that it leads, the present leader continues for up to
// yieldTimeout. Otherwise there would be moments without a leader, or with the wrong one, at a
// planned stop and while connections come back one by one after a network partition.
//
// A process that is itself preferred doesn't lead while other processes follow a leader that it
// has no contact with; see leaderFollowedByPeers. It follows that leader, with Reachable false.
//
// In a shard of another cell, this process never leads. It follows the process that reports
// that it does.
func (v *View) Choose(now Time, shard int, leading bool) Choice {
	leader := v.claimingLeader(now, shard)
	if v.layout[shard] != v.own.Cell {
		return Choice{Leader: leader, Reachable: leader != ""}
	}
	preferred := v.preferred(now, shard)
	if preferred == "" {
		return Choice{Leader: leader, Reachable: leader != ""}
	}
	if preferred == v.self {
		if other := v.leaderFollowedByPeers(now, shard); other != "" {
			return v.yieldAfterTimeout(now, shard, leading, Choice{Leader: other})
		}
		v.yieldSince[shard] = 0
		return Choice{Leader: v.self, Reachable: true}
	}
	if leading && leader != preferred && (leader == "" || v.ranksBefore(v.self, leader, shard)) {
		return v.yieldAfterTimeout(now, shard, true, Choice{Leader: preferred, Reachable: true})
	}
	v.yieldSince[shard] = 0
	// A process that should lead and doesn't report that it does may not know yet that it
	// should; a job handed in there would only wait.
	return Choice{Leader: leader, Reachable: leader != ""}
}

// ExpectsLeader reports whether a shard of this cell without a reachable leader will have one as soon as
// the lost one counts as lost everywhere: a process that can lead is reachable, and none has heard from
// the lost leader lately. Otherwise that one is only out of reach of this process.
func (v *View) ExpectsLeader(now Time, shard int) bool {
	if v.layout[shard] != v.own.Cell || v.preferred(now, shard) == "" {
		return false
	}
	return v.followedByPeers(now, shard, maxAliveAge) == ""
}

// Yields reports whether this process leads a shard and waits for another process to take
// it over.
func (v *View) Yields(shard int) bool { return v.yieldSince[shard] > 0 }

// yieldAfterTimeout lets a process that leads continue for up to yieldTimeout, and then follow
// another. A process that doesn't lead follows the other at once.
func (v *View) yieldAfterTimeout(now Time, shard int, leading bool, other Choice) Choice {
	if !leading {
		return other
	}
	if v.yieldSince[shard] == 0 {
		v.yieldSince[shard] = now
	}
	if now-v.yieldSince[shard] > yieldTimeout {
		return other
	}
	return Choice{Leader: v.self, Reachable: true}
}

// claimingLeader is the highest ranking of the other processes that report that they lead
// a shard (claimants); "" if none does. Several may, for instance after a network partition.
func (v *View) claimingLeader(now Time, shard int) ID {
	best := ID("")
	for _, id := range v.claimants[shard] {
		if now-v.peers[id].lastContact <= HeartbeatTimeout && (best == "" || v.ranksBefore(id, best, shard)) {
			best = id
		}
	}
	return best
}

// leaderFollowedByPeers finds a leader that this process has no contact with but that another
// process follows. If this process led at the same time, the two would acquire the runners from
// each other in turns, each with a higher fencing token.
//
// The leader counts for as long as the follower's last contact with it is no older than
// HeartbeatTimeout: the age that the follower reported, and the time since the follower was
// last in contact with this process. Of several, the one with the smallest ID is returned, so
// that the result doesn't depend on the order of the map.
func (v *View) leaderFollowedByPeers(now Time, shard int) ID {
	return v.followedByPeers(now, shard, HeartbeatTimeout)
}

// followedByPeers is leaderFollowedByPeers with the greatest age of the follower's last contact.
func (v *View) followedByPeers(now Time, shard int, maxAge Time) ID {
	found := ID("")
	for id, p := range v.peers {
		l := p.report.Leader(shard)
		if l == "" || l == v.self || l == id || v.peers[l] != nil {
			continue
		}
		if now-p.lastContact+p.report.Follows[shard].Age <= maxAge && (found == "" || l < found) {
			found = l
		}
	}
	return found
}

// ranksBefore ranks two processes for a shard: by class, then by age. Rendezvous scores take the
// place of age if this process's cell has several shards, and for shards of other cells.
func (v *View) ranksBefore(x, y ID, shard int) bool {
	if c := v.compareByClass(x, y); c != 0 {
		return c < 0
	}
	if len(v.shards) > 1 || v.layout[shard] != v.own.Cell {
		return score(x, shard) > score(y, shard)
	}
	return v.reportOf(x).Number < v.reportOf(y).Number
}

// compareByClass compares two processes by the criteria that precede age; see compareClass.
func (v *View) compareByClass(x, y ID) int {
	return compareClass(v.reportOf(x), v.reportOf(y))
}
