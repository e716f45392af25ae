// Command standin runs stand-ins for the platform and for runners, for tests.
package main

import (
	"fmt"
	"net"
	"os"

	"github.com/pkg/errors"
	"github.com/spf13/cobra"
	"golang.org/x/sync/errgroup"

	"sapphirepoint.example/sapphirepoint/standin/platform"
	"sapphirepoint.example/sapphirepoint/standin/runner"
)

func main() {
	root := &cobra.Command{Use: "standin", Short: "Stand-ins for the platform and for upstreams, for tests", SilenceUsage: true}
	root.AddCommand(platformCommand(), runnerCommand())
	if err := root.Execute(); err != nil {
		os.Exit(1)
	}
}

func platformCommand() *cobra.Command {
	var listen string
	cmd := &cobra.Command{
		Use:   "platform",
		Short: "Serve the table service, the object store and the list of VMs",
		Args:  cobra.NoArgs,
		RunE: func(*cobra.Command, []string) error {
			l, err := net.Listen("tcp", listen)
			if err != nil {
				return errors.Wrap(err, "listen")
			}
			fmt.Println("listening on", l.Addr())
			return platform.New().Serve(l)
		},
	}
	cmd.Flags().StringVar(&listen, "listen", "127.0.0.1:7000", "address to listen on")
	return cmd
}

func runnerCommand() *cobra.Command {
	var listen []string
	var slots int
	cmd := &cobra.Command{
		Use:   "runner",
		Short: "Serve one runner on each address given",
		Args:  cobra.NoArgs,
		RunE: func(*cobra.Command, []string) error {
			var group errgroup.Group
			for _, address := range listen {
				l, err := net.Listen("tcp", address)
				if err != nil {
					return errors.Wrap(err, "listen")
				}
				fmt.Println("listening on", l.Addr())
				group.Go(func() error { return runner.New(slots).Serve(l) })
			}
			return group.Wait()
		},
	}
	cmd.Flags().StringSliceVar(&listen, "listen", []string{"127.0.0.1:7300"}, "addresses to listen on")
	cmd.Flags().IntVar(&slots, "slots", runner.DefaultSlots, "execution slots of each runner")
	return cmd
}
