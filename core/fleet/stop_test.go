package fleet_test

import (
	"testing"
	"time"

	. "github.com/onsi/gomega"
)

// Guards against a caller who is told by a process about to end that its job never runs, though an earlier copy of it runs.
func TestProcessAboutToEndDoesNotDenyACopy(t *testing.T) {
	t.Parallel()
	g := NewWithT(t)
	w := deployment(1, 1)
	w.run(2 * time.Second)
	killed, stopping := twoEntries(w)
	j := w.newJob("a", 1, 2800*time.Millisecond, 8*time.Second)
	w.stop(stopping)
	w.run(100 * time.Millisecond)

	j.sent = w.now
	w.sendTo(killed, j)
	w.run(300 * time.Millisecond)
	g.Expect(j.starts).To(Equal(1))
	delete(killed.requests, killed.lastID)
	w.kill(killed, 10*time.Second)

	w.run(resendInterval)
	g.Expect(stopping.node).NotTo(BeNil())
	w.sendTo(stopping, j)
	w.run(100 * time.Millisecond)
	g.Expect(w.checker.violations).To(BeEmpty())
	g.Expect(j.answered).To(BeFalse(), "the caller sends the job again, to another process")
	w.run(6 * time.Second)
	g.Expect(j.answered).To(BeTrue())
	g.Expect(w.checker.violations).To(BeEmpty())
}

// twoEntries returns two processes that lead no shard.
func twoEntries(w *world) (a, b *fakeNode) {
	var list []*fakeNode
	for _, n := range w.nodes {
		if !n.node.Leads() {
			list = append(list, n)
		}
	}
	return list[0], list[1]
}
