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
	"sapphirepoint.example/sapphirepoint/core/topology"
	"sapphirepoint.example/sapphirepoint/core/workload"
)

// answers returns the answers to callers among the commands that a node has issued.
func answers(n *fleet.Node) []fleet.Answer {
	var list []fleet.Answer
	for _, c := range n.Ready() {
		if a, ok := c.(fleet.Answer); ok {
			list = append(list, a)
		}
	}
	return list
}

// A process restarts, and a job arrives before it knows the layout. The job must wait for it,
// since its caller won't submit twice. In a process that has run for longer the job is answered
// after earlyTimeout.
func TestEarlyRequestsWait(t *testing.T) {
	t.Parallel()
	g := NewWithT(t)
	job := &workload.Job{ID: "0000000000000001", Queue: queue, Service: service, Steps: []workload.Step{{Tasks: 1}}}
	n := fleet.New(schedule.DefaultConfig(), grace, 400, 0)
	n.Submit(0, 1, job, time.Second)
	n.Submit(0, 2, &workload.Job{ID: "0000000000000002"}, time.Second)
	n.CallerLeft(0, 2)
	n.Tick(100 * time.Millisecond)
	g.Expect(answers(n)).To(BeEmpty())
	n.ApplyLayout(110*time.Millisecond, layout.Pooled(1))
	n.Tick(200 * time.Millisecond)
	g.Expect(answers(n)).To(BeEmpty())
	g.Expect(n.JobsInFlight()).To(Equal(1))

	late := fleet.New(schedule.DefaultConfig(), grace, 400, 0)
	for now := fleet.TickInterval; now <= 4*time.Second; now += fleet.TickInterval {
		late.Tick(now)
	}
	late.Submit(4*time.Second, 1, job, time.Second)
	late.Tick(4320 * time.Millisecond)
	got := answers(late)
	g.Expect(got).To(HaveLen(1))
	g.Expect(got[0].Outcome).To(Equal(workload.GaveUp))
}

// Power returns in a large fleet, and it takes longer than usual until the shards are known and
// their leaders are reached. Guards against callers who are turned away though they have time left,
// and against a job that waits until it can't be completed any more.
func TestJobsWaitWhileAProcessStarts(t *testing.T) {
	t.Parallel()
	g := NewWithT(t)
	job := &workload.Job{ID: "0000000000000001", Queue: queue, Service: service, Steps: []workload.Step{{Tasks: 1, Estimate: 200 * time.Millisecond}}}
	long := &workload.Job{ID: "0000000000000002", Queue: queue, Service: service, Steps: []workload.Step{{Tasks: 1, Estimate: 900 * time.Millisecond}}}
	n := fleet.New(schedule.DefaultConfig(), grace, 400, 0)
	n.Submit(0, 1, job, 1500*time.Millisecond)
	n.Submit(0, 2, long, 1500*time.Millisecond)
	n.Tick(500 * time.Millisecond)
	g.Expect(answers(n)).To(BeEmpty())
	n.Tick(620 * time.Millisecond)
	got := answers(n)
	g.Expect(got).To(HaveLen(1))
	g.Expect(got[0].Request).To(BeEquivalentTo(2), "the caller of the long job has too little time left")

	// The shards become known, and the job waits on for the leader.
	n.ApplyLayout(700*time.Millisecond, layout.Pooled(1))
	n.Tick(1100 * time.Millisecond)
	g.Expect(answers(n)).To(BeEmpty())
	g.Expect(n.JobsInFlight()).To(Equal(1))
	n.Tick(1320 * time.Millisecond)
	g.Expect(answers(n)).To(HaveLen(1))
}

// Processes are restarted one by one while the store is slow. A restarted process knows the
// configuration and the shards before the list of runners. It must not lead yet: it would
// refuse all jobs because it has no runners.
func TestNobodyLeadsWithoutAListOfRunners(t *testing.T) {
	t.Parallel()
	g := NewWithT(t)
	n := fleet.New(schedule.DefaultConfig(), grace, 400, 0)
	n.Registered(0, "a#1", 1)
	n.ApplyLayout(0, layout.Pooled(1))
	n.ApplyDeclaration(0, &routing.Declaration{Version: 1}, "store")
	n.ApplyEvacuations(0, routing.Evacuations{Version: 1}, "store")
	n.SetMembers(0, []topology.Member{{ID: "a#1", VM: "a", Number: 1}, {ID: "b#2", VM: "b", Number: 2}})
	n.Tick(300 * time.Millisecond)
	n.Tick(310 * time.Millisecond)
	g.Expect(n.Leads()).To(BeFalse())
	n.PeerUp(320*time.Millisecond, "b#2")
	n.Receive(321*time.Millisecond, "b#2", fleet.Heartbeat{Report: leader.Report{Number: 2, Shards: 1}})
	n.Receive(322*time.Millisecond, "b#2", fleet.RunnerList{Revision: 7, Runners: []workload.Runner{{ID: "r", Service: service}}})
	n.Tick(330 * time.Millisecond)
	g.Expect(n.Leads()).To(BeTrue())
}

// Guards against a restarted process that leads besides the current leader. The others don't
// know it yet and refuse its connections, so it receives no heartbeat, though it notices that
// they are alive. It acquired their runners, and running tasks stalled for half a second.
func TestAProcessThatOthersDontKnowDoesntLead(t *testing.T) {
	t.Parallel()
	for name, w := range map[string]*world{"pooled": deployment(1, 1), "cells": cellDeployment(1, 1)} {
		g := NewWithT(t)
		w.run(2 * time.Second)
		fresh := w.nodes[1]
		if fresh.node.Leads() {
			fresh = w.nodes[0]
		}
		w.kill(fresh, 300*time.Millisecond)
		w.unknownUntil[fresh.name] = w.now + 1300*time.Millisecond
		for w.now < w.unknownUntil[fresh.name] {
			w.run(10 * time.Millisecond)
			g.Expect(fresh.node != nil && fresh.node.Leads()).To(BeFalse(), name)
		}
		w.run(time.Second)
		g.Expect(fresh.node.ReachesAllLeaders()).To(BeTrue(), name)
	}
}

// Guards against a deployment without a leader because the processes that refuse a new one
// never learn of it.
func TestAProcessThatStaysUnknownLeadsInTheEnd(t *testing.T) {
	t.Parallel()
	g := NewWithT(t)
	w := deployment(1, 1)
	w.run(2 * time.Second)
	fresh := w.nodes[5]
	w.kill(fresh, 300*time.Millisecond)
	w.unknownUntil[fresh.name] = w.now + time.Minute
	w.run(4 * time.Second)
	g.Expect(fresh.node.Leads()).To(BeTrue())
}

// Guards against a process that leads before it knows which failure domains are evacuated:
// it would start tasks there.
func TestNobodyLeadsBeforeTheEvacuationsAreKnown(t *testing.T) {
	t.Parallel()
	g := NewWithT(t)
	n := fleet.New(schedule.DefaultConfig(), grace, 400, 0)
	n.Registered(0, "a#1", 1)
	n.ApplyLayout(0, layout.Pooled(1))
	n.ApplyDeclaration(0, &routing.Declaration{Version: 1}, "b#2")
	n.RunnersRead(0, fleet.RunnerList{Revision: 1, Runners: []workload.Runner{{ID: "r", Service: service}}})
	n.SetMembers(0, []topology.Member{{ID: "a#1", VM: "a", Number: 1}})
	n.Tick(300 * time.Millisecond)
	n.Tick(310 * time.Millisecond)
	g.Expect(n.Leads()).To(BeFalse())
	n.ApplyEvacuations(320*time.Millisecond, routing.Evacuations{Version: 1}, "b#2")
	n.Tick(330 * time.Millisecond)
	g.Expect(n.Leads()).To(BeTrue())
}
