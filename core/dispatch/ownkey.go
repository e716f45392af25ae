package dispatch

import (
	"sapphirepoint.example/sapphirepoint/core/claim"
	pb "sapphirepoint.example/sapphirepoint/gen/sapphirepointv1"
)

// submitOwnKey handles a submission under the caller's own key: nothing starts before
// the table service holds its claim in the name of this incarnation.
func (c *Core) submitOwnKey(r *waiter) {
	if !r.from.local() {
		// The peer that forwarded it has read a row that names this incarnation, so the
		// claim was held here. Unless the claim is unsettled, its answer is no longer
		// retained, and starting the job now would be a second run.
		if !c.hasUnsettledClaim(r) {
			c.reply(r, failedAnswer(r, pb.Reason_REASON_ID_EXPIRED, "the answer isn't kept any more"))
			return
		}
	}
	if h, known := c.holders.Get(r.id); known {
		c.answerFromRow(r, h)
		return
	}
	if c.draining {
		c.reply(r, c.retryableAnswer(r, pb.Reason_REASON_NOT_SERVING, "the process is stopping"))
		return
	}
	if len(c.claims.waiting) >= c.cfg.MaxWaitingClaims {
		c.reply(r, c.retryableAnswer(r, pb.Reason_REASON_STORE_UNAVAILABLE, "too many claims wait to be written"))
		return
	}
	if u, known := c.unsettledClaims.Get(r.id); known && c.rejectConflict(r, u.Digest) {
		return
	}
	if sub := c.newSubmission(r); sub != nil {
		c.beginClaim(sub, r)
	}
}

func (c *Core) hasUnsettledClaim(r *waiter) bool {
	_, known := c.unsettledClaims.Get(r.id)
	return known
}

// beginClaim queues the claim of a submission for the next write. If an earlier submission of
// the same key left its claim unsettled, that claim is resumed under its number.
func (c *Core) beginClaim(sub *submission, r *waiter) {
	if u, known := c.unsettledClaims.Take(sub.id); known {
		sub.number = u.Number
		sub.written = true
		sub.cancelled = sub.cancelled || u.Cancelled
	} else {
		c.lastClaim++
		sub.number = c.lastClaim
	}
	sub.phase = claiming
	c.submissions[sub.id] = sub
	c.attach(r, sub)
	sub.timer = c.after(sub.deadline-c.now, func() { c.abandonClaim(sub) })
	c.claims.add(sub)
	c.writeClaims()
}

// abandonClaim abandons a claim at the deadline of its submission. A write may still
// take effect, so the answer cannot be "not run". The claim is remembered, so that it
// can be settled when the caller submits again.
func (c *Core) abandonClaim(sub *submission) {
	if sub.phase != claiming {
		return
	}
	sub.phase = ended
	delete(c.submissions, sub.id)
	if sub.written || sub.cancelled {
		u := claim.Unsettled{Digest: sub.digest, Number: sub.number, Cancelled: sub.cancelled}
		c.unsettledClaims.Put(sub.id, u, c.now+sub.retention)
	}
	for len(sub.waiters) > 0 {
		r := sub.waiters[0]
		c.reply(r, c.retryableAnswer(r, pb.Reason_REASON_STORE_UNAVAILABLE, "the claim couldn't be settled in time"))
	}
}

// claimWritten begins the job of a submission whose claim is held here.
func (c *Core) claimWritten(sub *submission) {
	if sub.phase != claiming {
		return
	}
	c.cancelTimer(sub.timer)
	if sub.cancelled {
		c.end(sub, c.notRunAnswer(sub, pb.Reason_REASON_CANCELLED, "cancelled"))
		return
	}
	c.beginJob(sub)
}

// claimRowExists handles a claim row that existed before this write.
func (c *Core) claimRowExists(sub *submission, h claim.Holder) {
	if sub.phase != claiming {
		return
	}
	if h.Incarnation == c.cfg.Self && h.Number == sub.number {
		// An earlier write of this claim took effect and its reply was lost. The
		// claim was never settled here in between, so nothing has started. A row
		// with another number belongs to a submission that was answered and whose
		// answer is no longer retained: taking it for this claim would run the job,
		// a payment for instance, twice.
		c.claimWritten(sub)
		return
	}
	sub.phase = ended
	c.cancelTimer(sub.timer)
	delete(c.submissions, sub.id)
	if h.Incarnation != c.cfg.Self {
		c.holders.Put(sub.id, h, c.now+sub.retention)
	}
	for len(sub.waiters) > 0 {
		r := sub.waiters[0]
		c.detach(r)
		c.answerFromRow(r, h)
	}
}

// answerFromRow answers a request according to an existing claim row: it forwards the
// request to the holder, or fails it if the holder is this incarnation.
func (c *Core) answerFromRow(r *waiter, h claim.Holder) {
	switch {
	case c.rejectConflict(r, h.Digest):
	case h.Incarnation == c.cfg.Self:
		c.reply(r, failedAnswer(r, pb.Reason_REASON_ID_EXPIRED, "the answer isn't kept any more"))
	default:
		c.sendToHolder(r, h.Incarnation)
	}
}
