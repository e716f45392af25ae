package node

import (
	"testing"
	"time"

	"github.com/onsi/gomega"
	"github.com/pkg/errors"
)

// The platform is unavailable for an hour. A log line for each poll of each process
// would hide other events, and processes that poll at the same time would overload
// the platform when it is available again.
func TestOutageIsLoggedOnce(t *testing.T) {
	g := gomega.NewWithT(t)
	var o outage
	out := errors.New("out")
	g.Expect(o.record(nil, nil)).To(gomega.Equal(outageUnchanged))
	g.Expect(o.pollDelay(time.Second)).To(gomega.Equal(time.Second))
	g.Expect(o.record(nil, out)).To(gomega.Equal(outageBegan))
	waits := map[time.Duration]bool{}
	for range 3600 {
		g.Expect(o.record(out, nil)).To(gomega.Equal(outageUnchanged))
		w := o.pollDelay(time.Second)
		g.Expect(w).To(gomega.And(gomega.BeNumerically(">=", maxPollInterval/2), gomega.BeNumerically("<=", maxPollInterval)))
		waits[w] = true
	}
	g.Expect(len(waits)).To(gomega.BeNumerically(">", 1000))
	g.Expect(o.record(nil, nil)).To(gomega.Equal(outageEnded))
	g.Expect(o.pollDelay(time.Second)).To(gomega.Equal(time.Second))
}
