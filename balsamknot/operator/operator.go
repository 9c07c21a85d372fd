// Package operator is the command line of balsamknot. Operators use its subcommands to run a node, to validate and submit
// a set (the file of workspaces, services, engine pools and policies that configures the fleet), and to monitor the fleet.
package operator

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"os"

	"github.com/mattn/go-isatty"
	"github.com/peterbourgon/ff/v4"
	"github.com/peterbourgon/ff/v4/ffhelp"
)

// Exit codes of all subcommands.
const (
	// ExitSuccess means that the subcommand succeeded, or that only help was requested.
	ExitSuccess = 0
	// ExitFailed means that the node could not run, that a request to a node failed, or that watch found the revision refused.
	ExitFailed = 1
	// ExitUsage means that the flags, the arguments, the settings file or the set that was checked or submitted are invalid.
	ExitUsage = 2
	// ExitTimeout means that watch did not see the revision in force on all live nodes before its time-out.
	ExitTimeout = 3
)

// Streams holds the standard streams of a subcommand. A node writes its log to Err.
type Streams struct {
	In       io.Reader
	Out, Err io.Writer
}

// exitError is an error with the exit code of the process; Run prints the error.
type exitError struct {
	code int
	err  error
}

// Error implements error.
func (e *exitError) Error() string { return e.err.Error() }

// Unwrap returns the underlying error.
func (e *exitError) Unwrap() error { return e.err }

func exitWith(code int, err error) error { return &exitError{code, err} }

// Run parses the arguments without the program's name, runs the subcommand until it ends or ctx is cancelled, and returns
// the exit code. It prints errors and help to s.Err.
func Run(ctx context.Context, args []string, s Streams) int {
	root := newRoot(s)
	err := root.Parse(args)
	if err == nil {
		err = root.Run(ctx)
	}
	var exitErr *exitError
	switch {
	case err == nil:
		return ExitSuccess
	case errors.Is(err, ff.ErrHelp), errors.Is(err, ff.ErrNoExec):
		fmt.Fprintln(s.Err, ffhelp.Command(root))
		if errors.Is(err, ff.ErrNoExec) {
			return ExitUsage
		}
		return ExitSuccess
	case errors.As(err, &exitErr):
		fmt.Fprintln(s.Err, "balsamknot:", exitErr.err)
		return exitErr.code
	}
	fmt.Fprintln(s.Err, "balsamknot:", err)
	return ExitUsage
}

func newRoot(s Streams) *ff.Command {
	flags := ff.NewFlagSet("balsamknot")
	return &ff.Command{
		Name:      "balsamknot",
		ShortHelp: "router fleet for multi-turn chats and for requests that run at most once",
		LongHelp: "Exit codes: 0 success, 1 failed or revision refused, 2 invalid flags, settings or set, 3 timed out.\n\n" +
			"Example:\n  balsamknot check examples/retourvat/set.ini\n  balsamknot status --node 127.0.0.1:17003",
		Flags: flags,
		Subcommands: []*ff.Command{
			nodeCommand(flags, s), checkCommand(flags, s), submitCommand(flags, s), watchCommand(flags, s),
			statusCommand(flags, s), burnCommand(flags, s),
		},
	}
}

// outputFormat is a value of the flag --output.
type outputFormat string

const (
	outputText outputFormat = "text"
	outputJSON outputFormat = "json"
)

// outputFlag adds --output, with the formats text and json, to a subcommand.
func outputFlag(flags *ff.FlagSet) *string {
	return flags.StringEnumLong("output", "output format", string(outputText), string(outputJSON))
}

func writeJSON(w io.Writer, value any) error {
	encoder := json.NewEncoder(w)
	encoder.SetIndent("", "  ")
	return encoder.Encode(value)
}

// colour wraps text in the escape sequences of an ANSI colour code if w is a terminal.
func colour(w io.Writer, code int, text string) string {
	file, ok := w.(*os.File)
	if !ok || !isatty.IsTerminal(file.Fd()) {
		return text
	}
	return fmt.Sprintf("\x1b[%dm%s\x1b[0m", code, text)
}

const (
	red    = 31
	green  = 32
	yellow = 33
)
