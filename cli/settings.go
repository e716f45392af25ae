package cli

import (
	"context"
	"fmt"
	"text/tabwriter"
	"time"

	"connectrpc.com/connect"
	"github.com/spf13/cobra"

	"sapphirepoint.example/sapphirepoint/config"
	pb "sapphirepoint.example/sapphirepoint/gen/sapphirepointv1"
)

func (a *app) settingsCommand() *cobra.Command {
	cmd := &cobra.Command{Use: "settings", Short: "Check, apply and show the declared settings"}
	cmd.AddCommand(a.settingsCheck(), a.settingsApply(), a.settingsShow())
	return cmd
}

func (a *app) settingsCheck() *cobra.Command {
	return &cobra.Command{
		Use:     "check FILE",
		Short:   "Check a settings file without applying it",
		Long:    "Check a settings file without applying it. Each mistake is reported with file, line and field; the exit code is then 2.",
		Example: "  sapphirepoint settings check settings.yaml",
		Args:    cobra.ExactArgs(1),
		RunE: func(_ *cobra.Command, args []string) error {
			s, err := config.LoadSettings(args[0])
			if err != nil {
				return asUsageError(err)
			}
			if a.output == jsonOutput {
				return a.printProto(s)
			}
			fmt.Fprintf(a.Out, "%s: %d institutions, no mistakes\n", args[0], len(s.GetInstitutions()))
			return nil
		},
	}
}

func (a *app) settingsApply() *cobra.Command {
	var expected uint64
	cmd := &cobra.Command{
		Use:   "apply FILE --expect-version N",
		Short: "Put a settings file in force",
		Long: `Put a settings file in force if version N is still the current one. Of two
operators who both expect N one succeeds; the other is rejected and changes
nothing. After an error that leaves the outcome open, "settings show" tells.`,
		Example: "  sapphirepoint settings apply settings.yaml --expect-version 41 --operator 10.0.0.7:7200",
		Args:    cobra.ExactArgs(1),
		RunE: func(cmd *cobra.Command, args []string) error {
			s, err := config.LoadSettings(args[0])
			if err != nil {
				return asUsageError(err)
			}
			operators, err := a.operatorFlags.connect()
			if err != nil {
				return err
			}
			// Only one process is called: if its reply were lost, another process would reject the
			// operator's own change as a conflict with somebody else's.
			res, err := call(cmd.Context(), operators[0], operators[0].rpc.ApplySettings, &pb.ApplySettingsRequest{ExpectedVersion: expected, Settings: s})
			if err != nil {
				return err
			}
			if a.output == jsonOutput {
				return a.printProto(res)
			}
			fmt.Fprintf(a.Out, "version %d is accepted\n", res.GetVersion())
			return nil
		},
	}
	cmd.Flags().Uint64Var(&expected, "expect-version", 0, "the version that the file replaces; 0 if there is none yet")
	_ = cmd.MarkFlagRequired("expect-version")
	a.operatorFlags.register(cmd)
	return cmd
}

func (a *app) settingsShow() *cobra.Command {
	cmd := &cobra.Command{
		Use:     "show",
		Short:   "Show the settings in force and the version at each entry VM",
		Example: "  sapphirepoint settings show --operator 10.0.0.7:7200\n  sapphirepoint settings show -o json --operator 10.0.0.7:7200,10.0.0.8:7200",
		Args:    cobra.NoArgs,
		RunE: func(cmd *cobra.Command, _ []string) error {
			operators, err := a.operatorFlags.connect()
			if err != nil {
				return err
			}
			res, err := callFirstReachable(cmd.Context(), operators, getSettings, &pb.GetSettingsRequest{})
			if err != nil {
				return err
			}
			if a.output == jsonOutput {
				return a.printProto(res)
			}
			a.printVersions(res)
			return nil
		},
	}
	a.operatorFlags.register(cmd)
	return cmd
}

// getSettings selects the method for callFirstReachable.
func getSettings(o *operator) func(context.Context, *connect.Request[pb.GetSettingsRequest]) (*connect.Response[pb.GetSettingsResponse], error) {
	return o.rpc.GetSettings
}

func (a *app) printVersions(res *pb.GetSettingsResponse) {
	s := res.GetSettings()
	fmt.Fprintf(a.Out, "version %d is in force at the answering process\n\n", s.GetVersion())
	w := tabwriter.NewWriter(a.Out, 0, 0, 2, ' ', 0)
	fmt.Fprintln(w, "ENTRY VM\tRUN\tFAILURE DOMAIN\tVERSION\tHEARD\tCONNECTED")
	for _, n := range res.GetNodes() {
		lastContact := (time.Duration(n.GetAgeMs()) * time.Millisecond).String() + " ago"
		connected := "yes"
		if !n.GetConnected() {
			connected = "no"
		}
		fmt.Fprintf(w, "%s\t%016x\t%s\t%d\t%s\t%s\n", n.GetIncarnation().GetNode(), n.GetIncarnation().GetRun(), n.GetFailureDomain(), n.GetVersion(), lastContact, connected)
	}
	fmt.Fprintln(w, "\nINSTITUTION\tCAPACITY\tCEILING\tPRIORITY\tRESPONSE\tBORROW AFTER\tTEAMS\tSERVICES")
	for _, i := range s.GetInstitutions() {
		fmt.Fprintf(w, "%s\t%d%%\t%d\t%d\t%s\t%s\t%d\t%d\n", i.GetName(), i.GetCapacityPercent(), i.GetCeilingSlots(), i.GetPriority(),
			time.Duration(i.GetResponseTimeMs())*time.Millisecond, time.Duration(i.GetBorrowToleranceMs())*time.Millisecond, len(i.GetTeams()), len(i.GetServices()))
	}
	_ = w.Flush()
}
