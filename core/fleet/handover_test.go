package fleet_test

import (
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"sapphirepoint.example/sapphirepoint/core/fleet"
	"sapphirepoint.example/sapphirepoint/core/layout"
	"sapphirepoint.example/sapphirepoint/core/leader"
	"sapphirepoint.example/sapphirepoint/core/routing"
	"sapphirepoint.example/sapphirepoint/core/schedule"
	"sapphirepoint.example/sapphirepoint/core/workload"
)

// expectNothingAgain checks that no task was started more than once.
func (w *world) expectNothingAgain(g *WithT, seed uint64) {
	for id, j := range w.jobs {
		g.Expect(j.starts).To(BeNumerically("<=", j.work.Tasks()), "seed %d: job %s", seed, id)
	}
}

// The leader is stopped as planned, in the middle of jobs of which some tasks
// have ended. The next one goes on with the rest: a label that was printed isn't
// printed again.
func TestPlannedStopRunsNothingAgain(t *testing.T) {
	g := NewWithT(t)
	for seed := range uint64(20) {
		w := deployment(seed, 1+int(seed)%2)
		w.load(60, 3*time.Second)
		w.run(1500 * time.Millisecond)
		w.stop(w.leader())
		w.run(4 * time.Second)
		g.Expect(w.truth.broken).To(BeEmpty())
		w.expectNothingAgain(g, seed)
	}
}

// The VM of the leader that is stopped is so busy that its messages are 120 ms
// late, the word on what has ended among them. The next leader waits for it,
// however long it takes: a label that was printed isn't printed again.
func TestPlannedStopOfABusyLeader(t *testing.T) {
	g := NewWithT(t)
	for seed := range uint64(20) {
		w := deployment(seed, 1+int(seed)%2)
		w.load(60, 3*time.Second)
		w.run(1500 * time.Millisecond)
		n := w.leader()
		w.lag[n.name] = 120 * time.Millisecond
		w.stop(n)
		w.run(4 * time.Second)
		g.Expect(w.truth.broken).To(BeEmpty())
		w.expectNothingAgain(g, seed)
	}
}

// A deployment starts for the first time, and for some seconds nobody knows the
// configuration or how the runners are divided. No process counts as alone then:
// small VMs would all connect with each other, and their heartbeats take the
// processor from callers for the rest of the day. Once all is known and no
// scheduler is in reach, one does.
func TestNobodyIsAloneBeforeTheStart(t *testing.T) {
	g := NewWithT(t)
	n := fleet.New(schedule.DefaultConfig(), grace, 400, 0)
	n.Registered(0, "a#1", 1)
	for now := time.Duration(0); now < 5*time.Second; now += fleet.TickInterval {
		n.Tick(now)
		g.Expect(n.SeatDoublings()).To(BeZero(), "at %v", now)
	}
	n.ApplyLayout(5*time.Second, layout.Pooled(1))
	n.ApplyDeclaration(5*time.Second, &routing.Declaration{Version: 1}, "store")
	n.ApplyEvacuations(5*time.Second, routing.Evacuations{Version: 1}, "store")
	n.RunnersRead(5*time.Second, fleet.RunnerList{Revision: 1})
	follows := leader.Report{Number: 2, Able: true, Shards: 1, Follows: []leader.Follow{{Leader: "c#3"}}}
	for now := 5 * time.Second; now < 7*time.Second; now += fleet.TickInterval {
		n.PeerUp(now, "b#2")
		n.Receive(now, "b#2", fleet.Heartbeat{Report: follows})
		n.Tick(now)
	}
	g.Expect(n.SeatDoublings()).To(BeNumerically(">", 0))
}

// Two processes tell each other that they live. One answers the heartbeat of the
// other at once, so that they go in pairs, and neither sends more for that.
func TestHeartbeatsGoInPairs(t *testing.T) {
	g := NewWithT(t)
	w := newWorld(1)
	w.shards = 1
	for _, name := range []string{"a1", "a2"} {
		w.nodes = append(w.nodes, &fakeNode{name: name, domain: "a", milliCPU: 400})
	}
	for _, n := range w.nodes {
		w.boot(n)
	}
	w.run(time.Second)
	var sent []time.Duration
	w.onSend = func(n *fakeNode, c fleet.Send) {
		if _, ok := c.Message.(fleet.Heartbeat); ok {
			sent = append(sent, w.now)
		}
	}
	w.run(3 * time.Second)
	g.Expect(len(sent)).To(BeNumerically("~", 2*3*time.Second/leader.HeartbeatInterval, 4))
	for i := 2; i+1 < len(sent); i += 2 {
		pair, next := sent[i]-sent[i-1], sent[i+1]-sent[i]
		g.Expect(min(pair, next)).To(BeNumerically("<=", 2*delay))
	}
}

// A failure domain is cut off for some seconds, and each side has a leader. As the
// cut heals, that of the domain takes no runner of the others: they are led, and
// their jobs would be held up.
func TestNoRunnerIsTakenAsACutHeals(t *testing.T) {
	g := NewWithT(t)
	for seed := range uint64(10) {
		w := deployment(seed, 1)
		old := w.leader()
		w.load(60, 8*time.Second)
		w.run(500 * time.Millisecond)
		domain := "a"
		if old.domain == "a" {
			domain = "b"
		}
		w.cutOff(domain, 3*time.Second)
		w.linkDelay = 300 * time.Millisecond
		w.run(2900 * time.Millisecond)
		taken := make(map[workload.RunnerID]uint64)
		for _, r := range w.runners {
			taken[r.info.ID] = r.token
		}
		w.run(3 * time.Second)
		for _, r := range w.runners {
			if r.info.Domain != domain {
				g.Expect(r.token).To(Equal(taken[r.info.ID]), "seed %d: runner %s", seed, r.info.ID)
			}
		}
		g.Expect(w.leader()).To(Equal(old))
		g.Expect(w.truth.broken).To(BeEmpty())
	}
}
