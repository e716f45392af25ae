package entry

import (
	"sync/atomic"
	"time"

	"golang.org/x/sys/unix"
)

// clock is a monotonic clock that counts the time during which the VM was
// suspended. Go's own doesn't: after a suspension every lease would seem to be
// as fresh as before, and the process would go on as the leader that it no
// longer is.
type clock struct {
	start     time.Time
	bootStart time.Duration
	// suspended is the time that the plain clock has missed.
	suspended atomic.Int64
}

// minSuspension is the least difference between the clocks that is taken for a
// suspension; reading one after the other takes far less.
const minSuspension = 20 * time.Millisecond

func newClock() *clock {
	c := &clock{start: time.Now()}
	c.bootStart, _ = bootTime()
	return c
}

// bootTime is the time since the VM was started, with suspensions.
func bootTime() (time.Duration, bool) {
	var ts unix.Timespec
	if err := unix.ClockGettime(unix.CLOCK_BOOTTIME, &ts); err != nil {
		return 0, false
	}
	return time.Duration(ts.Nano()), true
}

func (c *clock) now() Time {
	return time.Since(c.start) + time.Duration(c.suspended.Load())
}

// at converts a reading of Go's clock.
func (c *clock) at(t time.Time) Time {
	return t.Sub(c.start) + time.Duration(c.suspended.Load())
}

// adjust looks for suspensions. Between a suspension and the next look the
// clock is behind, which is the safe side: leases seem to have less time left
// on the runners' clocks, and silent runners to be alive for longer.
func (c *clock) adjust() {
	boot, ok := bootTime()
	if !ok {
		return
	}
	missed := boot - c.bootStart - time.Since(c.start)
	if missed-time.Duration(c.suspended.Load()) > minSuspension {
		c.suspended.Store(int64(missed))
	}
}
