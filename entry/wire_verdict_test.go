package entry

import (
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"sapphirepoint.example/sapphirepoint/core/fleet"
	"sapphirepoint.example/sapphirepoint/core/gateway"
	"sapphirepoint.example/sapphirepoint/core/workload"
)

// Guards against fields of a verdict that are lost in the conversion.
func TestVerdictMessage(t *testing.T) {
	v := fleet.Verdict{Verdict: gateway.Verdict{
		Job: "00000000000000a1", Outcome: workload.NotRun, RetryAfter: 2 * time.Second, Reason: "wait of 2s expected",
		Cause: workload.LackOfRoom, NoRoom: true,
	}}
	NewWithT(t).Expect(decode(encode(v))).To(Equal(v))
}

// Guards against a failure on a cause that only a later version knows.
func TestUnknownCauseInAVerdict(t *testing.T) {
	m := encode(fleet.Verdict{Verdict: gateway.Verdict{Job: "00000000000000a1", Outcome: workload.NotRun}})
	m.GetVerdict().Cause = 200
	g := NewWithT(t)
	decoded, ok := decode(m).(fleet.Verdict)
	g.Expect(ok).To(BeTrue())
	g.Expect(decoded.Cause).To(Equal(workload.OtherRefusal))
	g.Expect(decoded.Cause.String()).To(Equal("other"))
}
