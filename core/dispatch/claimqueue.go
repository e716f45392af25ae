package dispatch

import (
	"time"

	"sapphirepoint.example/sapphirepoint/core/claim"
	"sapphirepoint.example/sapphirepoint/core/retry"
	"sapphirepoint.example/sapphirepoint/core/task"
)

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
	return max(c.cfg.ClaimInterval, time.Duration(len(c.view.List().Nodes))*c.cfg.ClusterClaimInterval)
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
