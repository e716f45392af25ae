package entry

import (
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"sapphirepoint.example/sapphirepoint/core/fleet"
)

// Guards against a time in an answered heartbeat that is later than when that heartbeat was sent: the sender would
// start jobs for a process that doesn't hear it any more.
func TestTimesOfHeartbeatsOnTheWire(t *testing.T) {
	g := NewWithT(t)
	sent := fleet.Heartbeat{SentAt: 1234567 * time.Microsecond, Received: 98765 * time.Millisecond}
	got := decode(encode(sent)).(fleet.Heartbeat)
	g.Expect(got.SentAt).To(Equal(1234 * time.Millisecond))
	g.Expect(got.Received).To(Equal(sent.Received))
}
