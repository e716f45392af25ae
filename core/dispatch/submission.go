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

// asker is who waits for an answer: a caller of this process, or a peer that
// forwarded.
type asker struct {
	peer    task.Incarnation
	request uint64
}

func (a asker) local() bool {
	return a.peer == task.Incarnation{}
}

// submission is what this process knows of one id.
type submission struct {
	id      task.ID
	digest  task.Digest
	phase   phase
	request *pb.Submission
	service *pb.Service
	askers  []asker
	arrived task.Time
	// deadline is set once, from the first request, and never extended.
	deadline task.Time
	job      queue.JobID
	assembly *job.Assembly
	answer   *pb.Answer
	// keepUntil is when an ended submission may be forgotten.
	keepUntil task.Time
	ttl       time.Duration
	longest   task.Time
	claimTry  int
	// unresolved is set when the claim was given up on while a write of it may
	// yet take effect.
	unresolved bool
	// running are the starts that aren't settled.
	running map[task.StartID]*start
	// attempts counts for each task the starts known never to have run.
	attempts []int
}

// submit takes a submission from a caller or a peer.
func (c *Core) submit(from asker, institution string, s *pb.Submission) {
	id := task.IDOf(institution, s.GetId())
	digest := task.DigestOf(s)
	if known := c.submissions[id]; known != nil {
		c.resubmit(from, known, digest, s)
		return
	}
	if id.Issued() && id.Holder != c.cfg.Self {
		c.forwardTo(from, id.Holder, s, institution)
		return
	}
	inst, service, problem := c.check(institution, s)
	if problem != "" {
		c.reply(from, reject(s.GetId(), digest, pb.Reason_REASON_INVALID, problem, 0))
		return
	}
	sub := &submission{
		id:       id,
		digest:   digest,
		request:  s,
		service:  service,
		askers:   []asker{from},
		arrived:  c.now,
		deadline: c.now + allowed(inst, s),
		ttl:      time.Duration(inst.GetResubmitWindowS()) * time.Second,
	}
	if id.Issued() {
		c.takeIssued(sub)
		return
	}
	c.takeOwnKey(sub)
}

// resubmit joins a request to a submission known here.
func (c *Core) resubmit(from asker, sub *submission, digest task.Digest, s *pb.Submission) {
	if digest != sub.digest {
		// A recipe sheet's new revision under the old id: joined, its caller
		// would print the label of the old one.
		c.stats.Conflicts++
		c.reply(from, reject(s.GetId(), digest, pb.Reason_REASON_CONFLICT, "the id was used with another payload", 0))
		return
	}
	c.stats.Resubmissions++
	if sub.unresolved && sub.phase == ended {
		c.reclaim(from, sub, s)
		return
	}
	if sub.phase == ended {
		c.reply(from, sub.answer)
		return
	}
	sub.askers = append(sub.askers, from)
	c.queue.Hold(sub.job, false)
	c.askerDeadline(from, sub, s)
}

// askerDeadline answers a joined request at its own deadline if that comes
// before the job's.
func (c *Core) askerDeadline(from asker, sub *submission, s *pb.Submission) {
	wait := time.Duration(s.GetTimeoutMs()) * time.Millisecond
	if wait == 0 || c.now+wait >= sub.deadline {
		return
	}
	c.after(wait, func() {
		if sub.phase == ended || !sub.removeAsker(from) {
			return
		}
		c.reply(from, unknown(sub, pb.Reason_REASON_DEADLINE, "still in progress", c.retryAfter()))
	})
}

func (s *submission) removeAsker(a asker) bool {
	i := slices.Index(s.askers, a)
	if i < 0 {
		return false
	}
	s.askers = slices.Delete(s.askers, i, i+1)
	return true
}

// allowed is the time a job has: what the caller asks for, capped by the
// contracted response time.
func allowed(inst *pb.Institution, s *pb.Submission) time.Duration {
	limit := inst.GetResponseTimeMs()
	if t := s.GetTimeoutMs(); t > 0 {
		limit = min(limit, t)
	}
	return time.Duration(limit) * time.Millisecond
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

// takeIssued takes a submission under an id that this incarnation issued.
func (c *Core) takeIssued(sub *submission) {
	switch c.issuer.State(c.now, sub.id.Number) {
	case claim.Unissued:
		c.replyAll(sub, reject(sub.id.Proto(), sub.digest, pb.Reason_REASON_INVALID, "the id was never issued", 0))
		return
	case claim.Used, claim.Expired:
		a := answer(sub, pb.Outcome_OUTCOME_FAILED, pb.Reason_REASON_ID_EXPIRED, "the id is used or expired and its answer isn't kept")
		a.MayHaveRun = true
		c.replyAll(sub, a)
		return
	}
	c.issuer.Use(c.now, sub.id.Number)
	sub.ttl = c.cfg.IDValidity
	c.submissions[sub.id] = sub
	c.hold(sub)
}

// hold begins the job of a submission whose claim this incarnation holds.
func (c *Core) hold(sub *submission) {
	sub.phase = held
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
	c.after(sub.deadline-c.now, func() { c.deadlinePassed(sub) })
}

func (c *Core) queueJob(sub *submission) queue.Job {
	tasks := sub.request.GetTasks()
	work := make([]task.Time, len(tasks))
	for i, t := range tasks {
		ms := t.GetRunTimeMs()
		if ms == 0 {
			ms = sub.service.GetRunTimeMs()
		}
		work[i] = time.Duration(ms) * time.Millisecond
	}
	return queue.Job{
		ID:          sub.job,
		Institution: sub.id.Institution,
		Team:        sub.request.GetTeam(),
		Priority:    c.settings.Institution(sub.id.Institution).GetPriority(),
		Arrived:     sub.arrived,
		Deadline:    sub.deadline,
		Work:        work,
	}
}

// admit decides whether a claimed job is taken on; nil means yes.
func (c *Core) admit(sub *submission) *pb.Answer {
	if c.draining {
		return c.notRun(sub, pb.Reason_REASON_NOT_SERVING, "the process is stopping")
	}
	if c.now >= sub.deadline {
		return c.notRun(sub, pb.Reason_REASON_DEADLINE, "the deadline passed before a claim was settled")
	}
	if c.queue.Tasks(sub.id.Institution)+len(sub.request.GetTasks()) > c.cfg.MaxQueuedTasks {
		return c.notRun(sub, pb.Reason_REASON_OVERLOADED, "too many tasks are waiting")
	}
	return nil
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

// end gives the final answer: the job is sealed, its waiting tasks are
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
	sub.answer = a
	sub.keepUntil = c.now + sub.ttl
	tasks := len(sub.request.GetTasks())
	if sub.job != 0 {
		c.queue.Remove(sub.job)
		delete(c.jobs, sub.job)
		c.stopRunning(sub)
	}
	c.emit(Ended{sub.id, a.GetOutcome(), a.GetReason(), tasks, c.now - sub.arrived, sub.longest})
	c.replyAll(sub, a)
	sub.request = nil
	sub.assembly = nil
	c.keep(sub)
	c.checkDrained()
}

// keep stores an ended submission and sheds the oldest results beyond the
// limit; the outcome itself is kept, so that no resubmission runs again.
func (c *Core) keep(sub *submission) {
	c.kept = append(c.kept, sub)
	c.keptBytes += resultBytes(sub.answer)
	for i := 0; i < len(c.kept) && c.keptBytes > c.cfg.MaxAnswerBytes; i++ {
		old := c.kept[i]
		n := resultBytes(old.answer)
		if n == 0 {
			continue
		}
		c.keptBytes -= n
		old.answer = answer(old, pb.Outcome_OUTCOME_FAILED, pb.Reason_REASON_ID_EXPIRED, "the job completed; its answer isn't kept any more")
		old.answer.MayHaveRun = true
	}
}

func resultBytes(a *pb.Answer) int {
	n := 0
	for _, r := range a.GetResults() {
		n += len(r.GetOutput())
	}
	return n
}

// expire forgets ended submissions and id blocks that are past their time.
func (c *Core) expire() {
	c.issuer.Expire(c.now)
	c.kept = slices.DeleteFunc(c.kept, func(sub *submission) bool {
		if c.now < sub.keepUntil {
			return false
		}
		c.keptBytes -= resultBytes(sub.answer)
		if c.submissions[sub.id] == sub {
			delete(c.submissions, sub.id)
		}
		return true
	})
}

// callerGone drops an asker. A job of which nothing has started, and for which
// nobody waits, is held back until somebody asks again.
func (c *Core) callerGone(from asker) {
	for id, f := range c.forwards {
		if f.from == from {
			delete(c.forwards, id)
			return
		}
	}
	for _, sub := range c.submissions {
		if sub.phase == ended || !sub.removeAsker(from) {
			continue
		}
		if len(sub.askers) == 0 && sub.phase == held && !sub.assembly.MayHaveRun() {
			c.queue.Hold(sub.job, true)
		}
		return
	}
}
