package layout

import (
	"fmt"
	"testing"

	. "github.com/onsi/gomega"

	"sapphirepoint.example/sapphirepoint/core/workload"
)

func runners(service, domain string, count int) []workload.Runner {
	list := make([]workload.Runner, count)
	for i := range list {
		list[i] = workload.Runner{ID: workload.RunnerID(fmt.Sprintf("%s-%s-%d", service, domain, i)), Service: service, Domain: domain}
	}
	return list
}

// Domains with few runners are pooled, because a shard of a few dozen runners has too little room
// for jobs of 32 tasks. Domains with more have two shards of their own at least.
func TestLargeDomainsAreCells(t *testing.T) {
	g := NewWithT(t)
	var small, medium, large []workload.Runner
	for _, d := range []string{"c", "a", "b"} {
		small = append(small, runners("labels", d, 79)...)
		medium = append(medium, runners("labels", d, 80)...)
		large = append(large, runners("labels", d, 220)...)
	}
	g.Expect(For(small, VM{})).To(Equal(Pooled(4)))
	g.Expect(For(medium, VM{})).To(Equal(Layout{"a", "a", "b", "b", "c", "c"}))
	g.Expect(For(large, VM{})).To(Equal(Layout{"a", "a", "a", "a", "b", "b", "b", "b", "c", "c", "c", "c"}))
	g.Expect(For(append(medium, runners("labels", "d", 79)...), VM{})).To(Equal(Pooled(6)), "one domain has too few")
	g.Expect(For(runners("labels", "a", 700), VM{})).To(Equal(Pooled(12)), "only one domain")
	g.Expect(For(nil, VM{})).To(Equal(Pooled(1)))
}

// One of two services has runners in one domain only. If domains were cells, the callers of
// that service in all other domains would be refused.
func TestNoCellsIfADomainLacksAService(t *testing.T) {
	g := NewWithT(t)
	list := append(runners("labels", "a", 300), runners("labels", "b", 300)...)
	g.Expect(For(list, VM{}).HasCells()).To(BeTrue())
	g.Expect(For(append(list, runners("maps", "a", 300)...), VM{}).HasCells()).To(BeFalse())
}

// Jobs and runners of a domain belong to shards of its cell, and copies of a stored job to
// one shard wherever they are submitted.
func TestShardsOfACell(t *testing.T) {
	g := NewWithT(t)
	l := Layout{"a", "a", "b", "b"}
	domains := map[string]bool{}
	for i := range 200 {
		id := workload.JobID(fmt.Sprintf("%016x", i))
		g.Expect(l[l.JobShard(id, "b")]).To(Equal("b"))
		g.Expect(l[l.RunnerShard(workload.RunnerID(id), "a")]).To(Equal("a"))
		domains[l[l.StoredJobShard(id)]] = true
	}
	g.Expect(domains).To(HaveLen(2))
	g.Expect(l.Cell("b")).To(Equal("b"))
	g.Expect(l.Cells()).To(ContainElement(l.Cell("a domain without runners")))
	g.Expect(Pooled(2).Cell("b")).To(BeEmpty())
}

// The VMs have links of little bandwidth or little CPU. A scheduler that sends more than its link
// carries appears lost, so each scheduler is in charge of fewer runners.
func TestShardsFitTheVMs(t *testing.T) {
	g := NewWithT(t)
	list := runners("labels", "a", 120)
	g.Expect(For(list, VM{MilliCPU: 800, LinkMbps: 200})).To(HaveLen(2))
	g.Expect(For(list, VM{MilliCPU: 800, LinkMbps: 2})).To(HaveLen(6))
	g.Expect(For(list, VM{MilliCPU: 120, LinkMbps: 200})).To(HaveLen(6))
	g.Expect(For(list, VM{MilliCPU: 10, LinkMbps: 0.1})).To(HaveLen(120 / minRunnersPerShard))
}

// Guards against a large deployment without cells for good: as it first starts, another writer has left one entry of a runner
// with a failure domain or a service that doesn't exist.
func TestAnOddEntryDoesntPoolALargeDeployment(t *testing.T) {
	var list []workload.Runner
	for _, d := range []string{"a", "b", "c"} {
		list = append(list, runners("labels", d, 220)...)
	}
	for name, odd := range map[string]workload.Runner{
		"domain":    {ID: "odd", Service: "labels", Domain: "no-such-domain"},
		"no domain": {ID: "odd", Service: "labels"},
		"service":   {ID: "odd", Service: "no-such-service", Domain: "a"},
	} {
		t.Run(name, func(t *testing.T) {
			NewWithT(t).Expect(For(append(list[:len(list):len(list)], odd), VM{}).Cells()).To(Equal([]string{"a", "b", "c"}))
		})
	}
}
