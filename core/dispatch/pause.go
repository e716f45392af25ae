package dispatch

import (
	"time"

	"sapphirepoint.example/sapphirepoint/core/task"
)

const (
	// pauseNoticed is how late the next status must be for the process to have
	// been paused, rather than busy.
	pauseNoticed = 700 * time.Millisecond
	// wakeSpan is how long after a pause what arrives may have been under way
	// since before.
	wakeSpan = time.Second
)

// noticePause compares the clock with the time by which a timer should have
// run.
//
// A process that wakes finds requests in its buffers whose callers gave up
// long ago. Counted from their reading, their time would begin anew: a bid
// would be placed a minute after it was answered with a timeout. So for a
// while after a pause its length is taken off the time of what arrives.
func (c *Core) noticePause(now task.Time) {
	if gap := now - c.now; gap > c.cfg.StatusInterval+pauseNoticed {
		c.woke = now
		c.slept = gap
	}
}

// lateBy is how long ago a request that arrives now may have been sent.
func (c *Core) lateBy() time.Duration {
	if c.slept > 0 && c.now < c.woke+wakeSpan {
		return c.slept
	}
	return 0
}
