package connection

import (
	"bufio"
	"context"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"balsamknot.org/fleet/answer"
	"balsamknot.org/fleet/stream"
	"balsamknot.org/platform/standin"
)

// scriptedServer is an endpoint that handles each of its connections with the next of a list of functions, which write raw
// answers.
type scriptedServer struct {
	listener net.Listener
	// requests receives the method and target of each request that read has read.
	requests chan string
}

func startScriptedServer(t *testing.T, perConnection ...func(s *scriptedServer, conn net.Conn, r *bufio.Reader)) *scriptedServer {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	t.Cleanup(func() { _ = listener.Close() })
	s := &scriptedServer{listener: listener, requests: make(chan string, 16)}
	go func() {
		for _, handle := range perConnection {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			go func() {
				defer conn.Close()
				handle(s, conn, bufio.NewReader(conn))
			}()
		}
	}()
	return s
}

func (s *scriptedServer) address() string { return s.listener.Addr().String() }

// read reads one request, including its body, from a connection.
func (s *scriptedServer) read(r *bufio.Reader) {
	request, err := http.ReadRequest(r)
	if err != nil {
		return
	}
	_, _ = io.Copy(io.Discard, request.Body)
	s.requests <- request.Method + " " + request.RequestURI
}

func newPool() *Pool {
	dialer := NewTCPDialer(TCPConfig{DialTimeout: time.Second, DeadPeerTimeout: 3 * time.Second})
	return New(Config{Dialer: dialer, IdleTimeout: time.Minute, MaxIdlePerEndpoint: 4})
}

func request(id string) Request {
	return Request{ID: id, Method: http.MethodPost, Target: "/a/b?c=%2F", Host: "a.example", Header: http.Header{standin.RequestIDHeader: {id}}, Body: []byte("hello")}
}

func do(t *testing.T, p *Pool, s *scriptedServer, id string) (*Exchange, error) {
	t.Helper()
	return p.Do(context.Background(), s.address(), request(id), time.Now().Add(10*time.Second))
}

func readBody(t *testing.T, x *Exchange) string {
	t.Helper()
	raw, err := io.ReadAll(x.Response.Body)
	require.NoError(t, err)
	x.Finish()
	return string(raw)
}

func okAnswer(id, text string) string { return standin.RawResponse(id, http.StatusOK, text) }

// answerStart begins the answer to request 1: status line and request ID.
const answerStart = "HTTP/1.1 200 OK\r\n" + standin.RequestIDHeader + ": 1\r\n"

func TestConnectionIsReusedAfterCompleteAnswer(t *testing.T) {
	t.Parallel()
	s := startScriptedServer(t, func(s *scriptedServer, conn net.Conn, r *bufio.Reader) {
		for _, id := range []string{"1", "2"} {
			s.read(r)
			_, _ = io.WriteString(conn, okAnswer(id, "answer "+id))
		}
		_, _ = r.ReadByte()
	})
	p := newPool()
	defer p.Close()
	for _, id := range []string{"1", "2"} {
		x, err := do(t, p, s, id)
		require.NoError(t, err)
		require.Equal(t, "answer "+id, readBody(t, x))
		require.Equal(t, "POST /a/b?c=%2F", <-s.requests)
	}
	require.Equal(t, int64(1), p.Dials())
}

// An endpoint may send a late answer to an earlier request before the answer to the current one. Only the latter may be returned.
func TestAnswerToAnotherRequestIsDiscarded(t *testing.T) {
	t.Parallel()
	s := startScriptedServer(t, func(s *scriptedServer, conn net.Conn, r *bufio.Reader) {
		s.read(r)
		_, _ = io.WriteString(conn, okAnswer("0", "another request's answer")+okAnswer("1", "own"))
		_, _ = r.ReadByte()
	})
	p := newPool()
	defer p.Close()
	x, err := do(t, p, s, "1")
	require.NoError(t, err)
	require.Equal(t, "own", readBody(t, x))
}

func TestConnectionThatReceivedDataWhileIdleIsNotReused(t *testing.T) {
	t.Parallel()
	var s *scriptedServer
	sendExtra := make(chan struct{})
	s = startScriptedServer(t, func(s *scriptedServer, conn net.Conn, r *bufio.Reader) {
		s.read(r)
		_, _ = io.WriteString(conn, okAnswer("1", "own"))
		<-sendExtra
		_, _ = io.WriteString(conn, okAnswer("1", "own again"))
		_, _ = r.ReadByte()
	}, func(s *scriptedServer, conn net.Conn, r *bufio.Reader) {
		s.read(r)
		_, _ = io.WriteString(conn, okAnswer("2", "own"))
		_, _ = r.ReadByte()
	})
	p := newPool()
	defer p.Close()
	x, err := do(t, p, s, "1")
	require.NoError(t, err)
	require.Equal(t, "own", readBody(t, x))
	close(sendExtra)
	require.Eventually(t, func() bool { return !idleIsSilent(p, s.address()) }, time.Minute, time.Millisecond)
	x, err = do(t, p, s, "2")
	require.NoError(t, err)
	require.Equal(t, "own", readBody(t, x))
	require.Equal(t, int64(2), p.Dials())
}

func idleIsSilent(p *Pool, address string) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.idle[address][0].silentWhileIdle()
}

func TestIncompleteOrInvalidAnswerIsAnError(t *testing.T) {
	t.Parallel()
	for name, raw := range map[string]string{
		"before the status line":        "",
		"within the headers":            answerStart + "Content-Le",
		"not HTTP":                      "\x00\x01\x02 garbage\r\n\r\n",
		"within a body of known length": answerStart + "Content-Length: 10\r\n\r\nhal",
		"between chunks":                answerStart + "Transfer-Encoding: chunked\r\n\r\n3\r\nhal\r\n",
		"without request ID":            "HTTP/1.1 200 OK\r\nContent-Length: 3\r\n\r\nwho",
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			s := startScriptedServer(t, func(s *scriptedServer, conn net.Conn, r *bufio.Reader) {
				s.read(r)
				_, _ = io.WriteString(conn, raw)
			})
			p := newPool()
			defer p.Close()
			x, err := do(t, p, s, "1")
			if err != nil {
				require.ErrorIs(t, err, ErrIncomplete)
				return
			}
			_, err = io.ReadAll(x.Response.Body)
			require.Error(t, err)
			x.Abort()
		})
	}
}

func TestAnswerWithoutLengthEndsWhenConnectionCloses(t *testing.T) {
	t.Parallel()
	s := startScriptedServer(t, func(s *scriptedServer, conn net.Conn, r *bufio.Reader) {
		s.read(r)
		_, _ = io.WriteString(conn, answerStart+"\r\nall of it")
	})
	p := newPool()
	defer p.Close()
	x, err := do(t, p, s, "1")
	require.NoError(t, err)
	require.Equal(t, "all of it", readBody(t, x))
	require.Empty(t, p.idle[s.address()])
}

func TestEndOfAnswerIsMarkedByLengthChunksOrMethod(t *testing.T) {
	t.Parallel()
	for name, c := range map[string]struct {
		method, rest string
		want         bool
	}{
		"length":                {http.MethodGet, "Content-Length: 3\r\n\r\nall", true},
		"chunks":                {http.MethodGet, "Transfer-Encoding: chunked\r\n\r\n3\r\nall\r\n0\r\n\r\n", true},
		"answer to HEAD":        {http.MethodHead, "\r\n", true},
		"end of the connection": {http.MethodGet, "\r\nall", false},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			s := startScriptedServer(t, func(s *scriptedServer, conn net.Conn, r *bufio.Reader) {
				s.read(r)
				_, _ = io.WriteString(conn, answerStart+c.rest)
			})
			p := newPool()
			defer p.Close()
			r := request("1")
			r.Method, r.Body = c.method, nil
			x, err := p.Do(context.Background(), s.address(), r, time.Now().Add(10*time.Second))
			require.NoError(t, err)
			require.Equal(t, c.want, answer.EndMarked(x.Response))
			_ = readBody(t, x)
		})
	}
}

// An endpoint may reject a request before it has read the whole body. Another request on that connection would be read as a part
// of the body.
func TestConnectionIsNotReusedAfterAnswerBeforeEndOfRequest(t *testing.T) {
	t.Parallel()
	finished := make(chan struct{})
	s := startScriptedServer(t, func(_ *scriptedServer, conn net.Conn, r *bufio.Reader) {
		_, _ = r.ReadString('\n')
		_, _ = io.WriteString(conn, standin.RawResponse("1", http.StatusServiceUnavailable, "", standin.NotRunLine))
		<-finished
	})
	p := newPool()
	defer p.Close()
	defer close(finished)
	long := request("1")
	long.Body = []byte(strings.Repeat("x", 8<<20))
	x, err := p.Do(context.Background(), s.address(), long, time.Now().Add(10*time.Second))
	require.NoError(t, err)
	require.True(t, x.Answer.NotRun)
	x.Finish()
	require.Empty(t, p.idle[s.address()])
}

func TestRefusedConnectionIsErrNotSent(t *testing.T) {
	t.Parallel()
	s := startScriptedServer(t)
	_ = s.listener.Close()
	_, err := do(t, newPool(), s, "1")
	require.ErrorIs(t, err, ErrNotSent)
	require.NotErrorIs(t, err, ErrIncomplete)
}

func TestCancelledContextClosesConnection(t *testing.T) {
	t.Parallel()
	closed := make(chan struct{})
	s := startScriptedServer(t, func(s *scriptedServer, _ net.Conn, r *bufio.Reader) {
		s.read(r)
		_, _ = r.ReadByte()
		close(closed)
	})
	p := newPool()
	defer p.Close()
	ctx, cancel := context.WithCancel(context.Background())
	go func() {
		<-s.requests
		cancel()
	}()
	_, err := p.Do(ctx, s.address(), request("1"), time.Now().Add(time.Minute))
	require.ErrorIs(t, err, ErrIncomplete)
	<-closed
}

func TestEventReaderReturnsOnlyCompleteEvents(t *testing.T) {
	t.Parallel()
	r := NewEventReader(strings.NewReader("id: 1\ndata: a\n\nid: 2\r\ndata: b\r\n\r\nid: 3\ndata: c\n"))
	ev, err := r.Next()
	require.NoError(t, err)
	require.Equal(t, "id: 1\ndata: a\n\n", string(ev.Text))
	require.Equal(t, stream.EventID("1"), ev.ID)
	ev, err = r.Next()
	require.NoError(t, err)
	require.Equal(t, "id: 2\r\ndata: b\r\n\r\n", string(ev.Text))
	require.Equal(t, stream.EventID("2"), ev.ID)
	ev, err = r.Next()
	require.ErrorIs(t, err, io.ErrUnexpectedEOF)
	require.Empty(t, ev.ID, "the id of an incomplete event is ignored")
}

func TestEventReaderTellsWhatAnEventHolds(t *testing.T) {
	t.Parallel()
	for text, want := range map[string]Event{
		"id: 7\ndata: a\n\n": {ID: "7", HasData: true}, ": ping\n\n": {}, "id:\ndata: a\n\n": {HasData: true}, "id\ndata\n\n": {HasData: true},
		"id: 7\n\n": {ID: "7"}, "retry: 10\n\n": {}, "id: 1\nid: 2\n\n": {ID: "2"}, "data-id: 3\n\n": {},
	} {
		ev, err := NewEventReader(strings.NewReader(text)).Next()
		require.NoError(t, err)
		want.Text = []byte(text)
		require.Equal(t, want, ev)
	}
}

// A line that is longer than the read buffer is one line, whatever its later parts begin with.
func TestEventReaderReadsLongLines(t *testing.T) {
	t.Parallel()
	for length := 2000; length < 2100; length++ {
		event := "data: " + strings.Repeat("x", length) + "id: 7 {\"a\": 1}\nid: 3\n\n"
		r := NewEventReader(strings.NewReader(event))
		ev, err := r.Next()
		require.NoError(t, err)
		require.Equal(t, event, string(ev.Text))
		require.Equal(t, stream.EventID("3"), ev.ID)
	}
}

func FuzzEventReader(f *testing.F) {
	f.Add("id: 1\ndata: a\n\n")
	f.Fuzz(func(t *testing.T, in string) {
		r := NewEventReader(strings.NewReader(in))
		total := 0
		for {
			ev, err := r.Next()
			if err != nil {
				break
			}
			total += len(ev.Text)
		}
		require.LessOrEqual(t, total, len(in))
	})
}

// blockingDialer connects to nothing until its context ends.
type blockingDialer struct{}

func (blockingDialer) Dial(ctx context.Context, _ string) (net.Conn, error) {
	<-ctx.Done()
	return nil, ctx.Err()
}

func TestConnectingEndsAtTheDeadlineOfTheRequest(t *testing.T) {
	t.Parallel()
	pool := New(Config{Dialer: blockingDialer{}})
	_, err := pool.Do(t.Context(), "127.0.0.1:1", Request{ID: "id-1", Method: http.MethodGet}, time.Now().Add(10*time.Millisecond))
	require.ErrorIs(t, err, ErrNotSent)
	require.ErrorIs(t, err, context.DeadlineExceeded)
}
