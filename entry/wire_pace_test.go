package entry

import (
	"fmt"
	"testing"
	"time"

	. "github.com/onsi/gomega"
	"google.golang.org/protobuf/proto"

	"sapphirepoint.example/sapphirepoint/core/fleet"
	"sapphirepoint.example/sapphirepoint/core/pace"
)

// Guards against fields of learned ratios that are lost in the conversion, and against messages
// that are too large.
func TestMessagesWithLearnedPaces(t *testing.T) {
	g := NewWithT(t)
	m := fleet.LearnedPaces{Shard: 5}
	for i := range 60 {
		m.Runners = append(m.Runners, pace.Ratio{Name: fmt.Sprintf("upstream-%03d", i), Value: 1.7, Runs: 30, Age: 2500 * time.Millisecond})
	}
	m.Kinds = []pace.Ratio{{Name: "labels/64000m-131072MB-0gpu-811c9dc5", Value: 0.7, Runs: 300, Age: time.Millisecond}}
	m.Queues = []pace.Ratio{{Name: "spot", Value: 1.1, Runs: 300}}
	encoded := encode(m)
	g.Expect(decode(encoded)).To(Equal(m))
	g.Expect(kindOf(encoded)).To(Equal("learned"))
	g.Expect(proto.Size(encoded)).To(BeNumerically("<", 2100), "bytes")
}
