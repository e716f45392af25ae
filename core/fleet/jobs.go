package fleet

import (
	"time"

	"sapphirepoint.example/sapphirepoint/core/gateway"
	"sapphirepoint.example/sapphirepoint/core/leader"
	"sapphirepoint.example/sapphirepoint/core/schedule"
	"sapphirepoint.example/sapphirepoint/core/workload"
)

// The way of a job through a process: from a caller to the gateway, from a gateway,
// here or elsewhere, to a scheduler, and back.

// Submit takes a caller's request.
func (n *Node) Submit(now Time, request uint64, job *workload.Job, patience time.Duration) {
	n.checkPause(now)
	n.lastArrival = now
	if job.Stored {
		n.seeStored(now)
	}
	if !job.Stored && !n.timeToServe(now, job) {
		outcome := workload.NotRun
		if now < n.doubtUntil {
			outcome = workload.GaveUp
		}
		n.emit(Answer{gateway.Reply{Request: request, Job: job, Outcome: outcome, RetryAfter: retryStopping, Reason: "this process is about to end"}})
		return
	}
	if len(n.shards) == 0 {
		n.arriveEarly(now, request, job, patience)
		return
	}
	n.gateway.Submit(now, request, n.ofJob(job), job, patience)
}

// CallerLeft notes that a caller has gone.
func (n *Node) CallerLeft(now Time, request uint64) {
	n.leftEarly(request)
	n.gateway.CallerLeft(now, request)
}

// verdict passes the scheduler's word to the process that has the caller.
func (n *Node) verdict(a schedule.Answer) {
	event := "job-ended"
	if a.Outcome == workload.Accepted {
		event = "job-accepted"
	}
	n.notice(event, Field{"job", string(a.Job)}, Field{"outcome", a.Outcome.String()}, Field{"entry", string(a.Entry)},
		Field{"waited", ms(a.Waited)}, Field{"work", ms(a.Work)},
		Field{"estimate", ms(a.Estimate)}, Field{"runs", a.Runs}, Field{"retry-after", ms(a.RetryAfter)}, Field{"reason", a.Reason})
	v := gateway.Verdict{From: n.Self(), Job: a.Job, Outcome: a.Outcome, RetryAfter: a.RetryAfter, Reason: a.Reason, NoRoom: a.NoRoom}
	if leader.ID(a.Entry) == n.Self() {
		n.gateway.HandleVerdict(a.At, v)
		return
	}
	n.emit(Send{To: leader.ID(a.Entry), Message: Verdict{v}})
}

func decisionFields(d schedule.Decision) []Field {
	var f []Field
	if d.Job != "" {
		f = append(f, Field{"job", string(d.Job)})
	}
	if d.Run.Number > 0 {
		f = append(f, Field{"run", d.Run.String()})
	}
	if d.Runner != "" {
		f = append(f, Field{"runner", string(d.Runner)})
	}
	if d.Token != 0 {
		f = append(f, Field{"token", d.Token})
	}
	if d.Reason != "" {
		f = append(f, Field{"reason", d.Reason})
	}
	return append(f, Field{"age", ms(d.Age)})
}

func (n *Node) dropJob(now Time, from leader.ID, m DropJob) {
	s := n.ownShard(m.Shard)
	if s == nil {
		return
	}
	if m.HandedOver {
		s.schedule.Withdraw(now, schedule.EntryID(from), m.Job)
		return
	}
	s.schedule.Abandon(now, schedule.EntryID(from), m.Job)
}

func (n *Node) submit(now Time, from leader.ID, c gateway.HandIn) {
	s := n.ownShard(c.Shard)
	if s == nil {
		// The sender hears from the heartbeats that this process doesn't lead.
		return
	}
	if c.Job.Stored {
		n.seeStored(now)
	}
	s.schedule.Submit(now, schedule.Submission{
		Job:                c.Job,
		Entry:              schedule.EntryID(from),
		RemainingObjective: c.Due,
		RemainingTimeout:   c.Patience,
		PriorSubmissions:   c.Handed,
		PriorRunsTTL:       c.Unknown,
		Domain:             c.Domain,
		Foreign:            c.Shard != c.Home,
	})
}

// Pending is the number of jobs of each queue of which no task has started, as
// the leaders have last said.
func (n *Node) Pending() map[string]int {
	sum := make(map[string]int)
	add := func(counts map[string]int) {
		for queue, count := range counts {
			sum[queue] += count
		}
	}
	add(n.ownPending())
	for _, id := range n.peers() {
		add(n.pending[id])
	}
	return sum
}

// ownPending counts the jobs that wait in this process's schedulers.
func (n *Node) ownPending() map[string]int {
	sum := make(map[string]int)
	for _, s := range n.own {
		if !s.schedule.Leading() {
			continue
		}
		for queue, count := range s.schedule.Pending() {
			sum[queue] += count
		}
	}
	return sum
}
