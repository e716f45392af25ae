package health

import (
	"math/rand/v2"
	"time"

	"sapphirepoint.example/sapphirepoint/core/task"
)

// Ejections of single upstreams, and their return.

const (
	// initialShare is the share of slots that an upstream gets after a successful probe.
	initialShare = 1.0 / 8
	// levelResetFactor decides when an upstream counts as recovered: when it hasn't been ejected
	// again for this many times the length of its latest ejection, counted from the start of that
	// ejection. Its next ejection then lasts BaseEjectionTime again.
	levelResetFactor = 10
)

// ejectionThresholdFor returns the log-likelihood ratio from which an upstream is ejected.
func (t *Tracker) ejectionThresholdFor(u *upstream) float64 {
	if u.state == returning || len(u.reporters) > 0 || t.groupHasEjection(u) {
		return reducedEjectionThreshold
	}
	return ejectionThreshold
}

// eject ejects an upstream. If MaxEjectedPercent doesn't allow it, the upstream keeps one slot
// instead and becomes returning: its share grows from there with each success.
func (t *Tracker) eject(now task.Time, u *upstream) {
	if (u.domainPool.ejected+1)*100 > t.cfg.MaxEjectedPercent*len(u.domainPool.members) {
		t.stats.CeilingHits++
		u.state = returning
		u.share = MinWeight
		t.updateWeight(u)
		return
	}
	t.stats.Ejections++
	t.countEjected(u, 1)
	u.ejectionLevel++
	if u.ejectedAt > 0 && now-u.ejectedAt > levelResetFactor*u.ejectionTime {
		u.ejectionLevel = 1
	}
	u.state = ejected
	u.ejectedAt = now
	u.ejectionTime = backoff(t.rng, t.cfg.BaseEjectionTime, t.cfg.MaxEjectionTime, u.ejectionLevel-1)
	u.until = now + u.ejectionTime
	t.updateWeight(u)
}

// countEjected adds n to the numbers of ejected upstreams.
func (t *Tracker) countEjected(u *upstream, n int) {
	u.domainPool.ejected += n
	t.ejected += n
}

// startReturning opens initialShare of an upstream's slots after a successful probe. The outcomes
// from before the ejection are dropped.
func (t *Tracker) startReturning(u *upstream) {
	t.stats.Returns++
	t.countEjected(u, -1)
	u.state = returning
	u.share = initialShare
	clear(u.histories)
}

// backoff returns a jittered wait that doubles with each level, starting at level 0.
func backoff(rng *rand.Rand, first, limit time.Duration, level int) task.Time {
	d := limit
	if level < 20 {
		d = min(first<<level, limit)
	}
	return d - time.Duration(rng.Int64N(int64(d)/4+1))
}
