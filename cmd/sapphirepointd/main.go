// Command sapphirepointd is the entry daemon: it accepts jobs from callers and dispatches their
// tasks to upstreams.
package main

import (
	"context"
	"fmt"
	"os"
	"os/signal"
	"syscall"

	"github.com/rs/zerolog"
	"github.com/spf13/cobra"

	"sapphirepoint.example/sapphirepoint/config"
	"sapphirepoint.example/sapphirepoint/logging"
	"sapphirepoint.example/sapphirepoint/node"
)

func main() {
	var path string
	cmd := &cobra.Command{
		Use:           "sapphirepointd",
		Short:         "The sapphirepoint entry daemon",
		Long:          "Serves callers, operators and peers. SIGTERM starts a planned stop: what is in progress is finished. A second signal ends the process at once.",
		Args:          cobra.NoArgs,
		SilenceUsage:  true,
		SilenceErrors: true,
		RunE:          func(*cobra.Command, []string) error { return run(path) },
	}
	cmd.Flags().StringVar(&path, "settings", "/etc/sapphirepoint/process.yaml", "file with what the process needs to start")
	if err := cmd.Execute(); err != nil {
		fmt.Fprintln(os.Stderr, "sapphirepointd:", err)
		os.Exit(1)
	}
}

func run(path string) error {
	p, err := config.LoadProcess(path)
	if err != nil {
		return err
	}
	level, err := zerolog.ParseLevel(p.LogLevel)
	if err != nil {
		return err
	}
	cfg, err := p.NodeConfig(logging.New(os.Stderr, level))
	if err != nil {
		return err
	}
	n, err := node.New(cfg)
	if err != nil {
		return err
	}
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	signals := make(chan os.Signal, 2)
	signal.Notify(signals, syscall.SIGTERM, syscall.SIGINT)
	go func() {
		<-signals
		n.Drain()
		<-signals
		cancel()
	}()
	return n.Run(ctx)
}
