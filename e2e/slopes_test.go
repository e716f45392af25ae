package e2e

import (
	"bufio"
	"context"
	"flag"
	"fmt"
	"net/http"
	"os"
	"strconv"
	"strings"
	"sync"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"gonum.org/v1/gonum/stat"

	"sapphirepoint.example/sapphirepoint/client"
	pb "sapphirepoint.example/sapphirepoint/gen/sapphirepointv1"
)

// measureSlopes enables a measurement of the CPU time per task at several rates, which checks nothing:
// go test ./e2e -count=1 -args -slopes
var measureSlopes = flag.Bool("slopes", false, "measure CPU time per task at several rates")

const (
	measureDuration     = 8 * time.Second
	tasksPerJob         = 10
	taskRunMs           = 20
	cpuSecondsMetric    = "process_cpu_seconds_total"
	residentBytesMetric = "process_resident_memory_bytes"
)

// readMetric returns the value of a metric without labels.
func (e *entry) readMetric(name string) float64 {
	res, err := http.Get("http://" + e.operatorAddress + "/metrics")
	Expect(err).NotTo(HaveOccurred())
	defer res.Body.Close()
	lines := bufio.NewScanner(res.Body)
	for lines.Scan() {
		if value, ok := strings.CutPrefix(lines.Text(), name+" "); ok {
			v, err := strconv.ParseFloat(value, 64)
			Expect(err).NotTo(HaveOccurred())
			return v
		}
	}
	return 0
}

func cpuSeconds(entries []*entry) float64 {
	sum := 0.0
	for _, e := range entries {
		sum += e.readMetric(cpuSecondsMetric)
	}
	return sum
}

// submitAtRate submits jobs at a steady rate through the entries in turn, and returns the number of
// complete answers.
func submitAtRate(ctx context.Context, entries []*entry, tasksPerSecond int) int {
	clients := make([]*client.Client, len(entries))
	for i, e := range entries {
		clients[i] = e.client()
	}
	jobs := tasksPerSecond / tasksPerJob * int(measureDuration.Seconds())
	interval := measureDuration / time.Duration(jobs)
	var completed sync.Map
	var group sync.WaitGroup
	began := time.Now()
	for i := range jobs {
		time.Sleep(time.Until(began.Add(time.Duration(i) * interval)))
		group.Go(func() {
			a, err := clients[i%len(clients)].Submit(ctx, labelJob(tasksPerJob, taskRunMs))
			if err == nil && a.GetOutcome() == pb.Outcome_OUTCOME_COMPLETE {
				completed.Store(i, true)
			}
		})
	}
	group.Wait()
	n := 0
	completed.Range(func(any, any) bool { n++; return true })
	return n
}

var _ = Describe("processor time by load", func() {
	if !*measureSlopes {
		return
	}
	for _, domains := range [][]string{{"loughborough"}, {"loughborough", "melton", "hinckley"}} {
		It(fmt.Sprintf("is a line, with %d entries", len(domains)), func(ctx SpecContext) {
			d := deploy(domains, 1, 48/len(domains))
			var xs, ys []float64
			for _, rate := range []int{200, 500, 1000, 2000, 4000} {
				before, began := cpuSeconds(d.entries), time.Now()
				completed := submitAtRate(ctx, d.entries, rate)
				seconds := time.Since(began).Seconds()
				used := (cpuSeconds(d.entries) - before) / seconds
				tasks := float64(completed*tasksPerJob) / seconds
				xs, ys = append(xs, tasks), append(ys, used)
				fmt.Fprintf(os.Stderr, "entries %d: %.0f tasks/s, %.4f cores in all, %.0f MiB resident at the first\n",
					len(domains), tasks, used, d.entries[0].readMetric(residentBytesMetric)/(1<<20))
			}
			intercept, slope := stat.LinearRegression(xs, ys, nil, false)
			fmt.Fprintf(os.Stderr, "entries %d: %.1f µs a task, %.4f cores at rest, R² %.4f\n",
				len(domains), 1e6*slope, intercept, stat.RSquared(xs, ys, nil, intercept, slope))
		})
	}
})
