package pace

import (
	"fmt"
	"math"
	"testing"
	"time"

	. "github.com/onsi/gomega"
)

var (
	small = Kind{"labels", "small"}
	large = Kind{"labels", "large"}
)

func kindIn(kinds map[string]Kind) func(string) (Kind, bool) {
	return func(id string) (Kind, bool) { k, ok := kinds[id]; return k, ok }
}

func learned(now Time, runner string, kind Kind, ratio float64, runs int) *Book {
	b := NewBook()
	for range runs {
		b.Observe(now, runner, kind, "q", ratio)
	}
	return b
}

// A runner without runs begins with its kind's ratio, and one of an unknown kind with the usual one
// of its service.
func TestFirstGuess(t *testing.T) {
	g := NewWithT(t)
	b := learned(0, "r1", small, 2, 30)
	g.Expect(b.Runner(0, "r1", small)).To(BeNumerically("~", 2, 0.4))
	g.Expect(b.Runner(0, "new", small)).To(BeNumerically("~", b.Runner(0, "r1", small), 0.3))
	g.Expect(b.Runner(0, "new", large)).To(BeNumerically(">", 1.4))
	g.Expect(b.Runner(0, "new", Kind{"other", "small"})).To(Equal(1.0))
}

// Guards against a runner that comes back under its id as another kind and keeps its old ratio.
func TestARunnerOfAnotherKindBeginsAnew(t *testing.T) {
	g := NewWithT(t)
	b := learned(0, "r1", small, 4, 30)
	b.Observe(0, "r2", large, "q", 1)
	g.Expect(b.Runner(0, "r1", large)).To(Equal(b.Runner(0, "other", large)))
	b.Observe(0, "r1", large, "q", 1)
	g.Expect(b.Export(0).Runners[0].Runs).To(BeEquivalentTo(1))
}

// A queue whose estimates are too short is distinguished from a slow runner.
func TestQueuesAndRunnersAreDistinguished(t *testing.T) {
	g := NewWithT(t)
	b := NewBook()
	for range 200 {
		b.Observe(0, "r1", small, "short", 2)
		b.Observe(0, "r1", small, "right", 1)
		b.Observe(0, "r2", large, "short", 4)
		b.Observe(0, "r2", large, "right", 2)
	}
	g.Expect(b.Queue(0, "short") / b.Queue(0, "right")).To(BeNumerically("~", 2, 0.3))
	g.Expect(b.Runner(0, "r2", large) / b.Runner(0, "r1", small)).To(BeNumerically("~", 2, 0.2))
	g.Expect(b.Runner(0, "r2", large) * b.Queue(0, "short")).To(BeNumerically("~", 4, 0.5))
}

// Guards against an old copy that replaces what was learned here since.
func TestAnOldCopyDoesNotReplaceLaterRuns(t *testing.T) {
	g := NewWithT(t)
	old := learned(0, "r1", small, 4, 30).Export(10 * time.Second)
	b := learned(9*time.Second, "r1", small, 1, 10)
	before := b.Runner(10*time.Second, "r1", small)
	m := b.Merge(10*time.Second, old, kindIn(map[string]Kind{"r1": small}))
	g.Expect(m).To(Equal(Merged{Known: 3}))
	g.Expect(b.Runner(10*time.Second, "r1", small)).To(Equal(before))
	later := learned(10*time.Second, "r1", small, 4, 30).Export(10 * time.Second)
	g.Expect(b.Merge(10*time.Second, later, kindIn(map[string]Kind{"r1": small})).Taken).To(Equal(3))
	g.Expect(b.Runner(10*time.Second, "r1", small)).To(BeNumerically(">", 2))
}

// What is old counts for less: new runs outweigh it soon.
func TestOldRunsCountLess(t *testing.T) {
	g := NewWithT(t)
	fresh, old := learned(0, "r1", small, 4, 30), learned(0, "r1", small, 4, 30)
	for range 4 {
		fresh.Observe(time.Second, "r1", small, "q", 1)
		old.Observe(4*HalfLife, "r1", small, "q", 1)
	}
	g.Expect(old.Runner(4*HalfLife, "r1", small)).To(BeNumerically("<", 0.8*fresh.Runner(time.Second, "r1", small)))
}

// Guards against a copy from an unknown version, or with absurd numbers.
func TestAbsurdEntriesAreIgnored(t *testing.T) {
	g := NewWithT(t)
	b := NewBook()
	bad := []Ratio{
		{"r1", -1, 3, 0}, {"r1", 0, 3, 0}, {"r1", 1e9, 3, 0}, {"r1", math.NaN(), 3, 0}, {"r1", math.Inf(1), 3, 0},
		{"r1", 2, 0, 0}, {"r1", 2, 3, -time.Second}, {"r1", 2, 3, math.MaxInt64}, {"", 2, 3, 0}, {string(make([]byte, 500)), 2, 3, 0},
	}
	m := b.Merge(0, Learned{Runners: bad, Kinds: bad, Queues: bad}, kindIn(map[string]Kind{"r1": small}))
	g.Expect(m).To(Equal(Merged{Invalid: 3 * len(bad)}))
	m = b.Merge(0, Learned{Runners: []Ratio{{"gone", 2, 3, 0}}, Kinds: []Ratio{{"nokind", 2, 3, 0}}}, kindIn(nil))
	g.Expect(m).To(Equal(Merged{Unknown: 2}))
	g.Expect(b.Export(0).Count()).To(BeZero())
	g.Expect(b.Runner(0, "r1", small)).To(Equal(1.0))
}

// Guards against a book and messages that grow without bound.
func TestBounds(t *testing.T) {
	g := NewWithT(t)
	b := NewBook()
	for i := range 1000 {
		name := fmt.Sprint(i)
		b.Observe(Time(i), name, Kind{"labels", name}, name, 1)
	}
	l := b.Export(1000)
	g.Expect([]int{len(l.Runners), len(l.Kinds), len(l.Queues)}).To(Equal([]int{MaxRunners, MaxKinds, MaxQueues}))
	g.Expect(l.Queues[0].Name).To(Equal("968"))
}
