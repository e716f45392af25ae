package fleet

import (
	"slices"

	"sapphirepoint.example/sapphirepoint/core/leader"
	"sapphirepoint.example/sapphirepoint/core/schedule"
	"sapphirepoint.example/sapphirepoint/core/workload"
)

// PossibleRuns names to the processes that would lead Shard next the jobs that may have a run on a silent runner. Its leader
// sends it when there are more of them, or other such processes. Processes of earlier versions ignore it.
type PossibleRuns struct {
	Shard int
	Jobs  []schedule.PossibleRun
}

func (PossibleRuns) message() {}

// possibleRunsState is what a leader has last sent of the jobs that may have a run on a silent runner.
type possibleRunsState struct {
	// checkedAt is when it last checked whether they are to be sent.
	checkedAt Time
	// sent has until when the runs may live that were named, and sentTo the receivers.
	sent   map[workload.JobID]Time
	sentTo []leader.ID
	// cutLogged: it was logged that not all jobs are named.
	cutLogged bool
}

// sharePossibleRuns names the jobs that may have a run on a silent runner to this leader's successors, at most once in a
// heartbeat's interval.
func (n *Node) sharePossibleRuns(now Time, s *shard) {
	state := &s.possibleRuns
	if !s.schedule.Leading() || now-state.checkedAt < leader.HeartbeatInterval-TickInterval/2 {
		return
	}
	state.checkedAt = now
	jobs, leftOut := s.schedule.PossibleRuns(now)
	if leftOut > 0 && !state.cutLogged {
		n.warn("possible-runs-cut", Field{"shard", s.index}, Field{"named", len(jobs)}, Field{"left_out", leftOut})
	}
	state.cutLogged = leftOut > 0
	if len(jobs) == 0 {
		state.sent, state.sentTo = nil, nil
		return
	}
	successors := n.successors(now, s)
	if slices.Equal(successors, state.sentTo) && !state.lacks(now, jobs) {
		return
	}
	state.sentTo, state.sent = successors, make(map[workload.JobID]Time, len(jobs))
	for _, j := range jobs {
		state.sent[j.Job] = now + j.Rest
	}
	for _, to := range successors {
		n.emit(Send{To: to, Message: PossibleRuns{Shard: s.index, Jobs: jobs}})
	}
}

// lacks reports whether a job wasn't named, or its run may live longer than was said.
func (s *possibleRunsState) lacks(now Time, jobs []schedule.PossibleRun) bool {
	return slices.ContainsFunc(jobs, func(j schedule.PossibleRun) bool { return s.sent[j.Job] < now+j.Rest })
}

// resendPossibleRuns has the jobs named again if a process that knew them connects anew, since messages may have been lost.
func (n *Node) resendPossibleRuns(id leader.ID) {
	for _, s := range n.own {
		if slices.Contains(s.possibleRuns.sentTo, id) {
			s.possibleRuns.sentTo = nil
		}
	}
}

// receivePossibleRuns passes on what the leader of a shard has named.
func (n *Node) receivePossibleRuns(now Time, m PossibleRuns) {
	if s := n.ownShard(m.Shard); s != nil {
		s.schedule.NotePossibleRuns(now, m.Jobs)
	}
}
