// Command sapphirepoint is the command line for operators and callers.
package main

import (
	"context"
	"os"
	"os/signal"

	"sapphirepoint.example/sapphirepoint/cli"
)

func main() {
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt)
	defer stop()
	os.Exit(cli.Run(ctx, os.Args[1:], cli.Streams{In: os.Stdin, Out: os.Stdout, Err: os.Stderr}))
}
