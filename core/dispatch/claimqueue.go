package dispatch

import (
	"time"

	"sapphirepoint.example/sapphirepoint/core/claim"
	"sapphirepoint.example/sapphirepoint/core/retry"
	"sapphirepoint.example/sapphirepoint/core/task"
)

// claimQueue implements group commit of durable claims: one transaction is in
// flight, and the claims that arrive meanwhile share the next one.
type claimQueue struct {
	waiting  []*submission
	inFlight []*submission
	// batch is the number of the latest write.
	batch uint64
	// failures counts the consecutive writes without a reply.
	failures int
	// notBefore is the earliest start of the next write.
	notBefore task.Time
	// timer is set while a write waits for notBefore.
	timer *timer
}

func (q *claimQueue) add(sub *submission) {
	q.waiting = append(q.waiting, sub)
}

// take removes and returns the next claims to write; abandoned ones are dropped.
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

// writeClaims begins the next write. An interval between writes keeps all entry processes
// together within the rate limit of the table service. While the service does not answer, a
// backoff prevents writes from being repeated at that rate for the whole outage.
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
		w.Claims = append(w.Claims, Claim{sub.id, sub.digest, sub.number, uint32(sub.retention / time.Second)})
	}
	c.stats.ClaimWrites++
	c.emit(w)
}

// claimInterval returns the minimum time between two writes of this process. It
// grows with the number of listed processes: with a fixed interval, adding entry VMs
// would overload the table service and every claim would time out.
func (c *Core) claimInterval() time.Duration {
	return max(c.cfg.ClaimInterval, time.Duration(len(c.view.List().Nodes))*c.cfg.ClusterClaimInterval)
}

// claimResult settles the claims of a write, which means that it is then known who holds
// each. A write whose reply was lost may have taken effect; it is repeated, and the
// conflicting rows are then this incarnation's own. A result that is not for the write in
// flight is late or a duplicate. It does not concern the claims in flight and is dropped.
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

// settleBatch settles the claims of an answered write. If there were conflicts,
// nothing was written: the other claims go to the front of the next write.
func (c *Core) settleBatch(batch []*submission, conflicts []ClaimConflict) {
	rows := make(map[task.ID]claim.Holder, len(conflicts))
	for _, cf := range conflicts {
		rows[cf.ID] = claim.Holder{Incarnation: cf.Holder, Digest: cf.Digest, Number: cf.Number}
	}
	var unwritten []*submission
	for _, sub := range batch {
		h, exists := rows[sub.id]
		switch {
		case exists:
			c.claimRowExists(sub, h)
		case len(rows) > 0:
			unwritten = append(unwritten, sub)
		default:
			c.claimWritten(sub)
		}
	}
	c.claims.waiting = append(unwritten, c.claims.waiting...)
}

// claimsUnanswered puts the claims of a write without a reply at the front of the
// queue, and delays the next write by a backoff.
func (c *Core) claimsUnanswered(batch []*submission) {
	c.claims.failures++
	c.claims.waiting = append(batch, c.claims.waiting...)
	c.claims.notBefore = c.now + retry.Delay(c.rng, c.claims.failures+1)
}
