// Package operator is the command line of balsamknot: one verb a file.
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

// Exit codes of every verb.
const (
	// ExitDone means that the verb did what it was asked.
	ExitDone = 0
	// ExitFailed means that it could not, or that the answer is no.
	ExitFailed = 1
	// ExitUsage means that flags, settings or the set are at fault.
	ExitUsage = 2
	// ExitTimeout means that what was waited for did not come in time.
	ExitTimeout = 3
)

// Streams are where a verb reads and writes.
type Streams struct {
	In       io.Reader
	Out, Err io.Writer
}

// exitError carries an exit code with what to print.
type exitError struct {
	code int
	err  error
}

// Error implements error.
func (e *exitError) Error() string { return e.err.Error() }

// Unwrap returns the cause.
func (e *exitError) Unwrap() error { return e.err }

func exitWith(code int, err error) error { return &exitError{code, err} }

// Run parses the arguments, runs the verb and returns the exit code.
func Run(ctx context.Context, args []string, s Streams) int {
	root := newRoot(s)
	err := root.Parse(args)
	if err == nil {
		err = root.Run(ctx)
	}
	var exit *exitError
	switch {
	case err == nil:
		return ExitDone
	case errors.Is(err, ff.ErrHelp), errors.Is(err, ff.ErrNoExec):
		fmt.Fprintln(s.Err, ffhelp.Command(root))
		if errors.Is(err, ff.ErrNoExec) {
			return ExitUsage
		}
		return ExitDone
	case errors.As(err, &exit):
		fmt.Fprintln(s.Err, "balsamknot:", exit.err)
		return exit.code
	}
	fmt.Fprintln(s.Err, "balsamknot:", err)
	return ExitUsage
}

func newRoot(s Streams) *ff.Command {
	flags := ff.NewFlagSet("balsamknot")
	return &ff.Command{
		Name:      "balsamknot",
		ShortHelp: "router fleet for returning chats and calls that run at most once",
		LongHelp: "Exit codes: 0 done, 1 failed or refused, 2 flags, settings or set at fault, 3 timed out.\n\n" +
			"Example:\n  balsamknot check examples/retourvat/set.ini\n  balsamknot status --node 127.0.0.1:17003",
		Flags: flags,
		Subcommands: []*ff.Command{
			nodeCommand(flags, s), checkCommand(flags, s), submitCommand(flags, s), watchCommand(flags, s),
			statusCommand(flags, s), burnCommand(flags, s),
		},
	}
}

// output is the form of a verb's answer.
type output string

const (
	outputText output = "text"
	outputJSON output = "json"
)

// outputFlag adds --output to a verb.
func outputFlag(flags *ff.FlagSet) *string {
	return flags.StringEnumLong("output", "form of the answer", string(outputText), string(outputJSON))
}

func writeJSON(w io.Writer, value any) error {
	encoder := json.NewEncoder(w)
	encoder.SetIndent("", "  ")
	return encoder.Encode(value)
}

// colour wraps text in an ANSI colour when w is a terminal.
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
