package node

import (
	"syscall"
	"time"

	"sapphirepoint.example/sapphirepoint/core/dispatch"
	"sapphirepoint.example/sapphirepoint/core/task"
)

// resumeGrace is how long after a pause the core's clock stands still: events that arrived during the
// pause are read and handled before its timers run, which are due all at once.
const resumeGrace = 100 * time.Millisecond

// processPaused logs a pause, with the processor time that the process used since its last tick, and
// stops the core's clock for resumeGrace. Little processor time shows that the process was suspended or
// got no processor; as much as the pause shows that it was busy.
func (n *Node) processPaused(p dispatch.ProcessPaused) {
	n.log.Warn().Dur("pause_ms", p.Length).Dur("cpu_ms", n.cpuTime()-n.cpuTimeAtTick).Msg("process-paused")
	n.resumedAt = n.elapsed()
	n.clockStopped = true
}

// coreTime returns the core's clock.
func (n *Node) coreTime() task.Time {
	now := n.elapsed()
	if n.clockStopped && now < n.resumedAt+resumeGrace {
		return n.resumedAt
	}
	n.clockStopped = false
	return now
}

// untilTimer returns how long to wait until a timer of the core is due.
func (n *Node) untilTimer(at task.Time) time.Duration {
	if n.clockStopped {
		at = max(at, n.resumedAt+resumeGrace)
	}
	return at - n.elapsed()
}

// cpuTime returns the processor time that the process has used; 0 if it can't be read.
func (n *Node) cpuTime() time.Duration {
	var u syscall.Rusage
	if err := syscall.Getrusage(syscall.RUSAGE_SELF, &u); err != nil {
		n.log.Warn().Err(err).Msg("cpu-time-unknown")
		return 0
	}
	return time.Duration(u.Utime.Nano() + u.Stime.Nano())
}
