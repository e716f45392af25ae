package e2e

import (
	"bufio"
	"context"
	"flag"
	"fmt"
	"math"
	"math/rand/v2"
	"net/http"
	"os"
	"slices"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"sapphirepoint.example/sapphirepoint/client"
	"sapphirepoint.example/sapphirepoint/core/task"
	pb "sapphirepoint.example/sapphirepoint/gen/sapphirepointv1"
	"sapphirepoint.example/sapphirepoint/standin"
	"sapphirepoint.example/sapphirepoint/standin/runner"
)

// The load runs only if a duration is given; see docs/MEASUREMENTS-processes.md.
var (
	loadFor   = flag.Duration("load", 0, "run a load for this long, with no other spec wanted")
	loadShare = flag.Float64("load-share", 0.5, "part of all slots that the load keeps busy")
	loadKill  = flag.Duration("load-kill", 0, "kill one entry process in turn at this interval, and start it again")
	loadStop  = flag.Bool("load-stop", false, "with -load-kill: stop entries as planned, by SIGTERM")
	loadSeed  = flag.Uint64("load-seed", fixedSeed, "seed of arrivals and sizes")
)

const (
	loadRunners = 16
	// Run times are lognormal with medianRunMs and runSigma, limited to 50 ms to 5 s.
	medianRunMs = 170
	runSigma    = 0.6
	// One job in largeJobInterval has 100 to 980 tasks, the others 1 to 19.
	largeJobInterval = 200
	maxTasks         = 980
	restartDelay     = 2 * time.Second
	ratioScale       = 1000
	// Metrics that the report sums up.
	wastedMetric  = "sapphirepoint_wasted_messages_total"
	answersMetric = "sapphirepoint_answers_total"
	cpuMetric     = "process_cpu_seconds_total"
	// oldJobAgeMs is the age from which on a waiting job is printed. A complete answer is printed if
	// it comes later than the ideal response time by more than this.
	oldJobAgeMs = 8000
)

// loadJob is a job with its ideal response time: the longest run time of its tasks, or its total work
// divided by all slots if that takes longer.
type loadJob struct {
	submission *pb.Submission
	ideal      time.Duration
}

// drawJob draws a job's number of tasks and their run times.
func drawJob(rng *rand.Rand, slots int) loadJob {
	n := 1 + rng.IntN(19)
	if rng.IntN(largeJobInterval) == 0 {
		n = 100 + rng.IntN(maxTasks-99)
	}
	s := &pb.Submission{Service: "labels", Team: "kitchens"}
	longest, sum := 0, 0
	for i := range n {
		ms := int(medianRunMs * math.Exp(runSigma*rng.NormFloat64()))
		ms = min(max(ms, 50), 5000)
		longest = max(longest, ms)
		sum += ms
		s.Tasks = append(s.Tasks, &pb.Task{Payload: fmt.Appendf(nil, `{"run_ms": %d, "output": "label %d"}`, ms, i), RunTimeMs: uint32(ms)})
	}
	return loadJob{s, time.Duration(max(longest, sum/slots)) * time.Millisecond}
}

// loadTally counts the answers that callers got.
type loadTally struct {
	mu       sync.Mutex
	outcomes map[string]int
	jobs     int
	tasks    int
	// ratios holds response times over ideal ones, in units of 1/ratioScale.
	ratios *hdrhistogram.Histogram
	// notRun holds the ids of jobs answered "not run", whose tasks must not be in any ledger.
	notRun  []string
	slowest time.Duration
}

func (t *loadTally) add(j loadJob, a *pb.Answer, err error, took time.Duration) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.jobs++
	t.tasks += len(j.submission.GetTasks())
	if err != nil {
		t.outcomes["error: "+err.Error()]++
		return
	}
	t.outcomes[a.GetOutcome().String()+" "+a.GetReason().String()]++
	if a.GetOutcome() == pb.Outcome_OUTCOME_NOT_RUN {
		t.notRun = append(t.notRun, task.IDOf("hollowell", a.GetId()).String()+"/")
	}
	if a.GetOutcome() != pb.Outcome_OUTCOME_COMPLETE {
		return
	}
	if len(a.GetResults()) != len(j.submission.GetTasks()) {
		t.outcomes["PARTIAL"]++
	}
	t.slowest = max(t.slowest, took)
	if took > j.ideal+oldJobAgeMs*time.Millisecond {
		fmt.Printf("%v for %d tasks, ideal %v\n", took, len(j.submission.GetTasks()), j.ideal)
	}
	_ = t.ratios.RecordValue(int64(float64(took) / float64(j.ideal) * ratioScale))
}

// counters returns the metrics of an entry that the report sums up.
func (e *entry) counters() map[string]float64 {
	res, err := controlClient.Get("http://" + e.operatorAddress + "/metrics")
	if err != nil {
		return nil
	}
	defer res.Body.Close()
	values := map[string]float64{}
	for lines := bufio.NewScanner(res.Body); lines.Scan(); {
		name, value, _ := strings.Cut(lines.Text(), " ")
		if !strings.HasPrefix(name, wastedMetric) && !strings.HasPrefix(name, answersMetric) && name != cpuMetric {
			continue
		}
		v, err := strconv.ParseFloat(value, 64)
		if err == nil {
			values[name] = v
		}
	}
	return values
}

// peakMemoryMiB returns the process's peak resident memory in MiB.
func (e *entry) peakMemoryMiB() float64 {
	status, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", e.cmd.Process.Pid))
	Expect(err).NotTo(HaveOccurred())
	_, rest, _ := strings.Cut(string(status), "VmHWM:")
	kib, err := strconv.ParseFloat(strings.Fields(rest)[0], 64)
	Expect(err).NotTo(HaveOccurred())
	return kib / 1024
}

// loadRun is one run of the load.
type loadRun struct {
	d         *deployment
	loadTally *loadTally
	totals    map[string]float64
	peakMiB   float64
	kills     int
}

// addCounters adds an entry's counters to the totals before its process ends.
func (r *loadRun) addCounters(e *entry) {
	for name, v := range e.counters() {
		r.totals[name] += v
	}
	r.peakMiB = max(r.peakMiB, e.peakMemoryMiB())
}

// restartInTurn kills or stops one entry after another and starts it again.
func (r *loadRun) restartInTurn(ctx context.Context) {
	for i := 0; ; i++ {
		select {
		case <-ctx.Done():
			return
		case <-time.After(*loadKill):
		}
		e := r.d.entries[i%len(r.d.entries)]
		r.addCounters(e)
		if *loadStop {
			e.signal(syscall.SIGTERM)
		} else {
			e.signal(syscall.SIGKILL)
		}
		<-e.done
		r.kills++
		time.Sleep(restartDelay)
		e.start()
	}
}

// submit submits the load. Arrivals are random and don't depend on the answers (open loop).
func (r *loadRun) submit(ctx context.Context) {
	rng := rand.New(rand.NewPCG(*loadSeed, 0))
	slots := 3 * loadRunners * runner.DefaultSlots
	var urls []string
	for _, e := range r.d.entries {
		urls = append(urls, "http://"+e.callerAddress)
	}
	callers := client.New(client.Config{URLs: urls, Token: standin.Token, MaxNewIDs: 3})
	defer callers.Close()
	var all sync.WaitGroup
	next := time.Now()
	for ctx.Err() == nil {
		j := drawJob(rng, slots)
		work := 0
		for _, t := range j.submission.GetTasks() {
			work += int(t.GetRunTimeMs())
		}
		// gap is the time that the share of the slots takes for the job's work.
		gap := time.Duration(float64(work) / (float64(slots) * *loadShare) * float64(time.Millisecond))
		next = next.Add(time.Duration(float64(gap) * rng.ExpFloat64()))
		time.Sleep(time.Until(next))
		all.Go(func() {
			callCtx, cancel := context.WithTimeout(context.Background(), time.Minute)
			defer cancel()
			began := time.Now()
			a, err := callers.Submit(callCtx, j.submission)
			r.loadTally.add(j, a, err, time.Since(began))
		})
	}
	all.Wait()
}

// measureSettingsChange changes the settings in the middle of the load and prints how long it takes
// until the change is in force at every entry.
func (r *loadRun) measureSettingsChange(ctx context.Context) {
	select {
	case <-ctx.Done():
		return
	case <-time.After(*loadFor / 2):
	}
	changed := standin.Settings()
	changed.Institutions[0].RetryPercent++
	began := time.Now()
	Expect(apply(r.d.entries[0], 1, changed)).To(Succeed())
	accepted := time.Since(began)
	for _, e := range r.d.entries {
		Eventually(e.version, eventualTimeout, 5*time.Millisecond).Should(BeEquivalentTo(2))
	}
	fmt.Printf("\na change of settings was accepted after %v and in force at all entries after %v\n",
		accepted.Round(time.Millisecond), time.Since(began).Round(time.Millisecond))
}

// reportOldJobs prints jobs that have waited for longer than any task runs.
func (r *loadRun) reportOldJobs(ctx context.Context) {
	reported := map[string]bool{}
	for ctx.Err() == nil {
		time.Sleep(time.Second)
		for _, e := range r.d.entries {
			state := e.dump()
			list, _ := state["submissions"].([]any)
			for _, each := range list {
				s, _ := each.(map[string]any)
				age := number(state["now_ms"]) - number(s["arrived_ms"])
				id, _ := s["id"].(string)
				if age < oldJobAgeMs || reported[id] {
					continue
				}
				reported[id] = true
				fmt.Printf("%s: %s waits for %.0f ms: %v\n", e.name, id, age, s)
			}
		}
	}
}

func number(v any) float64 {
	n, _ := v.(float64)
	return n
}

// report prints the figures and returns the number of tasks that runners started although the callers
// were answered that the job was not run.
func (r *loadRun) report(seconds float64) int {
	t := r.loadTally
	startedTwice, falseNotRun := 0, 0
	for name, n := range r.d.totalStarts() {
		if n > 1 {
			startedTwice++
		}
		if slices.ContainsFunc(t.notRun, func(id string) bool { return strings.HasPrefix(name, id) }) {
			falseNotRun++
		}
	}
	ratio := func(q float64) float64 { return float64(t.ratios.ValueAtQuantile(q)) / ratioScale }
	fmt.Printf("\nseed %d, share %.2f of %d slots, %.0f s, %d entries killed or stopped\n", *loadSeed, *loadShare, 3*loadRunners*runner.DefaultSlots, seconds, r.kills)
	fmt.Printf("jobs %d, tasks %d (%.0f/s), started twice %d, started after \"not run\" %d\n", t.jobs, t.tasks, float64(t.tasks)/seconds, startedTwice, falseNotRun)
	for _, o := range sortedKeys(t.outcomes) {
		fmt.Printf("  %6d %s\n", t.outcomes[o], o)
	}
	fmt.Printf("response over ideal: mean %.3f p50 %.3f p99 %.3f, slowest answer %v\n", t.ratios.Mean()/ratioScale, ratio(50), ratio(99), t.slowest.Round(time.Millisecond))
	wasted := 0.0
	for _, name := range sortedKeys(r.totals) {
		if strings.HasPrefix(name, answersMetric) {
			fmt.Printf("  %6.0f %s\n", r.totals[name], name)
		}
		if strings.HasPrefix(name, wastedMetric) && r.totals[name] > 0 {
			wasted += r.totals[name]
			fmt.Printf("  %9.4f a task %s\n", r.totals[name]/float64(t.tasks), name)
		}
	}
	fmt.Printf("wasted messages a task %.3f\n", wasted/float64(t.tasks))
	cpu := r.totals[cpuMetric]
	fmt.Printf("entry processes: %.0f µs of processor time a task, %.1f%% of a core each, at most %.0f MiB resident\n",
		cpu/float64(t.tasks)*1e6, cpu/seconds/float64(len(r.d.entries))*100, r.peakMiB)
	return falseNotRun
}

func sortedKeys[V any](m map[string]V) []string {
	keys := make([]string, 0, len(m))
	for k := range m {
		keys = append(keys, k)
	}
	slices.Sort(keys)
	return keys
}

// The load is a measurement, see docs/MEASUREMENTS-processes.md; it runs only on request.
var _ = Describe("load", func() {
	if *loadFor == 0 {
		return
	}
	It("is carried by seven entries in three failure domains", func() {
		Expect(os.Setenv("GOMAXPROCS", "2")).To(Succeed())
		d := deployUneven([]string{"hinckley", "loughborough", "melton"}, []int{2, 3, 2}, loadRunners)
		r := &loadRun{d: d, totals: map[string]float64{}, loadTally: &loadTally{outcomes: map[string]int{}, ratios: hdrhistogram.New(1, 10_000_000, 3)}}
		ctx, cancel := context.WithTimeout(context.Background(), *loadFor)
		defer cancel()
		var others sync.WaitGroup
		others.Go(func() {
			defer GinkgoRecover()
			if *loadKill > 0 {
				r.restartInTurn(ctx)
				return
			}
			r.measureSettingsChange(ctx)
		})
		if *loadKill == 0 {
			others.Go(func() {
				defer GinkgoRecover()
				r.reportOldJobs(ctx)
			})
		}
		began := time.Now()
		r.submit(ctx)
		seconds := time.Since(began).Seconds()
		others.Wait()
		for _, e := range d.entries {
			Eventually(func() error {
				_, err := http.Get("http://" + e.operatorAddress + "/healthz")
				return err
			}, eventualTimeout, pollInterval).Should(Succeed())
			r.addCounters(e)
		}
		Expect(r.report(seconds)).To(BeZero())
		d.expectNoSecondStart()
	})
})
