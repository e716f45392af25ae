package entry

import (
	"sync/atomic"
	"time"

	"golang.org/x/sys/unix"
)

// clock is a monotonic clock that includes the time during which the VM was
// suspended. Go's monotonic clock doesn't: after a suspension every lease would seem
// as fresh as before, and a process would go on as leader after it has lost that
// role.
type clock struct {
	start     time.Time
	bootStart time.Duration
	// suspended is the total suspended time, in nanoseconds, that Go's clock has missed.
	suspended atomic.Int64
}

// minSuspension is the smallest difference between the clocks that counts as a
// suspension. Reading one clock after the other takes far less.
const minSuspension = 20 * time.Millisecond

func newClock() *clock {
	c := &clock{start: time.Now()}
	c.bootStart, _ = bootTime()
	return c
}

// bootTime returns the time since the VM was started, including suspensions.
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

// at converts a time of Go's clock to one of this clock.
func (c *clock) at(t time.Time) Time {
	return t.Sub(c.start) + time.Duration(c.suspended.Load())
}

// adjust detects suspensions and advances the clock by their length. Between a suspension
// and the next call of adjust the clock is behind, which is the safe side: leases on the runners' clocks seem to have less
// time left, and silent runners seem to be alive for longer.
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
