package cli

import (
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"os"
	"time"

	"github.com/pkg/errors"
	"github.com/spf13/cobra"

	"sapphirepoint.example/sapphirepoint/entry"
	"sapphirepoint.example/sapphirepoint/explain"
	"sapphirepoint.example/sapphirepoint/platform"
)

// entryDumpTimeout limits a dump request, which a process usually answers within milliseconds.
const entryDumpTimeout = 5 * time.Second

func (a *app) entryCommand() *cobra.Command {
	cmd := &cobra.Command{
		Use:   "entry",
		Short: "Look at entry processes that run on the platform",
	}
	cmd.AddCommand(a.entrySettingsCommand(), a.entryDumpCommand(), a.entryExplainCommand(), a.entryLossesCommand())
	return cmd
}

func (a *app) entrySettingsCommand() *cobra.Command {
	return &cobra.Command{
		Use:   "settings FILE",
		Short: "Check a settings file of the platform and show what is read from it",
		Args:  cobra.ExactArgs(1),
		RunE: func(_ *cobra.Command, args []string) error {
			s, err := platform.LoadSettings(args[0])
			if err != nil {
				return asUsageError(err)
			}
			if a.output == jsonOutput {
				return a.printJSON(s)
			}
			_, err = fmt.Fprintf(a.Out, "node %s in %s\ncallers on %s, health and metrics on %s, peers on %s\nstore at %s\ngrace %v, lease limit %v, stop timeout %v, resend %v, remote factor %g\n",
				s.Node, s.FailureDomain, s.Callers, s.Health, s.Peer, s.Store, s.Grace, s.LeaseLimit, s.StopTimeout, s.Resend, s.RemoteFactor)
			return errors.Wrap(err, "write output")
		},
	}
}

func (a *app) entryDumpCommand() *cobra.Command {
	return &cobra.Command{
		Use:   "dump ADDRESS",
		Short: "Show the state of an entry process, by its health address",
		Args:  cobra.ExactArgs(1),
		RunE: func(_ *cobra.Command, args []string) error {
			d, err := fetchDump(args[0])
			if err != nil {
				return err
			}
			return a.printJSON(d)
		},
	}
}

// fetchDump requests a dump from the health listener of an entry process.
func fetchDump(address string) (*entry.Dump, error) {
	client := http.Client{Timeout: entryDumpTimeout}
	res, err := client.Get("http://" + address + "/dump")
	if err != nil {
		return nil, errors.Wrap(err, "dump")
	}
	defer res.Body.Close()
	if res.StatusCode != http.StatusOK {
		return nil, errors.Errorf("dump: status %d", res.StatusCode)
	}
	var d entry.Dump
	return &d, errors.Wrap(json.NewDecoder(res.Body).Decode(&d), "dump")
}

func (a *app) entryExplainCommand() *cobra.Command {
	return &cobra.Command{
		Use:   "explain JOB [LOG...]",
		Short: "Explain what became of a job, from the logs of the entry processes",
		Long:  "Reads log files, or standard input, and prints the lines that touched the job in the order of time, with the changes of leaders, processes and runners that it met, and what they come to.",
		Args:  cobra.MinimumNArgs(1),
		RunE: func(_ *cobra.Command, args []string) error {
			lines, err := a.readLogs(args[1:])
			if err != nil {
				return err
			}
			report := explain.Job(args[0], lines)
			if a.output == jsonOutput {
				return a.printJSON(report)
			}
			_, err = io.WriteString(a.Out, report.String())
			return errors.Wrap(err, "write output")
		},
	}
}

func (a *app) entryLossesCommand() *cobra.Command {
	return &cobra.Command{
		Use:   "losses [LOG...]",
		Short: "Count late and lost answers by their causes, from the logs of the entry processes",
		Long:  "Reads log files, or standard input, finds one cause for each answer that was late or not given, and prints how many fall to each cause and kind of request, and in which seconds since the first line. Jobs whose entry process ended before it answered aren't in the logs.",
		RunE: func(_ *cobra.Command, args []string) error {
			lines, err := a.readLogs(args)
			if err != nil {
				return err
			}
			table := explain.LossTable{Losses: explain.Attribute(lines)}
			if len(lines) > 0 {
				table.Begin = lines[0].Time
			}
			if a.output == jsonOutput {
				return a.printJSON(table)
			}
			_, err = io.WriteString(a.Out, table.String())
			return errors.Wrap(err, "write output")
		},
	}
}

// readLogs reads the lines of log files, or of standard input if none are given.
func (a *app) readLogs(paths []string) ([]explain.Line, error) {
	if len(paths) == 0 {
		return explain.Read(a.In)
	}
	var all []explain.Line
	for _, path := range paths {
		f, err := os.Open(path)
		if err != nil {
			return nil, errors.Wrap(err, "log")
		}
		lines, err := explain.Read(f)
		_ = f.Close()
		if err != nil {
			return nil, err
		}
		all = append(all, lines...)
	}
	return all, nil
}
