package entry

import (
	"testing"

	. "github.com/onsi/gomega"

	"sapphirepoint.example/sapphirepoint/core/fleet"
	"sapphirepoint.example/sapphirepoint/core/schedule"
)

// Guards against a report that names another shard or process than was sent: copies of the job would
// run beside it.
func TestJobsElsewhereOnTheWire(t *testing.T) {
	sent := fleet.JobsElsewhere{Shard: 1, Jobs: []schedule.JobElsewhere{
		{Job: "00000000000000a1", Shard: 2, Entry: "front-a#7"},
		{Job: "00000000000000a2", Shard: 3, Entry: "front-b#8", Copied: true},
	}}
	NewWithT(t).Expect(decode(encode(sent))).To(Equal(sent))
}
