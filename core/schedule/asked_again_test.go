package schedule

import (
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"sapphirepoint.example/sapphirepoint/core/workload"
)

// The life of a lease, and how often a silent runner is asked before its runs count as over.

// Guards against a run that outlives the time at which the scheduler counts it as over: the runner's clock
// is slow, and the reading of it is old, or the order was sent twice, or a renewal has extended the lease.
func TestALeaseEndsBeforeItsRunCountsAsOver(t *testing.T) {
	const drift = 0.98
	for _, age := range []time.Duration{0, 250 * ms, time.Second, 1450 * ms} {
		for _, repeated := range []bool{false, true} {
			for _, renewed := range []bool{false, true} {
				b := leading(t, testRunner("r1"))
				r := b.s.runners["r1"]
				readAt := b.now
				r.clock, r.clockAt = clockAtZero, readAt
				clockAt := func(at Time) float64 { return clockAtZero + drift*float64(at-readAt)/float64(ms) }
				b.now += age
				b.s.EntryAlive(b.now, entryA)
				b.submit(testJob(1, 300*ms), 4*time.Second)
				c := one[Start](b)
				granted := c.LeaseEnd
				if repeated {
					b.now += 50 * ms
					b.s.Started(b.now, StartResult{Runner: "r1", Token: c.Token, Run: c.Run, Outcome: Unanswered, Clock: ClockReading{ReceivedAt: b.now, SentAt: b.now}})
					granted = max(granted, one[Start](b).LeaseEnd)
				}
				if renewed {
					r.holdInFlight, r.unresponsive = false, false
					take[Hold](b)
					b.now += 40 * ms
					b.s.hold(r)
					granted = max(granted, one[Hold](b).LeaseEnd)
				}
				over := clockAt(r.aliveUntil)
				b.g.Expect(over).To(BeNumerically(">=", float64(granted)+15), "age %v, repeated %t, renewed %t", age, repeated, renewed)
			}
		}
	}
}

// renewal returns the only Hold to a runner that renews its lease.
func (b *harness) renewal(id workload.RunnerID) Hold {
	b.t.Helper()
	var found []Hold
	for _, h := range take[Hold](b) {
		if h.Runner == id && h.LeaseEnd > 0 {
			found = append(found, h)
		}
	}
	b.g.Expect(found).To(HaveLen(1))
	return found[0]
}

// oneLostAnswer has a runner's renewal stay unanswered, with an averaged latency by which timeouts grow,
// while the leader is paused for a time, and counts how often the runner is asked after that until its task
// is started elsewhere.
func oneLostAnswer(t *testing.T, latency, begin, pause time.Duration) (asked int, restarted time.Duration) {
	b := leading(t, testRunner("r1"), testRunner("r2"))
	b.s.callLatency = latency
	_, start := b.runningJob(2 * time.Second)
	renewal, sentAt := b.renewal(start.Runner), b.now
	b.tick(begin)
	b.now += pause
	b.tick(max(5*ms, sentAt+renewal.Timeout-b.now))
	take[Hold](b)
	b.answerHold(renewal, Unanswered)
	for len(take[Start](b)) == 0 && b.now-sentAt < 2*time.Second {
		for _, h := range take[Hold](b) {
			if h.Runner == start.Runner {
				asked++
				b.answerHold(h, Unanswered)
			}
		}
		b.tick(5 * ms)
	}
	return asked, b.now - sentAt
}

// Guards against runs that count as over on a single answer that is lost, or lies unread while the leader is
// paused for less than a stall: the runner is asked again before its runs lapse.
func TestARunnerIsAskedAgainBeforeItsRunsLapse(t *testing.T) {
	for name, c := range map[string]struct{ latency, begin, pause time.Duration }{
		"no pause":                {},
		"pause at the request":    {pause: 390 * ms},
		"answers are late":        {latency: 60 * ms},
		"pause and late answers":  {latency: 60 * ms, begin: 149 * ms, pause: 300 * ms},
		"pause before the answer": {begin: 100 * ms, pause: 390 * ms},
	} {
		t.Run(name, func(t *testing.T) {
			asked, restarted := oneLostAnswer(t, c.latency, c.begin, c.pause)
			NewWithT(t).Expect(asked).To(BeNumerically(">", 0), "started elsewhere %v after the only request", restarted)
		})
	}
}

// Guards against the same where timeouts have grown: probes wait for a quarter of the silence if that is
// longer than immediateProbeSilence, as a single unanswered renewal with a long timeout is.
func TestARunnerIsAskedAgainAfterALongTimeout(t *testing.T) {
	for _, latency := range []time.Duration{76 * ms, 100 * ms, 300 * ms} {
		asked, restarted := oneLostAnswer(t, latency, 0, 0)
		NewWithT(t).Expect(asked).To(BeNumerically(">", 0), "latency %v: started elsewhere %v after the only request", latency, restarted)
	}
}

// Guards against the same where the silence is the leader's own: it was paused for less than a stall just
// before the answer came.
func TestARunnerIsAskedAgainAfterAPauseOfTheLeader(t *testing.T) {
	asked, restarted := oneLostAnswer(t, 0, 149*ms, 390*ms)
	NewWithT(t).Expect(asked).To(BeNumerically(">", 0), "started elsewhere %v after the only request", restarted)
}
