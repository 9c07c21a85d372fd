package operator

import (
	"context"
	"errors"
	"fmt"
	"io"
	"os"

	"github.com/peterbourgon/ff/v4"

	"balsamknot.org/balsamknot/node"
	"balsamknot.org/fleet/object"
)

// errRefused makes check and submit fail after they have listed the faults of the set.
var errRefused = errors.New("the set has errors and is refused")

func checkCommand(parent *ff.FlagSet, s Streams) *ff.Command {
	flags := ff.NewFlagSet("check").SetParent(parent)
	format := outputFlag(flags)
	return &ff.Command{
		Name: "check", Usage: "balsamknot check FILE", ShortHelp: "validate a set as every node does, and list all its faults",
		LongHelp: "Example:\n  balsamknot check examples/arhiva/set.ini",
		Flags:    flags,
		Exec: func(_ context.Context, args []string) error {
			value, err := readFile(args, s)
			if err != nil {
				return err
			}
			_, faults := object.Check(value)
			return writeVerdict(s.Out, outputFormat(*format), node.Verdict{Accepted: !faults.HasErrors(), Faults: faults})
		},
	}
}

// readFile reads the file that is the only argument of a subcommand; - means standard input.
func readFile(args []string, s Streams) ([]byte, error) {
	if len(args) != 1 {
		return nil, exitWith(ExitUsage, errors.New("expected one argument: a file, or - for standard input"))
	}
	if args[0] == "-" {
		return io.ReadAll(s.In)
	}
	value, err := os.ReadFile(args[0])
	if err != nil {
		return nil, exitWith(ExitUsage, err)
	}
	return value, nil
}

func writeVerdict(w io.Writer, format outputFormat, verdict node.Verdict) error {
	if format == outputJSON {
		if err := writeJSON(w, verdict); err != nil {
			return err
		}
	} else {
		writeVerdictText(w, verdict)
	}
	if !verdict.Accepted {
		return exitWith(ExitUsage, errRefused)
	}
	return nil
}

func writeVerdictText(w io.Writer, verdict node.Verdict) {
	for _, fault := range verdict.Faults {
		colourCode := yellow
		if fault.Severity == object.Error {
			colourCode = red
		}
		fmt.Fprintf(w, "%s %s\n", colour(w, colourCode, string(fault.Severity)), fault)
	}
	for _, difference := range verdict.Differences {
		fmt.Fprintf(w, "%-8s %s\n", difference.Change, difference.Object)
		for _, detail := range difference.Details {
			fmt.Fprintln(w, "        ", detail)
		}
	}
	if verdict.Accepted {
		fmt.Fprintln(w, colour(w, green, "accepted"))
		return
	}
	fmt.Fprintln(w, colour(w, red, "refused"))
}
