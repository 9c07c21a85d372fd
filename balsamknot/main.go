// Command balsamknot runs a node of the router fleet and contains the subcommands with which operators check and submit the
// fleet's configuration and monitor the fleet.
package main

import (
	"context"
	"os"
	"os/signal"
	"syscall"

	"balsamknot.org/balsamknot/operator"
)

func main() {
	os.Exit(run())
}

func run() int {
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGINT, syscall.SIGTERM)
	defer stop()
	return operator.Run(ctx, os.Args[1:], operator.Streams{In: os.Stdin, Out: os.Stdout, Err: os.Stderr})
}
