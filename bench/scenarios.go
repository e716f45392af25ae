package bench

import (
	"fmt"
	"io"
	"time"

	"golang.org/x/sync/errgroup"

	"sapphirepoint.example/sapphirepoint/core/dispatch"
	"sapphirepoint.example/sapphirepoint/core/task"
	pb "sapphirepoint.example/sapphirepoint/gen/sapphirepointv1"
)

// Scenarios runs scenarios of overload and upstream faults and prints their results as tables.
type Scenarios struct {
	Site   Site
	Seed   uint64
	Length time.Duration
	Out    io.Writer
}

// responseLimit is the contracted response time in these runs.
const responseLimit = 5 * time.Second

func (s Scenarios) scenario(policy string, load float64, change func(*dispatch.Config)) Scenario {
	return Scenario{
		Policy: policy, Site: s.Site, Limit: responseLimit, ChangeConfig: change,
		Workload: Workload{Load: load, Stragglers: DefaultStragglers, Length: s.Length, Warmup: s.Length / 6, Seed: s.Seed},
	}
}

// admitAll disables admission control, and starts tasks even if they can't end before their deadline.
func admitAll(c *dispatch.Config) {
	c.AdmissionPolicy.AdmitAll = true
	c.AdmissionPolicy.StartInfeasible = true
}

// longQueueing applies the same limit on the expected wait also while overload lasts.
func longQueueing(c *dispatch.Config) {
	c.AdmissionPolicy.OverloadWaitPercent = c.AdmissionPolicy.WaitPercent
}

// ownHealthOnly ignores the ejections of upstreams that peers report.
func ownHealthOnly(c *dispatch.Config) { c.Health.IgnorePeers = true }

// withoutHealth gives every upstream its full weight, whatever its failures.
func withoutHealth(c *dispatch.Config) { c.Health.Disabled = true }

// runAll runs scenarios concurrently.
func runAll(list []Scenario) []*Run {
	runs := make([]*Run, len(list))
	var group errgroup.Group
	group.SetLimit(maxParallel)
	for i, s := range list {
		group.Go(func() error {
			runs[i] = NewRun(s).Do()
			return nil
		})
	}
	_ = group.Wait()
	return runs
}

func percent(n, of int) float64 { return 100 * float64(n) / float64(max(of, 1)) }

// Overload prints the goodput by load, with and without admission control.
func (s Scenarios) Overload() {
	var list []Scenario
	for _, load := range []float64{0.8, 0.95, 1.0, 1.3, 3.0} {
		list = append(list, s.scenario("lower wait limit while overload lasts", load, nil))
		list = append(list, s.scenario("one wait limit, half of the time", load, longQueueing))
		list = append(list, s.scenario("every job admitted", load, admitAll))
	}
	fmt.Fprint(s.Out, "| load | policy | goodput | complete answers | failed | given up after refusals | refusals per job | slot time wasted | mean | p99 | wasted starts per task |\n|---|---|---|---|---|---|---|---|---|---|---|\n")
	for _, r := range runAll(list) {
		t := r.Total
		fmt.Fprintf(s.Out, "| %.0f%% | %s | %.1f%% | %.1f%% | %.2f%% | %.1f%% | %.2f | %.1f%% | %.2f | %.1f | %.4f |\n",
			100*r.Workload.Load, r.Policy, 100*r.Goodput(), percent(t.Complete, t.Jobs), percent(t.Failed, t.Jobs), percent(t.GaveUp, t.Jobs),
			float64(t.RefusedRequests)/float64(max(1, t.Jobs)), 100*(1-t.CompletedTime.Seconds()/t.UsedTime.Seconds()), r.ratios.Mean(), r.ratios.Quantile(99), float64(r.Refusals)/float64(r.Starts))
	}
}

// Burst prints the outcomes of jobs that arrive in the seconds after a burst of 300%.
func (s Scenarios) Burst() {
	const before, length = 20 * time.Second, 10 * time.Second
	load := func(at time.Duration) float64 {
		if at >= before && at < before+length {
			return 3
		}
		return 0.7
	}
	var list []Scenario
	for _, leave := range []bool{true, false} {
		for _, p := range []Scenario{s.scenario("lower wait limit while overload lasts", 3, nil), s.scenario("every job admitted", 3, admitAll)} {
			p.LoadAt, p.CallersLeave = load, leave
			list = append(list, p)
		}
	}
	fmt.Fprint(s.Out, "| policy | refused callers | complete answers of jobs arriving in the burst | in the 1st second after it | 2nd | 3rd | 5th | 10th | 20th |\n|---|---|---|---|---|---|---|---|---|\n")
	for _, r := range runAll(list) {
		callers := "retry when told"
		if r.CallersLeave {
			callers = "leave"
		}
		fmt.Fprintf(s.Out, "| %s | %s |", r.Policy, callers)
		first := int((before + length) / time.Second)
		var burst JobCounts
		for _, n := range r.PerSecond[first-10 : first] {
			burst.Jobs += n.Jobs
			burst.Complete += n.Complete
		}
		fmt.Fprintf(s.Out, " %.1f%% |", percent(burst.Complete, burst.Jobs))
		for _, after := range []int{0, 1, 2, 4, 9, 19} {
			n := r.PerSecond[first+after]
			fmt.Fprintf(s.Out, " %.1f%% |", percent(n.Complete, n.Jobs))
		}
		fmt.Fprintln(s.Out)
	}
}

// Faults prints the cost of faulty upstreams, with and without health checks.
func (s Scenarios) Faults() {
	at := s.Length / 4
	faults := []struct {
		name string
		f    Fault
		pick func(i int, u task.Upstream) bool
	}{
		{"none", Healthy, func(int, task.Upstream) bool { return false }},
		{"one fails everything", FailsAll, func(i int, _ task.Upstream) bool { return i == 5 }},
		{"a rack fails everything", FailsAll, func(_ int, u task.Upstream) bool { return u.Rack == s.Site.Domains[1]+"0" }},
		{"one takes five times as long", Slow, func(i int, _ task.Upstream) bool { return i == 5 }},
		{"one can't be reached", Unreachable, func(i int, _ task.Upstream) bool { return i == 5 }},
		{"one refuses everything", Refuses, func(i int, _ task.Upstream) bool { return i == 5 }},
	}
	var list []Scenario
	for _, f := range faults {
		for _, p := range []Scenario{s.scenario("health checks, shared", 0.8, nil), s.scenario("health checks, each process alone", 0.8, ownHealthOnly), s.scenario("no health checks", 0.8, withoutHealth)} {
			p.Policy = f.name + " | " + p.Policy
			p.Events = map[time.Duration]func(*Run){at: func(r *Run) { r.SetFault(f.f, f.pick) }}
			list = append(list, p)
		}
	}
	fmt.Fprint(s.Out, "| fault | policy | jobs since | failed by a task | share | failed otherwise | given up after refusals | mean | p99 | wasted starts per task |\n|---|---|---|---|---|---|---|---|---|---|\n")
	for _, r := range runAll(list) {
		var n JobCounts
		for _, c := range r.PerSecond[int(at/time.Second):] {
			n.Jobs += c.Jobs
			n.Failed += c.Failed
			n.TaskFailures += c.TaskFailures
			n.GaveUp += c.GaveUp
		}
		fmt.Fprintf(s.Out, "| %s | %d | %d | %.2f%% | %d | %d | %.3f | %.2f | %.4f |\n",
			r.Policy, n.Jobs, n.TaskFailures, percent(n.TaskFailures, n.Jobs), n.Failed-n.TaskFailures, n.GaveUp, r.ratios.Mean(), r.ratios.Quantile(99), float64(r.Refusals)/float64(r.Starts))
	}
}

// Ceiling prints the use of a ceiling of half of the slots, with the callers spread over all entry
// processes and with all of them at one.
func (s Scenarios) Ceiling() {
	ceiling := s.Site.totalSlots() / 2
	var list []Scenario
	for _, skewed := range []bool{false, true} {
		p := s.scenario("jobs spread over all entry processes", 1, nil)
		p.ChangeSettings = func(d *pb.Settings) {
			d.EntryVms = uint32(s.Site.Entries)
			d.Institutions[0].CeilingSlots = uint32(ceiling)
		}
		if skewed {
			p.Policy, p.OneEntry = "all jobs at one", true
		}
		list = append(list, p)
	}
	fmt.Fprint(s.Out, "| jobs | ceiling | most slots held at once | mean | of the ceiling | control messages per second and process |\n|---|---|---|---|---|---|\n")
	for _, r := range runAll(list) {
		fmt.Fprintf(s.Out, "| %s | %d | %d | %.1f | %.1f%% | %.1f |\n", r.Policy, ceiling, r.maxHeldSlots, r.MeanHeld(),
			100*r.MeanHeld()/float64(ceiling), float64(r.Control)/(s.Length+drainTime).Seconds()/float64(s.Site.Entries))
	}
}

// Waves prints the messages that mass cancellations and resubmissions cost.
func (s Scenarios) Waves() {
	at := s.Length / 2
	type wave struct{ jobs, running, stops, forwards, starts int }
	fmt.Fprint(s.Out, "| wave, at 130% | jobs | tasks running | messages to upstreams | messages between entry processes | tasks started twice |\n|---|---|---|---|---|---|\n")
	cancel := func(r *Run) int { return r.CancelAll() }
	resubmit := func(r *Run) (n int) {
		for range 5 {
			n += r.Resubmit()
		}
		return n
	}
	waves := []struct {
		name string
		send func(*Run) int
	}{{"every open job cancelled", cancel}, {"every open job resubmitted five times", resubmit}}
	for _, w := range waves {
		var before, after wave
		p := s.scenario(w.name, 1.3, nil)
		p.Workload.Length = at + 5*time.Second
		p.Events = map[time.Duration]func(*Run){
			at: func(r *Run) {
				before = wave{0, r.Running(), r.Stops, r.Forwards, r.Starts}
				before.jobs = w.send(r)
			},
			at + 20*time.Millisecond: func(r *Run) { after = wave{0, 0, r.Stops, r.Forwards, r.Starts} },
		}
		r := NewRun(p).Do()
		fmt.Fprintf(s.Out, "| %s | %d | %d | %d | %d | %d |\n", w.name, before.jobs, before.running, after.stops-before.stops, after.forwards-before.forwards, r.startedTwice)
	}
}
