package fleet_test

import (
	"fmt"
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

// expectNoTaskStartedTwice checks that no task was started more than once.
func (w *world) expectNoTaskStartedTwice(g *WithT, seed uint64) {
	for id, j := range w.jobs {
		g.Expect(j.starts).To(BeNumerically("<=", j.work.Tasks()), "seed %d: job %s", seed, id)
	}
}

// The leader is stopped as planned while jobs run of which some tasks have ended. The next
// leader must continue with the remaining tasks only.
func TestPlannedStopRunsNothingAgain(t *testing.T) {
	t.Parallel()
	g := NewWithT(t)
	for seed := range uint64(20) {
		w := deployment(seed, 1+int(seed)%2)
		w.load(60, 3*time.Second)
		w.run(1500 * time.Millisecond)
		w.stop(w.leader())
		w.run(4 * time.Second)
		g.Expect(w.checker.violations).To(BeEmpty())
		w.expectNoTaskStartedTwice(g, seed)
	}
}

// The stopped leader's VM is so busy that its messages, the report of its progress among
// them, are 120 ms late. The next leader must wait for that report, and must not run tasks
// again that have ended.
func TestPlannedStopOfABusyLeader(t *testing.T) {
	t.Parallel()
	g := NewWithT(t)
	for seed := range uint64(20) {
		w := deployment(seed, 1+int(seed)%2)
		w.load(60, 3*time.Second)
		w.run(1500 * time.Millisecond)
		n := w.leader()
		w.sendDelay[n.name] = 120 * time.Millisecond
		w.stop(n)
		w.run(4 * time.Second)
		g.Expect(w.checker.violations).To(BeEmpty())
		w.expectNoTaskStartedTwice(g, seed)
	}
}

// A deployment starts for the first time, and for some seconds no process knows the
// configuration or the layout. No process may widen the number of seats then: all small VMs
// would connect with each other, and their heartbeats would take CPU from callers from then
// on. Once everything is known and no scheduler is reachable, seats are widened.
func TestSeatsAreNotWidenedBeforeTheConfigurationIsKnown(t *testing.T) {
	t.Parallel()
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

// A process answers a heartbeat with its own at once, so that the heartbeats of two processes
// go in pairs. The number of heartbeats must not grow by this.
func TestHeartbeatsGoInPairs(t *testing.T) {
	t.Parallel()
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
		g.Expect(min(pair, next)).To(BeNumerically("<=", 2*messageDelay))
	}
}

// A failure domain is partitioned for some seconds, and each side has a leader. When the
// partition heals, the domain's leader must not take runners of the other side: they have a
// leader, and their jobs would be delayed.
func TestNoRunnerIsTakenAsACutHeals(t *testing.T) {
	t.Parallel()
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
		w.connectDelay = 300 * time.Millisecond
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
		g.Expect(w.checker.violations).To(BeEmpty())
	}
}

// Guards against a handover that is longer than a message may be, so that processes lose each other: another writer has left
// thousands of long entries for a moment.
func TestAHandoverOfManyRunnersIsSentInParts(t *testing.T) {
	t.Parallel()
	g := NewWithT(t)
	w := deployment(1, 1)
	w.load(60, 4*time.Second)
	w.run(1500 * time.Millisecond)
	const odd, longest = 2500, 1000
	list := w.list()
	for i := range odd {
		list.Runners = append(list.Runners, workload.Runner{ID: workload.RunnerID(fmt.Sprintf("z-odd-%d", i)), Service: "another"})
	}
	old := w.leader()
	w.do(old, func() { old.node.RunnersRead(w.now, list) })
	w.run(300 * time.Millisecond)
	sizes, named := 0, make(map[workload.RunnerID]bool)
	w.onSend = func(_ *fakeNode, c fleet.Send) {
		l, ok := c.Message.(fleet.RunnerList)
		if !ok || !l.Handover {
			return
		}
		sizes = max(sizes, len(l.Runners))
		for _, r := range l.Runners {
			named[r.ID] = true
		}
	}
	w.stop(old)
	w.run(time.Second)
	g.Expect(len(named)).To(BeNumerically(">=", odd))
	g.Expect(sizes).To(BeNumerically("<=", longest))
}
