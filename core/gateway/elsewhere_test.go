package gateway

import (
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"sapphirepoint.example/sapphirepoint/core/leader"
	"sapphirepoint.example/sapphirepoint/core/workload"
)

// reports takes the reports of jobs in other shards.
func reports(out []Command) (list []ReportElsewhere) {
	for _, c := range out {
		if r, ok := c.(ReportElsewhere); ok {
			list = append(list, r)
		}
	}
	return list
}

// Guards against a leader of a job's home that doesn't know that the job is in another shard: it is a
// new one, its connection was lost, or it had refused the job.
func TestJobsInOtherShardsAreReportedToTheirHome(t *testing.T) {
	g := NewWithT(t)
	gw := gatewayInCell()
	gw.Submit(0, 1, 0, testJob("lent"), 3*time.Second)
	gw.Submit(0, 2, 0, testJob("stays"), 3*time.Second)
	gw.HandleVerdict(5*ms, lentBy(1, "a", "lent"))
	g.Expect(reports(gw.Ready())).To(BeEmpty(), "its home has lent it")
	expected := []JobElsewhere{{Job: "lent", Shard: 1}}

	gw.Reconnected(10*ms, "a")
	list := reports(gw.Ready())
	g.Expect(list).NotTo(BeEmpty())
	g.Expect(list[0].Jobs).To(Equal(expected))

	gw.SetLeader(20*ms, 0, leader.Choice{})
	g.Expect(reports(gw.Ready())).To(BeEmpty())
	gw.SetLeader(30*ms, 0, leader.Choice{Leader: "d", Reachable: true})
	g.Expect(reports(gw.Ready())).To(Equal([]ReportElsewhere{{At: 30 * ms, To: "d", Home: 0, Jobs: expected}}))

	gw = gatewayInCell()
	gw.Submit(0, 1, 0, testJob("refused"), time.Second)
	gw.Ready()
	gw.HandleVerdict(5*ms, noRoom("a", "refused", workload.NotRun))
	list = reports(gw.Ready())
	g.Expect(list).To(HaveLen(1))
	g.Expect(list[0].To).To(BeEquivalentTo("a"))
	g.Expect(list[0].Jobs[0].Shard).NotTo(Equal(0))
}

// Guards against a second run of a job that is in another shard: its home has a new leader, to which another entry process
// hands in a copy, while this one hasn't noticed yet that the former leader is lost.
func TestJobsInOtherShardsAreReportedToALeaderThatIsNotFollowedYet(t *testing.T) {
	g := NewWithT(t)
	gw := gatewayInCell()
	gw.Submit(0, 1, 0, testJob("lent"), 3*time.Second)
	gw.HandleVerdict(5*ms, lentBy(1, "a", "lent"))
	gw.Ready()
	gw.LeaderClaims(20*ms, 0, "d")
	expected := []JobElsewhere{{Job: "lent", Shard: 1}}
	g.Expect(reports(gw.Ready())).To(Equal([]ReportElsewhere{{At: 20 * ms, To: "d", Home: 0, Jobs: expected}}))
	gw.LeaderClaims(30*ms, 0, "a")
	g.Expect(gw.Ready()).To(BeEmpty(), "the leader that is followed knows")
	gw.LeaderClaims(40*ms, 2, "d")
	g.Expect(gw.Ready()).To(BeEmpty(), "no job of that shard is in another one")
}
