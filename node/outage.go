package node

import (
	"math/rand/v2"
	"time"
)

// maxPollWait bounds the wait between two polls of a platform that is out, so
// that its return is noticed within the seconds in which accepted settings have
// to be in force.
const maxPollWait = 2 * time.Second

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
	failures int
}

// seen records the errors of one poll.
func (o *outage) seen(errs ...error) outageChange {
	failed := false
	for _, err := range errs {
		failed = failed || err != nil
	}
	before := o.failures
	switch {
	case failed && before == 0:
		o.failures = 1
		return outageBegan
	case failed:
		o.failures++
		return outageUnchanged
	case before > 0:
		o.failures = 0
		return outageEnded
	}
	return outageUnchanged
}

// wait is the time to the next poll: the interval, doubled with each failure
// up to the bound, less up to a half at random.
func (o *outage) wait(interval time.Duration) time.Duration {
	if o.failures == 0 {
		return interval
	}
	longest := max(interval, maxPollWait)
	d := interval
	for i := 0; i < o.failures && d < longest; i++ {
		d *= 2
	}
	d = min(d, longest)
	return d - rand.N(d/2)
}
