package answer

import (
	"bufio"
	"net"
	"net/http"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"
)

// untrusted are heads that say nothing of what follows them, by what is wrong with them.
var untrusted = map[string]string{
	"status 000":                         "HTTP/1.1 000 None\r\nContent-Length: 3\r\n\r\nabc",
	"status 099":                         "HTTP/1.1 099 Low\r\nContent-Length: 3\r\n\r\nabc",
	"status +20":                         "HTTP/1.1 +20 Sign\r\nContent-Length: 3\r\n\r\nabc",
	"status 600":                         "HTTP/1.1 600 High\r\nContent-Length: 3\r\n\r\nabc",
	"status 999":                         "HTTP/1.1 999 High\r\nContent-Length: 3\r\n\r\nabc",
	"another protocol":                   "HTTP/1.1 101 Switching Protocols\r\nUpgrade: other\r\n\r\nabc",
	"version 9.9":                        "HTTP/9.9 200 OK\r\nContent-Length: 3\r\n\r\nabc",
	"a blank in a name":                  "HTTP/1.1 200 OK\r\nBad Name: 1\r\nContent-Length: 3\r\n\r\nabc",
	"a blank after the name of a length": "HTTP/1.1 200 OK\r\nContent-Length : 2\r\n\r\nabc",
	"a blank after the name of a coding": "HTTP/1.1 200 OK\r\nTransfer-Encoding : chunked\r\n\r\n3\r\nabc\r\n0\r\n\r\n",
	"a tab in a name":                    "HTTP/1.1 200 OK\r\nBad\tName: 1\r\nContent-Length: 3\r\n\r\nabc",
	"a control byte in a name":           "HTTP/1.1 200 OK\r\nBad\x01Name: 1\r\nContent-Length: 3\r\n\r\nabc",
	"a control byte in a value":          "HTTP/1.1 200 OK\r\nName: 1\x01\r\nContent-Length: 3\r\n\r\nabc",
	"an empty name":                      "HTTP/1.1 200 OK\r\n: 1\r\nContent-Length: 3\r\n\r\nabc",
	"two lengths":                        "HTTP/1.1 200 OK\r\nContent-Length: 3\r\nContent-Length: 2\r\n\r\nabc",
	"no HTTP":                            "\x00\x01\x02 garbage\r\n\r\n",
	"an informational one with a blank in a name": "HTTP/1.1 103 Early Hints\r\nBad Name: 1\r\n\r\nHTTP/1.1 200 OK\r\nContent-Length: 3\r\n\r\nabc",
}

// sound are heads that can be trusted.
var sound = map[string]string{
	"a length":                    "HTTP/1.1 200 OK\r\nContent-Length: 3\r\n\r\nabc",
	"chunks":                      "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n3\r\nabc\r\n0\r\n\r\n",
	"neither":                     "HTTP/1.0 200 OK\r\n\r\nabc",
	"a trailer with a blank":      "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\nTrailer: X\r\n\r\n3\r\nabc\r\n0\r\nBad Name: 1\r\n\r\n",
	"a status that is not known":  "HTTP/1.1 599 Own\r\nContent-Length: 3\r\n\r\nabc",
	"all characters of a token":   "HTTP/1.1 200 OK\r\na-Z09!#$%&'*+.^_`|~: 1\r\nContent-Length: 3\r\n\r\nabc",
	"a blank before the value":    "HTTP/1.1 200 OK\r\nContent-Length:    3\r\n\r\nabc",
	"an informational one before": "HTTP/1.1 103 Early Hints\r\nLink: x\r\n\r\nHTTP/1.1 200 OK\r\nContent-Length: 3\r\n\r\nabc",
}

// Guards against MIXED: answers whose heads net/http accepts and no one can trust were passed on, with a body that was not the endpoint's.
func TestHeadsThatCannotBeTrustedAreErrors(t *testing.T) {
	t.Parallel()
	for name, raw := range untrusted {
		require.Error(t, readFinalHead(raw), name)
		require.Error(t, roundTrip(t, raw), "%s, by a client", name)
	}
	for name, raw := range sound {
		require.NoError(t, readFinalHead(raw), name)
		require.NoError(t, roundTrip(t, raw), "%s, by a client", name)
	}
}

// readFinalHead reads heads with ReadHead up to the first that is not informational.
func readFinalHead(raw string) error {
	r := bufio.NewReader(strings.NewReader(raw))
	for {
		response, err := ReadHead(r, &http.Request{Method: http.MethodGet})
		if err != nil {
			return err
		}
		_ = response.Body.Close()
		if response.StatusCode >= http.StatusOK {
			return nil
		}
	}
}

// roundTrip reads the head through a Transport.
func roundTrip(t *testing.T, raw string) error {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	defer listener.Close()
	go func() {
		conn, err := listener.Accept()
		if err != nil {
			return
		}
		defer conn.Close()
		_, _ = http.ReadRequest(bufio.NewReader(conn))
		_, _ = conn.Write([]byte(raw))
	}()
	client := &http.Client{Transport: Transport{Base: &http.Transport{DisableKeepAlives: true}}}
	response, err := client.Get("http://" + listener.Addr().String())
	if err != nil {
		return err
	}
	return response.Body.Close()
}
