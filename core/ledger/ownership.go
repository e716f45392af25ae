package ledger

import "time"

// Ownership of the rows: claims, checks, and its loss.

const (
	// checkInterval is the time between checks of the ownership if no write confirms it.
	// With a store that answers in 250 ms, the last confirmation is then at most 350 ms old,
	// less than the age at which a scheduler considers its ownership uncertain.
	checkInterval = 100 * time.Millisecond
	// idleCheckInterval applies while no job depends on the ownership, so that its loss is
	// known before the next job arrives.
	idleCheckInterval = time.Second
	// maxChecksInFlight limits concurrent checks.
	maxChecksInFlight = 4
	// reclaimDelay is how long this process, as leader of the shard, leaves its rows to another
	// process that took them. That process acts as leader too; the two have no contact with
	// each other.
	reclaimDelay = 2 * time.Second
)

// Uncontested records that no other process can consider itself leader of the shard. A lost shard
// is then claimed again after retryDelay at the latest, without waiting for reclaimDelay.
func (l *Ledger) Uncontested(now Time) {
	if l.phase == lost {
		l.due = min(l.due, now+retryDelay)
	}
}

// OwnerRetired records that the owner of an epoch has given the shard up to this process, as leader. If
// that owner took the shard from this process, the ownership is lost already, and nobody else acts as
// leader: the shard is claimed again at once.
func (l *Ledger) OwnerRetired(now Time, epoch uint64) {
	l.now = now
	if l.phase == idle || epoch <= l.ownership.Epoch {
		return
	}
	if l.loaded {
		l.loseOwnership()
	}
	if l.phase == lost {
		l.due = now
	}
}

func (l *Ledger) handleClaim(r ClaimResult) {
	if r.Call != l.call || l.phase != claiming {
		return
	}
	l.call = 0
	if r.Outcome == Superseded && l.loaded {
		l.loseOwnership()
		return
	}
	if r.Outcome != Applied {
		l.recordFailure(r.SentAt)
		l.due = l.now + retryDelay
		return
	}
	l.ownership = r.Ownership
	l.claimedAt = l.now
	l.exclusion.claimApplied(r.SentAt)
	l.recordSuccess(r.SentAt)
	l.phase = reading
	if l.loaded {
		l.phase = open
	}
	l.step()
}

func (l *Ledger) handleRead(r ReadResult) {
	if r.Call != l.call || l.phase != reading {
		return
	}
	l.call = 0
	if r.Outcome != Applied {
		l.recordFailure(l.now)
		l.due = l.now + retryDelay
		return
	}
	l.failingSince = 0
	l.loaded = true
	l.phase = open
	l.emit(Loaded{At: l.now, Epoch: l.ownership.Epoch, ClaimedAt: l.claimedAt, Records: r.Records})
	l.step()
}

func (l *Ledger) handleCheck(r CheckResult) {
	if !l.checks[r.Call] {
		return
	}
	delete(l.checks, r.Call)
	switch {
	case r.Outcome != Applied:
		l.recordFailure(r.SentAt)
	case l.phase == open && r.Version != l.ownership.Version && r.SentAt > l.claimedAt:
		// The check was sent after the last claim was answered, so it can't have read an older
		// version than that of the claim.
		l.loseOwnership()
	case r.Version == l.ownership.Version:
		l.recordSuccess(r.SentAt)
	}
	l.step()
}

// loseOwnership drops the state of the shard, which another process owns now.
func (l *Ledger) loseOwnership() {
	l.clear()
	l.phase = lost
	l.due = l.now + reclaimDelay
	l.emit(Lost{At: l.now})
}

// recordFailure records a failed call, unless a call that was sent later has succeeded.
func (l *Ledger) recordFailure(sentAt Time) {
	if l.failingSince == 0 && sentAt >= l.succeededAt {
		// 0 stands for no failure.
		l.failingSince = max(sentAt, 1)
	}
}

// recordSuccess records that this process owned the shard when the call was sent.
func (l *Ledger) recordSuccess(sentAt Time) {
	l.failingSince = 0
	l.succeededAt = max(l.succeededAt, sentAt)
	if sentAt <= l.verifiedAt {
		return
	}
	l.verifiedAt = sentAt
	l.checkedAt = max(l.checkedAt, sentAt)
	l.emit(Verified{At: l.now, OwnedAt: sentAt})
}

// FailingFor is how long all calls to the store have failed; 0 if the latest one succeeded.
func (l *Ledger) FailingFor(now Time) time.Duration {
	if l.failingSince == 0 {
		return 0
	}
	return now - l.failingSince
}
