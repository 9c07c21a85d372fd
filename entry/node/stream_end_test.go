package node

import (
	"fmt"
	"io"
	"net/http"
	"sync/atomic"
	"testing"

	"github.com/stretchr/testify/require"

	"balsamknot.org/platform/standin"
)

// sendRaw sends text over the connection of a request and closes it.
func sendRaw(w http.ResponseWriter, headerLines, text string) {
	if conn, err := standin.BeginRaw(w, headerLines); err == nil {
		defer conn.Close()
		_, _ = io.WriteString(conn, text)
	}
}

func TestStreamThatEndsInsideAnEventIsBrokenOffHoweverItIsFramed(t *testing.T) {
	t.Parallel()
	const whole, part, rest = "id: 1\ndata: a\n\n", "id: 2\ndata: b\n", "id: 2\ndata: b\n\nid: 3\ndata: c\n\n"
	subnet := 140
	for name, framed := range map[string][2]string{
		"with a length":        {fmt.Sprintf("Content-Length: %d\r\n", len(whole+part)), whole + part},
		"in chunks":            {"Transfer-Encoding: chunked\r\n", fmt.Sprintf("%x\r\n%s\r\n0\r\n\r\n", len(whole+part), whole+part)},
		"with its connection":  {"", whole + part},
		"before the first one": {"", part},
	} {
		subnet++
		ownSubnet := subnet
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			s := newSite(t)
			s.store.Publish(1, "k1")
			var runs atomic.Int64
			for _, id := range []string{"i-a", "i-b"} {
				s.addEndpoint(id, "engines", func(w http.ResponseWriter, r *http.Request) {
					if runs.Add(1)%2 > 0 || r.URL.Path == "/stream/always" {
						sendRaw(w, framed[0], framed[1])
						return
					}
					if r.Header.Get(standin.LastEventIDHeader) == "" {
						_, _ = io.WriteString(w, whole)
					}
					_, _ = io.WriteString(w, rest)
				})
			}
			s.startNodes(1, ownSubnet)
			r := s.nodes[0].call(t, http.MethodPost, "/stream/x", "id-1", "k1", standin.PromptPartsHeader, "a1:100,b2:50")
			require.Equal(t, whole+rest, readText(t, r), "the other engine continues after the last whole event")
			require.EqualValues(t, 2, runs.Load())
			response, err := http.DefaultTransport.RoundTrip(standin.NewCall(s.nodes[0].cfg.CallerAddress, http.MethodPost, "/stream/always", "id-2", "k1", nil))
			if err == nil && response.StatusCode == http.StatusOK {
				_, err = io.ReadAll(response.Body)
				require.Error(t, err, "a stream that no engine completes must not look complete")
			}
			if err == nil {
				require.Equal(t, http.StatusBadGateway, response.StatusCode)
			}
		})
	}
}
