package schedule

import (
	"testing"
	"time"

	. "github.com/onsi/gomega"
)

// starvedUntilStart has a runner leave all orders unanswered after it has accepted a start, and returns how long after
// the last lease's order the task is started elsewhere. connection is what the n-th new connection shows, from 0 on.
func (b *harness) starvedUntilStart(c Start, d time.Duration, connection func(n int) Connection) Time {
	last, tried := b.now, 0
	for b.now-last < d {
		for _, h := range take[Hold](b) {
			if h.Runner != c.Runner {
				b.held(h)
				continue
			}
			if h.LeaseEnd > 0 {
				last = b.now
			}
			shown := ConnectionUnknown
			if h.NewConnection {
				shown = connection(tried)
				tried++
			}
			b.leaveHoldUnanswered(h, shown)
		}
		b.tick(20 * ms)
		if len(take[Start](b)) > 0 {
			break
		}
	}
	return b.now - last
}

// Guards against a second run beside one on a starved runner, whose queue of new connections fills up with this
// scheduler's own, so that later ones aren't made in time.
func TestAFullQueueOfNewConnectionsShowsNothing(t *testing.T) {
	for _, queue := range []int{1, 5, 12} {
		b := leading(t, testRunner("r1"), testRunner("r2"))
		c := b.runningTask()
		started := b.starvedUntilStart(c, MaxLateEnd, func(n int) Connection {
			if n < queue {
				return ConnectionMade
			}
			return ConnectionTimedOut
		})
		b.g.Expect(started).To(BeNumerically(">=", MaxLateEnd), "a queue of %d", queue)
	}
}

// Guards against a second run beside one on a starved runner, since connections that weren't made in time long ago
// count though later orders have shown nothing.
func TestEarlierConnectionsThatWerentMadeShowNothing(t *testing.T) {
	b := leading(t, testRunner("r1"), testRunner("r2"))
	c := b.runningTask()
	started := b.starvedUntilStart(c, MaxLateEnd, func(n int) Connection {
		if n < outOfReachAttempts+1 {
			return ConnectionTimedOut
		}
		return ConnectionUnknown
	})
	b.g.Expect(started).To(BeNumerically(">=", MaxLateEnd))
}

// Guards against the same where orders to start and to stop runs have filled the queue.
func TestConnectionsOfStartsAndStopsFillTheQueue(t *testing.T) {
	b := leading(t, testRunner("r1"), testRunner("r2"))
	c := b.runningTask()
	b.s.stopRun(b.s.runners[c.Runner].runs[c.Run], StopOverdue)
	stop := one[Stop](b)
	b.s.Stopped(b.now, StopResult{
		Runner: stop.Runner, Token: stop.Token, Run: stop.Run, Outcome: Unanswered, Connection: ConnectionMade,
		Clock: ClockReading{ReceivedAt: b.now, SentAt: b.now},
	})
	started := b.starvedUntilStart(c, MaxLateEnd, func(int) Connection { return ConnectionTimedOut })
	b.g.Expect(started).To(BeNumerically(">=", MaxLateEnd))
}
