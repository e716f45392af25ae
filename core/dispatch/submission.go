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
	// claiming: the durable claim isn't settled; nothing may start.
	claiming phase = iota + 1
	// held: this incarnation holds the claim and the job is in progress.
	held
	// ended: the final answer stands.
	ended
)

// submission is a job that isn't ended: its claim is being settled, or it is
// held here.
type submission struct {
	// taskPrefix begins the names of its tasks; empty until one starts.
	taskPrefix string
	id         task.ID
	digest     task.Digest
	phase      phase
	request    *pb.Submission
	service    *pb.Service
	// waiters are the requests that its end will answer.
	waiters []*waiter
	arrived task.Time
	// deadline is set once, from the first request, and never extended.
	deadline task.Time
	timer    *timer
	job      queue.JobID
	assembly *job.Assembly
	// ttl is how long the answer is kept.
	ttl     time.Duration
	longest task.Time
	// written is set once a write of the claim was begun, here or before it was
	// given up on.
	written bool
	// number is that of the claim's row.
	number uint64
	// cancelled is set when a caller cancelled before the claim was settled.
	cancelled bool
	// claimed is set when the claim stands in this incarnation's name.
	claimed bool
	// running are the starts that aren't settled.
	running map[task.StartID]*start
	// attempts counts for each task the starts known never to have run.
	attempts []int
}

// submit takes a submission from a caller, or one that a peer passed on.
func (c *Core) submit(from asker, institution string, s *pb.Submission, wait time.Duration) {
	id := task.IDOf(institution, s.GetId())
	digest := task.DigestOf(s)
	r := c.open(from, id, s, digest, wait)
	if r == nil || c.answerKnown(r) {
		return
	}
	here := !id.Issued() || id.Holder == c.cfg.Self
	switch {
	case c.closed || c.draining && !here:
		c.reply(r, c.unsettled(r, pb.Reason_REASON_NOT_SERVING, "the process is stopping"))
	case !here:
		c.toHolder(r, id.Holder)
	case id.Issued():
		c.takeIssued(r)
	default:
		c.takeOwnKey(r)
	}
}

// answerKnown answers a request for a submission that ended here, or joins it
// to one in progress.
func (c *Core) answerKnown(r *waiter) bool {
	if a := c.answers.Get(r.id); a != nil {
		c.stats.Resubmissions++
		c.replyKept(r, a)
		return true
	}
	sub := c.submissions[r.id]
	if sub == nil {
		return false
	}
	c.stats.Resubmissions++
	if c.conflicts(r, sub.digest) {
		return true
	}
	c.attach(r, sub)
	c.holdBack(sub)
	return true
}

func (c *Core) replyKept(r *waiter, a *pb.Answer) {
	var digest task.Digest
	copy(digest[:], a.GetDigest())
	if !c.conflicts(r, digest) {
		c.reply(r, a)
	}
}

// conflicts rejects a request whose payload differs from that of the id's
// first use: a recipe sheet's new revision under the old id. Joined, its caller
// would print the label of the old one. A submission that was cancelled before
// its payload was seen conflicts with none.
func (c *Core) conflicts(r *waiter, digest task.Digest) bool {
	if r.cancels() || digest == (task.Digest{}) || r.digest == digest {
		return false
	}
	c.stats.Conflicts++
	c.reply(r, rejected(r, pb.Reason_REASON_CONFLICT, "the id was used with another payload"))
	return true
}

func (s *submission) removeWaiting(r *waiter) {
	if i := slices.Index(s.waiters, r); i >= 0 {
		s.waiters = slices.Delete(s.waiters, i, i+1)
	}
}

// allowance is the time that a request may take.
func (c *Core) allowance(institution string, s *pb.Submission) time.Duration {
	inst := c.settings.Institution(institution)
	if inst == nil {
		return undeclaredWait
	}
	return allowed(inst, s)
}

func msDuration(ms uint32) time.Duration {
	return time.Duration(ms) * time.Millisecond
}

func allowed(inst *pb.Institution, s *pb.Submission) time.Duration {
	limit := inst.GetResponseTimeMs()
	if t := s.GetTimeoutMs(); t > 0 {
		limit = min(limit, t)
	}
	return msDuration(limit)
}

// check finds the declarations a submission refers to, or says what is wrong.
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
	if allowed := service.GetTeams(); len(allowed) > 0 && !slices.Contains(allowed, s.GetTeam()) {
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

// newSubmission checks a request and makes its submission; nil if it was
// rejected.
func (c *Core) newSubmission(r *waiter) *submission {
	inst, service, problem := c.check(r.id.Institution, r.submission)
	if problem != "" {
		c.reply(r, rejected(r, pb.Reason_REASON_INVALID, problem))
		return nil
	}
	sub := &submission{
		id:       r.id,
		digest:   r.digest,
		request:  r.submission,
		service:  service,
		arrived:  c.now,
		deadline: r.deadline,
		ttl:      time.Duration(inst.GetResubmitWindowS()) * time.Second,
	}
	if !c.admitKey(r, sub) {
		return nil
	}
	return sub
}

// takeIssued takes a submission under an id that this incarnation issued.
func (c *Core) takeIssued(r *waiter) {
	if !c.idFresh(r) {
		return
	}
	sub := c.newSubmission(r)
	if sub == nil {
		return
	}
	c.issuer.Use(c.now, r.id.Number)
	sub.ttl = c.cfg.IDValidity
	c.submissions[sub.id] = sub
	c.attach(r, sub)
	c.hold(sub)
}

// idFresh answers a request whose number can't be used any more.
func (c *Core) idFresh(r *waiter) bool {
	switch c.issuer.State(c.now, r.id.Number) {
	case claim.Fresh:
		return true
	case claim.Unissued:
		c.reply(r, rejected(r, pb.Reason_REASON_INVALID, "the id was never issued"))
	default:
		c.reply(r, failed(r, pb.Reason_REASON_ID_EXPIRED, "the id is used or expired and its answer isn't kept"))
	}
	return false
}

// hold begins the job of a submission whose claim this incarnation holds.
func (c *Core) hold(sub *submission) {
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
	c.noteWaiting(sub, n)
	sub.timer = c.after(sub.deadline-c.now, func() { c.deadlinePassed(sub) })
	c.holdBack(sub)
}

func (c *Core) queueJob(sub *submission) queue.Job {
	tasks := sub.request.GetTasks()
	work := make([]task.Time, len(tasks))
	for i := range tasks {
		work[i] = c.expected(sub, i)
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
	c.giveUp(sub, pb.Reason_REASON_DEADLINE, "the deadline passed")
}

// giveUp ends a job with the truth about whether it may have run.
func (c *Core) giveUp(sub *submission, reason pb.Reason, detail string) {
	if !sub.assembly.MayHaveRun() {
		c.end(sub, c.notRun(sub, reason, detail))
		return
	}
	a := answer(sub, pb.Outcome_OUTCOME_FAILED, reason, detail)
	a.MayHaveRun = true
	c.end(sub, a)
}

// end gives the final answer: the job is sealed, its.waiters tasks are
// dropped, its running ones are told to stop and everybody who waits is told.
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
		c.noteWaiting(sub, -sub.assembly.Waiting())
		delete(c.jobs, sub.job)
		c.stopRunning(sub)
	}
	c.cancelTimer(sub.timer)
	delete(c.submissions, sub.id)
	c.answers.Put(sub.id, a, c.now+sub.ttl)
	c.emit(JobEnded{sub.id, a.GetOutcome(), a.GetReason(), tasks, c.now - sub.arrived, sub.longest})
	c.replyAll(sub, a)
	sub.request = nil
	sub.assembly = nil
}

// expire forgets what is past its time.
func (c *Core) expire() {
	c.issuer.Expire(c.now)
	c.answers.Expire(c.now)
	c.holders.Expire(c.now)
	c.unsettledClaims.Expire(c.now)
	c.expireAdopted()
	c.expireAsked()
}

// mustHold is checked at each start of a task. A start without the claim would
// be the second start that claims exist to prevent, and one past the deadline
// works for a caller who was told that the job is over.
func (c *Core) mustHold(sub *submission) {
	switch {
	case sub.phase != held || !sub.claimed:
		panic("dispatch: start without a claim for " + sub.id.String())
	case sub.id.Issued() && sub.id.Holder != c.cfg.Self:
		panic("dispatch: start under another's id " + sub.id.String())
	case c.now >= sub.deadline:
		panic("dispatch: start past the deadline of " + sub.id.String())
	case c.closed:
		panic("dispatch: start after the handover of " + sub.id.String())
	}
}
