package fleet

import (
	"maps"
	"slices"
	"time"

	"sapphirepoint.example/sapphirepoint/core/leader"
	"sapphirepoint.example/sapphirepoint/core/schedule"
	"sapphirepoint.example/sapphirepoint/core/workload"
)

// Stored jobs that move to another shard: their own has no runners for them, or nothing waits in
// the other. Queries for such a job are forwarded there.

const (
	// maxHops bounds how often a query is forwarded: shards whose ownership is uncertain
	// could forward it in a cycle.
	maxHops = 4
	// relayTimeout is how long to wait for the answer of another shard's owner.
	relayTimeout = time.Second
	// firstRelayID separates the request numbers of forwarded queries from those of
	// callers' requests, which begin at 1.
	firstRelayID = 1 << 62
)

// relay is a query that was forwarded to the owner of another shard.
type relay struct {
	pendingQuery
	job workload.JobID
	at  Time
}

// alternateShard is the other shard with a reachable leader that accepts moved jobs in which a stored
// job would wait least, and how long it would wait; -1 if there is none.
func (n *Node) alternateShard(s *shard) (int, time.Duration) {
	best, least := -1, schedule.NoRunnersWait
	for _, o := range n.shards {
		if o == s || n.leaderOf(o.index) == "" || n.refusesMoves(o) {
			continue
		}
		wait := n.gateway.ExpectedWait(o.index)
		if o.leading() {
			wait = o.schedule.ExpectedWait()
		}
		if wait < least {
			best, least = o.index, wait
		}
	}
	return best, least
}

// refusesMoves reports whether a shard's leader accepts no moved jobs, as far as it has reported it.
func (n *Node) refusesMoves(s *shard) bool {
	if s.leading() {
		return !s.schedule.AcceptsMoves()
	}
	reported, known := n.loads[s.index]
	return known && reported.leader == n.leaderOf(s.index) && reported.RefusesMoves
}

// moveJob transfers a job to the owner of another shard.
func (n *Node) moveJob(now Time, s *shard, c schedule.MoveJob) {
	c.From = s.index
	m := JobMove{Shard: c.To, MovedJob: c.MovedJob}
	switch to := n.leaderOf(c.To); to {
	case "":
		// The scheduler issues the command again until the job has arrived.
	case n.Self():
		n.receiveMovedJob(now, to, m)
	default:
		n.emit(Send{To: to, Message: m})
	}
}

// leaderOf is the reachable leader of a shard; empty if there is none.
func (n *Node) leaderOf(shard int) leader.ID {
	if shard < 0 || shard >= len(n.shards) || !n.shards[shard].choice.Reachable {
		return ""
	}
	return n.shards[shard].choice.Leader
}

func (n *Node) receiveMovedJob(now Time, from leader.ID, m JobMove) {
	if s := n.ownShard(m.Shard); s != nil {
		n.noteStoredJob(now)
		s.schedule.AcceptMovedJob(now, schedule.EntryID(from), m.MovedJob)
	}
}

// sendJobTaken reports to the former owner that a moved job has been stored here.
func (n *Node) sendJobTaken(now Time, c schedule.MoveAck) {
	m := JobTaken{Shard: c.Shard, Job: c.Job}
	if leader.ID(c.To) == n.Self() {
		n.receiveJobTaken(now, n.Self(), m)
		return
	}
	n.emit(Send{To: leader.ID(c.To), Message: m})
}

// receiveJobTaken handles an acknowledgement of a moved job. It names no move, so it counts only if it
// comes from the leader of the shard that the job moves to: another process's may be that of an earlier
// move. What one process sends arrives in order, so that its acknowledgement of an earlier move has
// arrived before the job came back. One that is ignored is repeated, since the job is sent again.
func (n *Node) receiveJobTaken(now Time, from leader.ID, m JobTaken) {
	s := n.ownShard(m.Shard)
	if s == nil {
		return
	}
	if to, _, moved := s.schedule.MovedTo(m.Job); moved && n.leaderOf(to) == from {
		s.schedule.MoveAcknowledged(now, m.Job)
	}
}

// receiveQuery handles another process's query.
func (n *Node) receiveQuery(now Time, from leader.ID, m JobQuery) {
	q := pendingQuery{from: from, request: m.Request, cancel: m.Cancel, shard: m.Shard, hops: m.Hops}
	if m.Hops == 0 && n.LayoutKnown() {
		q.shard = n.layout.StoredJobShard(m.Job)
	}
	n.handleQuery(now, q, m.Job)
}

// handleMovedQuery answers a query for a job that moves to the shard to, or forwards the query.
// arrived: the job is stored in the rows of that shard.
func (n *Node) handleMovedQuery(now Time, q pendingQuery, id workload.JobID, to int, arrived bool) {
	q.shard, q.hops = to, q.hops+1
	owner := n.leaderOf(to)
	switch {
	case !arrived && !q.cancel:
		n.answerQuery(q, id, schedule.JobState{Known: true, Begun: true})
	case !arrived || q.hops > maxHops || owner == "":
		n.answerQuery(q, id, schedule.JobState{Uncertain: true})
	case owner == n.Self():
		n.handleQuery(now, q, id)
	default:
		n.lastRelayID++
		n.relays[n.lastRelayID] = relay{pendingQuery: q, job: id, at: now}
		n.emit(Send{To: owner, Message: JobQuery{Request: n.lastRelayID, Job: id, Cancel: q.cancel, Hops: q.hops, Shard: to}})
	}
}

// expireRelays answers forwarded queries to which the other owner hasn't replied in time.
func (n *Node) expireRelays(now Time) {
	for _, request := range slices.Sorted(maps.Keys(n.relays)) {
		if r := n.relays[request]; now-r.at >= relayTimeout {
			delete(n.relays, request)
			n.answerQuery(r.pendingQuery, r.job, schedule.JobState{Uncertain: true})
		}
	}
}
