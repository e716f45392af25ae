package bench

import (
	"testing"
	"time"

	"github.com/onsi/gomega"

	"sapphirepoint.example/sapphirepoint/core/task"
	pb "sapphirepoint.example/sapphirepoint/gen/sapphirepointv1"
)

// smallSite is a quarter of a site, so that these runs are short.
func smallSite() Scenarios {
	s := Scenarios{Site: Hollowell, Seed: 1, Length: 20 * time.Second}
	s.Site.Upstreams = 12
	s.Site.Entries = 3
	return s
}

// Three times as many jobs arrive as the slots can run. If slots were given to jobs that miss their
// deadline, fewer jobs would be completed than at full load.
func TestOverloadKeepsGoodput(t *testing.T) {
	g := gomega.NewWithT(t)
	runs := runAll([]Scenario{smallSite().scenario("", 1, nil), smallSite().scenario("", 1.3, nil), smallSite().scenario("", 3, nil)})
	for _, r := range runs[1:] {
		g.Expect(r.Goodput()).To(gomega.BeNumerically(">=", 0.95*runs[0].Goodput()))
	}
}

// One runner fails every task at once. Only its first few tasks and the later probes (tasks sent to it to
// find out whether it works again) may fail, not a share of all jobs.
func TestFailingUpstreamCostsFewJobs(t *testing.T) {
	g := gomega.NewWithT(t)
	s := smallSite().scenario("", 0.8, nil)
	s.Events = map[time.Duration]func(*Run){5 * time.Second: func(r *Run) {
		r.SetFault(FailsAll, func(i int, _ task.Upstream) bool { return i == 5 })
	}}
	r := NewRun(s).Do()
	g.Expect(r.Total.TaskFailures).To(gomega.BeNumerically("<=", 12))
	g.Expect(r.Total.Jobs).To(gomega.BeNumerically(">", 400))
}

// An institution may hold half of the slots and asks for all of them, first through three entry
// processes and then through one. It must never hold more than its ceiling, and the one entry must be
// able to use the unused shares of the others.
func TestCeilingIsKeptAndUsed(t *testing.T) {
	g := gomega.NewWithT(t)
	for _, one := range []bool{false, true} {
		s := smallSite().scenario("", 1, nil)
		s.OneEntry = one
		s.ChangeSettings = func(d *pb.Settings) {
			d.EntryVms = 3
			d.Institutions[0].CeilingSlots = 48
		}
		r := NewRun(s).Do()
		g.Expect(r.maxHeldSlots).To(gomega.BeNumerically("<=", 48))
		g.Expect(r.MeanHeld()).To(gomega.BeNumerically(">=", 40))
	}
}

// All callers cancel at once, as after a power cut. The cancellations may cost at most one message for
// each running task and none for each waiting task.
func TestCancellationWaveCostsOneMessageATask(t *testing.T) {
	g := gomega.NewWithT(t)
	s := smallSite().scenario("", 1.3, nil)
	var running, cancelled, before, after int
	s.Events = map[time.Duration]func(*Run){
		10 * time.Second:                     func(r *Run) { running, before, cancelled = r.Running(), r.Stops, r.CancelAll() },
		10*time.Second + 20*time.Millisecond: func(r *Run) { after = r.Stops },
	}
	NewRun(s).Do()
	g.Expect(cancelled).To(gomega.BeNumerically(">", 50))
	g.Expect(after-before).To(gomega.BeNumerically("<=", running+5), "a few tasks start and end within the 20 ms")
}
