package node

import (
	"math/rand/v2"
	"time"
)

// maxPollInterval bounds the wait between two polls of a platform that is out, so
// that its return is noticed within the seconds in which accepted settings have
// to be in force.
const maxPollInterval = 2 * time.Second

// outageChange says whether a poll found the platform in another state than
// the one before.
type outageChange int

const (
	outageUnchanged outageChange = iota
	outageBegan
	outageEnded
)

// outage follows the state of the platform over polls. Without it, each
// process would log each failed poll for as long as an outage lasts, and all of
// them would ask in step again when it ends.
type outage struct {
	failedPolls int
}

// record records the errors of one poll.
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

// pollDelay is the time to the next poll: the interval, doubled with each failure
// up to the bound, less up to a half at random.
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
