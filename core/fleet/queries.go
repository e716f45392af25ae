package fleet

import "sapphirepoint.example/sapphirepoint/core/workload"

// Query asks for a job's state, or with cancel to end it. A StateAnswer with
// the request's number follows.
func (n *Node) Query(now Time, request uint64, id workload.JobID, cancel bool) {
	if len(n.shards) == 0 {
		n.emit(StateAnswer{Request: request, Unreachable: true})
		return
	}
	switch c := n.ofJob(id).choice; {
	case c.Leader == "" || !c.Reachable:
		n.emit(StateAnswer{Request: request, Unreachable: true})
	case c.Leader == n.Self():
		n.emit(StateAnswer{Request: request, State: n.jobState(now, id, cancel)})
	default:
		n.queries[request] = true
		n.emit(Send{To: c.Leader, Message: JobQuery{Request: request, Job: id, Cancel: cancel}})
	}
}

// Forget drops a question whose caller has left.
func (n *Node) Forget(request uint64) { delete(n.queries, request) }

func (n *Node) answerQuery(m JobAnswer) {
	if !n.queries[m.Request] {
		return
	}
	delete(n.queries, m.Request)
	n.emit(StateAnswer{Request: m.Request, State: m.State})
}

func (n *Node) jobState(now Time, id workload.JobID, cancel bool) JobState {
	if len(n.shards) == 0 {
		return JobState{}
	}
	s := n.ofJob(id).schedule
	if cancel {
		known := s.Cancel(now, id)
		n.notice("job-cancelled", Field{"job", string(id)}, Field{"known", known})
		return JobState{Known: known, Ended: known, Outcome: workload.Cancelled}
	}
	outcome, ended, known := s.State(id)
	return JobState{Known: known, Ended: ended, Outcome: outcome}
}
