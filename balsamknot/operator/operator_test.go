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

func run(args ...string) (code int, out, errors string) {
	var stdout, stderr bytes.Buffer
	code = Run(context.Background(), args, Streams{In: strings.NewReader(""), Out: &stdout, Err: &stderr})
	return code, stdout.String(), stderr.String()
}

func TestNodeWithBadSettingsExitsWithEveryFault(t *testing.T) {
	t.Parallel()
	file := filepath.Join(t.TempDir(), "host.ini")
	require.NoError(t, os.WriteFile(file, []byte("[Node]\nHost =\nSeeds = nowhere\nColour = red\n"), 0o600))
	code, _, errors := run("node", "--settings", file)
	require.Equal(t, ExitUsage, code)
	for _, line := range []string{":2: Host: is empty", `:3: Seeds: "nowhere" is not ip:port`, ":4: Colour: unknown setting"} {
		require.Contains(t, errors, line)
	}
}

func TestCheckSaysWhatIsWrongAndExits(t *testing.T) {
	t.Parallel()
	code, out, _ := run("check", "../../examples/retourvat/set.ini")
	require.Equal(t, ExitDone, code)
	require.Equal(t, "accepted\n", out)
	file := filepath.Join(t.TempDir(), "set.ini")
	require.NoError(t, os.WriteFile(file, []byte("[Workspace gent]\nServices = x\n"), 0o600))
	code, out, _ = run("check", "--output", "json", file)
	require.Equal(t, ExitUsage, code)
	require.Contains(t, out, `"Accepted": false`)
	require.Contains(t, out, `"Key": "KeyHash"`)
}

func TestVerbsExplainThemselves(t *testing.T) {
	t.Parallel()
	for _, verb := range []string{"node", "check", "submit", "watch", "status", "burn"} {
		code, _, errors := run(verb, "--help")
		require.Equal(t, ExitDone, code, verb)
		require.Contains(t, errors, "Example:", verb)
	}
	code, _, _ := run("status", "--colour")
	require.Equal(t, ExitUsage, code)
}

func fakeNode(t *testing.T, answers map[string]string) string {
	t.Helper()
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		_, _ = w.Write([]byte(answers[r.URL.Path]))
	}))
	t.Cleanup(server.Close)
	return strings.TrimPrefix(server.URL, "http://")
}

func TestWatchEndsWithTheFleetsAnswer(t *testing.T) {
	t.Parallel()
	accepted := fakeNode(t, map[string]string{"/status": `{"Revision":3,"Hosts":[{"State":"Live","Revision":3},{"State":"Suspect","Revision":2}]}`})
	code, out, _ := run("watch", "--node", accepted, "--revision", "3")
	require.Equal(t, ExitDone, code)
	require.Equal(t, "revision 3: Accepted, in force on 1 of 1 nodes \n", out)
	refused := fakeNode(t, map[string]string{"/status": `{"Revision":3,"Refused":4,"RefusedReason":"line 1","Hosts":[{"State":"Live","Revision":3}]}`})
	code, _, _ = run("watch", "--node", refused)
	require.Equal(t, ExitFailed, code)
	pending := fakeNode(t, map[string]string{"/status": `{"Revision":3,"Hosts":[{"State":"Live","Revision":3}]}`})
	code, _, _ = run("watch", "--node", pending, "--revision", "4", "--timeout", "300ms")
	require.Equal(t, ExitTimeout, code)
}

func TestStatusAndBurnAreTables(t *testing.T) {
	t.Parallel()
	address := fakeNode(t, map[string]string{
		"/status": `{"Host":"host-1","Ready":true,"Revision":2,"Hosts":[{"Host":"host-1","State":"Live","Revision":2}],"Endpoints":[{"Engine":"engine-1","Pool":"p","Running":3,"Limit":4}]}`,
		"/burn":   `[{"Workspace":"gent","Service":"assistant","Indicator":"FirstToken","Objective":0.95,"Short":2,"Long":0.5,"Total":100}]`,
	})
	code, out, _ := run("status", "--node", address)
	require.Equal(t, ExitDone, code)
	require.Contains(t, out, "engine-1")
	code, out, _ = run("burn", "--node", address)
	require.Equal(t, ExitDone, code)
	require.Contains(t, out, "gent")
	require.Contains(t, out, "2.00")
	code, _, errors := run("status", "--node", "127.0.0.1:1")
	require.Equal(t, ExitFailed, code)
	require.Contains(t, errors, "ask node 127.0.0.1:1")
}

func TestProgressCountsLiveNodesOnly(t *testing.T) {
	t.Parallel()
	p := progressOf(node.Status{Revision: 2, Refused: 3, RefusedReason: "x"}, 3)
	require.Equal(t, "Refused", p.Result)
}
