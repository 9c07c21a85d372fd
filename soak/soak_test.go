package main

import (
	"os"
	"os/exec"
	"path/filepath"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

func buildEntry(t *testing.T) string {
	t.Helper()
	program := filepath.Join(t.TempDir(), "entry")
	cmd := exec.Command("go", "build", "-o", program, "balsamknot.org/entry")
	cmd.Stderr = os.Stderr
	require.NoError(t, cmd.Run())
	return program
}

func requireNoViolations(t *testing.T, o options, seed uint64) {
	t.Helper()
	r, err := o.runOnce(t.Context(), seed)
	require.NoError(t, err)
	require.Positive(t, r.counts.Served)
	require.Empty(t, r.violations, "seed %d violated a guarantee, logs in %s", seed, r.dir)
}

// Short runs with fixed seeds. They check only the guarantees that hold on slow machines too; make soak also checks those whose
// time limits a slow machine can exceed although the hosts work correctly.
func TestShortRunsViolateNoGuarantee(t *testing.T) {
	o := options{length: 6 * time.Second, hosts: 4, callers: 8, network: 79, program: buildEntry(t), dir: t.TempDir(), timeless: true}
	for _, seed := range []uint64{1, 2, 3} {
		requireNoViolations(t, o, seed)
	}
}

// Replays the faults of earlier runs that violated a guarantee. They must no longer lead to a violation.
func TestRecordedCasesViolateNoGuarantee(t *testing.T) {
	files, err := filepath.Glob("testdata/*.json")
	require.NoError(t, err)
	require.NotEmpty(t, files)
	o := options{network: 79, program: buildEntry(t), dir: t.TempDir(), timeless: true}
	for _, file := range files {
		o.caseFile = file
		requireNoViolations(t, o, 0)
	}
}
