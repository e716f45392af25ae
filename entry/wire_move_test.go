package entry

import (
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"sapphirepoint.example/sapphirepoint/core/fleet"
	"sapphirepoint.example/sapphirepoint/core/ledger"
	"sapphirepoint.example/sapphirepoint/core/schedule"
	"sapphirepoint.example/sapphirepoint/core/workload"
)

// Guards against fields of a moving job that are lost in the conversion.
func TestMessagesAboutMovedJobs(t *testing.T) {
	g := NewWithT(t)
	done := ledger.NewBits(9)
	done.Set(8)
	job := &workload.Job{ID: "00000000000000a1", Queue: "q", Service: "s", Stored: true, Steps: []workload.Step{{Tasks: 9, Estimate: time.Second}}}
	for _, m := range []fleet.Message{
		fleet.JobMove{Shard: 3, MovedJob: schedule.MovedJob{
			From: 1, Job: job, Age: 7 * time.Second, Hand: 4, Done: []ledger.Bits{done},
			Failures: []ledger.Failure{{Step: 1, Index: 2, Run: 301}}, Unseen: true,
			Losses: []ledger.Loss{{Step: 1, Index: 2, Runner: "r1", Incarnation: 1_790_000_000_000, Begun: true, Restarted: true}},
		}},
		fleet.JobTaken{Shard: 3, Job: job.ID},
		fleet.JobQuery{Request: 1<<62 + 1, Job: job.ID, Cancel: true, Hops: 2, Shard: 5},
	} {
		g.Expect(decode(encode(m))).To(Equal(m))
	}
}
