// Command live measures goodput under overload over real sockets. Two entry nodes, four runners and
// the platform's stand-in run in this process. Callers submit refused jobs again after the delay
// that the answer gives.
package main

import (
	"context"
	"fmt"
	"os"
	"sync"
	"time"

	"github.com/rs/zerolog"
	"github.com/spf13/cobra"

	"sapphirepoint.example/sapphirepoint/client"
	pb "sapphirepoint.example/sapphirepoint/gen/sapphirepointv1"
	"sapphirepoint.example/sapphirepoint/standin"
)

const (
	slots           = 4 * 8
	tasks           = 5
	runMs           = 100
	responseLimitMs = 2000
	callerTimeout   = 8 * time.Second
	// capacityJobsPerSecond is the number of jobs per second that all slots can run.
	capacityJobsPerSecond = slots * 1000.0 / (tasks * runMs)
)

func main() {
	var length time.Duration
	var loads []float64
	cmd := &cobra.Command{
		Use:          "live",
		Short:        "Measure goodput under overload over real sockets",
		SilenceUsage: true,
		RunE: func(cmd *cobra.Command, _ []string) error {
			return measure(cmd.Context(), loads, length)
		},
	}
	cmd.Flags().DurationVar(&length, "length", 10*time.Second, "time in which jobs arrive, for each load")
	cmd.Flags().Float64SliceVar(&loads, "load", []float64{0.8, 1, 1.3, 3}, "offered load, as shares of capacity")
	if err := cmd.ExecuteContext(context.Background()); err != nil {
		os.Exit(1)
	}
}

func measure(ctx context.Context, loads []float64, length time.Duration) error {
	cluster, err := standin.Start(ctx, standin.Layout{
		FailureDomains:   []string{"loughborough", "melton"},
		NodesPerDomain:   1,
		RunnersPerDomain: 2,
		Log:              zerolog.Nop(),
	})
	if err != nil {
		return err
	}
	defer cluster.Close()
	var clients []*client.Client
	for _, e := range cluster.Entries {
		clients = append(clients, client.New(client.Config{URL: "http://" + e.CallerAddress(), Token: standin.Token}))
	}
	fmt.Print("| load | jobs | goodput | complete answers | given up after refusals | other outcomes | refusals per job |\n|---|---|---|---|---|---|---|\n")
	for _, load := range loads {
		r := &run{begin: time.Now(), length: length}
		r.offer(ctx, clients, load)
		fmt.Printf("| %.0f%% | %d | %.1f%% | %d | %d | %d | %.2f |\n", load*100, r.jobs,
			100*float64(r.inTime)/length.Seconds()/capacityJobsPerSecond, r.complete, r.gaveUp, r.other, float64(r.refusals)/float64(r.jobs))
	}
	return nil
}

// run is the measurement of one load, with the outcomes of its jobs.
type run struct {
	begin  time.Time
	length time.Duration
	jobs   int

	mu sync.Mutex
	// inTime counts the complete answers that came while jobs still arrived.
	complete, inTime, gaveUp, other, refusals int
}

func (r *run) offer(ctx context.Context, clients []*client.Client, load float64) {
	ticker := time.NewTicker(time.Duration(float64(time.Second) / capacityJobsPerSecond / load))
	defer ticker.Stop()
	var all sync.WaitGroup
	for time.Since(r.begin) < r.length {
		<-ticker.C
		c := clients[r.jobs%len(clients)]
		r.jobs++
		all.Go(func() { r.call(ctx, c) })
	}
	all.Wait()
}

// call submits a job. While the job is refused and the answer gives a delay for a retry that ends before
// callerTimeout, it submits the job again under a new id.
func (r *run) call(ctx context.Context, c *client.Client) {
	arrived := time.Now()
	for {
		a, err := submit(ctx, c)
		wait := time.Duration(a.GetRetryAfterMs()) * time.Millisecond
		again := a.GetOutcome() == pb.Outcome_OUTCOME_NOT_RUN && wait > 0 && time.Since(arrived)+wait < callerTimeout
		r.count(a, err, again)
		if !again {
			return
		}
		time.Sleep(wait)
	}
}

func (r *run) count(a *pb.Answer, err error, again bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	switch {
	case again:
		r.refusals++
	case err == nil && a.GetOutcome() == pb.Outcome_OUTCOME_COMPLETE:
		r.complete++
		if time.Since(r.begin) < r.length {
			r.inTime++
		}
	case a.GetOutcome() == pb.Outcome_OUTCOME_NOT_RUN:
		r.gaveUp++
	default:
		r.other++
	}
}

func submit(ctx context.Context, c *client.Client) (*pb.Answer, error) {
	id, err := c.NewID(ctx)
	if err != nil {
		return nil, err
	}
	s := &pb.Submission{Id: id, Service: "labels", TimeoutMs: responseLimitMs}
	for range tasks {
		s.Tasks = append(s.Tasks, &pb.Task{Payload: fmt.Appendf(nil, `{"run_ms": %d}`, runMs), RunTimeMs: runMs})
	}
	return c.SubmitOnce(ctx, s)
}
