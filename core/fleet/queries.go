package fleet

import (
	"maps"
	"slices"
	"time"

	"sapphirepoint.example/sapphirepoint/core/leader"
	"sapphirepoint.example/sapphirepoint/core/schedule"
	"sapphirepoint.example/sapphirepoint/core/workload"
)

// Query asks for a job's state, or with cancel to end it. A StateAnswer with
// the request's number follows.
func (n *Node) Query(now Time, request uint64, id workload.JobID, cancel bool) {
	n.checkPause(now)
	if !n.LayoutKnown() {
		n.emit(StateAnswer{Request: request, Unreachable: true})
		return
	}
	home := n.layout.StoredJobShard(id)
	switch c := n.shards[home].choice; {
	case c.Leader == "" || !c.Reachable:
		n.emit(StateAnswer{Request: request, Unreachable: true})
	case c.Leader == n.Self():
		n.ask(now, question{from: n.Self(), request: request, cancel: cancel, shard: home}, id)
	default:
		n.queries[request] = true
		n.emit(Send{To: c.Leader, Message: JobQuery{Request: request, Job: id, Cancel: cancel}})
	}
}

// ForgetQuery drops a question whose caller has left.
func (n *Node) ForgetQuery(request uint64) { delete(n.queries, request) }

func (n *Node) answerQuery(m JobAnswer) {
	if r, ok := n.relays[m.Request]; ok {
		delete(n.relays, m.Request)
		n.tell(r.question, r.job, m.State)
		return
	}
	if !n.queries[m.Request] {
		return
	}
	delete(n.queries, m.Request)
	n.emit(StateAnswer{Request: m.Request, State: m.State})
}

const (
	// endWait is how long a question waits for a job whose tasks all run. A
	// caller who sees that the work is done asks at once, some milliseconds
	// before the runner's word is here; without an answer it would ask again
	// much later.
	endWait = 40 * time.Millisecond
	// saveWait is how long a question waits for an end that is being written to
	// the store: some milliseconds, a quarter of a second if the store is slow.
	saveWait = 400 * time.Millisecond
)

// question is one that a caller's entry process has asked.
type question struct {
	from    leader.ID
	request uint64
	// shard is where the job is looked for, after it has left hops others.
	shard, hops int
	// asked is when it came, and until how long it waits for the job's end, or
	// for certainty. A cancelling that is being written has no such bound.
	asked  Time
	until  Time
	cancel bool
	// extended: it waits for an end that is being written.
	extended bool
}

// ask answers a question about a job, or has it answered later.
func (n *Node) ask(now Time, q question, id workload.JobID) {
	// Callers ask only for stored jobs, and the process that has accepted the
	// first one may not be heard here.
	n.seeStored(now)
	s := n.ownShard(q.shard)
	if s == nil {
		n.tell(q, id, schedule.JobState{Unsure: true})
		return
	}
	if to, arrived, moved := s.schedule.MovedTo(id); moved {
		n.askMoved(now, q, id, to, arrived)
		return
	}
	if !q.cancel {
		n.askState(now, s, q, id)
		return
	}
	q.until = now + saveWait
	if !n.cancelled(now, s, &q, id) {
		s.questions[id] = append(s.questions[id], q)
	}
}

// cancelled cancels a job and tells what came of it. It reports false if the
// question has to wait: until the cancelling is written, or for a moment until it
// can be told whether there is such a job.
func (n *Node) cancelled(now Time, s *shard, q *question, id workload.JobID) bool {
	state, done := s.schedule.Cancel(now, id)
	switch {
	case !done:
		q.until = 0
		return false
	case state.Unsure && now < q.until:
		return false
	}
	n.notice("job-cancelled", Field{"job", string(id)}, Field{"known", state.Known}, Field{"unsure", state.Unsure})
	n.tell(*q, id, state)
	return true
}

func (n *Node) askState(now Time, s *shard, q question, id workload.JobID) {
	q.asked = now
	state := s.schedule.State(id, now)
	switch {
	case state.Ending, state.Unsure:
		q.until, q.extended = now+saveWait, true
	case state.Running:
		q.until = now + endWait
	default:
		n.tell(q, id, state)
		return
	}
	s.questions[id] = append(s.questions[id], q)
}

// tickQuestions answers questions that have waited long enough.
func (n *Node) tickQuestions(now Time, s *shard) {
	for _, id := range slices.Sorted(maps.Keys(s.questions)) {
		var rest []question
		for _, q := range s.questions[id] {
			if n.waits(now, s, &q, id) {
				rest = append(rest, q)
			}
		}
		if s.questions[id] = rest; len(rest) == 0 {
			delete(s.questions, id)
		}
	}
}

// waits reports whether a question goes on waiting; else it is answered.
func (n *Node) waits(now Time, s *shard, q *question, id workload.JobID) bool {
	if q.cancel {
		return q.until == 0 || !n.cancelled(now, s, q, id)
	}
	state := s.schedule.State(id, q.asked)
	switch {
	case now < q.until && state.Open():
		return true
	case state.Ending && !q.extended:
		// It ended while the question waited.
		q.until, q.extended = now+saveWait, true
		return true
	}
	n.tell(*q, id, state)
	return false
}

// settled answers those who wait for a job's end to be in the store.
func (n *Node) settled(s *shard, c schedule.OutcomeSaved) {
	waiting := s.questions[c.Job]
	delete(s.questions, c.Job)
	for _, q := range waiting {
		if q.cancel && !c.State.Ended {
			// It goes to another shard, whose owner is to cancel it.
			n.tell(q, c.Job, schedule.JobState{Unsure: true})
			continue
		}
		if q.cancel {
			n.notice("job-cancelled", Field{"job", string(c.Job)}, Field{"known", c.State.Known}, Field{"outcome", c.State.Outcome.String()})
		}
		n.tell(q, c.Job, c.State)
	}
}

// tell answers a question. That a job isn't known is a decision; how far it is,
// other lines say.
func (n *Node) tell(q question, id workload.JobID, state schedule.JobState) {
	if !state.Known && !state.Unsure {
		n.notice("job-unknown", Field{"job", string(id)}, Field{"entry", string(q.from)}, Field{"stored-jobs", n.stored.String()})
	}
	if q.from == n.Self() {
		n.emit(StateAnswer{Request: q.request, State: state})
		return
	}
	n.emit(Send{To: q.from, Message: JobAnswer{Request: q.request, State: state}})
}
