package cli

import (
	"github.com/spf13/cobra"

	pb "sapphirepoint.example/sapphirepoint/gen/sapphirepointv1"
)

func (a *app) cancelCommand() *cobra.Command {
	cmd := &cobra.Command{
		Use:   "cancel ID",
		Short: "Cancel a submission and print the word on it",
		Long: `Cancel a submission and print the word on it. One that has ended keeps its
word. The exit code is 0 unless the outcome stays unknown.`,
		Example: "  sapphirepoint cancel i/loughborough-1/5f3a9c0e12ab34cd/17 --entry 10.0.0.7:7100\n  sapphirepoint cancel o/lot-17 --entry 10.0.0.7:7100",
		Args:    cobra.ExactArgs(1),
		RunE: func(cmd *cobra.Command, args []string) error {
			id, err := parseID(args[0])
			if err != nil {
				return asUsageError(err)
			}
			c, err := a.callerFlags.newClient(0)
			if err != nil {
				return err
			}
			defer c.Close()
			answer, err := c.Cancel(cmd.Context(), id)
			if err != nil {
				return err
			}
			err = a.printAnswer(answer)
			if answer.GetOutcome() != pb.Outcome_OUTCOME_UNKNOWN {
				return nil
			}
			return err
		},
	}
	a.callerFlags.register(cmd)
	return cmd
}
