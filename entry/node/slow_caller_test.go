package node

import (
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"balsamknot.org/platform/standin"
)

// dialWithSmallBuffer connects a caller that takes little before it reads.
func dialWithSmallBuffer(ctx context.Context, network, address string) (net.Conn, error) {
	conn, err := new(net.Dialer).DialContext(ctx, network, address)
	if err != nil {
		return nil, err
	}
	return conn, conn.(*net.TCPConn).SetReadBuffer(16 << 10)
}

// newLargeStreamSite returns a site of one node and an engine that sends many large events of an unframed stream, closes written and keeps its
// connection open.
func newLargeStreamSite(t *testing.T, subnet int) (s *unframedSite, written chan struct{}) {
	const events, size = 80, 100 << 10
	s, written = &unframedSite{testSite: newSite(t)}, make(chan struct{})
	s.store.Publish(1, "k1")
	e := &unframedEndpoint{s: s, conns: make(map[net.Conn]bool)}
	e.Endpoint = s.addEndpoint("i-0", "engines", func(w http.ResponseWriter, _ *http.Request) {
		conn := e.begin(w)
		_ = conn.(*net.TCPConn).SetWriteBuffer(8 << 20)
		_, _ = io.WriteString(conn, textOfEvent(1))
		time.Sleep(100 * time.Millisecond)
		for id := range events {
			_, _ = fmt.Fprintf(conn, "id: %d\ndata: %s\n\n", id+2, strings.Repeat("x", size))
		}
		close(written)
	})
	s.endpoints = append(s.endpoints, e)
	s.startNodes(1, subnet)
	return s, written
}

// beginSlowly sends a request over a connection with a small buffer and returns the body of the answer, of which nothing is read.
func (s *unframedSite) beginSlowly() io.Reader {
	r := standin.NewCall(s.nodes[0].cfg.CallerAddress, http.MethodPost, "/draft/x", "id-1", "k1", nil)
	r.Header.Set(standin.PromptPartsHeader, promptOf("1"))
	response, err := (&http.Transport{DialContext: dialWithSmallBuffer}).RoundTrip(r)
	require.NoError(s.t, err)
	s.t.Cleanup(func() { _ = response.Body.Close() })
	return response.Body
}

// Guards against ORDER: the end of a stream that was cut is read long after that of its guard where the caller reads slowly, and looked complete.
func TestCutStreamDoesNotLookCompleteToACallerThatReadsSlowly(t *testing.T) {
	t.Parallel()
	s, written := newLargeStreamSite(t, 207)
	body := s.beginSlowly()
	<-written
	s.endpoints[0].replaceAtOnce()
	time.Sleep(200 * time.Millisecond)
	text, err := io.ReadAll(body)
	require.Error(t, err, "%d bytes look complete", len(text))
}

// The same where the engine ends the stream itself.
func TestWholeStreamIsCompleteToACallerThatReadsSlowly(t *testing.T) {
	t.Parallel()
	s, written := newLargeStreamSite(t, 208)
	body := s.beginSlowly()
	<-written
	for conn := range s.endpoints[0].conns {
		_ = conn.Close()
	}
	time.Sleep(200 * time.Millisecond)
	_, err := io.ReadAll(body)
	require.NoError(t, err)
}
