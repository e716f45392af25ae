package node

import (
	"math/rand/v2"
	"time"
)

// maxPollInterval bounds the interval between polls during an outage of the platform,
// so that settings accepted after it come into force within the few seconds required.
const maxPollInterval = 2 * time.Second

// outageChange is the change of the platform's state that a poll found.
type outageChange int

const (
	outageUnchanged outageChange = iota
	outageBegan
	outageEnded
)

// outage records over consecutive polls whether the platform is available. It limits the
// log to the begin and the end of an outage, and spreads the polls of the processes so
// that they don't all reach the platform at the same time when the outage ends.
type outage struct {
	failedPolls int
}

// record records the errors of one poll and returns the change of state.
func (o *outage) record(errs ...error) outageChange {
	failed := false
	for _, err := range errs {
		failed = failed || err != nil
	}
	before := o.failedPolls
	switch {
	case failed && before == 0:
		o.failedPolls = 1
		return outageBegan
	case failed:
		o.failedPolls++
		return outageUnchanged
	case before > 0:
		o.failedPolls = 0
		return outageEnded
	}
	return outageUnchanged
}

// pollDelay is the time until the next poll: the interval, doubled for each consecutive
// failure up to the limit, minus a random part of up to a half.
func (o *outage) pollDelay(interval time.Duration) time.Duration {
	if o.failedPolls == 0 {
		return interval
	}
	limit := max(interval, maxPollInterval)
	d := interval
	for i := 0; i < o.failedPolls && d < limit; i++ {
		d *= 2
	}
	d = min(d, limit)
	return d - rand.N(d/2)
}
