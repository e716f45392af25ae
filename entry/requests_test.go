package entry

import (
	"testing"

	. "github.com/onsi/gomega"
	"github.com/rs/zerolog"

	"sapphirepoint.example/sapphirepoint/core/workload"
)

// Guards against a caller who is told by a process that has ended that its job never runs, though an
// earlier copy of it runs.
func TestEndedProcessDeniesNoCopy(t *testing.T) {
	g := NewWithT(t)
	p := &Process{metrics: newMetrics(), log: zerolog.Nop()}
	reply := p.finalReply(&workload.Job{ID: "0000000000000001", Queue: "q"}, make(chan Reply))
	g.Expect(reply.Outcome).To(Equal(workload.GaveUp))
	g.Expect(reply.RetryAfter).To(Equal(retryAfterEnd))
}
