package fleet_test

import (
	"slices"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"sapphirepoint.example/sapphirepoint/core/routing"
	"sapphirepoint.example/sapphirepoint/core/workload"
)

// evacuationDelay is how long after its evacuation a domain may still get new tasks.
const evacuationDelay = 2 * time.Second

// operatorRows are the failure domains that the operator has evacuated, and since when.
type operatorRows struct {
	version uint64
	since   map[string]time.Duration
}

func (o *operatorRows) latest() routing.Evacuations {
	e := routing.Evacuations{Version: o.version + 1}
	for d := range o.since {
		e.Domains = append(e.Domains, d)
	}
	slices.Sort(e.Domains)
	return e
}

func (w *world) evacuate(domain string) {
	w.evacuations.version++
	if w.evacuations.since == nil {
		w.evacuations.since = make(map[string]time.Duration)
	}
	w.evacuations.since[domain] = w.now
}

func (w *world) revokeEvacuation(domain string) {
	w.evacuations.version++
	delete(w.evacuations.since, domain)
}

// startedIn returns a function that counts the runs started in a domain since this call.
func (w *world) startedIn(domain string) func() int {
	count := func() int {
		n := 0
		for _, r := range w.runners {
			if r.info.Domain == domain {
				n += r.started
			}
		}
		return n
	}
	before := count()
	return func() int { return count() - before }
}

// Guards against tasks started in an evacuated domain, and against a domain that gets none
// after its evacuation was revoked.
func TestAnEvacuatedDomainGetsNothingUntilItIsTakenBack(t *testing.T) {
	t.Parallel()
	g := NewWithT(t)
	w := deployment(1, 2)
	w.load(15, 12*time.Second)
	w.run(time.Second)
	w.evacuate("b")
	w.run(time.Second)
	evacuated := w.startedIn("b")
	w.run(4 * time.Second)
	g.Expect(evacuated()).To(BeZero())
	w.revokeEvacuation("b")
	w.run(time.Second)
	back := w.startedIn("b")
	w.run(2 * time.Second)
	g.Expect(back()).To(BeNumerically(">", 10))
	w.evacuate("b")
	w.run(time.Second)
	again := w.startedIn("b")
	w.run(2 * time.Second)
	g.Expect(again()).To(BeZero())
	w.run(10 * time.Second)
	g.Expect(w.checker.violations).To(BeEmpty())
	g.Expect(w.unanswered()).To(BeZero())
}

// unanswered counts the jobs without a final answer.
func (w *world) unanswered() int {
	n := 0
	for _, j := range w.jobs {
		if !j.answered && w.now > j.sent+j.timeout+resendInterval {
			n++
		}
	}
	return n
}

// Guards against a leader that can't reach the store and goes on using a domain, though the
// other processes know that it is evacuated.
func TestALeaderWithoutTheStoreHearsOfAnEvacuation(t *testing.T) {
	t.Parallel()
	g := NewWithT(t)
	w := deployment(1, 1)
	w.load(40, 8*time.Second)
	w.storeUnreachable[w.leader().name] = true
	w.run(time.Second)
	w.evacuate("b")
	w.run(time.Second)
	started := w.startedIn("b")
	w.run(3 * time.Second)
	g.Expect(started()).To(BeZero())
	g.Expect(w.checker.violations).To(BeEmpty())
}

// Guards against a leader that takes over while the store is unavailable and doesn't know the
// evacuations that its predecessor knew, and against a process that starts at that time.
func TestAnEvacuationSurvivesLeaderChanges(t *testing.T) {
	t.Parallel()
	g := NewWithT(t)
	w := deployment(1, 1)
	w.load(40, 12*time.Second)
	w.evacuate("b")
	w.run(500 * time.Millisecond)
	w.storeDown = true
	started := w.startedIn("b")
	for range 3 {
		w.kill(w.leader(), 300*time.Millisecond)
		w.run(2 * time.Second)
	}
	g.Expect(started()).To(BeZero())
	w.storeDown = false
	w.run(2 * time.Second)
	for _, n := range slices.Clone(w.nodes) {
		w.kill(n, 100*time.Millisecond)
	}
	w.run(4 * time.Second)
	g.Expect(started()).To(BeZero())
	g.Expect(w.checker.violations).To(BeEmpty())
}

// Guards against callers who wait in vain. With all domains evacuated no task can be started,
// and callers must be answered at once that nothing was run.
func TestJobsAreRefusedAtOnceWhileAllDomainsAreEvacuated(t *testing.T) {
	t.Parallel()
	for _, cells := range []bool{false, true} {
		g := NewWithT(t)
		w := deployment(1, 2)
		if cells {
			w = cellDeployment(1, 2)
		}
		// Until then copies of jobs may arrive that an earlier scheduler had.
		w.run(5 * time.Second)
		early := w.submit("a", 2, 3*time.Second, 6*time.Second)
		w.run(50 * time.Millisecond)
		for _, d := range []string{"a", "b", "c"} {
			w.evacuate(d)
		}
		w.run(time.Second)
		j := w.submit("a", 4, 100*time.Millisecond, 3*time.Second)
		w.run(50 * time.Millisecond)
		g.Expect(j.answered).To(BeTrue())
		g.Expect(j.outcome).To(Equal(workload.NotRun))
		w.run(4 * time.Second)
		g.Expect(early.outcome).To(Equal(workload.Completed), "running tasks aren't interrupted")
		for _, d := range []string{"a", "b", "c"} {
			w.revokeEvacuation(d)
		}
		w.run(time.Second)
		j = w.submit("a", 4, 100*time.Millisecond, 3*time.Second)
		w.run(time.Second)
		g.Expect(j.outcome).To(Equal(workload.Completed))
		g.Expect(w.checker.violations).To(BeEmpty())
	}
}

// Guards against jobs that wait in an evacuated cell though other cells have capacity.
func TestJobsOfAnEvacuatedCellGoToAnother(t *testing.T) {
	t.Parallel()
	g := NewWithT(t)
	w := cellDeployment(1, 1)
	w.run(time.Second)
	w.evacuate("a")
	w.run(time.Second)
	var jobs []*fakeJob
	for range 10 {
		jobs = append(jobs, w.submit("a", 2, 100*time.Millisecond, 3*time.Second))
		w.run(50 * time.Millisecond)
	}
	w.run(time.Second)
	for _, j := range jobs {
		g.Expect(j.outcome).To(Equal(workload.Completed))
	}
	g.Expect(w.checker.violations).To(BeEmpty())
}
