package entry

import (
	"fmt"
	"testing"
	"time"

	. "github.com/onsi/gomega"
	"google.golang.org/protobuf/proto"

	"sapphirepoint.example/sapphirepoint/core/fleet"
	"sapphirepoint.example/sapphirepoint/core/schedule"
	"sapphirepoint.example/sapphirepoint/core/workload"
)

// Guards against jobs that the next leader doesn't hold, or not for long enough.
func TestPossibleRunsOnTheWire(t *testing.T) {
	sent := fleet.PossibleRuns{Shard: 1, Jobs: []schedule.PossibleRun{
		{Job: "00000000000000a1", Rest: 6500 * time.Millisecond}, {Job: "00000000000000a2", Rest: time.Millisecond},
	}}
	NewWithT(t).Expect(decode(encode(sent))).To(Equal(sent))
}

// Guards against a message that delays the heartbeats behind it.
func TestPossibleRunsAreShortOnTheWire(t *testing.T) {
	const bytesPerJob = 24
	sent := fleet.PossibleRuns{Shard: 1}
	for i := range schedule.MaxPossibleRuns {
		sent.Jobs = append(sent.Jobs, schedule.PossibleRun{Job: workload.JobID(fmt.Sprintf("%016x", i)), Rest: 7 * time.Second})
	}
	NewWithT(t).Expect(proto.Size(encode(sent))).To(BeNumerically("<", schedule.MaxPossibleRuns*bytesPerJob))
}
