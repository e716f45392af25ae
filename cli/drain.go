package cli

import (
	"fmt"

	"github.com/spf13/cobra"

	pb "sapphirepoint.example/sapphirepoint/gen/sapphirepointv1"
)

func (a *app) drainCommand() *cobra.Command {
	cmd := &cobra.Command{
		Use:     "drain",
		Short:   "Start the planned stop of each process given by --operator",
		Long:    "Start the planned stop of each process given by --operator: it takes no new work, finishes what is in progress and exits.",
		Example: "  sapphirepoint drain --operator 10.0.0.7:7200",
		Args:    cobra.NoArgs,
		RunE: func(cmd *cobra.Command, _ []string) error {
			operators, err := a.operatorFlags.connect()
			if err != nil {
				return err
			}
			for _, o := range operators {
				if _, err := call(cmd.Context(), o, o.rpc.Drain, &pb.DrainRequest{}); err != nil {
					return err
				}
				fmt.Fprintf(a.Err, "%s is stopping\n", o.url)
			}
			return nil
		},
	}
	a.operatorFlags.register(cmd)
	return cmd
}
