package fleet

import (
	"time"

	"sapphirepoint.example/sapphirepoint/core/leader"
	"sapphirepoint.example/sapphirepoint/core/ordered"
	"sapphirepoint.example/sapphirepoint/core/schedule"
	"sapphirepoint.example/sapphirepoint/core/workload"
)

// Query requests a stored job's state or, with cancel, its cancellation. A StateAnswer with the
// request's number follows.
func (n *Node) Query(now Time, request uint64, id workload.JobID, cancel bool) {
	n.detectStall(now)
	if !n.LayoutKnown() {
		n.emit(StateAnswer{Request: request, Unreachable: true})
		return
	}
	home := n.layout.StoredJobShard(id)
	switch c := n.shards[home].choice; {
	case c.Leader == "" || !c.Reachable:
		n.emit(StateAnswer{Request: request, Unreachable: true})
	case c.Leader == n.Self():
		n.handleQuery(now, pendingQuery{from: n.Self(), request: request, cancel: cancel, shard: home}, id)
	default:
		n.queries[request] = true
		n.emit(Send{To: c.Leader, Message: JobQuery{Request: request, Job: id, Cancel: cancel}})
	}
}

// ForgetQuery drops the query of a caller that has disconnected.
func (n *Node) ForgetQuery(request uint64) { delete(n.queries, request) }

// receiveJobAnswer handles the answer to a query that was sent to a leader, for a caller of this
// process or as the forwarded query of another process.
func (n *Node) receiveJobAnswer(m JobAnswer) {
	if r, ok := n.relays[m.Request]; ok {
		delete(n.relays, m.Request)
		n.answerQuery(r.pendingQuery, r.job, m.State)
		return
	}
	if !n.queries[m.Request] {
		return
	}
	delete(n.queries, m.Request)
	n.emit(StateAnswer{Request: m.Request, State: m.State})
}

const (
	// endQueryTimeout is how long a query waits for the end of a job whose tasks all run.
	// A caller that sees the work done queries at once, some milliseconds before the
	// runner's report arrives here; told that the job runs, it would query again much
	// later.
	endQueryTimeout = 40 * time.Millisecond
	// saveQueryTimeout is how long a query waits for an end that is being written to the
	// store: that takes some milliseconds, or a quarter of a second if the store is slow.
	saveQueryTimeout = 400 * time.Millisecond
)

// pendingQuery is the query of a caller, sent by its entry process.
type pendingQuery struct {
	from    leader.ID
	request uint64
	// shard is the shard in which the job is looked up, after it has left hops others.
	shard, hops int
	// askedAt is when the query arrived, and until is when it is answered at the latest,
	// whether or not the job has ended and the state is certain. A query waiting for a
	// cancellation to be written has no such limit, and until is 0.
	askedAt Time
	until   Time
	cancel  bool
	// awaitsSave: until was extended for an end that is being written.
	awaitsSave bool
}

// handleQuery answers a query, or queues it until the job has ended, its state is certain, or
// the query's time is up.
func (n *Node) handleQuery(now Time, q pendingQuery, id workload.JobID) {
	// Callers query only stored jobs, and the process that accepted the first one may
	// not be reachable from here.
	n.noteStoredJob(now)
	s := n.ownShard(q.shard)
	if s == nil {
		n.answerQuery(q, id, schedule.JobState{Uncertain: true})
		return
	}
	if to, arrived, moved := s.schedule.MovedTo(id); moved {
		n.handleMovedQuery(now, q, id, to, arrived)
		return
	}
	if !q.cancel {
		n.handleStateQuery(now, s, q, id)
		return
	}
	q.until = now + saveQueryTimeout
	if !n.tryCancel(now, s, &q, id) {
		s.pendingQueries[id] = append(s.pendingQueries[id], q)
	}
}

// tryCancel cancels a job and answers the query. It reports false if the query has to
// wait: until the cancellation is written or, for a limited time, until it is certain
// whether the job exists.
func (n *Node) tryCancel(now Time, s *shard, q *pendingQuery, id workload.JobID) bool {
	state, done := s.schedule.Cancel(now, id)
	switch {
	case !done:
		q.until = 0
		return false
	case state.Uncertain && now < q.until:
		return false
	}
	n.notice("job-cancelled", Field{"job", string(id)}, Field{"known", state.Known}, Field{"unsure", state.Uncertain})
	n.answerQuery(*q, id, state)
	return true
}

func (n *Node) handleStateQuery(now Time, s *shard, q pendingQuery, id workload.JobID) {
	q.askedAt = now
	state := s.schedule.State(id, now)
	switch {
	case state.Ending, state.Uncertain:
		q.until, q.awaitsSave = now+saveQueryTimeout, true
	case state.Running:
		q.until = now + endQueryTimeout
	default:
		n.answerQuery(q, id, state)
		return
	}
	s.pendingQueries[id] = append(s.pendingQueries[id], q)
}

// tickQueries answers queries whose time is up, or whose job's state has become final.
func (n *Node) tickQueries(now Time, s *shard) {
	for _, id := range ordered.Keys(s.pendingQueries) {
		var rest []pendingQuery
		for _, q := range s.pendingQueries[id] {
			if n.stillWaiting(now, s, &q, id) {
				rest = append(rest, q)
			}
		}
		if s.pendingQueries[id] = rest; len(rest) == 0 {
			delete(s.pendingQueries, id)
		}
	}
}

// stillWaiting reports whether a query has to wait longer; otherwise it answers the query.
func (n *Node) stillWaiting(now Time, s *shard, q *pendingQuery, id workload.JobID) bool {
	if q.cancel {
		return q.until == 0 || !n.tryCancel(now, s, q, id)
	}
	state := s.schedule.State(id, q.askedAt)
	switch {
	case now < q.until && state.Open():
		return true
	case state.Ending && !q.awaitsSave:
		// The job ended while the query waited.
		q.until, q.awaitsSave = now+saveQueryTimeout, true
		return true
	}
	n.answerQuery(*q, id, state)
	return false
}

// answerSaved answers the queries that wait until a job's end is in the store.
func (n *Node) answerSaved(s *shard, c schedule.OutcomeSaved) {
	waiting := s.pendingQueries[c.Job]
	delete(s.pendingQueries, c.Job)
	for _, q := range waiting {
		if q.cancel && !c.State.Ended {
			// The job moves to another shard, whose owner has to cancel it.
			n.answerQuery(q, c.Job, schedule.JobState{Uncertain: true})
			continue
		}
		if q.cancel {
			n.notice("job-cancelled", Field{"job", string(c.Job)}, Field{"known", c.State.Known}, Field{"outcome", c.State.Outcome.String()})
		}
		n.answerQuery(q, c.Job, c.State)
	}
}

// answerQuery answers a query. Only an answer that the job is unknown is logged; the
// progress of known jobs is logged elsewhere.
func (n *Node) answerQuery(q pendingQuery, id workload.JobID, state schedule.JobState) {
	if !state.Known && !state.Uncertain {
		n.notice("job-unknown", Field{"job", string(id)}, Field{"entry", string(q.from)}, Field{"stored-jobs", n.storedJobs.String()})
	}
	if q.from == n.Self() {
		n.emit(StateAnswer{Request: q.request, State: state})
		return
	}
	n.emit(Send{To: q.from, Message: JobAnswer{Request: q.request, State: state}})
}
