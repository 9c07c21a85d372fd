package main

import (
	"fmt"
	"net"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"syscall"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// settingsEnv is an environment variable that makes the test binary run as the program itself, with the settings file named in
// it.
const settingsEnv = "BALSAMKNOT_TEST_ENTRY"

// serveEnv is an environment variable that makes it serve, beside settingsEnv, and not only check the settings.
const serveEnv = "BALSAMKNOT_TEST_SERVE"

func TestMain(m *testing.M) {
	if file := os.Getenv(settingsEnv); file != "" {
		args := []string{"--settings", file}
		if os.Getenv(serveEnv) == "" {
			args = append(args, "--check")
		}
		os.Exit(run(args))
	}
	os.Exit(m.Run())
}

// A SIGHUP during startup must not terminate the process. The settings file is a FIFO, so that the process waits in startup until
// the signal has been sent.
func TestReloadSignalDuringStartupDoesNotTerminateProcess(t *testing.T) {
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

// The periodic read of the settings file hangs when the process is stopped: the file is a FIFO that nobody writes to.
func TestStopEndsProcessWhileTheSettingsFileCannotBeRead(t *testing.T) {
	t.Parallel()
	file := filepath.Join(t.TempDir(), "host.ini")
	ip := fmt.Sprintf("127.77.%d.%d", os.Getpid()/250%250, os.Getpid()%250+1)
	text := strings.ReplaceAll(testSettings, "127.0.0.1", ip) + "DrainLimit = 1s\n"
	require.NoError(t, os.WriteFile(file, []byte(text), 0o600))
	cmd := exec.Command(os.Args[0])
	cmd.Env = append(os.Environ(), settingsEnv+"="+file, serveEnv+"=1")
	require.NoError(t, cmd.Start())
	ended := make(chan error, 1)
	go func() { ended <- cmd.Wait() }()
	require.Eventually(t, func() bool {
		conn, err := net.Dial("tcp", ip+":17104")
		if err != nil {
			return false
		}
		return conn.Close() == nil
	}, time.Minute, time.Millisecond)
	fifo := filepath.Join(t.TempDir(), "fifo")
	require.NoError(t, syscall.Mkfifo(fifo, 0o600))
	require.NoError(t, os.Rename(fifo, file))
	var pipe *os.File
	require.Eventually(t, func() bool {
		var err error
		pipe, err = os.OpenFile(file, os.O_WRONLY|syscall.O_NONBLOCK, 0)
		return err == nil
	}, time.Minute, time.Millisecond, "the process does not read the file")
	defer pipe.Close()
	require.NoError(t, cmd.Process.Signal(syscall.SIGTERM))
	select {
	case err := <-ended:
		require.NoError(t, err)
	case <-time.After(time.Minute):
		require.NoError(t, cmd.Process.Kill())
		t.Fatal("the stop waits for the settings file")
	}
}
