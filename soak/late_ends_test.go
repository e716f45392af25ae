package soak

import (
	"flag"
	"regexp"
	"slices"
	"testing"
	"time"

	. "github.com/onsi/gomega"
)

var (
	faultPattern = flag.String("soak.fault", "", "run TestSoakEachFault with each fault whose name matches this expression")
	lateEndMs    = flag.Int("soak.lateend", 1000, "how late at most runners end runs after their leases, in milliseconds, in TestSoakEachFault")
	extraRunMs   = flag.Int("soak.extrarun", 700, "what is added to run times, in milliseconds, in TestSoakEachFault; runs that end by themselves aren't ended late")
	copied       = flag.Float64("soak.copies", 0.1, "share of the jobs that are sent to two VMs, in TestSoakEachFault")
	withDropped  = flag.Bool("soak.withdropped", false, "let hosts drop connections beside each fault of TestSoakEachFault")
)

// Guards against tasks that run twice because of one kind of fault, alone or beside hosts that drop connections, while
// runners end runs of wide jobs late. Among faults of all kinds, too many runners are in other trouble to show it.
func TestSoakEachFault(t *testing.T) {
	if *faultPattern == "" {
		t.Skip("a long run by hand")
	}
	pattern, err := regexp.Compile(*faultPattern)
	NewWithT(t).Expect(err).NotTo(HaveOccurred())
	program := buildEntry(t)
	for _, group := range allFaults() {
		for _, f := range group.faults {
			if !pattern.MatchString(f.name) {
				continue
			}
			for i := range *seeds {
				t.Run(f.name, func(t *testing.T) {
					t.Parallel()
					runSoak(t, program, *first+uint64(i), group.lateEnds(f))
				})
			}
		}
	}
}

// faultGroup is a number of faults, and what their scenarios need.
type faultGroup struct {
	faults []fault
	needs  func(*scenario)
}

// allFaults are the faults of all tests.
func allFaults() []faultGroup {
	return []faultGroup{
		{slices.Concat(faultKinds, listFaults, answerFaults, orderFaults, processFaults), nil},
		{[]fault{noFault, allPaused, runnersStarved(4), runnersStarvedWithFullQueue(4), runnersUnresponsive, runnersRefuse(3), connectionsDropped(4), connectionsDropped(1)}, nil},
		{[]fault{runnersPause}, func(sc *scenario) { sc.unlistedStops = true }},
		{[]fault{ordersOutliveLeases}, func(sc *scenario) { sc.lenientStarts = true }},
		{[]fault{lenderKilled}, func(sc *scenario) { sc.shards = 2 }},
		{linkFaults, func(sc *scenario) { sc.linksFail = true }},
		{append(slices.Clone(changeFaults), storeSilenced, processesStarved, storeSilencedAndProcessesStarved), nil},
	}
}

// lateEnds returns a scenario of a fault, of runners that end runs late, and of wide jobs.
func (g faultGroup) lateEnds(f fault) scenario {
	sc := droppedConnections(f)
	if *withDropped {
		sc.faults = append(sc.faults, connectionsDropped(4))
	}
	sc.killDelaySpread = time.Duration(*lateEndMs)*time.Millisecond - sc.killDelay
	sc.extraRunTime, sc.copies = time.Duration(*extraRunMs)*time.Millisecond, *copied
	if g.needs != nil {
		g.needs(&sc)
	}
	return sc
}
