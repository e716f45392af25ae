package entry

import (
	"testing"

	. "github.com/onsi/gomega"

	"sapphirepoint.example/sapphirepoint/core/fleet"
	"sapphirepoint.example/sapphirepoint/core/workload"
)

// Guards against a report of unlisted runners that is taken for the platform's list, or for a
// hand-over's: the receiver would forget all other runners, or acquire these.
func TestUnlistedRunnersInUseOnTheWire(t *testing.T) {
	g := NewWithT(t)
	sent := fleet.RunnerList{Revision: 7, Handover: true, InUse: true, Runners: []workload.Runner{
		{ID: "r1", Service: "labels", Address: "127.0.0.1:1", Domain: "a", IncarnationStart: 12, Capacity: workload.Resources{MilliCPU: 64000}},
	}}
	g.Expect(decode(encode(sent))).To(Equal(sent))
}
