package dispatch

import (
	"time"

	"sapphirepoint.example/sapphirepoint/core/claim"
	"sapphirepoint.example/sapphirepoint/core/retry"
	"sapphirepoint.example/sapphirepoint/core/task"
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

// claimQueue is the group commit of durable claims: one transaction is in
// flight, the claims that arrive meanwhile share the next.
type claimQueue struct {
	waiting  []*submission
	inFlight []*submission
	batch    uint64
	// failures counts the writes without a reply since the last with one.
	failures int
	// notBefore is when the next write may begin.
	notBefore task.Time
	// timer is set while a write waits for notBefore.
	timer *timer
}

func (q *claimQueue) add(sub *submission) {
	q.waiting = append(q.waiting, sub)
}

// take removes the next claims to write; those given up on are dropped.
func (q *claimQueue) take(limit int) []*submission {
	var batch []*submission
	n := 0
	for n < len(q.waiting) && len(batch) < limit {
		if sub := q.waiting[n]; sub.phase == claiming {
			batch = append(batch, sub)
		}
		n++
	}
	q.waiting = append([]*submission(nil), q.waiting[n:]...)
	return batch
}

// writeClaims begins the next write. Writes are spaced by an interval, which
// keeps all entry processes together within the table service's rate, and by a
// back-off while it doesn't answer, so that an outage isn't met by a storm.
func (c *Core) writeClaims() {
	if c.claims.inFlight != nil || c.claims.timer != nil || len(c.claims.waiting) == 0 {
		return
	}
	if c.now < c.claims.notBefore {
		c.claims.timer = c.after(c.claims.notBefore-c.now, func() {
			c.claims.timer = nil
			c.writeClaims()
		})
		return
	}
	batch := c.claims.take(c.cfg.MaxClaimBatch)
	if len(batch) == 0 {
		return
	}
	c.claims.inFlight = batch
	c.claims.notBefore = c.now + c.claimInterval()
	c.claims.batch++
	w := ClaimWrite{Batch: c.claims.batch}
	for _, sub := range batch {
		sub.written = true
		w.Claims = append(w.Claims, Claim{sub.id, sub.digest, sub.number, uint32(sub.ttl / time.Second)})
	}
	c.stats.ClaimWrites++
	c.emit(w)
}

// claimInterval is the least time between two writes of this process. It grows
// with the number of listed processes: at a fixed one, more entry VMs would
// overload the table service by themselves, and every claim would time out.
func (c *Core) claimInterval() time.Duration {
	return max(c.cfg.ClaimInterval, time.Duration(len(c.members.Nodes))*c.cfg.ClaimSpacing)
}

// claimResult settles a group of claims. A write whose reply was lost may have
// taken effect; it is written again, and then the rows that stand in the way
// are this incarnation's own. A result for another write than the one in
// flight is late or doubled, and dropped: it says nothing of these claims.
func (c *Core) claimResult(e ClaimResult) {
	if e.Batch != c.claims.batch || c.claims.inFlight == nil {
		c.stats.LateResults++
		return
	}
	batch := c.claims.inFlight
	c.claims.inFlight = nil
	if e.OK {
		c.claims.failures = 0
		c.settleBatch(batch, e.Conflicts)
	} else {
		c.claimsUnanswered(batch)
	}
	c.writeClaims()
}

// settleBatch gives the claims of a write their outcome. If rows stood in the
// way nothing was written: the other claims go first into the next write.
func (c *Core) settleBatch(batch []*submission, conflicts []ClaimConflict) {
	rows := make(map[task.ID]claim.Holder, len(conflicts))
	for _, cf := range conflicts {
		rows[cf.ID] = claim.Holder{Incarnation: cf.Holder, Digest: cf.Digest, Number: cf.Number}
	}
	var again []*submission
	for _, sub := range batch {
		h, stood := rows[sub.id]
		switch {
		case stood:
			c.claimStood(sub, h)
		case len(rows) > 0:
			again = append(again, sub)
		default:
			c.claimed(sub)
		}
	}
	c.claims.waiting = append(again, c.claims.waiting...)
}

// claimsUnanswered puts the claims of a write without a reply first in line,
// after a back-off.
func (c *Core) claimsUnanswered(batch []*submission) {
	c.claims.failures++
	c.claims.waiting = append(batch, c.claims.waiting...)
	c.claims.notBefore = c.now + retry.Delay(c.rng, c.claims.failures+1)
}
