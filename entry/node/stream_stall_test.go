package node

import (
	"bufio"
	"fmt"
	"io"
	"net/http"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"balsamknot.org/platform/standin"
)

// A slow engine sends an event now and then, until its stream is complete.
func TestSlowStreamIsDeliveredWhole(t *testing.T) {
	t.Parallel()
	const events, gap = 4, 400 * time.Millisecond
	s := newSite(t)
	s.store.Publish(1, "k1")
	s.addEndpoint("i-a", "engines", func(w http.ResponseWriter, _ *http.Request) {
		for n := range events {
			time.Sleep(gap)
			_, _ = fmt.Fprintf(w, "id: %d\ndata: a\n\n", n+1)
			_ = http.NewResponseController(w).Flush()
		}
	})
	s.startNodes(1, 251)
	r := s.nodes[0].call(t, http.MethodPost, "/stream/x", "id-1", "k1")
	body, err := io.ReadAll(r.Body)
	require.NoError(t, err)
	require.Equal(t, "id: 1\ndata: a\n\nid: 2\ndata: a\n\nid: 3\ndata: a\n\nid: 4\ndata: a\n\n", string(body))
}

// An engine begins a stream and then sends a byte of an event that never ends, now and then, until its connection is closed.
func TestStreamThatStallsWithAByteNowAndThenEnds(t *testing.T) {
	t.Parallel()
	const gap = 20 * time.Millisecond
	s := newSite(t)
	s.store.Publish(1, "k1")
	ended := make(chan struct{}, 10)
	s.addEndpoint("i-a", "engines", func(w http.ResponseWriter, r *http.Request) {
		_, _ = io.WriteString(w, "id: 1\ndata: a\n\nid: 2\ndata: ")
		for r.Context().Err() == nil {
			_, _ = io.WriteString(w, "b")
			_ = http.NewResponseController(w).Flush()
			time.Sleep(gap)
		}
		ended <- struct{}{}
	})
	s.startNodes(1, 252)
	r := standin.NewCall(s.nodes[0].cfg.CallerAddress, http.MethodPost, "/stream/x", "id-1", "k1", nil)
	response, err := http.DefaultTransport.RoundTrip(r)
	require.NoError(t, err)
	defer response.Body.Close()
	reader := bufio.NewReader(response.Body)
	body, err := io.ReadAll(reader)
	require.Error(t, err, "it is not complete")
	require.Equal(t, "id: 1\ndata: a\n\n", string(body))
	<-ended
}
