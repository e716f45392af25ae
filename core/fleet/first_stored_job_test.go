package fleet_test

import (
	"testing"
	"time"

	. "github.com/onsi/gomega"
)

// separate cuts a VM off from all other VMs, and from the store too if store is set. It still reaches the runners.
func (w *world) separate(n *fakeNode, store bool, d time.Duration) {
	for _, o := range w.nodes {
		if o != n {
			w.partitioned[[2]string{n.name, o.name}] = true
		}
	}
	w.storeUnreachable[n.name] = store
	w.after(d, func() {
		clear(w.partitioned)
		delete(w.storeUnreachable, n.name)
	})
}

// submitStoredJobsFor submits a stored job at equal intervals, at processes other than one.
func (w *world) submitStoredJobsFor(not *fakeNode, d, interval time.Duration) {
	for at := time.Duration(0); at < d; at += interval {
		w.after(at, func() {
			j := w.newStoredJob()
			j.domain = "b"
			if not.domain == "b" {
				j.domain = "c"
			}
			w.sendJob(j)
		})
	}
}

// Guards against tasks of the first stored jobs that run twice: a process that was cut off before them knows of
// none, leads alone, and acknowledges the ends of their runs, which the owner of the rows never sees.
func TestFirstStoredJobsBehindACut(t *testing.T) {
	for _, withoutStore := range []bool{true, false} {
		for seed := range uint64(8) {
			g := NewWithT(t)
			w := deployment(seed, 1)
			w.run(2 * time.Second)
			cut := w.nodes[1]
			g.Expect(w.leader()).NotTo(Equal(cut))
			w.separate(cut, withoutStore, 5*time.Second)
			w.submitStoredJobsFor(cut, 5*time.Second, 70*time.Millisecond)
			w.run(25 * time.Second)
			g.Expect(w.checker.violations).To(BeEmpty(), "seed %d", seed)
		}
	}
}
