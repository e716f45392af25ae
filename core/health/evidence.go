package health

import (
	"math"

	"sapphirepoint.example/sapphirepoint/core/task"
)

const (
	// historyLength is the number of newest outcomes retained for each upstream and service.
	historyLength = 16
	// comparedOutcomes is how many of an upstream's outcomes count when another upstream is
	// compared with it. It is smaller than historyLength, so that a fault of the service itself
	// raises the failure rate of the others within a few tasks.
	comparedOutcomes = 8
	// maxComparedUpstreams and maxScannedUpstreams limit the cost of the comparison: the number of
	// upstreams that have outcomes of the service, and the number that are examined for outcomes.
	maxComparedUpstreams = 64
	maxScannedUpstreams  = 256

	// brokenFailureRate is the assumed failure rate of a broken upstream, one to be ejected.
	brokenFailureRate = 0.5
	// minFailureRate is the minimum failure rate assumed for the other upstreams. With a lower
	// one, a single failure would eject an upstream.
	minFailureRate = 0.01
	// priorFailures and priorTotal are failures and outcomes that are added to those of the other
	// upstreams. Before any of these has outcomes, the assumed failure rate is thus one in four.
	priorFailures = 0.5
	priorTotal    = 2

	// ejectionThreshold is the log-likelihood ratio, see history.likelihoodRatio, from which an
	// upstream is ejected. Two failures in a row reach it if the other upstreams hardly fail. It is
	// never reached if they fail as often as this one.
	ejectionThreshold = 7.5
	// reducedEjectionThreshold applies to a returning upstream, to one that a peer has ejected,
	// and while another upstream of the same worker or rack is ejected. One failure reaches it if
	// the other upstreams hardly fail.
	reducedEjectionThreshold = 3.5
	// minSucceedingOthers is how many other upstreams must have succeeded with the service, since
	// an upstream began to fail with it, before that upstream is ejected.
	minSucceedingOthers = 3
)

// history has the latest outcomes of one service on one upstream, the newest in the lowest bit.
type history struct {
	// failed has a bit for each outcome, set if the task failed. count is the number of outcomes.
	failed uint16
	count  uint8
	// failingSince is when the first failure of the latest series of consecutive failures was
	// observed, lastSuccess when the latest success was.
	failingSince task.Time
	lastSuccess  task.Time
}

func (h *history) add(now task.Time, failed bool) {
	if !failed {
		h.lastSuccess = now
	} else if !h.lastFailed() {
		h.failingSince = now
	}
	h.failed <<= 1
	if failed {
		h.failed |= 1
	}
	h.count = min(h.count+1, historyLength)
}

// lastFailed reports whether the newest outcome is a failure.
func (h *history) lastFailed() bool { return h.failed&1 == 1 }

// recentFailures counts the failures among the newest n outcomes, and these outcomes, which may be
// fewer than n.
func (h *history) recentFailures(n uint8) (failures, total float64) {
	n = min(h.count, n)
	for i := range n {
		failures += float64(h.failed >> i & 1)
	}
	return failures, float64(n)
}

// likelihoodRatio measures the evidence that the upstream is broken. The log-likelihood ratio of a
// series of outcomes is the logarithm of how much more likely they are at brokenFailureRate than at
// the given rate. The result is the greatest ratio of the series that end with the newest outcome;
// it is at least 0.
func (h *history) likelihoodRatio(rate float64) float64 {
	if rate >= brokenFailureRate {
		return 0
	}
	onFailure := math.Log(brokenFailureRate / rate)
	onSuccess := math.Log((1 - brokenFailureRate) / (1 - rate))
	var sum, best float64
	for i := range h.count {
		if h.failed>>i&1 == 1 {
			sum += onFailure
		} else {
			sum += onSuccess
		}
		best = max(best, sum)
	}
	return best
}

// othersFailureRate returns the rate at which a service fails on the institution's other
// upstreams, how many of them have succeeded with it since the given time, and how many have
// outcomes of it.
//
// If a caller sends payloads that can't succeed, every upstream fails. Without the comparison,
// all would be ejected because of one caller. An upstream that hasn't succeeded since the given
// time and whose newest outcome is a failure is left out of the rate: it may be broken too, as in a
// rack without power, and would raise the rate so that none of the rack is ejected.
func (t *Tracker) othersFailureRate(u *upstream, service int, since task.Time) (rate float64, succeeding, known int) {
	failures, total := priorFailures, float64(priorTotal)
	others := u.institutionPool.members
	for i := 1; i < min(len(others), maxScannedUpstreams) && known < maxComparedUpstreams; i++ {
		h := others[(u.poolIndex+i)%len(others)].history(service)
		if h == nil || h.count == 0 {
			continue
		}
		known++
		if h.lastSuccess >= since {
			succeeding++
		} else if h.lastFailed() {
			continue
		}
		f, n := h.recentFailures(comparedOutcomes)
		failures += f
		total += n
	}
	return max(failures/total, minFailureRate), succeeding, known
}

// assessment is the conclusion from the outcomes of an upstream.
type assessment uint8

const (
	healthy assessment = iota
	// suspect: the upstream fails, and too few others have succeeded in the meantime.
	suspect
	// broken: the upstream fails, and enough others have succeeded in the meantime.
	broken
)

// assess adds up the evidence against an upstream over all services. The cause of failures may be
// the service or its payloads. Evidence from a service is therefore confirmed only when enough
// other upstreams have succeeded with it since this one began to fail; until then the upstream is
// at most suspect.
func (t *Tracker) assess(u *upstream, threshold float64) assessment {
	var confirmed, unconfirmed float64
	for service := range u.histories {
		h := &u.histories[service]
		if h.failed == 0 {
			continue
		}
		rate, succeeding, known := t.othersFailureRate(u, service, h.failingSince)
		if known > 0 && succeeding >= min(minSucceedingOthers, known) {
			confirmed += h.likelihoodRatio(rate)
			continue
		}
		rate, _, _ = t.othersFailureRate(u, service, 0)
		unconfirmed += h.likelihoodRatio(rate)
	}
	switch {
	case confirmed >= threshold:
		return broken
	case confirmed+unconfirmed >= threshold:
		return suspect
	}
	return healthy
}
