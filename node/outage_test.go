package node

import (
	"testing"
	"time"

	"github.com/onsi/gomega"
	"github.com/pkg/errors"
)

// The platform is down for an hour. A line for each poll of each process would
// bury what else the log has to say, and processes that ask in step would meet
// the platform all at once when it comes back.
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
