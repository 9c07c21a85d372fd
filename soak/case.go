package main

import (
	"encoding/json"
	"os"

	"github.com/rotisserie/eris"

	"balsamknot.org/soak/schedule"
)

// regression is a run that violated a guarantee, as case files hold it. It contains the faults instead of relying on the seed,
// so that a replay injects the same faults after package schedule has changed. The fields are written under their own names.
type regression struct {
	// Cause is the first violation, to which the reason is added by hand once it has been found.
	Cause          string
	Seed           uint64
	Hosts, Callers int
	Faults         []schedule.Fault
}

// caseFileName is the name of the case file in the directory of a run's logs.
const caseFileName = "case.json"

func loadCase(path string) (regression, error) {
	var c regression
	raw, err := os.ReadFile(path)
	if err != nil {
		return c, eris.Wrap(err, "read a case file")
	}
	return c, eris.Wrapf(json.Unmarshal(raw, &c), "decode the case file %s", path)
}

func (c regression) save(path string) error {
	raw, err := json.MarshalIndent(c, "", "\t")
	if err != nil {
		return eris.Wrap(err, "encode a case file")
	}
	return eris.Wrap(os.WriteFile(path, append(raw, '\n'), 0o600), "write a case file")
}
