package main

import (
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"os"

	"github.com/peterbourgon/ff/v4"
	"github.com/peterbourgon/ff/v4/ffhelp"
	"github.com/rotisserie/eris"

	"balsamknot.org/fleet/proposal"
	"balsamknot.org/fleet/site"
	"balsamknot.org/platform"
)

// checkSetName is the first argument with which the program checks a configuration set in place of serving.
const checkSetName = "check-set"

// setReport is what checkSet prints, and its form as JSON.
type setReport struct {
	Version site.Version
	// InForce is the version with which the set was compared; 0 if it was not compared.
	InForce     site.Version
	Findings    []proposal.Finding
	Differences []proposal.Difference
}

// checkSet checks the configuration set in a file, and compares it with the one in force if a second file is given. It returns exitOK, exitFailed if the
// set has errors, exitWarnings if it has warnings only, or exitUsage.
func checkSet(args []string, out, errOut io.Writer) int {
	flags := ff.NewFlagSet(checkSetName)
	asJSON := flags.BoolLong("json", "print the result as JSON")
	cmd := &ff.Command{
		Name: checkSetName, Usage: "entry check-set [--json] NEXT [IN-FORCE]", Flags: flags,
		ShortHelp: "check a configuration set before it is published, and compare it with the one in force",
	}
	files, err := readSetFiles(cmd, args)
	switch {
	case errors.Is(err, ff.ErrHelp):
		fmt.Fprintln(errOut, ffhelp.Command(cmd))
		return exitOK
	case err != nil:
		fmt.Fprintln(errOut, ffhelp.Command(cmd))
		fmt.Fprintln(errOut, "entry:", err)
		return exitUsage
	}
	r, err := newSetReport(files)
	if err == nil {
		err = r.write(out, *asJSON)
	}
	if err != nil {
		fmt.Fprintln(errOut, "entry:", err)
		return exitFailed
	}
	return r.exitCode()
}

// readSetFiles parses the arguments of cmd and reads the one or two files that they name.
func readSetFiles(cmd *ff.Command, args []string) ([][]byte, error) {
	if err := cmd.Parse(args); err != nil {
		return nil, err
	}
	paths := cmd.Flags.GetArgs()
	if len(paths) != 1 && len(paths) != 2 {
		return nil, errors.New("expected one or two files")
	}
	var files [][]byte
	for _, path := range paths {
		file, err := os.ReadFile(path)
		if err != nil {
			return nil, eris.Wrap(err, "read set")
		}
		files = append(files, file)
	}
	return files, nil
}

// newSetReport checks the set in the first file, and compares it with that in the second one, if there is one.
func newSetReport(files [][]byte) (setReport, error) {
	next, duplicates, err := platform.DecodeSet(files[0])
	if err != nil {
		return setReport{}, eris.Wrap(err, "next set")
	}
	r := setReport{Version: next.Version, Findings: []proposal.Finding{}, Differences: []proposal.Difference{}}
	var inForce *site.Set
	if len(files) > 1 {
		if inForce, _, err = platform.DecodeSet(files[1]); err != nil {
			return setReport{}, eris.Wrap(err, "set in force")
		}
		r.InForce = inForce.Version
		r.Differences = append(r.Differences, proposal.Compare(inForce, next)...)
	}
	r.Findings = append(r.Findings, proposal.Check(next, duplicates, inForce)...)
	return r, nil
}

func (r setReport) write(out io.Writer, asJSON bool) error {
	if !asJSON {
		return r.writeText(out)
	}
	encoder := json.NewEncoder(out)
	encoder.SetIndent("", "  ")
	encoder.SetEscapeHTML(false)
	return eris.Wrap(encoder.Encode(r), "write the result")
}

func (r setReport) writeText(out io.Writer) error {
	text := ""
	for _, f := range r.Findings {
		text += fmt.Sprintf("%-8s %s: %s\n", f.Severity, f.Object, f.Message)
	}
	if r.InForce != 0 {
		text += fmt.Sprintf("version %d in place of version %d changes:\n", r.Version, r.InForce)
	}
	for _, d := range r.Differences {
		text += fmt.Sprintf("  %s\n", d.Object)
		for _, change := range d.Changes {
			text += fmt.Sprintf("    %s\n", change)
		}
	}
	if r.InForce != 0 && len(r.Differences) == 0 {
		text += "  nothing but the version\n"
	}
	if text == "" {
		text = "nothing found\n"
	}
	_, err := io.WriteString(out, text)
	return eris.Wrap(err, "write the result")
}

func (r setReport) exitCode() int {
	switch proposal.Worst(r.Findings) {
	case proposal.Error:
		return exitFailed
	case proposal.Warning:
		return exitWarnings
	case proposal.Note:
	}
	return exitOK
}
