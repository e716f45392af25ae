package schedule

import (
	"strings"
	"testing"

	. "github.com/onsi/gomega"

	"sapphirepoint.example/sapphirepoint/core/workload"
)

// Guards against small jobs that are refused since large ones take all memory.
func TestLargeJobsAreRefusedFirst(t *testing.T) {
	g := NewWithT(t)
	m := NewMemory(10_000)
	g.Expect(m.fits(5001)).To(BeFalse())
	g.Expect(m.fits(5000)).To(BeTrue())
	m.add(9000)
	g.Expect(m.fits(501)).To(BeFalse())
	g.Expect(m.fits(500)).To(BeTrue())
	var none *Memory
	none.add(1)
	g.Expect(none.fits(1 << 60)).To(BeTrue())
	g.Expect(none.Used()).To(BeZero())
}

// Guards against the tasks of all occurrences being left out of what a scheduled job takes.
func TestScheduledJobsTakeTheMemoryOfAllOccurrences(t *testing.T) {
	g := NewWithT(t)
	once := &workload.Job{Steps: []workload.Step{{Tasks: 10}}}
	often := &workload.Job{Steps: once.Steps, Times: 100}
	g.Expect(memoryOf(often)).To(BeNumerically(">=", 100*(memoryOf(once)-jobBytes)))
}

// Guards against jobs of one task with a long text, which would count as small ones.
func TestTextsOfStepsTakeMemory(t *testing.T) {
	g := NewWithT(t)
	text := strings.Repeat("x", 100_000)
	for _, s := range []workload.Step{{Requires: text}, {PreferredRack: text}, {DependsOn: make([]int, 100_000)}} {
		g.Expect(memoryOf(&workload.Job{Steps: []workload.Step{s}})).To(BeNumerically(">", 100_000))
	}
}
