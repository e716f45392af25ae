package fleet_test

import (
	"testing"
	"time"

	. "github.com/onsi/gomega"
)

// separate cuts a VM off from all other VMs for a while, and also from the store if withoutStore is set. It still
// reaches the runners.
func (w *world) separate(n *fakeNode, withoutStore bool, d time.Duration) {
	for _, o := range w.nodes {
		if o != n {
			w.partitioned[[2]string{n.name, o.name}] = true
		}
	}
	w.storeUnreachable[n.name] = withoutStore
	w.after(d, func() {
		clear(w.partitioned)
		delete(w.storeUnreachable, n.name)
	})
}

// submitStoredJobsIn submits stored jobs in a failure domain, at equal intervals.
func (w *world) submitStoredJobsIn(domain string, d, interval time.Duration) {
	for at := time.Duration(0); at < d; at += interval {
		w.after(at, func() {
			j := w.newStoredJob()
			j.domain = domain
			w.sendJob(j)
		})
	}
}

// Guards against tasks of the first stored jobs that run twice: a process that isn't told of them knows of none, leads
// alone, and acknowledges the ends of their runs, which the owner of the rows never sees.
func TestFirstStoredJobsOfWhichAProcessIsNotTold(t *testing.T) {
	t.Parallel()
	const length = 5 * time.Second
	ways := map[string]func(w *world, n *fakeNode){
		"cut off":                 func(w *world, n *fakeNode) { w.separate(n, true, length) },
		"cut off from the others": func(w *world, n *fakeNode) { w.separate(n, false, length) },
		"frozen, then cut off": func(w *world, n *fakeNode) {
			w.freeze(n, 300*time.Millisecond)
			w.separate(n, true, length)
		},
		"started behind the cut": func(w *world, n *fakeNode) {
			w.kill(n, 20*time.Millisecond)
			w.after(60*time.Millisecond, func() { w.separate(n, true, length) })
		},
		"slow link": func(w *world, _ *fakeNode) {
			for _, o := range w.nodes {
				w.sendDelay[o.name] = 440 * time.Millisecond
			}
			w.after(length, func() { clear(w.sendDelay) })
		},
	}
	for way, disturb := range ways {
		t.Run(way, func(t *testing.T) {
			t.Parallel()
			for seed := range uint64(8) {
				g := NewWithT(t)
				w := deployment(seed, 1)
				w.run(2 * time.Second)
				untold := w.nodes[1]
				g.Expect(w.leader()).NotTo(Equal(untold))
				g.Expect(untold.domain).NotTo(Equal("b"), "where the jobs are submitted")
				disturb(w, untold)
				w.submitStoredJobsIn("b", length, 70*time.Millisecond)
				w.run(25 * time.Second)
				g.Expect(w.checker.violations).To(BeEmpty(), "seed %d", seed)
			}
		})
	}
}
