package connection

import (
	"bufio"
	"context"
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

// maxAcceptedBytes is more than a pool reads of any answer plus what the buffers of a loopback connection hold, and endlessBytes
// where the servers of these tests stop.
const (
	maxAcceptedBytes = 32 << 20
	endlessBytes     = 256 << 20
)

// startEndlessServer starts a server that answers a request with start and then repeats chunk up to endlessBytes or until the
// connection is closed. sent is the number of bytes that it could write.
func startEndlessServer(t *testing.T, start, chunk string) (s *scriptedServer, sent *atomic.Int64) {
	sent = &atomic.Int64{}
	s = startScriptedServer(t, func(s *scriptedServer, conn net.Conn, r *bufio.Reader) {
		s.read(r)
		_, _ = io.WriteString(conn, start)
		block := strings.Repeat(chunk, 1+(64<<10)/len(chunk))
		for sent.Load() < endlessBytes {
			n, err := io.WriteString(conn, block)
			sent.Add(int64(n))
			if err != nil {
				return
			}
		}
		_, _ = r.ReadByte()
	})
	return s, sent
}

func TestEndlessBytesBeforeTheAnswerAreCutOff(t *testing.T) {
	t.Parallel()
	for name, c := range map[string]struct{ start, chunk string }{
		"no line end in the status line": {"", "HTTP"},
		"no line end in a header":        {answerStart + "X: ", "xxxx"},
		"headers without end":            {answerStart, "X: y\r\n"},
		"continued header line":          {answerStart + "X: y\r\n", " more\r\n"},
		"informational answers":          {"", "HTTP/1.1 103 Early Hints\r\nLink: x\r\n\r\n"},
		"answers to other requests":      {"", standin.RawResponse("0", http.StatusOK, "late")},
		"body of another answer":         {"HTTP/1.1 200 OK\r\n" + standin.RequestIDHeader + ": 0\r\nContent-Length: 999999999999\r\n\r\n", "x"},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			s, sent := startEndlessServer(t, c.start, c.chunk)
			p := newPool()
			defer p.Close()
			_, err := p.Do(context.Background(), s.address(), request("1"), time.Now().Add(10*time.Second))
			require.ErrorIs(t, err, ErrIncomplete)
			require.Less(t, sent.Load(), int64(maxAcceptedBytes))
		})
	}
}

// A connection on which a discarded answer goes on must not carry the next request.
func TestConnectionIsClosedIfADiscardedAnswerDoesNotEnd(t *testing.T) {
	t.Parallel()
	s, sent := startEndlessServer(t, answerStart+standin.NotRunLine+"\r\nContent-Length: 999999999999\r\n\r\n", "x")
	p := newPool()
	defer p.Close()
	x, err := do(t, p, s, "1")
	require.NoError(t, err)
	x.Discard()
	require.Empty(t, p.idle[s.address()])
	require.Less(t, sent.Load(), int64(maxAcceptedBytes))
}

func TestDiscardedAnswerThatEndsLeavesTheConnectionUsable(t *testing.T) {
	t.Parallel()
	s := startScriptedServer(t, func(s *scriptedServer, conn net.Conn, r *bufio.Reader) {
		s.read(r)
		_, _ = io.WriteString(conn, okAnswer("1", "discarded"))
		_, _ = r.ReadByte()
	})
	p := newPool()
	defer p.Close()
	x, err := do(t, p, s, "1")
	require.NoError(t, err)
	x.Discard()
	require.Len(t, p.idle[s.address()], 1)
}

// A discarded answer that neither ends nor sends anything must not hold up the retry of its request.
func TestDiscardedAnswerThatStopsIsNotAwaited(t *testing.T) {
	t.Parallel()
	s := startScriptedServer(t, func(s *scriptedServer, conn net.Conn, r *bufio.Reader) {
		s.read(r)
		_, _ = io.WriteString(conn, answerStart+"Content-Length: 10\r\n\r\nhal")
		_, _ = r.ReadByte()
	})
	p := newPool()
	defer p.Close()
	x, err := p.Do(context.Background(), s.address(), request("1"), time.Now().Add(time.Hour))
	require.NoError(t, err)
	x.Discard()
	require.Empty(t, p.idle[s.address()])
}

func TestEventReaderEndsAStreamThatIsNoAnswer(t *testing.T) {
	t.Parallel()
	for name, chunk := range map[string]string{
		"no line end":             "data",
		"no end of an event":      "data: x\n",
		"bytes that no event has": "\x00\x01 garbage\n\n",
		"events without end":      "id: 1\ndata: x\n\n",
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			r := NewEventReader(&endlessReader{chunk: chunk})
			total := 0
			var err error
			for err == nil && total < endlessBytes {
				var ev Event
				ev, err = r.Next()
				total += len(ev.Text)
			}
			require.Error(t, err)
			require.NotErrorIs(t, err, io.EOF)
			require.Less(t, total, maxAcceptedBytes)
		})
	}
}

// endlessReader repeats chunk without end.
type endlessReader struct {
	chunk string
	at    int
}

// Read implements io.Reader.
func (e *endlessReader) Read(p []byte) (int, error) {
	for i := range p {
		p[i] = e.chunk[e.at]
		e.at = (e.at + 1) % len(e.chunk)
	}
	return len(p), nil
}
