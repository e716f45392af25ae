package entry

import (
	"sync/atomic"
	"time"

	"golang.org/x/sys/unix"

	"sapphirepoint.example/sapphirepoint/core/schedule"
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

// adjust detects suspensions and advances the clock by their length. Between a suspension
// and the next call of adjust the clock is behind. For decisions that is the safe side: silent runners seem
// to be alive for longer. For readings of other clocks it isn't, see reading.
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

// reading returns the runner's clock from an answer that was received just now, to an order that was sent
// at a time. It adjusts this clock first: a suspension that isn't noticed before the reading is would
// make leases seem shorter than the runner takes them to be.
func (c *clock) reading(sentAt Time, a CallAnswer) schedule.ClockReading {
	c.adjust()
	return schedule.ClockReading{Milliseconds: a.Clock, ReceivedAt: c.now(), SentAt: sentAt, IncarnationStart: a.IncarnationStart}
}
