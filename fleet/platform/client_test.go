package platform

import (
	"context"
	"io"
	"net/http"
	"net/http/httptest"
	"testing"

	"github.com/stretchr/testify/require"
)

func TestDocumentThatEndsWithItsConnectionIsNotTakenForWhole(t *testing.T) {
	t.Parallel()
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		conn, _, err := w.(http.Hijacker).Hijack()
		if err != nil {
			return
		}
		defer conn.Close()
		_, _ = io.WriteString(conn, "HTTP/1.1 200 OK\r\n"+RevisionHeader+": 7\r\n\r\n[Service assistant]\n")
	}))
	t.Cleanup(server.Close)
	c := &Client{HTTP: server.Client(), Address: server.Listener.Addr().String()}
	_, found, err := c.Read(context.Background(), "set")
	require.Error(t, err)
	require.False(t, found)
}
