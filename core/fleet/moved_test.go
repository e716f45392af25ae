package fleet_test

import (
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"sapphirepoint.example/sapphirepoint/core/workload"
)

// storedJobs hands in stored jobs, of all shards, and lists those that are accepted.
func (w *world) storedJobs(count int) []*fakeJob {
	var jobs []*fakeJob
	for range count {
		j := w.storedJob()
		w.try(j)
		jobs = append(jobs, j)
	}
	w.run(100 * time.Millisecond)
	var accepted []*fakeJob
	for _, j := range jobs {
		if j.accepted > 0 {
			accepted = append(accepted, j)
		}
	}
	return accepted
}

// empty takes all runners of a failure domain away.
func (w *world) empty(domain string) {
	for _, r := range w.runners {
		if r.info.Domain == domain {
			r.crash()
			delete(w.listed, r.info.ID)
		}
	}
}

// Guards against accepted jobs that wait for as long as the runners of their failure
// domain are gone, while other domains have room; and against callers who can't ask for
// them or cancel them meanwhile. The processes that own the shards are lost on the way.
func TestJobsOfAnEmptyDomainAreDone(t *testing.T) {
	for _, lost := range []string{"", "giver", "taker", "all"} {
		g := NewWithT(t)
		w := cellDeployment(1, 1)
		w.try(w.storedJob())
		w.run(2 * time.Second)
		jobs := w.storedJobs(12)
		jobs[0].cancelAt = w.now + 2500*time.Millisecond
		w.empty("a")
		w.run(1700 * time.Millisecond)
		w.loseOwners(lost)
		w.run(12 * time.Second)
		w.truth.settled()
		g.Expect(w.truth.broken).To(BeEmpty(), lost)
		for _, j := range jobs[1:] {
			g.Expect(j.outcome).To(Equal(workload.Completed), "%s: %s", lost, j.work.ID)
		}
	}
}

// loseOwners kills the processes that give jobs away, those that take them, or all.
func (w *world) loseOwners(which string) {
	for _, n := range w.nodes {
		giver := n.domain == "a"
		if which == "all" || which == "giver" && giver || which == "taker" && !giver {
			w.kill(n, 400*time.Millisecond)
		}
	}
}
