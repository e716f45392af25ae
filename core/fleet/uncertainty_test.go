package fleet_test

import (
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"sapphirepoint.example/sapphirepoint/core/workload"
)

// An entry VM dies. Its callers resubmit their jobs after 1.3 s, some of them to a cell whose
// processes have no connection with that VM. By then all schedulers of the fleet must know
// that tasks of such jobs may have run, and must not answer NotRun.
func TestAllCellsAreUncertainAfterAVMLoss(t *testing.T) {
	t.Parallel()
	g := NewWithT(t)
	w := largeFleet(5, 8)
	w.run(8 * time.Second)
	refusal := func(n *fakeNode) workload.Outcome {
		// No scheduler can complete a job of 10 s for a caller who waits for 1 s.
		j := w.newJob(n.domain, 1, 10*time.Second, time.Second)
		n.lastID++
		n.requests[n.lastID] = j
		w.do(n, func() { n.node.Submit(w.now, n.lastID, j.work, time.Second) })
		w.run(20 * time.Millisecond)
		if !j.refused && !j.answered {
			return workload.GaveUp
		}
		return workload.NotRun
	}
	var dead *fakeNode
	for _, n := range w.nodes {
		if n.domain == "d0" && !n.large() {
			dead = n
		}
	}
	g.Expect(refusal(w.nodes[20])).To(Equal(workload.NotRun), "before the loss")
	w.kill(dead, 20*time.Second)
	w.run(resendInterval)
	for _, n := range w.nodes {
		if n != dead {
			g.Expect(refusal(n)).To(Equal(workload.GaveUp), n.name)
		}
	}
	w.run(16 * time.Second)
	w.run(12 * time.Second)
	g.Expect(refusal(w.nodes[20])).To(Equal(workload.NotRun), "long after the VM has returned")
}
