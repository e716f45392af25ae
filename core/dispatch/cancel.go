package dispatch

import (
	"time"

	"sapphirepoint.example/sapphirepoint/core/task"
	pb "sapphirepoint.example/sapphirepoint/gen/sapphirepointv1"
)

// cancel ends a submission at the request of its caller, here or at its holder. An ended
// submission retains its answer. An unknown one is sealed, which means that none of its
// tasks ever starts: a cancellation may overtake the submission that it is for.
func (c *Core) cancel(from requester, institution string, wire *pb.SubmissionId) {
	id := task.IDOf(institution, wire)
	r := c.openRequest(from, id, nil, task.Digest{}, c.allowedWait(institution, nil))
	if r == nil {
		return
	}
	c.stats.Cancels++
	if a := c.answers.Get(id); a != nil {
		c.reply(r, a)
		return
	}
	if sub := c.submissions[id]; sub != nil {
		c.cancelKnown(r, sub)
		return
	}
	c.cancelUnknown(r)
}

// cancelKnown ends a job in progress. While its claim is not settled, another process
// may turn out to hold it, so the submission is only marked as cancelled. If this
// incarnation obtains the claim, the job is sealed and never runs, whatever is submitted
// later.
func (c *Core) cancelKnown(r *waiter, sub *submission) {
	c.attach(r, sub)
	if sub.phase == claiming {
		sub.cancelled = true
		return
	}
	c.giveUp(sub, pb.Reason_REASON_CANCELLED, "cancelled")
}

func (c *Core) cancelUnknown(r *waiter) {
	here := !r.id.Issued() || r.id.Holder == c.cfg.Self
	switch {
	case c.admissionClosed || c.draining && !here:
		c.reply(r, c.retryableAnswer(r, pb.Reason_REASON_NOT_SERVING, "the process is stopping"))
	case !here:
		c.sendToHolder(r, r.id.Holder)
	case r.id.Issued():
		c.sealIssued(r)
	default:
		c.cancelOwnKey(r)
	}
}

// sealIssued marks an unused id as used, so that its submission never runs.
func (c *Core) sealIssued(r *waiter) {
	if !c.requireFreshID(r) {
		return
	}
	c.issuer.Use(c.now, r.id.Number)
	a := answerFor(r.id, task.Digest{}, pb.Outcome_OUTCOME_NOT_RUN, pb.Reason_REASON_CANCELLED, "cancelled before it was submitted")
	c.answers.Put(r.id, a, c.now+c.cfg.IDValidity)
	c.reply(r, a)
}

// cancelOwnKey claims a key in order to seal it, or forwards to the holder.
func (c *Core) cancelOwnKey(r *waiter) {
	inst := c.settings.Institution(r.id.Institution)
	h, known := c.holders.Get(r.id)
	switch {
	case known:
		c.sendToHolder(r, h.Incarnation)
	case !r.from.local() && !c.hasUnsettledClaim(r):
		c.reply(r, failedAnswer(r, pb.Reason_REASON_ID_EXPIRED, "the answer isn't kept any more"))
	case c.draining:
		c.reply(r, c.retryableAnswer(r, pb.Reason_REASON_NOT_SERVING, "the process is stopping"))
	case inst == nil:
		c.reply(r, rejectedAnswer(r, pb.Reason_REASON_INVALID, "the institution isn't declared"))
	default:
		c.beginClaim(c.cancelledSubmission(r, inst), r)
	}
}

// cancelledSubmission creates the submission that carries the claim of a
// cancellation. If there is an unsettled claim of the same key, its digest is used,
// so that its row is recognised; otherwise the digest is zero.
func (c *Core) cancelledSubmission(r *waiter, inst *pb.Institution) *submission {
	u, _ := c.unsettledClaims.Get(r.id)
	return &submission{
		id:        r.id,
		digest:    u.Digest,
		arrived:   c.now,
		deadline:  r.deadline,
		retention: time.Duration(inst.GetResubmitWindowS()) * time.Second,
		cancelled: true,
	}
}
