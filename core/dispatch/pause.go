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
	// resultWindow is how long after a pause results are read that arrived during it: from the
	// buffers, or by asking the upstream again over a new connection.
	resultWindow = 20 * time.Millisecond
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
		c.stats.Pauses++
		c.emit(ProcessPaused{Length: gap})
	}
}

// awaitsResults reports whether a job that is past its deadline may still complete, since all its
// tasks were started before a pause that has just ended: their results may wait in the buffers,
// while the timers are due at once. Without that the job would be given up although it is done.
func (c *Core) awaitsResults(sub *submission) bool {
	return c.pauseLength > 0 && c.now < c.resumedAt+resultWindow && len(sub.running) > 0 && sub.assembly.Waiting() == 0
}

// maxRequestAge is how long ago a request that arrives now may have been sent.
func (c *Core) maxRequestAge() time.Duration {
	if c.pauseLength > 0 && c.now < c.resumedAt+resumeWindow {
		return c.pauseLength
	}
	return 0
}
