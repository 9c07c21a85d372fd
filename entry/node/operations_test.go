package node

import (
	"fmt"
	"net/http"
	"os"
	"regexp"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"balsamknot.org/fleet/fingerprint"
	"balsamknot.org/platform/standin"
)

// operationsPage holds the log that docs/OPERATIONS.md describes for each failure, by title of the section.
type operationsPage map[string]expectedLog

type expectedLog struct {
	// events holds the events of the request in order.
	events []string
	// cause is contained in the Cause of the last line.
	cause string
}

var (
	eventsLine = regexp.MustCompile(`(?m)^Events: (.+)$`)
	causeLine  = regexp.MustCompile("(?m)^Cause: `(.+)`$")
)

func readOperationsPage(t *testing.T) operationsPage {
	raw, err := os.ReadFile("../../docs/OPERATIONS.md")
	require.NoError(t, err)
	p := operationsPage{}
	for section := range strings.SplitSeq(string(raw), "\n## ") {
		title, text, _ := strings.Cut(section, "\n")
		events := eventsLine.FindStringSubmatch(text)
		cause := causeLine.FindStringSubmatch(text)
		if events != nil && cause != nil {
			p[title] = expectedLog{events: strings.Split(events[1], ", "), cause: cause[1]}
		}
	}
	return p
}

// checkSection checks that the log lines of a request have the events and the cause that the section states, and prints the
// lines, from which the page's examples are copied.
func (p operationsPage) checkSection(t *testing.T, title string, log *logBuffer, requestID string) {
	t.Helper()
	want, ok := p[title]
	require.True(t, ok, "docs/OPERATIONS.md has no section %q with events and a cause", title)
	require.Eventually(t, func() bool { return len(log.eventsOf(requestID)) >= len(want.events) }, time.Minute, time.Millisecond)
	logged := log.eventsOf(requestID)
	events := make([]string, len(logged))
	for i, line := range logged {
		events[i] = fmt.Sprint(line["Event"])
		t.Log(log.linesOf(requestID)[i])
	}
	require.Equal(t, want.events, events)
	require.Contains(t, logged[len(logged)-1]["Cause"], want.cause)
}

// The four failures of docs/OPERATIONS.md are caused on a node, whose log must lead to the cause that the page states. The log
// lines are printed by: go test -v -run OperationsPage ./entry/node
func TestLogsMatchOperationsPage(t *testing.T) {
	t.Parallel()
	p := readOperationsPage(t)
	s := newSite(t)
	s.store.Publish(1, "k1", "k2")
	var release = make(chan struct{})
	s.addEndpoint("i-full", "full", func(http.ResponseWriter, *http.Request) { <-release })
	s.addEndpoint("i-lost", "plain", func(http.ResponseWriter, *http.Request) { panic(http.ErrAbortHandler) })
	s.startNodes(1, 21)
	n := s.nodes[0]

	n.call(t, http.MethodPost, "/once/x", "lost-1", "k1")
	p.checkSection(t, "A non-idempotent call whose runner was lost", n.log, "lost-1")

	n.blockAtOnce(fingerprint.Of(standin.Host+" "+standin.Workspace, http.MethodPost, "/once/x", poison))
	require.Equal(t, http.StatusServiceUnavailable, n.post("/once/x", "blocked-1", poison))
	p.checkSection(t, "A request that is blocked because it crashed endpoints", n.log, "blocked-1")

	responses := make(chan *http.Response, 2*surgeSize)
	for i := range surgeSize {
		go func() {
			defer func() { responses <- nil }()
			r, err := http.DefaultTransport.RoundTrip(standin.NewCall(n.cfg.CallerAddress, http.MethodPost, "/full/x", fmt.Sprint("surge-", i), "k1", nil))
			if err == nil {
				_ = r.Body.Close()
				responses <- r
			}
		}()
	}
	refusedID, finished := "", 0
	for refusedID == "" {
		r := <-responses
		switch {
		case r == nil:
			finished++
		case r.StatusCode == http.StatusServiceUnavailable:
			refusedID = r.Header.Get(standin.RequestIDHeader)
		}
	}
	p.checkSection(t, "A refusal in a surge", n.log, refusedID)
	close(release)
	for finished < surgeSize {
		if r := <-responses; r == nil {
			finished++
		}
	}

	s.store.SetDown(true)
	require.Eventually(t, func() bool { return !n.Ready() }, time.Minute, time.Millisecond)
	n.call(t, http.MethodGet, "/again/x", "cut-1", "k2")
	p.checkSection(t, "A key that was taken away, on a host cut off from the store", n.log, "cut-1")
	require.True(t, n.log.contains(`"Event":"BK1203"`), "the log has no line for the loss of the platform (BK1203)")
}
