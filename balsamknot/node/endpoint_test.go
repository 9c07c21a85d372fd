package node

import (
	"net/http"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"

	"balsamknot.org/fleet/wire"
)

// Guards against a cut answer that looks complete: one that only the end of its connection ends was delivered as a whole one, also when its endpoint had failed.
func TestBufferedAnswerWhoseEndIsNotMarkedIsTruncated(t *testing.T) {
	t.Parallel()
	for length, want := range map[int64]error{-1: errTruncated, 4: nil} {
		sent := 0
		frames := &frameWriter{send: func(*wire.Frame) error { sent++; return nil }}
		response := &http.Response{StatusCode: http.StatusOK, ContentLength: length}
		require.ErrorIs(t, forwardBuffered(strings.NewReader("part"), response, frames), want)
		require.Equal(t, want == nil, sent > 0)
	}
}
