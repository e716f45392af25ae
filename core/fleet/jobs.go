package fleet

import (
	"math"
	"time"

	"sapphirepoint.example/sapphirepoint/core/gateway"
	"sapphirepoint.example/sapphirepoint/core/leader"
	"sapphirepoint.example/sapphirepoint/core/schedule"
	"sapphirepoint.example/sapphirepoint/core/workload"
)

// The path of a job: from a caller to the gateway of its entry process, from there to a
// scheduler in this or another process, and the answer back.

// Submit handles a caller's request. remainingTimeout is how long the caller waits for an answer.
func (n *Node) Submit(now Time, request uint64, job *workload.Job, remainingTimeout time.Duration) {
	n.detectStall(now)
	n.lastArrival = now
	if job.Stored {
		n.noteStoredJob(now)
	}
	if !job.Stored && !n.timeToServe(now, job) {
		n.answerEnding(request, job)
		return
	}
	if len(n.shards) == 0 {
		n.queueEarly(now, request, job, remainingTimeout)
		return
	}
	n.gateway.Submit(now, request, n.shardOfJob(job), job, remainingTimeout)
}

// answerEnding answers a request that comes too late for this process to serve it. No scheduler is
// asked, and a copy of the job may have run, so the outcome isn't NotRun. After GaveUp the caller sends
// the job again, to another process.
func (n *Node) answerEnding(request uint64, job *workload.Job) {
	n.emit(Answer{gateway.Reply{
		Request: request, Job: job, Outcome: workload.GaveUp, RetryAfter: stopRetryAfter,
		Cause: workload.ProcessEnding, Reason: "this process is about to end",
	}})
}

// CallerLeft handles the disconnect of a caller.
func (n *Node) CallerLeft(now Time, request uint64) {
	n.dropEarly(request)
	n.gateway.CallerLeft(now, request)
}

// sendVerdict passes a scheduler's verdict to the entry process of the job's caller.
func (n *Node) sendVerdict(s *shard, a schedule.Answer) {
	switch {
	case a.Lent:
		n.notice("job-lent", Field{"job", string(a.Job)}, Field{"shard", s.index}, Field{"lender", a.Lender},
			Field{"outcome", a.Outcome.String()}, Field{"entry", string(a.Entry)}, Field{"age", ms(a.Held)})
	case a.Outcome == workload.Accepted:
		n.noticeAnswer("job-accepted", a)
	default:
		n.noticeAnswer("job-ended", a)
	}
	v := gateway.Verdict{
		From: n.Self(), Job: a.Job, Outcome: a.Outcome, RetryAfter: a.RetryAfter, Cause: a.Cause, Reason: a.Reason,
		NoRoom: a.NoRoom, Lent: a.Lent, Lender: a.Lender,
	}
	if leader.ID(a.Entry) == n.Self() {
		n.gateway.HandleVerdict(a.At, v)
		return
	}
	n.emit(Send{To: leader.ID(a.Entry), Message: Verdict{v}})
}

// noticeAnswer logs a scheduler's verdict on a job.
func (n *Node) noticeAnswer(event string, a schedule.Answer) {
	fields := []Field{
		{"job", string(a.Job)}, {"queue", a.Queue}, {"outcome", a.Outcome.String()}, {"entry", string(a.Entry)},
		{"waited", ms(a.Waited)}, {"work", ms(a.Work)}, {"estimate", ms(a.Estimate)}, {"runs", a.Runs},
		{"retry-after", ms(a.RetryAfter)}, {"cause", a.Cause.String()}, {"reason", a.Reason},
	}
	if a.LongestRunner != "" {
		fields = append(fields, Field{"longest-runner", string(a.LongestRunner)}, Field{"relative-pace", math.Round(a.RelativePace*100) / 100})
	}
	n.notice(event, fields...)
}

// decisionFields are the fields of the notice of a scheduler's decision.
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
	if d.Entry != "" {
		f = append(f, Field{"entry", string(d.Entry)})
	}
	if d.Reason != "" {
		f = append(f, Field{"reason", d.Reason})
	}
	if d.Detail != "" {
		f = append(f, Field{"detail", d.Detail})
	}
	return append(f, Field{"age", ms(d.Age)})
}

// dropJob passes an entry process's DropJob to the shard's scheduler.
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

// submit passes a job that its entry process hands in to the shard's scheduler.
func (n *Node) submit(now Time, from leader.ID, c gateway.HandIn) {
	s := n.ownShard(c.Shard)
	if s == nil {
		// The sender learns from heartbeats that this process doesn't lead the shard.
		return
	}
	if c.Job.Stored {
		n.noteStoredJob(now)
	}
	s.schedule.Submit(now, schedule.Submission{
		Job:                c.Job,
		Entry:              schedule.EntryID(from),
		SentAt:             n.sentAt(now),
		RemainingObjective: c.RemainingObjective,
		RemainingTimeout:   c.RemainingTimeout,
		PriorSubmissions:   c.PriorSubmissions,
		PriorRunsTTL:       c.PriorRunsTTL,
		Domain:             c.Domain,
		Foreign:            c.Shard != c.Home,
		HandedBack:         c.HandedBack,
	})
}
