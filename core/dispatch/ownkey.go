package dispatch

import (
	"sapphirepoint.example/sapphirepoint/core/claim"
	pb "sapphirepoint.example/sapphirepoint/gen/sapphirepointv1"
)

// takeOwnKey takes a submission under the caller's own key: nothing starts
// before its claim stands in the table service in this incarnation's name.
func (c *Core) takeOwnKey(r *waiter) {
	if !r.from.local() {
		// The peer that passed it on has read a row that names this
		// incarnation, so the claim was held here and its answer is no longer
		// kept: starting it now would be a second run.
		if !c.unsettledHere(r) {
			c.reply(r, failed(r, pb.Reason_REASON_ID_EXPIRED, "the answer isn't kept any more"))
			return
		}
	}
	if h, known := c.holders.Get(r.id); known {
		c.rowStands(r, h)
		return
	}
	if c.draining {
		c.reply(r, c.unsettled(r, pb.Reason_REASON_NOT_SERVING, "the process is stopping"))
		return
	}
	if len(c.claims.waiting) >= c.cfg.MaxWaitingClaims {
		c.reply(r, c.unsettled(r, pb.Reason_REASON_STORE_UNAVAILABLE, "too many claims wait to be written"))
		return
	}
	if u, known := c.unsettledClaims.Get(r.id); known && c.conflicts(r, u.Digest) {
		return
	}
	if sub := c.newSubmission(r); sub != nil {
		c.beginClaim(sub, r)
	}
}

func (c *Core) unsettledHere(r *waiter) bool {
	_, known := c.unsettledClaims.Get(r.id)
	return known
}

// beginClaim queues the claim of a submission for the next write.
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

// abandonClaim gives a claim up at the deadline of its submission. A write may
// yet take effect, so the word can't be "not run", and the key is remembered,
// so that the claim can be settled when the caller comes back.
func (c *Core) abandonClaim(sub *submission) {
	if sub.phase != claiming {
		return
	}
	sub.phase = ended
	delete(c.submissions, sub.id)
	if sub.written || sub.cancelled {
		u := claim.Unsettled{Digest: sub.digest, Number: sub.number, Cancelled: sub.cancelled}
		c.unsettledClaims.Put(sub.id, u, c.now+sub.ttl)
	}
	for len(sub.waiters) > 0 {
		r := sub.waiters[0]
		c.reply(r, c.unsettled(r, pb.Reason_REASON_STORE_UNAVAILABLE, "the claim couldn't be settled in time"))
	}
}

// claimed begins the job of a submission whose claim stands.
func (c *Core) claimed(sub *submission) {
	if sub.phase != claiming {
		return
	}
	c.cancelTimer(sub.timer)
	if sub.cancelled {
		c.end(sub, c.notRun(sub, pb.Reason_REASON_CANCELLED, "cancelled"))
		return
	}
	c.hold(sub)
}

// claimStood handles a claim row that was there before this write.
func (c *Core) claimStood(sub *submission, h claim.Holder) {
	if sub.phase != claiming {
		return
	}
	if h.Incarnation == c.cfg.Self && h.Number == sub.number {
		// An earlier write of this claim took effect and its reply was lost.
		// The claim has been known here throughout, so nothing was started. A
		// row with another number is that of a submission that was answered
		// and forgotten: taken for this one, a settlement would be paid twice.
		c.claimed(sub)
		return
	}
	sub.phase = ended
	c.cancelTimer(sub.timer)
	delete(c.submissions, sub.id)
	if h.Incarnation != c.cfg.Self {
		c.holders.Put(sub.id, h, c.now+sub.ttl)
	}
	for len(sub.waiters) > 0 {
		r := sub.waiters[0]
		c.detach(r)
		c.rowStands(r, h)
	}
}

// rowStands passes a request on to the holder named by a claim row.
func (c *Core) rowStands(r *waiter, h claim.Holder) {
	switch {
	case c.conflicts(r, h.Digest):
	case h.Incarnation == c.cfg.Self:
		c.reply(r, failed(r, pb.Reason_REASON_ID_EXPIRED, "the answer isn't kept any more"))
	default:
		c.toHolder(r, h.Incarnation)
	}
}
