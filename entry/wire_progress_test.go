package entry

import (
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"sapphirepoint.example/sapphirepoint/core/fleet"
	"sapphirepoint.example/sapphirepoint/core/schedule"
	"sapphirepoint.example/sapphirepoint/core/workload"
)

// Guards against a part of a retiring leader's progress that is lost on the wire: its successor would
// start a task again, or acknowledge the end of a run whose task was restarted.
func TestProgressOnTheWire(t *testing.T) {
	g := NewWithT(t)
	sent := fleet.Progress{Shard: 2, Progress: schedule.Progress{
		Epoch:        5,
		PriorRunsTTL: 300 * time.Millisecond,
		Done:         []workload.TaskName{{Job: "00000000000000a1", Step: 1, Index: 7}},
		Restarted:    []workload.JobID{"00000000000000a1", "00000000000000a2"},
		Ended:        []schedule.EndedJob{{Job: "00000000000000a3", Outcome: workload.Completed}},
		MayRun:       []workload.JobID{"00000000000000a4"},
	}}
	g.Expect(decode(encode(sent))).To(Equal(sent))
}
