package entry

import (
	"testing"

	. "github.com/onsi/gomega"

	"sapphirepoint.example/sapphirepoint/core/fleet"
)

// Guards against a shard whose count of waiting jobs is zero that can't be told from one without a count.
func TestCountsOfWaitingJobsOnTheWire(t *testing.T) {
	g := NewWithT(t)
	sent := fleet.Heartbeat{Pending: []fleet.PendingJobs{
		{Shard: 0, Queues: map[string]int{}},
		{Shard: 3, Queues: map[string]int{"spot": 2, "batch": 1}},
		{Shard: 4, Queues: map[string]int{"spot": 5}},
	}}
	m := encode(sent)
	g.Expect(decode(m).(fleet.Heartbeat).Pending).To(Equal(sent.Pending))
	g.Expect(m.GetHeartbeat().GetPending()).To(Equal(map[string]uint32{"spot": 7, "batch": 1}), "for earlier versions")
}
