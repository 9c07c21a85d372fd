package main

import (
	"os"
	"os/exec"
	"path/filepath"
	"syscall"
	"testing"

	"github.com/stretchr/testify/require"
)

// settingsEnv is an environment variable that makes the test binary run as the program itself, with the settings file named in it.
const settingsEnv = "BALSAMKNOT_TEST_ENTRY"

func TestMain(m *testing.M) {
	if file := os.Getenv(settingsEnv); file != "" {
		os.Exit(run([]string{"--settings", file, "--check"}))
	}
	os.Exit(m.Run())
}

// A SIGHUP during startup must not terminate the process. The settings file is a FIFO, so that the process waits in startup until
// the signal has been sent.
func TestAReloadDuringTheStartEndsNothing(t *testing.T) {
	t.Parallel()
	file := filepath.Join(t.TempDir(), "host.ini")
	require.NoError(t, syscall.Mkfifo(file, 0o600))
	cmd := exec.Command(os.Args[0])
	cmd.Env = append(os.Environ(), settingsEnv+"="+file)
	require.NoError(t, cmd.Start())
	pipe, err := os.OpenFile(file, os.O_WRONLY, 0)
	require.NoError(t, err)
	require.NoError(t, cmd.Process.Signal(syscall.SIGHUP))
	_, err = pipe.WriteString(testSettings)
	require.NoError(t, err)
	require.NoError(t, pipe.Close())
	require.NoError(t, cmd.Wait())
}

const testSettings = `[Host]
Host = host-1
DataCentre = z1
Region = r1
Address = 127.0.0.1
CallerAddress = 127.0.0.1:17105
ReadyAddress = 127.0.0.1:17104
PeerPorts = 17100-17102
StoreAddress = 127.0.0.1:17106
`
