package health

import (
	"math"

	"sapphirepoint.example/sapphirepoint/core/task"
)

const (
	// historyLength is how many outcomes of an upstream are kept for each service.
	historyLength = 16
	// comparedOutcomes is how many of them count when it is compared with; fewer,
	// so that a fault of the service itself shows within a few tasks.
	comparedOutcomes = 8
	// maxComparedUpstreams and othersScanned bound the comparison's cost.
	maxComparedUpstreams = 64
	maxScannedUpstreams  = 256

	// brokenFailureRate is the rate of failures of an upstream worth closing.
	brokenFailureRate = 0.5
	// minFailureRate is the least rate taken for the others. Lower, and a single
	// failure would close an upstream.
	minFailureRate = 0.01
	// Until others have been seen, they are taken to fail one time in four.
	priorFailures = 0.5
	priorTotal    = 2

	// ejectionThreshold is the log-likelihood ratio that closes an upstream: two failures
	// in a row while the others hardly fail, and never if they fail as often.
	ejectionThreshold = 7.5
	// reducedEjectionThreshold holds while another upstream of the same worker or rack is
	// closed: one failure.
	reducedEjectionThreshold = 3.5
	// minSucceedingOthers is how many others must have done well since an upstream began
	// to fail before it is closed for it.
	minSucceedingOthers = 3
)

// history is the latest outcomes of one service, the newest in the lowest bit.
type history struct {
	failed uint16
	count  uint8
	// failingSince is when the latest unbroken row of failures began.
	failingSince task.Time
	lastSuccess  task.Time
}

func (h *history) add(now task.Time, failed bool) {
	if !failed {
		h.lastSuccess = now
	} else if h.failed&1 == 0 {
		h.failingSince = now
	}
	h.failed <<= 1
	if failed {
		h.failed |= 1
	}
	h.count = min(h.count+1, historyLength)
}

// recentFailures counts failures among the newest outcomes, n at most.
func (h *history) recentFailures(n uint8) (failures, total float64) {
	n = min(h.count, n)
	for i := range n {
		failures += float64(h.failed >> i & 1)
	}
	return failures, float64(n)
}

// likelihoodRatio is the greatest log-likelihood likelihoodRatio, over all recent spans, of a
// broken upstream against one that fails at the given rate.
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

// othersFailureRate is the rate at which a service fails on the institution's other
// upstreams, how many of them have had a success with it since a time, and how
// many are known to run it.
//
// A caller that sends payloads which can't succeed makes every upstream fail;
// without the comparison all would be closed for one caller's fault. Those
// that have only failed since that time are left out: they may be broken too,
// as in a rack without power, and would then excuse each other.
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
		} else if h.failed&1 == 1 {
			continue
		}
		f, n := h.recentFailures(comparedOutcomes)
		failures += f
		total += n
	}
	return max(failures/total, minFailureRate), succeeding, known
}

// assessment is what the outcomes of an upstream say.
type assessment uint8

const (
	healthy assessment = iota
	// suspect: it fails, and nobody has done better in the meantime.
	suspect
	broken
)

// assess weighs the evidence against an upstream over all services. Before
// others have done well since it began to fail, it may be the service or the
// payloads that fail, and then it is only suspect.
func (t *Tracker) assess(u *upstream, limit float64) assessment {
	var confirmed, unconfirmed float64
	for service := range u.services {
		h := &u.services[service]
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
	case confirmed >= limit:
		return broken
	case confirmed+unconfirmed >= limit:
		return suspect
	}
	return healthy
}
