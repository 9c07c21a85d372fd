package node

import (
	"fmt"
	"net/http"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"

	"balsamknot.org/platform/standin"
)

// Guards against MIXED: callers got answers whose heads can't be trusted, one of them with the sizes of its chunks in the body.
func TestAnswersWhoseHeadsCannotBeTrustedAreNotPassedOn(t *testing.T) {
	t.Parallel()
	s := newRawSite(t, 66)
	length := fmt.Sprintf("Content-Length: %d\r\n", len(rawBody))
	chunk := fmt.Sprintf("%x\r\n%s\r\n0\r\n\r\n", len(rawBody), rawBody)
	for name, raw := range map[string]string{
		"status 000":                "HTTP/1.1 000 None\r\n" + rawID + length + "\r\n" + rawBody,
		"status 000, then another":  "HTTP/1.1 000 None\r\n\r\nHTTP/1.1 200 OK\r\n" + rawID + length + "\r\n" + rawBody,
		"status 099, then another":  "HTTP/1.1 099 Low\r\n\r\nHTTP/1.1 200 OK\r\n" + rawID + length + "\r\n" + rawBody,
		"status 600":                "HTTP/1.1 600 High\r\n" + rawID + length + "\r\n" + rawBody,
		"a blank in a name":         "HTTP/1.1 200 OK\r\nBad Name: 1\r\n" + rawID + length + "\r\n" + rawBody,
		"a control byte in a name":  "HTTP/1.1 200 OK\r\nBad\x02Name: 1\r\n" + rawID + length + "\r\n" + rawBody,
		"a blank after a length":    "HTTP/1.1 200 OK\r\n" + rawID + "Content-Length : 2\r\n\r\n" + rawBody,
		"a blank after a coding":    "HTTP/1.1 200 OK\r\n" + rawID + "Transfer-Encoding : chunked\r\n\r\n" + chunk,
		"two IDs":                   "HTTP/1.1 200 OK\r\n" + rawID + standin.RequestIDHeader + ": other\r\n" + length + "\r\n" + rawBody,
		"a failure with two IDs":    "HTTP/1.1 500 No\r\n" + rawID + standin.RequestIDHeader + ": other\r\n" + length + "\r\n" + rawBody,
		"version 9.9":               "HTTP/9.9 200 OK\r\n" + rawID + length + "\r\n" + rawBody,
		"blank in an informational": "HTTP/1.1 103 Hints\r\nBad Name: 1\r\n\r\nHTTP/1.1 200 OK\r\n" + rawID + length + "\r\n" + rawBody,
	} {
		s.raw.Store(raw)
		for _, path := range rawPaths {
			status, text, err := s.send(path, name+path, nil)
			if err == nil {
				require.GreaterOrEqual(t, status, http.StatusInternalServerError, "%s on %s: %q", name, path, text)
				require.NotEqual(t, rawBody, text, "%s on %s", name, path)
			}
		}
	}
}

func TestAnswersWithUnusualButSoundHeadsArePassedOn(t *testing.T) {
	t.Parallel()
	s := newRawSite(t, 67)
	chunk := fmt.Sprintf("%x\r\n%s\r\n0\r\n", len(rawBody), rawBody)
	for name, raw := range map[string]string{
		"a length":             "HTTP/1.1 200 OK\r\n" + rawID + fmt.Sprintf("Content-Length: %d\r\n\r\n", len(rawBody)) + rawBody,
		"chunks and a trailer": "HTTP/1.1 200 OK\r\n" + rawID + "Transfer-Encoding: chunked\r\n\r\n" + chunk + "Bad Name: 1\r\n\r\n",
		"neither":              "HTTP/1.1 200 OK\r\n" + rawID + "\r\n" + rawBody,
		"the same ID twice":    "HTTP/1.1 200 OK\r\n" + rawID + rawID + "\r\n" + rawBody,
		"hints before":         "HTTP/1.1 103 Hints\r\nLink: x\r\n\r\nHTTP/1.1 200 OK\r\n" + rawID + "\r\n" + rawBody,
	} {
		s.raw.Store(raw)
		for _, path := range rawPaths {
			status, text, err := s.send(path, name+path, strings.NewReader(strings.Repeat("x", 20<<10)))
			require.NoError(t, err, "%s on %s", name, path)
			require.Equal(t, http.StatusOK, status, "%s on %s", name, path)
			require.Equal(t, rawBody, text, "%s on %s", name, path)
		}
	}
}
