package fleet

import (
	"maps"
	"slices"
	"time"

	"sapphirepoint.example/sapphirepoint/core/leader"
	"sapphirepoint.example/sapphirepoint/core/schedule"
	"sapphirepoint.example/sapphirepoint/core/workload"
)

// Stored jobs that another shard does, since their own has no runners.

const (
	// mostHops bounds how often a question is passed on: shards that no process owns
	// for sure could send it round.
	mostHops = 4
	// relayWait is how long the answer of another shard's owner is waited for.
	relayWait = time.Second
	// firstRelay keeps the numbers of questions that are passed on apart from those of
	// callers' requests, which begin at 1.
	firstRelay = 1 << 62
)

// relay is a question that was passed on to the owner of another shard.
type relay struct {
	question
	job workload.JobID
	at  Time
}

// alternate is the other shard in reach in which a stored job would wait least, and for how
// long; -1 if there is none.
func (n *Node) alternate(s *shard) (int, time.Duration) {
	best, least := -1, schedule.NoRunnersWait
	for _, o := range n.shards {
		if o == s || n.leaderOf(o.index) == "" {
			continue
		}
		wait := n.gateway.ExpectedWait(o.index)
		if o.leading() {
			wait = o.schedule.Wait()
		}
		if wait < least {
			best, least = o.index, wait
		}
	}
	return best, least
}

// handOn gives a job to the owner of another shard.
func (n *Node) handOn(now Time, s *shard, c schedule.MoveJob) {
	c.From = s.index
	m := JobMove{Shard: c.To, MovedJob: c.MovedJob}
	switch to := n.leaderOf(c.To); to {
	case "":
		// It is given again.
	case n.Self():
		n.take(now, to, m)
	default:
		n.emit(Send{To: to, Message: m})
	}
}

// leaderOf is the process in reach that leads a shard; "" if there is none.
func (n *Node) leaderOf(shard int) leader.ID {
	if shard < 0 || shard >= len(n.shards) || !n.shards[shard].choice.Reachable {
		return ""
	}
	return n.shards[shard].choice.Leader
}

func (n *Node) take(now Time, from leader.ID, m JobMove) {
	if s := n.ownShard(m.Shard); s != nil {
		n.seeStored(now)
		s.schedule.AcceptMovedJob(now, schedule.EntryID(from), m.MovedJob)
	}
}

// tellTaken passes on that a job has arrived.
func (n *Node) tellTaken(now Time, c schedule.MoveAck) {
	m := JobTaken{Shard: c.Shard, Job: c.Job}
	if leader.ID(c.To) == n.Self() {
		n.taken(now, m)
		return
	}
	n.emit(Send{To: leader.ID(c.To), Message: m})
}

func (n *Node) taken(now Time, m JobTaken) {
	if s := n.ownShard(m.Shard); s != nil {
		s.schedule.MoveAcknowledged(now, m.Job)
	}
}

// queried takes another process's question.
func (n *Node) queried(now Time, from leader.ID, m JobQuery) {
	q := question{from: from, request: m.Request, cancel: m.Cancel, shard: m.Shard, hops: m.Hops}
	if m.Hops == 0 && n.LayoutKnown() {
		q.shard = n.layout.StoredJobShard(m.Job)
	}
	n.ask(now, q, m.Job)
}

// askMoved answers a question about a job that another shard has, or passes it on.
func (n *Node) askMoved(now Time, q question, id workload.JobID, to int, arrived bool) {
	q.shard, q.hops = to, q.hops+1
	owner := n.leaderOf(to)
	switch {
	case !arrived && !q.cancel:
		n.tell(q, id, schedule.JobState{Known: true, Begun: true})
	case !arrived || q.hops > mostHops || owner == "":
		n.tell(q, id, schedule.JobState{Unsure: true})
	case owner == n.Self():
		n.ask(now, q, id)
	default:
		n.lastRelay++
		n.relays[n.lastRelay] = relay{question: q, job: id, at: now}
		n.emit(Send{To: owner, Message: JobQuery{Request: n.lastRelay, Job: id, Cancel: q.cancel, Hops: q.hops, Shard: to}})
	}
}

// expireRelays answers questions that the owner of another shard hasn't answered.
func (n *Node) expireRelays(now Time) {
	for _, request := range slices.Sorted(maps.Keys(n.relays)) {
		if r := n.relays[request]; now-r.at >= relayWait {
			delete(n.relays, request)
			n.tell(r.question, r.job, schedule.JobState{Unsure: true})
		}
	}
}
