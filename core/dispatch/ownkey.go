package dispatch

import (
	"sapphirepoint.example/sapphirepoint/core/retry"
	"sapphirepoint.example/sapphirepoint/core/task"
	pb "sapphirepoint.example/sapphirepoint/gen/sapphirepointv1"
)

// claimQueue is the group commit of durable claims: one transaction is in
// flight, the claims that arrive meanwhile share the next.
type claimQueue struct {
	waiting  []*submission
	inFlight map[task.ID]*submission
	batch    uint64
}

// takeOwnKey takes a submission under the caller's own key: nothing starts
// before its claim stands in the table service in this incarnation's name.
func (c *Core) takeOwnKey(sub *submission) {
	if c.draining {
		c.replyAll(sub, reject(sub.id.Proto(), sub.digest, pb.Reason_REASON_NOT_SERVING, "the process is stopping", c.retryAfter()))
		return
	}
	sub.phase = claiming
	c.submissions[sub.id] = sub
	c.claims.waiting = append(c.claims.waiting, sub)
	c.after(sub.deadline-c.now, func() { c.claimTimedOut(sub) })
	c.writeClaims()
}

func (c *Core) writeClaims() {
	if c.claims.inFlight != nil || len(c.claims.waiting) == 0 {
		return
	}
	n := min(len(c.claims.waiting), c.cfg.MaxClaimBatch)
	batch := c.claims.waiting[:n]
	c.claims.waiting = append([]*submission(nil), c.claims.waiting[n:]...)
	c.claims.inFlight = make(map[task.ID]*submission, n)
	c.claims.batch++
	w := ClaimWrite{Batch: c.claims.batch}
	for _, sub := range batch {
		c.claims.inFlight[sub.id] = sub
		w.Claims = append(w.Claims, Claim{sub.id, sub.digest, uint32(sub.ttl.Seconds())})
	}
	c.stats.ClaimWrites++
	c.emit(w)
}

// claimResult settles a group of claims. A write whose reply was lost may have
// taken effect; it is written again, and then the rows that stand in the way
// are this incarnation's own.
func (c *Core) claimResult(e ClaimResult) {
	if e.Batch != c.claims.batch || c.claims.inFlight == nil {
		return
	}
	flight := c.claims.inFlight
	c.claims.inFlight = nil
	if !e.OK {
		c.claimFailed(flight)
		return
	}
	conflicts := make(map[task.ID]ClaimConflict, len(e.Conflicts))
	for _, cf := range e.Conflicts {
		conflicts[cf.ID] = cf
	}
	for _, id := range sortedIDs(flight) {
		sub := flight[id]
		cf, stood := conflicts[id]
		switch {
		case stood:
			c.claimStood(sub, cf)
		case len(conflicts) > 0:
			c.claims.waiting = append(c.claims.waiting, sub)
		default:
			c.claimed(sub)
		}
	}
	c.writeClaims()
}

// claimFailed tries a group again after a back-off.
func (c *Core) claimFailed(flight map[task.ID]*submission) {
	try := 0
	for _, id := range sortedIDs(flight) {
		sub := flight[id]
		sub.claimTry++
		try = max(try, sub.claimTry)
		sub.unresolved = true
		if sub.phase == claiming {
			c.claims.waiting = append(c.claims.waiting, sub)
		}
	}
	c.after(retry.Delay(c.rng, try+1), c.writeClaims)
}

// claimed begins the job of a submission whose claim stands.
func (c *Core) claimed(sub *submission) {
	if sub.phase != claiming {
		return
	}
	sub.unresolved = false
	c.hold(sub)
}

// claimStood handles a claim row that was there before this write.
func (c *Core) claimStood(sub *submission, cf ClaimConflict) {
	if sub.phase != claiming {
		return
	}
	if cf.Holder == c.cfg.Self && sub.unresolved {
		// An earlier write of this record took effect and its reply was lost.
		// The record has been here throughout, so nothing was started.
		c.claimed(sub)
		return
	}
	delete(c.submissions, sub.id)
	askers := sub.askers
	sub.askers = nil
	for _, from := range askers {
		c.toHolder(from, sub, cf)
	}
}

// toHolder passes a request on to the holder named by a claim row.
func (c *Core) toHolder(from asker, sub *submission, cf ClaimConflict) {
	if cf.Digest != sub.digest {
		c.stats.Conflicts++
		c.reply(from, reject(sub.id.Proto(), sub.digest, pb.Reason_REASON_CONFLICT, "the key was used with another payload", 0))
		return
	}
	if cf.Holder == c.cfg.Self || !from.local() {
		// This incarnation has forgotten the submission, or a peer's forward
		// met a row that names somebody else.
		a := answer(sub, pb.Outcome_OUTCOME_FAILED, pb.Reason_REASON_ID_EXPIRED, "the answer isn't kept any more")
		a.MayHaveRun = true
		c.reply(from, a)
		return
	}
	c.forwardTo(from, cf.Holder, sub.request, sub.id.Institution)
}

// claimTimedOut answers at the deadline of a claim that isn't settled. The
// write may yet take effect, so the word can't be "not run"; the record stays,
// so that the same key can be settled when the caller comes back.
func (c *Core) claimTimedOut(sub *submission) {
	if sub.phase != claiming {
		return
	}
	sub.unresolved = true
	c.end(sub, unknown(sub, pb.Reason_REASON_STORE_UNAVAILABLE, "the claim couldn't be settled in time", c.retryAfter()))
}

// reclaim takes up a submission again whose claim was never settled.
func (c *Core) reclaim(from asker, old *submission, s *pb.Submission) {
	inst, service, problem := c.check(old.id.Institution, s)
	if problem != "" {
		c.reply(from, reject(s.GetId(), old.digest, pb.Reason_REASON_INVALID, problem, 0))
		return
	}
	sub := &submission{
		id:         old.id,
		digest:     old.digest,
		request:    s,
		service:    service,
		askers:     []asker{from},
		arrived:    c.now,
		deadline:   c.now + allowed(inst, s),
		ttl:        old.ttl,
		unresolved: true,
	}
	c.takeOwnKey(sub)
}
