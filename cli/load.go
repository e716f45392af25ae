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
	defaultConcurrency = 64
	progressInterval   = 2 * time.Second
)

// loadFlags bound a load.
type loadFlags struct {
	repeat      int
	rate        float64
	duration    time.Duration
	concurrency int
}

func (f *loadFlags) add(cmd *cobra.Command) {
	cmd.Flags().IntVar(&f.repeat, "repeat", 0, "submit the job this many times")
	cmd.Flags().DurationVar(&f.duration, "duration", 0, "submit the job for this long")
	cmd.Flags().Float64Var(&f.rate, "rate", 0, "jobs a second, whatever the answers; 0 means as fast as answers come")
	cmd.Flags().IntVar(&f.concurrency, "concurrency", 0, fmt.Sprintf("jobs at once, at most (%d)", defaultConcurrency))
}

func (f *loadFlags) wanted() bool {
	return f.repeat != 0 || f.duration != 0 || f.rate != 0 || f.concurrency != 0
}

// check completes the flags; a load always has an end.
func (f *loadFlags) check() error {
	if f.repeat < 0 || f.duration < 0 || f.rate < 0 || f.concurrency < 0 {
		return usage(errors.New("--repeat, --duration, --rate and --concurrency must not be negative"))
	}
	if f.repeat == 0 && f.duration == 0 {
		return usage(errors.New("a load needs --repeat or --duration"))
	}
	if f.repeat == 0 {
		f.repeat = math.MaxInt
	}
	if f.concurrency == 0 {
		f.concurrency = defaultConcurrency
	}
	return nil
}

// load submits a job many times and prints a summary.
func (a *app) load(ctx context.Context, c *client.Client, s *pb.Submission, f *submitFlags) error {
	if f.id != "" {
		return usage(errors.New("--id is for one job; a load takes ids of its own"))
	}
	if err := f.load.check(); err != nil {
		return err
	}
	scrape, err := a.entriesMetrics(ctx)
	if err != nil {
		return err
	}
	r := newRecorder(s)
	run := &loadRun{client: c, job: s, flags: f, record: r}
	stop := a.progress(r)
	run.start(ctx)
	stop()
	sum := r.summary()
	sum.Client = c.Stats()
	if scrape != nil {
		if sum.Entries, err = scrape.since(context.WithoutCancel(ctx)); err != nil {
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
	return outcome(r.worst())
}

// loadRun paces the submissions.
type loadRun struct {
	client *client.Client
	job    *pb.Submission
	flags  *submitFlags
	record *recorder
}

// start submits until the count or the time is used up and waits for the
// answers. With a rate, a job that is due while all places are taken is sent
// late; its time counts from when it was due, so that a slow answer isn't
// hidden by the jobs that it held back.
func (l *loadRun) start(ctx context.Context) {
	places := make(chan struct{}, l.flags.load.concurrency)
	began := time.Now()
	var jobs sync.WaitGroup
	defer jobs.Wait()
	for i := range l.flags.load.repeat {
		due := time.Now()
		if l.flags.load.rate > 0 {
			due = began.Add(time.Duration(float64(i) / l.flags.load.rate * float64(time.Second)))
		}
		if d := l.flags.load.duration; d > 0 && due.Sub(began) >= d {
			return
		}
		if !waitUntil(ctx, due) {
			return
		}
		select {
		case places <- struct{}{}:
		case <-ctx.Done():
			return
		}
		if l.flags.load.rate == 0 {
			due = time.Now()
		}
		jobs.Add(1)
		go func() {
			defer jobs.Done()
			defer func() { <-places }()
			l.one(ctx, i, due)
		}()
	}
}

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

func (l *loadRun) one(ctx context.Context, i int, due time.Time) {
	ctx, cancel := context.WithTimeout(ctx, l.flags.timeout)
	defer cancel()
	s := &pb.Submission{Service: l.job.GetService(), Team: l.job.GetTeam(), TimeoutMs: l.job.GetTimeoutMs(), Tasks: l.job.GetTasks()}
	if l.flags.key != "" {
		s.Id = client.OwnKey(fmt.Sprintf("%s-%d", l.flags.key, i))
	}
	answer, err := l.client.Submit(ctx, s)
	l.record.add(answer, err, time.Since(due))
}

// progress prints a line at intervals until the returned function is called.
func (a *app) progress(r *recorder) func() {
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
				fmt.Fprintln(a.Err, r.line())
			}
		}
	}()
	return func() {
		close(done)
		printer.Wait()
	}
}
