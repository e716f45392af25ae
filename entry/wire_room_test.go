package entry

import (
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"sapphirepoint.example/sapphirepoint/core/fleet"
	"sapphirepoint.example/sapphirepoint/core/gateway"
	"sapphirepoint.example/sapphirepoint/core/schedule"
	"sapphirepoint.example/sapphirepoint/core/workload"
)

// Guards against fields of messages about lent room that are lost in the conversion.
func TestMessagesAboutLentRoom(t *testing.T) {
	g := NewWithT(t)
	step := workload.Step{
		Tasks: 3, Need: workload.Resources{MilliCPU: 32000, MemoryMB: 64, GPU: 1}, Estimate: time.Second,
		Requires: "gpu", PreferredRack: "r", MaxPerRunner: 1,
	}
	for _, m := range []fleet.Message{
		fleet.RoomRequest{Shard: 3, RoomRequest: schedule.RoomRequest{Borrower: 1, Needs: []schedule.RoomNeed{
			{Job: "00000000000000a1", Service: "s", Step: step, Slack: 70 * time.Millisecond},
		}}},
		fleet.RoomGrant{Shard: 1, RoomGrant: schedule.RoomGrant{Lender: 3, Jobs: []workload.JobID{"00000000000000a1"}}},
		fleet.Verdict{Verdict: gateway.Verdict{Job: "00000000000000a1", Outcome: workload.NotRun, NoRoom: true, Lent: true, Lender: 3}},
	} {
		g.Expect(decode(encode(m))).To(Equal(m))
		g.Expect(kindOf(encode(m))).To(BeElementOf("lending", "job"))
	}
	loads := []fleet.ShardLoad{{Shard: 2, Load: schedule.Load{ExpectedWait: 20 * time.Millisecond, IdleMilliCPU: 64000, RefusesMoves: true}}}
	heartbeat := decode(encode(fleet.Heartbeat{Loads: loads, TakesLentJobs: true})).(fleet.Heartbeat)
	g.Expect(heartbeat.Loads).To(Equal(loads))
	g.Expect(heartbeat.TakesLentJobs).To(BeTrue())
}
