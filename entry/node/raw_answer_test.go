package node

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"balsamknot.org/platform/standin"
)

// rawSite is a site of endpoints that answer with a raw text, in which ID stands for the request's ID.
type rawSite struct {
	*testSite
	raw atomic.Value
}

func newRawSite(t *testing.T, subnet int) *rawSite {
	s := &rawSite{testSite: newSite(t)}
	s.store.PublishWorkspaces(1, maxUpload, "k1")
	for _, service := range []string{"plain", "engines"} {
		s.addEndpoint("i-"+service, service, s.answer)
	}
	s.startNodes(1, subnet)
	return s
}

// answer writes the raw text. Where its end is marked, the connection stays open for further requests, as the text lets the node expect: one that
// ended unannounced could reset a request that is already on its way.
func (s *rawSite) answer(w http.ResponseWriter, r *http.Request) {
	_, _ = io.Copy(io.Discard, r.Body)
	conn, buffered, err := w.(http.Hijacker).Hijack()
	if err != nil {
		return
	}
	defer conn.Close()
	for {
		raw := s.raw.Load().(string)
		_, _ = io.WriteString(conn, strings.ReplaceAll(raw, "ID", r.Header.Get(standin.RequestIDHeader)))
		if !rawEndMarked(raw) {
			return
		}
		if r, err = http.ReadRequest(buffered.Reader); err != nil {
			return
		}
		_, _ = io.Copy(io.Discard, r.Body)
	}
}

// rawEndMarked reports whether a raw text has a length or chunks.
func rawEndMarked(raw string) bool {
	return strings.Contains(raw, "Content-Length") || strings.Contains(raw, "Transfer-Encoding")
}

// send sends a request and returns the status and the body, or an error if the answer is not whole.
func (s *rawSite) send(path, id string, body io.Reader) (status int, text string, err error) {
	r := standin.NewCall(s.nodes[0].cfg.CallerAddress, http.MethodPost, path, id, "k1", body)
	response, err := http.DefaultTransport.RoundTrip(r)
	if err != nil {
		return 0, "", err
	}
	defer response.Body.Close()
	raw, err := io.ReadAll(response.Body)
	return response.StatusCode, string(raw), err
}

// maxUpload is the largest body of a request, in bytes.
const maxUpload = 8 << 20

const (
	// rawID is the field with the request's ID, and rawBody a body that is an event of a stream, too.
	rawID   = standin.RequestIDHeader + ": ID\r\n" + standin.SealHeader + ": seal\r\n"
	rawBody = "id: 1\ndata: a\n\n"
)

// rawPaths are routes of the kinds on which answers are read in different ways.
var rawPaths = []string{"/once/x", "/again/x", "/stream/x", "/draft/x"}

// Guards against MIXED: a caller got part of an answer as a whole one, whose endpoint reset the connection while the request was still being written.
func TestAnswerThatIsResetDuringAnUploadDoesNotLookComplete(t *testing.T) {
	t.Parallel()
	const uploads, uploadBytes = 6, 7 << 20
	s := newSite(t)
	s.store.PublishWorkspaces(1, maxUpload, "k1")
	for _, service := range []string{"plain", "engines"} {
		s.addEndpoint("i-"+service, service, func(w http.ResponseWriter, _ *http.Request) {
			conn, err := standin.BeginRaw(w, "")
			if err != nil {
				return
			}
			_, _ = io.WriteString(conn, rawBody)
			time.Sleep(30 * time.Millisecond)
			_ = conn.(*net.TCPConn).SetLinger(0)
			_ = conn.Close()
		})
	}
	s.startNodes(1, 68)
	site := &rawSite{testSite: s}
	for _, path := range rawPaths {
		for i := range uploads {
			status, text, err := site.send(path, fmt.Sprintf("%s-%d", path, i), strings.NewReader(strings.Repeat("x", uploadBytes)))
			require.False(t, err == nil && status == http.StatusOK, "upload %d to %s: %q", i, path, text)
		}
	}
}
