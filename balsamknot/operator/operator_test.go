package operator

import (
	"bytes"
	"context"
	"net/http"
	"net/http/httptest"
	"os"
	"path/filepath"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"

	"balsamknot.org/balsamknot/node"
)

func runCommand(args ...string) (code int, stdoutText, stderrText string) {
	var stdout, stderr bytes.Buffer
	code = Run(context.Background(), args, Streams{In: strings.NewReader(""), Out: &stdout, Err: &stderr})
	return code, stdout.String(), stderr.String()
}

func TestNodeListsAllFaultsOfInvalidSettings(t *testing.T) {
	t.Parallel()
	file := filepath.Join(t.TempDir(), "host.ini")
	require.NoError(t, os.WriteFile(file, []byte("[Node]\nHost =\nSeeds = nowhere\nColour = red\n"), 0o600))
	code, _, stderr := runCommand("node", "--settings", file)
	require.Equal(t, ExitUsage, code)
	for _, line := range []string{":2: Host: is empty", `:3: Seeds: "nowhere" is not ip:port`, ":4: Colour: unknown setting"} {
		require.Contains(t, stderr, line)
	}
}

func TestCheckAcceptsExampleSetAndListsFaultsOfInvalidSet(t *testing.T) {
	t.Parallel()
	code, out, _ := runCommand("check", "../../examples/retourvat/set.ini")
	require.Equal(t, ExitSuccess, code)
	require.Equal(t, "accepted\n", out)
	file := filepath.Join(t.TempDir(), "set.ini")
	require.NoError(t, os.WriteFile(file, []byte("[Workspace gent]\nServices = x\n"), 0o600))
	code, out, _ = runCommand("check", "--output", "json", file)
	require.Equal(t, ExitUsage, code)
	require.Contains(t, out, `"Accepted": false`)
	require.Contains(t, out, `"Key": "KeyHash"`)
}

func TestSubcommandHelpShowsAnExample(t *testing.T) {
	t.Parallel()
	for _, name := range []string{"node", "check", "submit", "watch", "status", "burn"} {
		code, _, stderr := runCommand(name, "--help")
		require.Equal(t, ExitSuccess, code, name)
		require.Contains(t, stderr, "Example:", name)
	}
	code, _, _ := runCommand("status", "--colour")
	require.Equal(t, ExitUsage, code)
}

// startFakeNode serves fixed responses by URL path and returns the address, as ip:port.
func startFakeNode(t *testing.T, responses map[string]string) string {
	t.Helper()
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		_, _ = w.Write([]byte(responses[r.URL.Path]))
	}))
	t.Cleanup(server.Close)
	return strings.TrimPrefix(server.URL, "http://")
}

func TestWatchExitsOnAcceptanceRefusalOrTimeout(t *testing.T) {
	t.Parallel()
	accepted := startFakeNode(t, map[string]string{"/status": `{"Revision":3,"Hosts":[{"State":"Live","Revision":3},{"State":"Suspect","Revision":2}]}`})
	code, out, _ := runCommand("watch", "--node", accepted, "--revision", "3")
	require.Equal(t, ExitSuccess, code)
	require.Equal(t, "revision 3: Accepted, in force on 1 of 1 nodes \n", out)
	refused := startFakeNode(t, map[string]string{"/status": `{"Revision":3,"Refused":4,"RefusedReason":"line 1","Hosts":[{"State":"Live","Revision":3}]}`})
	code, _, _ = runCommand("watch", "--node", refused)
	require.Equal(t, ExitFailed, code)
	pending := startFakeNode(t, map[string]string{"/status": `{"Revision":3,"Hosts":[{"State":"Live","Revision":3}]}`})
	code, _, _ = runCommand("watch", "--node", pending, "--revision", "4", "--timeout", "300ms")
	require.Equal(t, ExitTimeout, code)
}

func TestStatusAndBurnPrintTables(t *testing.T) {
	t.Parallel()
	address := startFakeNode(t, map[string]string{
		"/status": `{"Host":"host-1","Ready":true,"Revision":2,"Hosts":[{"Host":"host-1","State":"Live","Revision":2}],"Endpoints":[{"Engine":"engine-1","Pool":"p","Running":3,"Limit":4}]}`,
		"/burn":   `[{"Workspace":"gent","Service":"assistant","Indicator":"FirstToken","Objective":0.95,"Short":2,"Long":0.5,"Total":100}]`,
	})
	code, out, _ := runCommand("status", "--node", address)
	require.Equal(t, ExitSuccess, code)
	require.Contains(t, out, "engine-1")
	code, out, _ = runCommand("burn", "--node", address)
	require.Equal(t, ExitSuccess, code)
	require.Contains(t, out, "gent")
	require.Contains(t, out, "2.00")
	code, _, stderr := runCommand("status", "--node", "127.0.0.1:1")
	require.Equal(t, ExitFailed, code)
	require.Contains(t, stderr, "request to node 127.0.0.1:1")
}

func TestProgressIsRefusedWhenTheNodeRefusedTheRevision(t *testing.T) {
	t.Parallel()
	p := progressOf(node.Status{Revision: 2, Refused: 3, RefusedReason: "x"}, 3)
	require.Equal(t, "Refused", p.Result)
}
