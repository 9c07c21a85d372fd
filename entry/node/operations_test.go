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

	"balsamknot.org/platform/standin"
)

// page is what docs/OPERATIONS.md says: for each failure, the events of its request in order, and the cause in the last line.
type page map[string]walk

type walk struct {
	events []string
	cause  string
}

var (
	eventsLine = regexp.MustCompile(`(?m)^Events: (.+)$`)
	causeLine  = regexp.MustCompile("(?m)^Cause: `(.+)`$")
)

func readPage(t *testing.T) page {
	raw, err := os.ReadFile("../../docs/OPERATIONS.md")
	require.NoError(t, err)
	p := page{}
	for section := range strings.SplitSeq(string(raw), "\n## ") {
		title, text, _ := strings.Cut(section, "\n")
		events := eventsLine.FindStringSubmatch(text)
		cause := causeLine.FindStringSubmatch(text)
		if events != nil && cause != nil {
			p[title] = walk{events: strings.Split(events[1], ", "), cause: cause[1]}
		}
	}
	return p
}

// follow walks from a request's id to its cause as the page says, and prints the lines for the page.
func (p page) follow(t *testing.T, title string, log *lines, request string) {
	t.Helper()
	want, ok := p[title]
	require.True(t, ok, "the page has no section %q", title)
	require.Eventually(t, func() bool { return len(log.of(request)) >= len(want.events) }, time.Minute, time.Millisecond)
	found := log.of(request)
	events := make([]string, len(found))
	for i, line := range found {
		events[i] = fmt.Sprint(line["Event"])
		t.Log(log.raw(request)[i])
	}
	require.Equal(t, want.events, events)
	require.Contains(t, found[len(found)-1]["Cause"], want.cause)
}

// The page's three failures, played against stand-ins. To see the lines: go test -v -run OperationsPage ./entry/node
func TestTheOperationsPageLeadsToTheCause(t *testing.T) {
	t.Parallel()
	p := readPage(t)
	s := newSite(t)
	s.store.Publish(1, "k1", "k2")
	var release = make(chan struct{})
	s.endpoint("i-full", "full", func(http.ResponseWriter, *http.Request) { <-release })
	s.endpoint("i-lost", "plain", func(http.ResponseWriter, *http.Request) { panic(http.ErrAbortHandler) })
	s.start(1, 21)
	n := s.nodes[0]

	n.call(t, http.MethodPost, "/once/x", "lost-1", "k1")
	p.follow(t, "A call whose runner was lost and which may not be repeated", n.log, "lost-1")

	answers := make(chan *http.Response, 2*surgeSize)
	for i := range surgeSize {
		go func() {
			defer func() { answers <- nil }()
			r, err := http.DefaultTransport.RoundTrip(standin.NewCall(n.cfg.CallerAddress, http.MethodPost, "/full/x", fmt.Sprint("surge-", i), "k1", nil))
			if err == nil {
				_ = r.Body.Close()
				answers <- r
			}
		}()
	}
	refused, over := "", 0
	for refused == "" {
		r := <-answers
		switch {
		case r == nil:
			over++
		case r.StatusCode == http.StatusServiceUnavailable:
			refused = r.Header.Get(standin.RequestIDHeader)
		}
	}
	p.follow(t, "A refusal in a surge", n.log, refused)
	close(release)
	for over < surgeSize {
		if r := <-answers; r == nil {
			over++
		}
	}

	s.store.SetDown(true)
	require.Eventually(t, func() bool { return !n.Ready() }, time.Minute, time.Millisecond)
	n.call(t, http.MethodGet, "/again/x", "cut-1", "k2")
	p.follow(t, "A key that was taken away, on a host cut off from the store", n.log, "cut-1")
	require.True(t, n.log.has(`"Event":"BK1203"`), "the host says since when")
}
