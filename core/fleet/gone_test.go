package fleet_test

import (
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"sapphirepoint.example/sapphirepoint/core/workload"
)

// Guards against stored jobs that stop whenever the store is away, since a VM that was
// removed for good stays on the list of members: without it nobody hears all VMs, and the
// owner of a shard must prove its ownership.
func TestStoredJobsGoOnWithoutTheStoreThoughAVMIsGone(t *testing.T) {
	g := NewWithT(t)
	w := deployment(1, 1)
	gone := w.nodes[5]
	w.endProcess(gone, false)
	gone.removed = true
	w.nodes = w.nodes[:5]
	w.run(time.Minute)
	jobs := w.storedJobs(4)
	g.Expect(jobs).To(HaveLen(4))
	w.storeDown = true
	w.run(2 * time.Second)
	for _, j := range jobs {
		g.Expect(w.truth.done).To(HaveKey(workload.TaskName{Job: j.work.ID}), "stopped")
	}
	w.storeDown = false
	w.run(3 * time.Second)
	g.Expect(w.truth.broken).To(BeEmpty())
}
