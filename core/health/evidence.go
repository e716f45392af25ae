package health

import (
	"math"

	"sapphirepoint.example/sapphirepoint/core/task"
)

const (
	// recent is how many outcomes of an upstream are kept for each service.
	recent = 16
	// recentOthers is how many of them count when it is compared with; fewer,
	// so that a fault of the service itself shows within a few tasks.
	recentOthers = 8
	// othersWanted and othersScanned bound the comparison's cost.
	othersWanted  = 64
	othersScanned = 256

	// brokenRate is the rate of failures of an upstream worth closing.
	brokenRate = 0.5
	// leastRate is the least rate taken for the others. Lower, and a single
	// failure would close an upstream.
	leastRate = 0.01
	// Until others have been seen, they are taken to fail one time in four.
	priorFailures = 0.5
	priorTotal    = 2

	// enough is the log-likelihood ratio that closes an upstream: two failures
	// in a row while the others hardly fail, and never if they fail as often.
	enough = 7.5
	// enoughBeside holds while another upstream of the same worker or rack is
	// closed: one failure.
	enoughBeside = 3.5
	// witnesses is how many others must have done well since an upstream began
	// to fail before it is closed for it.
	witnesses = 3
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
	h.count = min(h.count+1, recent)
}

// tally counts failures among the newest outcomes, n at most.
func (h *history) tally(n uint8) (failures, total float64) {
	n = min(h.count, n)
	for i := range n {
		failures += float64(h.failed >> i & 1)
	}
	return failures, float64(n)
}

// ratio is the greatest log-likelihood ratio, over all recent spans, of a
// broken upstream against one that fails at the given rate.
func (h *history) ratio(rate float64) float64 {
	if rate >= brokenRate {
		return 0
	}
	onFailure := math.Log(brokenRate / rate)
	onSuccess := math.Log((1 - brokenRate) / (1 - rate))
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

// othersRate is the rate at which a service fails on the institution's other
// upstreams, how many of them have had a success with it since a time, and how
// many are known to run it.
//
// A caller that sends payloads which can't succeed makes every upstream fail;
// without the comparison all would be closed for one caller's fault. Those
// that have only failed since that time are left out: they may be broken too,
// as in a rack without power, and would then excuse each other.
func (t *Tracker) othersRate(u *upstream, service int, since task.Time) (rate float64, well, known int) {
	failures, total := priorFailures, float64(priorTotal)
	mates := u.pool.members
	for i := 1; i < min(len(mates), othersScanned) && known < othersWanted; i++ {
		h := mates[(u.at+i)%len(mates)].history(service)
		if h == nil || h.count == 0 {
			continue
		}
		known++
		if h.lastSuccess >= since {
			well++
		} else if h.failed&1 == 1 {
			continue
		}
		f, n := h.tally(recentOthers)
		failures += f
		total += n
	}
	return max(failures/total, leastRate), well, known
}

// verdict is what the outcomes of an upstream say.
type verdict uint8

const (
	sound verdict = iota
	// suspect: it fails, and nobody has done better in the meantime.
	suspect
	broken
)

// judge weighs the evidence against an upstream over all services. Before
// others have done well since it began to fail, it may be the service or the
// payloads that fail, and then it is only suspect.
func (t *Tracker) judge(u *upstream, limit float64) verdict {
	var proved, likely float64
	for service := range u.services {
		h := &u.services[service]
		if h.failed == 0 {
			continue
		}
		rate, well, known := t.othersRate(u, service, h.failingSince)
		if known > 0 && well >= min(witnesses, known) {
			proved += h.ratio(rate)
			continue
		}
		rate, _, _ = t.othersRate(u, service, 0)
		likely += h.ratio(rate)
	}
	switch {
	case proved >= limit:
		return broken
	case proved+likely >= limit:
		return suspect
	}
	return sound
}
