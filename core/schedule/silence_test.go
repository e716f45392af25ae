package schedule

import (
	"testing"

	. "github.com/onsi/gomega"

	"sapphirepoint.example/sapphirepoint/core/workload"
)

// leaveUnanswered leaves the Holds of a runner unanswered and answers those of the others.
func (b *harness) leaveUnanswered(id workload.RunnerID, connection Connection) {
	for _, h := range take[Hold](b) {
		if h.Runner != id {
			b.held(h)
			continue
		}
		clock := b.clock()
		clock.Milliseconds = 0
		b.s.Held(b.now, HoldResult{Runner: id, Token: h.Token, ListOnly: h.ListOnly, Outcome: Unanswered, Connection: connection, Clock: clock})
	}
}

// Guards against a run that counts as over on evidence that the log doesn't show.
func TestLapsedRunIsLoggedWithItsEvidence(t *testing.T) {
	for connection, said := range map[Connection]string{ConnectionMade: "accepts connections: true", ConnectionFailed: "accepts connections: false"} {
		b := leading(t, testRunner("r1"))
		c := b.runningTask()
		var lapsed []Decision
		for range 200 {
			b.leaveUnanswered(c.Runner, connection)
			b.tick(20 * ms)
			for _, d := range take[Decision](b) {
				if d.Event == "run-lapsed" {
					lapsed = append(lapsed, d)
				}
			}
		}
		b.g.Expect(lapsed).To(ConsistOf(HaveField("Detail", And(ContainSubstring(said), ContainSubstring("asked ")))))
	}
}

// Guards against a runner that ends its runs late without a line in the log.
func TestRunThatOutlivesItsLeaseIsLogged(t *testing.T) {
	b := leading(t, testRunner("r1"))
	c := b.runningTask()
	take[Hold](b)
	b.now += b.s.cfg.Lease + 100*ms
	b.lists(c.Runner, b.now, c.Run)
	b.lists(c.Runner, b.now, c.Run)
	lines := take[Decision](b)
	b.g.Expect(lines).To(ContainElement(And(logged("lease-overrun", c.Run, "1 runs alive"), HaveField("Age", 100*ms))))
	b.g.Expect(b.s.Counters().LeaseOverruns).To(BeEquivalentTo(1))
}
