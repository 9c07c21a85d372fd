package main

import (
	"encoding/json"
	"os"

	"github.com/rotisserie/eris"

	"balsamknot.org/soak/schedule"
)

// testCase holds the parameters and faults of a run. A case file holds the test case of a run that violated a guarantee, with
// the faults and not only the seed, so that a replay injects the same faults after package schedule has changed. The fields are
// written under their own names.
type testCase struct {
	// Cause is the first violation, to which the reason is added by hand once it has been found.
	Cause          string
	Seed           uint64
	Hosts, Callers int
	Faults         []schedule.Fault
}

// caseFileName is the name of the case file in the directory of a run's logs.
const caseFileName = "case.json"

func loadCase(path string) (testCase, error) {
	var c testCase
	raw, err := os.ReadFile(path)
	if err != nil {
		return c, eris.Wrap(err, "read a case file")
	}
	return c, eris.Wrapf(json.Unmarshal(raw, &c), "decode the case file %s", path)
}

func (c testCase) save(path string) error {
	raw, err := json.MarshalIndent(c, "", "\t")
	if err != nil {
		return eris.Wrap(err, "encode a case file")
	}
	return eris.Wrap(os.WriteFile(path, append(raw, '\n'), 0o600), "write a case file")
}
