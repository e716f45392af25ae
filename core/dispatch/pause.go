package dispatch

import (
	"time"

	"sapphirepoint.example/sapphirepoint/core/task"
)

const (
	// pauseThreshold is how much more than the status interval must pass on the clock
	// between two calls for the process to count as paused rather than highly loaded.
	pauseThreshold = 700 * time.Millisecond
	// resumeWindow is how long after a pause arriving requests may have been
	// sent before or during it.
	resumeWindow = time.Second
)

// detectPause detects pauses of the process: the status timer should have called it
// within the status interval.
//
// After a pause the process reads requests from its buffers whose callers may have timed
// out long ago. If their time allowance began when they are read, a job could run a minute
// after its caller was answered with a timeout. So for a while after a pause its length is
// deducted from the time of arriving requests.
func (c *Core) detectPause(now task.Time) {
	if gap := now - c.now; gap > c.cfg.StatusInterval+pauseThreshold {
		c.resumedAt = now
		c.pauseLength = gap
	}
}

// maxRequestAge is how long ago a request that arrives now may have been sent.
func (c *Core) maxRequestAge() time.Duration {
	if c.pauseLength > 0 && c.now < c.resumedAt+resumeWindow {
		return c.pauseLength
	}
	return 0
}
