// Command sapphirepoint-entry is the entry process, which runs on each entry VM of a deployment
// on the platform.
package main

import (
	"context"
	"fmt"
	stdlog "log"
	"os"
	"os/signal"
	"runtime/debug"
	"syscall"

	"github.com/rs/zerolog"
	"github.com/spf13/cobra"

	"sapphirepoint.example/sapphirepoint/logging"
	"sapphirepoint.example/sapphirepoint/platform"
)

func main() {
	var path string
	cmd := &cobra.Command{
		Use:           "sapphirepoint-entry",
		Short:         "The sapphirepoint entry process on the platform",
		Long:          "Takes callers' jobs, and schedules them if it is the oldest process of the deployment. SIGTERM begins a planned stop, SIGHUP has the settings read again.",
		Args:          cobra.NoArgs,
		SilenceUsage:  true,
		SilenceErrors: true,
		RunE:          func(*cobra.Command, []string) error { return run(path) },
	}
	cmd.Flags().StringVar(&path, "settings", platform.SettingsPath(), "the platform's settings file of this process")
	if err := cmd.Execute(); err != nil {
		fmt.Fprintln(os.Stderr, "sapphirepoint-entry:", err)
		os.Exit(1)
	}
}

func run(path string) error {
	settings, err := platform.LoadSettings(path)
	if err != nil {
		return err
	}
	debug.SetMemoryLimit(settings.HeapBytes())
	out := logging.NewAsyncWriter(os.Stdout)
	defer out.Close()
	log := logging.New(out, zerolog.InfoLevel).With().Str("node", settings.Node).Logger()
	stdlog.SetFlags(0)
	stdlog.SetOutput(logging.LibraryWriter(log))
	stop, reload := make(chan os.Signal, 1), make(chan os.Signal, 1)
	signal.Notify(stop, syscall.SIGTERM, syscall.SIGINT)
	signal.Notify(reload, syscall.SIGHUP)
	return platform.Run(context.Background(), path, settings, stop, reload, log)
}
