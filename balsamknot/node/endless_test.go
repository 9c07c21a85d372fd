package node

import (
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync/atomic"
	"testing"

	"github.com/stretchr/testify/require"

	"balsamknot.org/fleet/wire"
)

// endlessReader repeats chunk without end and counts the bytes read.
type endlessReader struct {
	chunk string
	read  int
}

// Read implements io.Reader.
func (e *endlessReader) Read(p []byte) (int, error) {
	n := copy(p, strings.Repeat(e.chunk, 1+len(p)/len(e.chunk)))
	e.read += n
	return n, nil
}

func TestStreamsWithoutEndAreCutOff(t *testing.T) {
	t.Parallel()
	for name, chunk := range map[string]string{"no line end": "data", "no end of an event": "data: x\n", "events without end": "data: x\n\n"} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			body := &endlessReader{chunk: chunk}
			frames := &frameWriter{send: func(*wire.Frame) error { return nil }}
			require.ErrorIs(t, forwardEvents(body, frames), errAnswerTooLarge)
			require.Less(t, body.read, 2*maxAnswerBytes)
		})
	}
}

func TestLoadReportWithoutEndIsCutOff(t *testing.T) {
	t.Parallel()
	var sent atomic.Int64
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		_, _ = io.WriteString(w, `{"CacheEvents":[`)
		block := strings.Repeat(" ", 64<<10)
		for sent.Load() < 1<<30 {
			n, err := io.WriteString(w, block)
			sent.Add(int64(n))
			if err != nil {
				return
			}
		}
	}))
	defer server.Close()
	n := newTestNode(t)
	_, err := n.keeper.fetchLoad(server.Listener.Addr().String(), 0)
	require.Error(t, err)
	require.Less(t, sent.Load(), int64(64<<20))
}
