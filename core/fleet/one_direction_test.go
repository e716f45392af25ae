package fleet_test

import (
	"slices"
	"strings"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"sapphirepoint.example/sapphirepoint/core/leader"
)

// links returns the links from a VM to all others, and those back.
func (w *world) links(n *fakeNode) (out, back [][2]string) {
	for _, o := range w.nodes {
		if o != n {
			out, back = append(out, [2]string{n.name, o.name}), append(back, [2]string{o.name, n.name})
		}
	}
	return out, back
}

// loseMessages loses what is sent on links, for a while.
func (w *world) loseMessages(d time.Duration, links ...[2]string) {
	for _, l := range links {
		w.messagesLost[l] = true
	}
	w.after(d, func() {
		for _, l := range links {
			delete(w.messagesLost, l)
		}
	})
}

// submitAt submits jobs of one task to a process at equal intervals, and returns them once the time is over.
func (w *world) submitAt(n *fakeNode, interval, d time.Duration) []*fakeJob {
	var jobs []*fakeJob
	for range d / interval {
		j := w.newJob(n.domain, 1, w.randomDuration(150, 400), 2*time.Second)
		w.sendTo(n, j)
		jobs = append(jobs, j)
		w.run(interval)
	}
	return jobs
}

// startOrders lists the times since the given one at which a process has ordered the start of a job's tasks.
func (w *world) startOrders(by leader.ID, j *fakeJob, since time.Duration) []time.Duration {
	var list []time.Duration
	for task, events := range w.history {
		if !strings.HasPrefix(task, string(j.work.ID)+".") {
			continue
		}
		for _, e := range events {
			if e.by == string(by) && e.at >= since && strings.HasPrefix(e.what, "orders start") {
				list = append(list, e.at)
			}
		}
	}
	return list
}

// Guards against tasks that run twice when a VM hears no other VM, and shortly before it counts them as lost the
// others cease to hear it too: it leads then, beside its leader of before, which still has its jobs.
func TestJobsOfAVMThatHearsNoOther(t *testing.T) {
	t.Parallel()
	g := NewWithT(t)
	for seed := range uint64(20) {
		w := deployment(seed, 1)
		w.load(40, 5*time.Second)
		w.run(1500 * time.Millisecond)
		former := w.leader()
		n := w.otherNode(former)
		out, back := w.links(n)
		w.loseMessages(2*time.Second, back...)
		jobs := w.submitAt(n, 4*time.Millisecond, leader.HeartbeatTimeout-w.randomDuration(0, 60))
		w.loseMessages(2*time.Second, out...)
		for !n.node.Leads() {
			w.run(time.Millisecond)
		}
		leads := w.now
		w.run(leader.HeartbeatTimeout)
		for _, j := range jobs {
			g.Expect(w.startOrders(former.id, j, leads)).To(BeEmpty(), "seed %d: job %s, since %v", seed, j.work.ID, leads)
		}
		w.run(3 * time.Second)
		g.Expect(w.checker.violations).To(BeEmpty(), "seed %d", seed)
	}
}

// Guards against the same for a job that waits for room, while runners answer late: its VM starts it once it knows all
// runs, and the leader of before must not start it on a runner that it takes back first. In each of the seeds it
// once did.
func TestAWaitingJobOfAVMThatHearsNoOther(t *testing.T) {
	t.Parallel()
	for _, seed := range []uint64{140, 216, 240, 367, 381, 391, 458, 586, 625, 626, 641, 678, 702, 763, 790, 851} {
		w := deployment(seed, 1)
		special := w.rng.Perm(len(w.runners))[:6]
		for i, r := range w.runners {
			r.info.Labels = []string{"plain"}
			if slices.Contains(special, i) {
				r.info.Labels = []string{"special"}
			}
			r.writeEntry()
		}
		w.run(2 * time.Second)
		former := w.leader()
		n := w.otherNode(former)
		w.waitForRoom(former, n)
		w.requires = "plain"
		out, back := w.links(n)
		w.loseMessages(2*time.Second, back...)
		w.submitAt(n, 10*time.Millisecond, leader.HeartbeatTimeout-w.randomDuration(0, 30))
		w.loseMessages(2*time.Second, out...)
		for !n.node.Leads() {
			w.run(time.Millisecond)
		}
		for _, r := range w.runners {
			r.slow = slowness{share: 0.5, least: 0, most: 45}
		}
		w.run(3 * time.Second)
		if len(w.checker.violations) > 0 {
			t.Errorf("seed %d: %v\n%s", seed, w.checker.violations, w.describeDoubles())
		}
	}
}

// waitForRoom submits jobs that take all special runners to a leader, and a job that waits for them to another process.
// All but two of the runners are free again when that process counts the leader as lost, or soon after.
func (w *world) waitForRoom(leads, n *fakeNode) {
	w.requires = "special"
	short := w.randomDuration(540, 700)
	for i := range 12 {
		work := short
		if i >= 10 {
			work = 1500 * time.Millisecond
		}
		w.sendTo(leads, w.newJob("c", 1, work, 4*time.Second))
		w.run(w.randomDuration(0, 15))
	}
	w.run(10 * time.Millisecond)
	j := w.newJob(n.domain, 3, 400*time.Millisecond, 4*time.Second)
	j.work.Objective = 4 * time.Second
	w.sendTo(n, j)
	w.run(10 * time.Millisecond)
}

// expectPromptStarts submits jobs to a process while there is room, and checks that the leader starts them at once.
func (w *world) expectPromptStarts(g *WithT, n, leads *fakeNode, d time.Duration) {
	for _, j := range w.submitAt(n, 20*time.Millisecond, d) {
		orders := w.startOrders(leads.id, j, 0)
		g.Expect(orders).NotTo(BeEmpty(), "seed %d: job %s", w.seed, j.work.ID)
		g.Expect(orders[0]-j.sent).To(BeNumerically("<=", 5*time.Millisecond), "seed %d: job %s", w.seed, j.work.ID)
	}
}

// Guards against starts that are held back when a VM misses a heartbeat of the leader.
func TestAMissedHeartbeatHoldsNoStartsBack(t *testing.T) {
	t.Parallel()
	g := NewWithT(t)
	for seed := range uint64(20) {
		w := deployment(seed, 1)
		w.run(1500 * time.Millisecond)
		leads := w.leader()
		n := w.otherNode(leads)
		w.run(w.randomDuration(0, 150))
		w.loseMessages(leader.HeartbeatInterval, [2]string{leads.name, n.name})
		w.expectPromptStarts(g, n, leads, 600*time.Millisecond)
	}
}

// Guards against starts that are held back while processes of an earlier version, which don't report what they hear,
// take part.
func TestStartsForProcessesOfEarlierVersions(t *testing.T) {
	t.Parallel()
	for seed := range uint64(4) {
		g := NewWithT(t)
		w := deployment(seed, 1)
		w.run(1500 * time.Millisecond)
		leads := w.leader()
		n := w.otherNode(leads)
		w.earlierVersions = map[string]bool{leads.name: seed%2 == 0, n.name: seed/2 == 0}
		w.kill(n, 0)
		w.run(time.Second)
		w.expectPromptStarts(g, n, leads, time.Second)
	}
}
