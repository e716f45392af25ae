package dispatch

import (
	"fmt"
	"slices"
	"time"

	"sapphirepoint.example/sapphirepoint/core/claim"
	"sapphirepoint.example/sapphirepoint/core/job"
	"sapphirepoint.example/sapphirepoint/core/queue"
	"sapphirepoint.example/sapphirepoint/core/settings"
	"sapphirepoint.example/sapphirepoint/core/task"
	pb "sapphirepoint.example/sapphirepoint/gen/sapphirepointv1"
)

// phase is the stage of a submission at this process.
type phase uint8

const (
	// claiming: the durable claim is not settled yet; nothing may start.
	claiming phase = iota + 1
	// held: this incarnation holds the claim and the job is in progress.
	held
	// ended: the final answer is fixed.
	ended
)

// submission is a job that has not ended: its claim is being settled, or this
// incarnation holds it.
type submission struct {
	// taskPrefix is the common prefix of its task names; empty until a task starts.
	taskPrefix string
	id         task.ID
	digest     task.Digest
	phase      phase
	request    *pb.Submission
	service    *pb.Service
	// waiters are the requests answered when the job ends.
	waiters []*waiter
	arrived task.Time
	// deadline is set by the first request and never extended.
	deadline task.Time
	timer    *timer
	job      queue.JobID
	assembly *job.Assembly
	// retention is how long the answer is retained.
	retention  time.Duration
	longestRun task.Time
	// written is set once a write of the claim has begun, by this submission or by
	// an earlier one for the same id whose claim was abandoned.
	written bool
	// number is the Claim.Number of its claim row.
	number uint64
	// cancelled is set if a caller cancelled before the claim was settled.
	cancelled bool
	// claimed is set once the claim is held by this incarnation.
	claimed bool
	// running are the starts without a final result.
	running map[task.StartID]*start
	// attempts counts, for each task, the starts that are known not to have run it.
	attempts []int
}

// submit handles a submission from a caller or forwarded by a peer.
func (c *Core) submit(from requester, institution string, s *pb.Submission, wait time.Duration) {
	id := task.IDOf(institution, s.GetId())
	digest := task.DigestOf(s)
	r := c.openRequest(from, id, s, digest, wait)
	if r == nil || c.answerKnown(r) {
		return
	}
	here := !id.Issued() || id.Holder == c.cfg.Self
	switch {
	case c.admissionClosed || c.draining && !here:
		c.reply(r, c.retryableAnswer(r, pb.Reason_REASON_NOT_SERVING, "the process is stopping"))
	case !here:
		c.sendToHolder(r, id.Holder)
	case id.Issued():
		c.submitIssued(r)
	default:
		c.submitOwnKey(r)
	}
}

// answerKnown answers a request for a submission that has ended here, or attaches
// it to one in progress. It reports false if the submission is unknown.
func (c *Core) answerKnown(r *waiter) bool {
	if a := c.answers.Get(r.id); a != nil {
		c.stats.Resubmissions++
		c.replyRetained(r, a)
		return true
	}
	sub := c.submissions[r.id]
	if sub == nil {
		return false
	}
	c.stats.Resubmissions++
	if c.rejectConflict(r, sub.digest) {
		return true
	}
	c.attach(r, sub)
	c.updateSuspension(sub)
	return true
}

func (c *Core) replyRetained(r *waiter, a *pb.Answer) {
	var digest task.Digest
	copy(digest[:], a.GetDigest())
	if !c.rejectConflict(r, digest) {
		c.reply(r, a)
	}
}

// rejectConflict rejects a request whose payload differs from that of the first use of the
// id, for instance a new revision of a document under the old id. Without the check its
// caller would get the result for the old payload. A submission that was cancelled before
// its payload was known conflicts with none.
func (c *Core) rejectConflict(r *waiter, digest task.Digest) bool {
	if r.isCancel() || digest == (task.Digest{}) || r.digest == digest {
		return false
	}
	c.stats.Conflicts++
	c.reply(r, rejectedAnswer(r, pb.Reason_REASON_CONFLICT, "the id was used with another payload"))
	return true
}

func (s *submission) removeWaiter(r *waiter) {
	if i := slices.Index(s.waiters, r); i >= 0 {
		s.waiters = slices.Delete(s.waiters, i, i+1)
	}
}

// allowedWait is the time allowed for a request.
func (c *Core) allowedWait(institution string, s *pb.Submission) time.Duration {
	inst := c.settings.Institution(institution)
	if inst == nil {
		return undeclaredTimeout
	}
	return responseLimit(inst, s)
}

func msDuration(ms uint32) time.Duration {
	return time.Duration(ms) * time.Millisecond
}

func responseLimit(inst *pb.Institution, s *pb.Submission) time.Duration {
	limit := inst.GetResponseTimeMs()
	if t := s.GetTimeoutMs(); t > 0 {
		limit = min(limit, t)
	}
	return msDuration(limit)
}

// check finds the declarations that a submission refers to, or describes the first
// problem.
func (c *Core) check(institution string, s *pb.Submission) (*pb.Institution, *pb.Service, string) {
	inst := c.settings.Institution(institution)
	if inst == nil {
		return nil, nil, fmt.Sprintf("institution %q isn't declared", institution)
	}
	service := settings.Service(inst, s.GetService())
	if service == nil {
		return nil, nil, fmt.Sprintf("service %q isn't declared", s.GetService())
	}
	if s.GetTeam() != "" && settings.Team(inst, s.GetTeam()) == nil {
		return nil, nil, fmt.Sprintf("team %q isn't declared", s.GetTeam())
	}
	if allowedTeams := service.GetTeams(); len(allowedTeams) > 0 && !slices.Contains(allowedTeams, s.GetTeam()) {
		return nil, nil, fmt.Sprintf("team %q may not submit to %q", s.GetTeam(), service.GetName())
	}
	if n := len(s.GetTasks()); n == 0 || n > int(service.GetMaxTasks()) {
		return nil, nil, fmt.Sprintf("%d tasks; %q takes 1 to %d", n, service.GetName(), service.GetMaxTasks())
	}
	for i, t := range s.GetTasks() {
		if len(t.GetPayload()) > int(service.GetMaxPayloadBytes()) {
			return nil, nil, fmt.Sprintf("tasks[%d].payload: %d bytes; %q takes %d", i, len(t.GetPayload()), service.GetName(), service.GetMaxPayloadBytes())
		}
	}
	if !service.GetIdempotent() && s.GetId().GetOwnKey() == "" {
		return nil, nil, fmt.Sprintf("%q isn't idempotent and needs the caller's own key", service.GetName())
	}
	return inst, service, ""
}

// newSubmission validates a request and creates its submission, or rejects the
// request and returns nil.
func (c *Core) newSubmission(r *waiter) *submission {
	inst, service, problem := c.check(r.id.Institution, r.submission)
	if problem != "" {
		c.reply(r, rejectedAnswer(r, pb.Reason_REASON_INVALID, problem))
		return nil
	}
	sub := &submission{
		id:        r.id,
		digest:    r.digest,
		request:   r.submission,
		service:   service,
		arrived:   c.now,
		deadline:  r.deadline,
		retention: time.Duration(inst.GetResubmitWindowS()) * time.Second,
	}
	if !c.admitKey(r, sub) {
		return nil
	}
	return sub
}

// submitIssued handles a submission under an id that this incarnation issued.
func (c *Core) submitIssued(r *waiter) {
	if !c.requireFreshID(r) {
		return
	}
	sub := c.newSubmission(r)
	if sub == nil {
		return
	}
	c.issuer.Use(c.now, r.id.Number)
	sub.retention = c.cfg.IDValidity
	c.submissions[sub.id] = sub
	c.attach(r, sub)
	c.beginJob(sub)
}

// requireFreshID rejects a request whose id cannot be used.
func (c *Core) requireFreshID(r *waiter) bool {
	switch c.issuer.State(c.now, r.id.Number) {
	case claim.Fresh:
		return true
	case claim.Unissued:
		c.reply(r, rejectedAnswer(r, pb.Reason_REASON_INVALID, "the id was never issued"))
	default:
		c.reply(r, failedAnswer(r, pb.Reason_REASON_ID_EXPIRED, "the id is used or expired and its answer isn't kept"))
	}
	return false
}

// beginJob starts the job of a submission whose claim this incarnation holds.
func (c *Core) beginJob(sub *submission) {
	sub.phase = held
	sub.claimed = true
	n := len(sub.request.GetTasks())
	sub.assembly = job.New(n)
	sub.attempts = make([]int, n)
	sub.running = make(map[task.StartID]*start)
	if refusal := c.admit(sub); refusal != nil {
		c.end(sub, refusal)
		return
	}
	c.lastJob++
	sub.job = c.lastJob
	c.jobs[sub.job] = sub
	c.queue.Add(c.queueJob(sub))
	c.countWaiting(sub, n)
	sub.timer = c.after(sub.deadline-c.now, func() { c.deadlinePassed(sub) })
	c.updateSuspension(sub)
}

func (c *Core) queueJob(sub *submission) queue.Job {
	tasks := sub.request.GetTasks()
	work := make([]task.Time, len(tasks))
	for i := range tasks {
		work[i] = c.expectedRunTime(sub, i)
	}
	return queue.Job{
		ID:          sub.job,
		Institution: sub.id.Institution,
		Team:        sub.request.GetTeam(),
		Priority:    c.settings.Institution(sub.id.Institution).GetPriority(),
		Arrived:     sub.arrived,
		Deadline:    sub.deadline,
		RunTimes:    work,
	}
}

func (c *Core) deadlinePassed(sub *submission) {
	if sub.phase != held {
		return
	}
	if c.awaitsResults(sub) {
		c.cancelTimer(sub.timer)
		sub.timer = c.after(c.resumedAt+resultWindow-c.now, func() { c.deadlinePassed(sub) })
		return
	}
	c.giveUp(sub, pb.Reason_REASON_DEADLINE, "the deadline passed")
}

// giveUp ends a job that cannot complete; the answer states whether it may have run.
func (c *Core) giveUp(sub *submission, reason pb.Reason, detail string) {
	if !sub.assembly.MayHaveRun() {
		c.end(sub, c.notRunAnswer(sub, reason, detail))
		return
	}
	a := answer(sub, pb.Outcome_OUTCOME_FAILED, reason, detail)
	a.MayHaveRun = true
	c.end(sub, a)
}

// end gives the final answer: it seals the job, so that no more of its tasks start, drops
// its waiting tasks, stops its running ones and replies to all waiters.
func (c *Core) end(sub *submission, a *pb.Answer) {
	if sub.phase == ended {
		panic("dispatch: second end of " + sub.id.String())
	}
	if sub.assembly != nil {
		sub.assembly.Seal()
		if a.GetOutcome() == pb.Outcome_OUTCOME_NOT_RUN && sub.assembly.MayHaveRun() {
			panic("dispatch: false not-run for " + sub.id.String())
		}
	}
	sub.phase = ended
	tasks := len(sub.request.GetTasks())
	if sub.job != 0 {
		c.queue.Remove(sub.job)
		c.countWaiting(sub, -sub.assembly.Waiting())
		delete(c.jobs, sub.job)
		c.stopRunning(sub)
	}
	c.cancelTimer(sub.timer)
	delete(c.submissions, sub.id)
	c.answers.Put(sub.id, a, c.now+sub.retention)
	c.emit(JobEnded{sub.id, a.GetOutcome(), a.GetReason(), tasks, c.now - sub.arrived, sub.longestRun})
	c.replyAll(sub, a)
	sub.request = nil
	sub.assembly = nil
}

// expire drops expired state.
func (c *Core) expire() {
	c.issuer.Expire(c.now)
	c.answers.Expire(c.now)
	c.holders.Expire(c.now)
	c.unsettledClaims.Expire(c.now)
	c.expireAdopted()
	c.expireRequested()
}

// assertMayStart panics if a task must not start. A start without a claim could be the
// second start that claims prevent. One past the deadline runs for a caller who has already
// been answered that the job is over.
func (c *Core) assertMayStart(sub *submission) {
	switch {
	case sub.phase != held || !sub.claimed:
		panic("dispatch: start without a claim for " + sub.id.String())
	case sub.id.Issued() && sub.id.Holder != c.cfg.Self:
		panic("dispatch: start under another's id " + sub.id.String())
	case c.now >= sub.deadline:
		panic("dispatch: start past the deadline of " + sub.id.String())
	case c.admissionClosed:
		panic("dispatch: start after the handover of " + sub.id.String())
	}
}
