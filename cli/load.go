package cli

import (
	"context"
	"fmt"
	"math"
	"sync"
	"time"

	"github.com/pkg/errors"
	"github.com/spf13/cobra"

	"sapphirepoint.example/sapphirepoint/client"
	pb "sapphirepoint.example/sapphirepoint/gen/sapphirepointv1"
)

const (
	// defaultConcurrency is the default maximum number of jobs in flight.
	defaultConcurrency = 64
	// progressInterval is the time between two progress lines.
	progressInterval = 2 * time.Second
)

// loadFlags are the flags that make submit generate a load, and limit that load.
type loadFlags struct {
	// repeat is the number of jobs, duration the time for which they are submitted. Either can be
	// left out.
	repeat int
	// rate is the number of jobs per second; 0 means that jobs are submitted as fast as answers
	// arrive.
	rate     float64
	duration time.Duration
	// concurrency is the maximum number of jobs in flight.
	concurrency int
}

func (f *loadFlags) register(cmd *cobra.Command) {
	cmd.Flags().IntVar(&f.repeat, "repeat", 0, "submit the job this many times")
	cmd.Flags().DurationVar(&f.duration, "duration", 0, "submit the job for this long")
	cmd.Flags().Float64Var(&f.rate, "rate", 0, "jobs a second, whatever the answers; 0 means as fast as answers come")
	cmd.Flags().IntVar(&f.concurrency, "concurrency", 0, fmt.Sprintf("jobs at once, at most (%d)", defaultConcurrency))
}

// enabled reports whether any of the flags is given.
func (f *loadFlags) enabled() bool {
	return f.repeat != 0 || f.duration != 0 || f.rate != 0 || f.concurrency != 0
}

// validate checks the flags and sets defaults. The number of jobs or the duration must be given, so
// that the load ends.
func (f *loadFlags) validate() error {
	if f.repeat < 0 || f.duration < 0 || f.rate < 0 || f.concurrency < 0 {
		return asUsageError(errors.New("--repeat, --duration, --rate and --concurrency must not be negative"))
	}
	if f.repeat == 0 && f.duration == 0 {
		return asUsageError(errors.New("a load needs --repeat or --duration"))
	}
	if f.repeat == 0 {
		f.repeat = math.MaxInt
	}
	if f.concurrency == 0 {
		f.concurrency = defaultConcurrency
	}
	return nil
}

// runLoad submits a job many times and prints a summary of the answers.
func (a *app) runLoad(ctx context.Context, c *client.Client, s *pb.Submission, f *submitFlags) error {
	if f.id != "" {
		return asUsageError(errors.New("--id is for one job; a load takes ids of its own"))
	}
	if err := f.load.validate(); err != nil {
		return err
	}
	scrape, err := a.newScraper(ctx)
	if err != nil {
		return err
	}
	r := newRecorder(s)
	load := &loadRun{client: c, job: s, flags: f, recorder: r}
	stop := a.startProgress(r)
	load.run(ctx)
	stop()
	sum := r.summary()
	sum.Client = c.Stats()
	if scrape != nil {
		if sum.Entries, err = scrape.delta(context.WithoutCancel(ctx)); err != nil {
			fmt.Fprintln(a.Err, "entries' metrics:", err)
		}
	}
	if a.output == jsonOutput {
		err = a.printJSON(sum)
	} else {
		sum.print(a.Out)
	}
	if err != nil {
		return err
	}
	return errorForOutcome(r.worstOutcome())
}

// loadRun submits a job repeatedly, at a rate or as fast as answers arrive.
type loadRun struct {
	client   *client.Client
	job      *pb.Submission
	flags    *submitFlags
	recorder *recorder
}

// run submits until the count or the duration is reached and waits for the answers. With a
// rate, a job that is due while the maximum number is in flight is sent late. Its response time
// still counts from when it was due. Otherwise the delay that slow answers cause to later jobs would
// not be measured.
func (l *loadRun) run(ctx context.Context) {
	permits := make(chan struct{}, l.flags.load.concurrency)
	startTime := time.Now()
	var jobs sync.WaitGroup
	defer jobs.Wait()
	for i := range l.flags.load.repeat {
		due := time.Now()
		if l.flags.load.rate > 0 {
			due = startTime.Add(time.Duration(float64(i) / l.flags.load.rate * float64(time.Second)))
		}
		if d := l.flags.load.duration; d > 0 && due.Sub(startTime) >= d {
			return
		}
		if !waitUntil(ctx, due) {
			return
		}
		select {
		case permits <- struct{}{}:
		case <-ctx.Done():
			return
		}
		if l.flags.load.rate == 0 {
			due = time.Now()
		}
		jobs.Add(1)
		go func() {
			defer jobs.Done()
			defer func() { <-permits }()
			l.submitOne(ctx, i, due)
		}()
	}
}

// waitUntil waits for a time; it returns false if the context ends first.
func waitUntil(ctx context.Context, due time.Time) bool {
	t := time.NewTimer(time.Until(due))
	defer t.Stop()
	select {
	case <-ctx.Done():
		return false
	case <-t.C:
		return true
	}
}

// submitOne submits the job once, under an id of its own, and records the answer.
func (l *loadRun) submitOne(ctx context.Context, i int, due time.Time) {
	ctx, cancel := context.WithTimeout(ctx, l.flags.timeout)
	defer cancel()
	s := &pb.Submission{Service: l.job.GetService(), Team: l.job.GetTeam(), TimeoutMs: l.job.GetTimeoutMs(), Tasks: l.job.GetTasks()}
	if l.flags.key != "" {
		s.Id = client.OwnKey(fmt.Sprintf("%s-%d", l.flags.key, i))
	}
	answer, err := l.client.Submit(ctx, s)
	l.recorder.add(answer, err, time.Since(due))
}

// startProgress prints a progress line at intervals until the returned function is called.
func (a *app) startProgress(r *recorder) func() {
	done := make(chan struct{})
	var printer sync.WaitGroup
	printer.Add(1)
	go func() {
		defer printer.Done()
		ticker := time.NewTicker(progressInterval)
		defer ticker.Stop()
		for {
			select {
			case <-done:
				return
			case <-ticker.C:
				fmt.Fprintln(a.Err, r.progressLine())
			}
		}
	}()
	return func() {
		close(done)
		printer.Wait()
	}
}
