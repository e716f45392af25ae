package dispatch

import (
	"time"

	"sapphirepoint.example/sapphirepoint/core/task"
	pb "sapphirepoint.example/sapphirepoint/gen/sapphirepointv1"
)

// cancel ends a submission at its caller's wish, here or at its holder. One
// that has ended keeps its word. One that isn't known yet is sealed, because a
// cancellation may overtake the submission that it is for.
func (c *Core) cancel(from asker, institution string, wire *pb.SubmissionId) {
	id := task.IDOf(institution, wire)
	r := c.open(from, id, nil, task.Digest{}, c.allowance(institution, nil))
	if r == nil {
		return
	}
	c.stats.Cancels++
	if a := c.answers.Get(id); a != nil {
		c.reply(r, a)
		return
	}
	if sub := c.submissions[id]; sub != nil {
		c.cancelHere(r, sub)
		return
	}
	c.cancelUnknown(r)
}

// cancelHere ends a job in progress. While its claim isn't settled another
// process may yet turn out to hold it, so it is only marked: once the claim
// stands here the job is sealed, and never runs, however often it is asked for.
func (c *Core) cancelHere(r *waiter, sub *submission) {
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
	case c.closed || c.draining && !here:
		c.reply(r, c.unsettled(r, pb.Reason_REASON_NOT_SERVING, "the process is stopping"))
	case !here:
		c.toHolder(r, r.id.Holder)
	case r.id.Issued():
		c.sealIssued(r)
	default:
		c.cancelOwnKey(r)
	}
}

// sealIssued uses a fresh number up.
func (c *Core) sealIssued(r *waiter) {
	if !c.idFresh(r) {
		return
	}
	c.issuer.Use(c.now, r.id.Number)
	a := answerFor(r.id, task.Digest{}, pb.Outcome_OUTCOME_NOT_RUN, pb.Reason_REASON_CANCELLED, "cancelled before it was submitted")
	c.answers.Put(r.id, a, c.now+c.cfg.IDValidity)
	c.reply(r, a)
}

// cancelOwnKey claims a key in order to seal it, or finds its holder.
func (c *Core) cancelOwnKey(r *waiter) {
	inst := c.settings.Institution(r.id.Institution)
	h, known := c.holders.Get(r.id)
	switch {
	case known:
		c.toHolder(r, h.Incarnation)
	case !r.from.local() && !c.unsettledHere(r):
		c.reply(r, failed(r, pb.Reason_REASON_ID_EXPIRED, "the answer isn't kept any more"))
	case c.draining:
		c.reply(r, c.unsettled(r, pb.Reason_REASON_NOT_SERVING, "the process is stopping"))
	case inst == nil:
		c.reply(r, rejected(r, pb.Reason_REASON_INVALID, "the institution isn't declared"))
	default:
		c.beginClaim(c.cancelledSubmission(r, inst), r)
	}
}

// cancelledSubmission carries the claim of a cancellation. Its digest is that
// of an unsettled claim of the same key, so that a row of that claim is known
// again, and zero if there is none.
func (c *Core) cancelledSubmission(r *waiter, inst *pb.Institution) *submission {
	u, _ := c.unsettledClaims.Get(r.id)
	return &submission{
		id:        r.id,
		digest:    u.Digest,
		arrived:   c.now,
		deadline:  r.deadline,
		ttl:       time.Duration(inst.GetResubmitWindowS()) * time.Second,
		cancelled: true,
	}
}
