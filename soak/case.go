package main

import (
	"encoding/json"
	"os"

	"github.com/rotisserie/eris"

	"balsamknot.org/soak/schedule"
)

// regression is a run that once broke a promise. It holds the faults themselves, so that it stays the same when the
// schedule of a seed changes.
type regression struct {
	// Cause says what was broken and, once it was traced, why.
	Cause          string
	Seed           uint64
	Hosts, Callers int
	Faults         []schedule.Fault
}

// caseFile is where a broken run leaves its case, beside its logs.
const caseFile = "case.json"

func loadCase(path string) (regression, error) {
	var c regression
	raw, err := os.ReadFile(path)
	if err != nil {
		return c, eris.Wrap(err, "read a case")
	}
	return c, eris.Wrapf(json.Unmarshal(raw, &c), "decode the case %s", path)
}

func (c regression) save(path string) error {
	raw, err := json.MarshalIndent(c, "", "\t")
	if err != nil {
		return eris.Wrap(err, "encode a case")
	}
	return eris.Wrap(os.WriteFile(path, append(raw, '\n'), 0o600), "write a case")
}
