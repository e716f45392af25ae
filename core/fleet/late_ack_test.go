package fleet_test

import (
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"sapphirepoint.example/sapphirepoint/core/fleet"
	"sapphirepoint.example/sapphirepoint/core/leader"
)

// Guards against an accepted job that is lost: the acknowledgement of an earlier move, by a process that
// doesn't lead the shard any more, ends a later move whose job hasn't arrived.
func TestAnotherProcessesAcknowledgementDoesntEndAMove(t *testing.T) {
	t.Parallel()
	g := NewWithT(t)
	w := cellDeployment(1, 1)
	w.sendJob(w.newStoredJob())
	w.run(2 * time.Second)
	jobs := w.submitStoredJobs(12)
	moves := 0
	w.onSend = func(n *fakeNode, c fleet.Send) {
		m, ok := c.Message.(fleet.JobMove)
		if !ok || moves > 0 {
			return
		}
		moves++
		w.after(0, func() {
			w.kill(w.byName[c.To], 400*time.Millisecond)
			earlier := w.neighbour(n)
			w.do(n, func() { n.node.Receive(w.now, earlier, fleet.JobTaken{Shard: m.From, Job: m.Job.ID}) })
		})
	}
	w.removeRunners("a")
	w.run(14 * time.Second)
	g.Expect(moves).To(Equal(1))
	w.checker.checkSettled()
	g.Expect(w.checker.violations).To(BeEmpty())
	g.Expect(jobs).NotTo(BeEmpty())
}

// neighbour returns the other process of a process's failure domain.
func (w *world) neighbour(n *fakeNode) leader.ID {
	for _, o := range w.nodes {
		if o != n && o.domain == n.domain {
			return o.id
		}
	}
	return ""
}
