package entry

import (
	"testing"
	"time"

	. "github.com/onsi/gomega"
)

// Guards against leases that last longer than they are counted: an answer is read after a suspension of the
// VM that no tick has noticed yet.
func TestReadingAfterAnUnnoticedSuspension(t *testing.T) {
	g := NewWithT(t)
	c := newClock()
	sentAt := c.now()
	const suspension = 300 * time.Millisecond
	c.bootStart -= suspension
	r := c.reading(sentAt, CallAnswer{Clock: 1000})
	g.Expect(r.ReceivedAt - sentAt).To(BeNumerically(">", suspension-time.Millisecond))
	g.Expect(r.SentAt).To(Equal(sentAt))
	later := c.now()
	c.adjust()
	g.Expect(c.now()-later).To(BeNumerically("<", suspension), "the clock has been adjusted before")
}
