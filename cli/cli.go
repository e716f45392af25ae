// Package cli implements the command line for operators and callers on top of the client
// library and the generated RPC clients.
package cli

import (
	"context"
	"encoding/json"
	"fmt"
	"io"

	"github.com/pkg/errors"
	"github.com/spf13/cobra"
	"google.golang.org/protobuf/encoding/protojson"
	"google.golang.org/protobuf/proto"
)

// Streams holds the standard input and outputs of a command.
type Streams struct {
	In  io.Reader
	Out io.Writer
	Err io.Writer
}

// The values of --output.
const (
	textOutput = "text"
	jsonOutput = "json"
)

// app holds the state that all commands share.
type app struct {
	Streams
	// output is the value of --output.
	output string
	// argsAccepted is set once a command's own work begins. An error before that is a mistake in
	// the arguments.
	argsAccepted  bool
	callerFlags   callerFlags
	operatorFlags operatorFlags
}

// Run executes a command line and returns its exit code.
func Run(ctx context.Context, args []string, s Streams) int {
	a := &app{Streams: s}
	root := a.root()
	root.SetArgs(args)
	root.SetIn(s.In)
	root.SetOut(s.Out)
	root.SetErr(s.Err)
	err := root.ExecuteContext(ctx)
	if !a.argsAccepted {
		err = asUsageError(err)
	}
	var outcomeErr outcomeError
	if err != nil && !errors.As(err, &outcomeErr) {
		fmt.Fprintln(s.Err, "sapphirepoint:", err)
	}
	return exitCode(err)
}

func (a *app) root() *cobra.Command {
	cmd := &cobra.Command{
		Use:   "sapphirepoint",
		Short: "Submit jobs to sapphirepoint and operate it",
		Long: `Submit jobs to sapphirepoint and operate it.

Callers' commands take --entry and a token from --token-file,
SAPPHIREPOINT_TOKEN_FILE or SAPPHIREPOINT_TOKEN. Operators' commands take
--operator and a token from --operator-token-file,
SAPPHIREPOINT_OPERATOR_TOKEN_FILE or SAPPHIREPOINT_OPERATOR_TOKEN. A token is
never given as an argument, since other users of the machine see arguments.

Exit codes:
   0  done; of a job: complete
   1  the command failed, for instance because nothing could be reached
   2  usage: wrong arguments, or a file with mistakes
  10  the job failed; the answer says whether tasks may have run
  11  the job did not run and never will under its id
  12  the outcome is unknown; ask again under the same id
  13  rejected: the request or the settings weren't accepted`,
		SilenceUsage:  true,
		SilenceErrors: true,
		PersistentPreRunE: func(*cobra.Command, []string) error {
			if a.output != textOutput && a.output != jsonOutput {
				return errors.Errorf("--output: %q is neither text nor json", a.output)
			}
			return nil
		},
	}
	cmd.PersistentFlags().StringVarP(&a.output, "output", "o", textOutput, "form of output: text or json")
	cmd.AddCommand(a.settingsCommand(), a.submitCommand(), a.cancelCommand(), a.dumpCommand(), a.drainCommand(), a.keysCommand(), a.tokenCommand(), a.entryCommand())
	a.trackStart(cmd)
	return cmd
}

// trackStart wraps a command and its subcommands to set argsAccepted when their own work begins.
func (a *app) trackStart(cmd *cobra.Command) {
	if run := cmd.RunE; run != nil {
		cmd.RunE = func(cmd *cobra.Command, args []string) error {
			a.argsAccepted = true
			return run(cmd, args)
		}
	}
	for _, sub := range cmd.Commands() {
		a.trackStart(sub)
	}
}

// printJSON writes a value as indented JSON.
func (a *app) printJSON(v any) error {
	raw, err := json.MarshalIndent(v, "", "  ")
	if err != nil {
		return errors.Wrap(err, "encode output")
	}
	_, err = fmt.Fprintf(a.Out, "%s\n", raw)
	return errors.Wrap(err, "write output")
}

// printProto writes a message as indented JSON with the field names of the proto files.
func (a *app) printProto(m proto.Message) error {
	raw, err := protojson.MarshalOptions{UseProtoNames: true}.Marshal(m)
	if err != nil {
		return errors.Wrap(err, "encode output")
	}
	// protojson varies whitespace deliberately; indenting again makes the output stable.
	return a.printJSON(json.RawMessage(raw))
}
