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

// Stresses prints the tables of overload and upstream faults.
type Stresses struct {
	Site   Site
	Seed   uint64
	Length time.Duration
	Out    io.Writer
}

// stressLimit is the contracted response time in these runs.
const stressLimit = 5 * time.Second

func (s Stresses) stress(policy string, load float64, change func(*dispatch.Config)) Stress {
	return Stress{
		Policy: policy, Site: s.Site, Limit: stressLimit, Change: change,
		Shape: Shape{Load: load, Stragglers: Stragglers, Length: s.Length, Warm: s.Length / 6, Seed: s.Seed},
	}
}

func admitAll(c *dispatch.Config) {
	c.AdmissionPolicy.AdmitAll = true
	c.AdmissionPolicy.StartInfeasible = true
}

func longWaits(c *dispatch.Config) {
	c.AdmissionPolicy.OverloadWaitPercent = c.AdmissionPolicy.WaitPercent
}

func alone(c *dispatch.Config) { c.Health.IgnorePeers = true }

func noHealth(c *dispatch.Config) { c.Health.Disabled = true }

// all runs stresses side by side.
func all(list []Stress) []*Run {
	runs := make([]*Run, len(list))
	var group errgroup.Group
	group.SetLimit(parallel)
	for i, s := range list {
		group.Go(func() error {
			runs[i] = NewRun(s).Do()
			return nil
		})
	}
	_ = group.Wait()
	return runs
}

func share(n, of int) float64 { return 100 * float64(n) / float64(max(of, 1)) }

// Overload is goodput by load, with admission and without.
func (s Stresses) Overload() {
	var list []Stress
	for _, load := range []float64{0.8, 0.95, 1.0, 1.3, 3.0} {
		list = append(list, s.stress("short waits when they stand", load, nil))
		list = append(list, s.stress("waits up to half of the time", load, longWaits))
		list = append(list, s.stress("every job taken on", load, admitAll))
	}
	fmt.Fprint(s.Out, "| load | policy | goodput | whole answers | failed | refused for good | refusals a job | slot time spent for nothing | mean | p99 | wasted starts a task |\n|---|---|---|---|---|---|---|---|---|---|---|\n")
	for _, r := range all(list) {
		t := r.Total
		fmt.Fprintf(s.Out, "| %.0f%% | %s | %.1f%% | %.1f%% | %.2f%% | %.1f%% | %.2f | %.1f%% | %.2f | %.1f | %.4f |\n",
			100*r.Shape.Load, r.Policy, 100*r.Goodput(), share(t.Complete, t.Jobs), share(t.Failed, t.Jobs), share(t.Gone, t.Jobs),
			float64(t.Tries)/float64(max(1, t.Jobs)), 100*(1-t.Done.Seconds()/t.Spent.Seconds()), r.ratios.Mean(), r.ratios.Quantile(99), float64(r.Refusals)/float64(r.Starts))
	}
}

// Burst is what jobs meet that arrive in the seconds after a burst of 300%.
func (s Stresses) Burst() {
	const before, length = 20 * time.Second, 10 * time.Second
	load := func(at time.Duration) float64 {
		if at >= before && at < before+length {
			return 3
		}
		return 0.7
	}
	var list []Stress
	for _, leave := range []bool{true, false} {
		for _, p := range []Stress{s.stress("short waits when they stand", 3, nil), s.stress("every job taken on", 3, admitAll)} {
			p.LoadAt, p.Leave = load, leave
			list = append(list, p)
		}
	}
	fmt.Fprint(s.Out, "| policy | refused callers | whole answers of jobs arriving in the burst | in the 1st second after it | 2nd | 3rd | 5th | 10th | 20th |\n|---|---|---|---|---|---|---|---|---|\n")
	for _, r := range all(list) {
		callers := "come back when told"
		if r.Leave {
			callers = "leave"
		}
		fmt.Fprintf(s.Out, "| %s | %s |", r.Policy, callers)
		first := int((before + length) / time.Second)
		var burst Count
		for _, n := range r.Seconds[first-10 : first] {
			burst.Jobs += n.Jobs
			burst.Complete += n.Complete
		}
		fmt.Fprintf(s.Out, " %.1f%% |", share(burst.Complete, burst.Jobs))
		for _, after := range []int{0, 1, 2, 4, 9, 19} {
			n := r.Seconds[first+after]
			fmt.Fprintf(s.Out, " %.1f%% |", share(n.Complete, n.Jobs))
		}
		fmt.Fprintln(s.Out)
	}
}

// Faults is what upstreams that go wrong cost, with health and without.
func (s Stresses) Faults() {
	at := s.Length / 4
	faults := []struct {
		name string
		f    Fault
		pick func(i int, u task.Upstream) bool
	}{
		{"none", Sound, func(int, task.Upstream) bool { return false }},
		{"one fails everything", FailsAll, func(i int, _ task.Upstream) bool { return i == 5 }},
		{"a rack fails everything", FailsAll, func(_ int, u task.Upstream) bool { return u.Rack == s.Site.Domains[1]+"0" }},
		{"one takes five times as long", Slow, func(i int, _ task.Upstream) bool { return i == 5 }},
		{"one can't be reached", Gone, func(i int, _ task.Upstream) bool { return i == 5 }},
		{"one refuses everything", Refuses, func(i int, _ task.Upstream) bool { return i == 5 }},
	}
	var list []Stress
	for _, f := range faults {
		for _, p := range []Stress{s.stress("health, shared", 0.8, nil), s.stress("health, each alone", 0.8, alone), s.stress("no health", 0.8, noHealth)} {
			p.Policy = f.name + " | " + p.Policy
			p.Events = map[time.Duration]func(*Run){at: func(r *Run) { r.Break(f.f, f.pick) }}
			list = append(list, p)
		}
	}
	fmt.Fprint(s.Out, "| fault | policy | jobs since | failed by a task | share | failed otherwise | refused for good | mean | p99 | wasted starts a task |\n|---|---|---|---|---|---|---|---|---|---|\n")
	for _, r := range all(list) {
		var n Count
		for _, c := range r.Seconds[int(at/time.Second):] {
			n.Jobs += c.Jobs
			n.Failed += c.Failed
			n.Broken += c.Broken
			n.Gone += c.Gone
		}
		fmt.Fprintf(s.Out, "| %s | %d | %d | %.2f%% | %d | %d | %.3f | %.2f | %.4f |\n",
			r.Policy, n.Jobs, n.Broken, share(n.Broken, n.Jobs), n.Failed-n.Broken, n.Gone, r.ratios.Mean(), r.ratios.Quantile(99), float64(r.Refusals)/float64(r.Starts))
	}
}

// Ceiling is what a ceiling of half of the slots lets run, with the callers at
// all entry processes alike and at one of them.
func (s Stresses) Ceiling() {
	ceiling := s.Site.totalSlots() / 2
	var list []Stress
	for _, skewed := range []bool{false, true} {
		p := s.stress("jobs at all entry processes alike", 1, nil)
		p.Terms = func(d *pb.Settings) {
			d.EntryVms = uint32(s.Site.Entries)
			d.Institutions[0].CeilingSlots = uint32(ceiling)
		}
		if skewed {
			p.Policy, p.OneEntry = "all jobs at one", true
		}
		list = append(list, p)
	}
	fmt.Fprint(s.Out, "| jobs | ceiling | most slots held at once | mean | of the ceiling | control messages a second a process |\n|---|---|---|---|---|---|\n")
	for _, r := range all(list) {
		fmt.Fprintf(s.Out, "| %s | %d | %d | %.1f | %.1f%% | %.1f |\n", r.Policy, ceiling, r.most, r.MeanHeld(),
			100*r.MeanHeld()/float64(ceiling), float64(r.Control)/(s.Length+drainTime).Seconds()/float64(s.Site.Entries))
	}
}

// Waves is the messages that mass cancellations and resubmissions cost.
func (s Stresses) Waves() {
	at := s.Length / 2
	type wave struct{ jobs, running, stops, forwards, starts int }
	fmt.Fprint(s.Out, "| wave, at 130% | jobs | tasks running | messages to upstreams | messages between entry processes | starts of a task twice |\n|---|---|---|---|---|---|\n")
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
	}{{"every open job cancelled", cancel}, {"every open job sent again, five times", resubmit}}
	for _, w := range waves {
		var before, after wave
		p := s.stress(w.name, 1.3, nil)
		p.Shape.Length = at + 5*time.Second
		p.Events = map[time.Duration]func(*Run){
			at: func(r *Run) {
				before = wave{0, r.Running(), r.Stops, r.Forwards, r.Starts}
				before.jobs = w.send(r)
			},
			at + 20*time.Millisecond: func(r *Run) { after = wave{0, 0, r.Stops, r.Forwards, r.Starts} },
		}
		r := NewRun(p).Do()
		fmt.Fprintf(s.Out, "| %s | %d | %d | %d | %d | %d |\n", w.name, before.jobs, before.running, after.stops-before.stops, after.forwards-before.forwards, r.doubled)
	}
}
