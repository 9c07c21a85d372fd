package main

import (
	"os"
	"os/exec"
	"path/filepath"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

func build(t *testing.T) string {
	t.Helper()
	program := filepath.Join(t.TempDir(), "entry")
	build := exec.Command("go", "build", "-o", program, "balsamknot.org/entry")
	build.Stderr = os.Stderr
	require.NoError(t, build.Run())
	return program
}

func play(t *testing.T, o options, seed uint64) {
	t.Helper()
	r, err := o.once(t.Context(), seed)
	require.NoError(t, err)
	require.Positive(t, r.counts.Served)
	require.Empty(t, r.breaches, "seed %d, logs in %s", seed, r.dir)
}

// Short runs with fixed seeds. They check what holds however slow the machine is; times are checked by make soak.
func TestAShortSoakKeepsWhatIsPromised(t *testing.T) {
	o := options{length: 6 * time.Second, hosts: 4, callers: 8, network: 79, program: build(t), dir: t.TempDir(), timeless: true}
	for _, seed := range []uint64{1, 2, 3} {
		play(t, o, seed)
	}
}

// Every run that once broke a promise keeps them all now.
func TestCases(t *testing.T) {
	files, err := filepath.Glob("testdata/*.json")
	require.NoError(t, err)
	require.NotEmpty(t, files)
	o := options{network: 79, program: build(t), dir: t.TempDir(), timeless: true}
	for _, file := range files {
		o.replay = file
		play(t, o, 0)
	}
}
