package cli

import (
	"context"
	"fmt"
	"time"

	"github.com/pkg/errors"
	"github.com/spf13/cobra"

	"sapphirepoint.example/sapphirepoint/client"
	pb "sapphirepoint.example/sapphirepoint/gen/sapphirepointv1"
)

// submitFlags are the flags of submit.
type submitFlags struct {
	// key is the caller's own key.
	key string
	// id is the id of an earlier submission, to submit again.
	id string
	// timeout limits the time for which the job is resubmitted until its outcome is final.
	timeout time.Duration
	// newIDs is how often the job may be submitted again under a new id.
	newIDs int
	load   loadFlags
}

func (a *app) submitCommand() *cobra.Command {
	var f submitFlags
	cmd := &cobra.Command{
		Use:   "submit FILE",
		Short: "Submit a job, or a bounded load of them",
		Long: `Submit a job from a file, or from standard input with "-", and print its answer.

The file is YAML or JSON:

  service: labels
  team: school-kitchens
  timeout: 2s              # optional
  tasks:
    - payload: "recipe 17" # or payload_base64
      run_time: 200ms      # optional
      count: 20            # optional, repeats the task

The id is printed first, on standard error; if the command is interrupted,
submit again with --id: no task starts twice. A service that isn't idempotent
needs an own key.

With --repeat, --duration, --rate or --concurrency, the job is submitted many
times, each under an id of its own, and a summary is printed: response times,
response over ideal (the run time declared for the slowest task), outcomes by
reason, and, with --operator, wasted messages from the entries' metrics.`,
		Example: `  sapphirepoint submit job.yaml --entry 10.0.0.7:7100,10.0.0.8:7100
  echo '{"service": "settlements", "team": "settlement-office", "tasks": [{"payload": "lot 17"}]}' |
    sapphirepoint submit - --key lot-17 --entry 10.0.0.7:7100
  sapphirepoint submit job.yaml --rate 50 --duration 1m --operator 10.0.0.7:7200,10.0.0.8:7200`,
		Args: cobra.ExactArgs(1),
		RunE: func(cmd *cobra.Command, args []string) error {
			s, err := a.readJob(args[0])
			if err != nil {
				return err
			}
			c, err := a.callerFlags.newClient(f.newIDs)
			if err != nil {
				return err
			}
			defer c.Close()
			if f.load.enabled() {
				return a.runLoad(cmd.Context(), c, s, &f)
			}
			return a.submitOne(cmd.Context(), c, s, &f)
		},
	}
	a.callerFlags.register(cmd)
	a.operatorFlags.register(cmd)
	cmd.Flags().StringVar(&f.key, "key", "", "the caller's own key instead of an issued id; with a load, a prefix of the keys")
	cmd.Flags().StringVar(&f.id, "id", "", "submit again under this id")
	cmd.Flags().DurationVar(&f.timeout, "timeout", time.Minute, "how long to go on asking for a final word")
	cmd.Flags().IntVar(&f.newIDs, "new-ids", 0, "how often to submit again under a new id after \"not run, come back\"")
	f.load.register(cmd)
	return cmd
}

func (a *app) submitOne(ctx context.Context, c *client.Client, s *pb.Submission, f *submitFlags) error {
	ctx, cancel := context.WithTimeout(ctx, f.timeout)
	defer cancel()
	if err := chooseID(ctx, c, s, f); err != nil {
		return err
	}
	if s.GetId() != nil {
		fmt.Fprintln(a.Err, "id", formatID(s.GetId()))
	}
	answer, err := c.Submit(ctx, s)
	if f.id != "" {
		err = resubmissionError(s, err)
	}
	var unsettled *client.UnsettledError
	if errors.As(err, &unsettled) {
		fmt.Fprintf(a.Err, "%s; submit again with --id %s\n", err, formatID(unsettled.ID))
		return errorForOutcome(pb.Outcome_OUTCOME_UNKNOWN)
	}
	if err != nil {
		return err
	}
	return a.printAnswer(answer)
}

// resubmissionError returns an UnsettledError for the rejection of a submission that another process has
// submitted before under the same id: the rejection doesn't show what that one has started.
func resubmissionError(s *pb.Submission, err error) error {
	var unsettled *client.UnsettledError
	if !isRejection(err) || errors.As(err, &unsettled) {
		return err
	}
	return &client.UnsettledError{ID: s.GetId(), Err: err}
}

// chooseID sets the id of a submission. If new ids are allowed, it leaves the id to the client
// library, which can then replace it.
func chooseID(ctx context.Context, c *client.Client, s *pb.Submission, f *submitFlags) error {
	var err error
	switch {
	case f.key != "" && f.id != "":
		return asUsageError(errors.New("--key and --id exclude each other"))
	case f.key != "":
		s.Id = client.OwnKey(f.key)
	case f.id != "":
		s.Id, err = parseID(f.id)
		return asUsageError(err)
	case f.newIDs == 0:
		s.Id, err = c.NewID(ctx)
	}
	return err
}

// printAnswer prints a job's outcome and results and returns the error for the exit code.
func (a *app) printAnswer(answer *pb.Answer) error {
	if a.output == jsonOutput {
		if err := a.printProto(answer); err != nil {
			return err
		}
		return errorForOutcome(answer.GetOutcome())
	}
	fmt.Fprintln(a.Out, describe(answer))
	for _, r := range answer.GetResults() {
		fmt.Fprintf(a.Out, "%d\t%s\n", r.GetIndex(), r.GetOutput())
	}
	return errorForOutcome(answer.GetOutcome())
}

// describe formats an answer without its results as one line.
func describe(answer *pb.Answer) string {
	line := outcomeName(answer.GetOutcome()) + " " + formatID(answer.GetId())
	if answer.GetOutcome() == pb.Outcome_OUTCOME_COMPLETE {
		return fmt.Sprintf("%s: %d results", line, len(answer.GetResults()))
	}
	line += ": " + reasonName(answer.GetReason())
	if answer.GetDetail() != "" {
		line += ": " + answer.GetDetail()
	}
	if answer.GetMayHaveRun() {
		line += "; tasks may have run"
	}
	if ms := answer.GetRetryAfterMs(); ms > 0 {
		line += fmt.Sprintf("; come back after %d ms", ms)
	}
	return line
}
