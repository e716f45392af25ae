package fleet_test

import (
	"testing"
	"time"

	. "github.com/onsi/gomega"
)

// untrusting counts the processes that don't take a runner's entry for evidence.
func (w *world) untrusting(id string) int {
	n := 0
	for _, f := range w.nodes {
		for _, s := range f.node.DumpShards(w.now) {
			for _, r := range s.Scheduler.Runners {
				if r.ID == id && !r.EntryTrusted {
					n++
				}
			}
		}
	}
	return n
}

// Guards against processes that go on with what a runner's entry said, since the process that reads the list for them doesn't
// send them what another writer has changed.
func TestAllProcessesLearnOfAChangedEntry(t *testing.T) {
	t.Parallel()
	for name, change := range map[string]func(r *fakeRunner){
		"labels":   func(r *fakeRunner) { r.entryLabels = []string{"odd"} },
		"address":  func(r *fakeRunner) { r.info.Address = "odd" },
		"service":  func(r *fakeRunner) { r.info.Service = "odd" },
		"capacity": func(r *fakeRunner) { r.info.Capacity.MilliCPU = 1 },
	} {
		t.Run(name, func(t *testing.T) {
			g := NewWithT(t)
			w := deployment(1, 3)
			w.run(9 * time.Second)
			r := w.runners[0]
			id := string(r.info.ID)
			g.Expect(w.untrusting(id)).To(Equal(0))
			change(r)
			w.run(2 * time.Second)
			others := len(w.nodes)
			if name == "address" {
				// The leader goes on trusting the entry: the runner has answered it at the address of before.
				others--
			}
			g.Expect(w.untrusting(id)).To(Equal(others))
		})
	}
}
