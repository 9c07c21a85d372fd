package connection

import (
	"bufio"
	"io"
	"net"
	"net/http"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// Guards against MIXED: an answer that only the end of its connection ends looked complete although its endpoint reset the connection, since the write of the
// request was told of the reset.
func TestAnswerIsIncompleteIfItsConnectionIsResetWhileTheRequestIsWritten(t *testing.T) {
	t.Parallel()
	const uploads = 20
	body := make([]byte, 7<<20)
	resetAfter := func(_ *scriptedServer, conn net.Conn, r *bufio.Reader) {
		_, _ = http.ReadRequest(r)
		_, _ = io.WriteString(conn, answerStart+"\r\npart")
		time.Sleep(30 * time.Millisecond)
		_ = conn.(*net.TCPConn).SetLinger(0)
		_ = conn.Close()
	}
	handlers := make([]func(*scriptedServer, net.Conn, *bufio.Reader), uploads)
	for i := range handlers {
		handlers[i] = resetAfter
	}
	s := startScriptedServer(t, handlers...)
	p := newPool()
	defer p.Close()
	for range uploads {
		r := request("1")
		r.Body = body
		x, err := p.Do(t.Context(), s.address(), r, time.Now().Add(time.Minute))
		if err != nil {
			continue
		}
		_, err = io.ReadAll(x.Response.Body)
		require.Error(t, err)
		x.Abort()
	}
}

// The endpoint answers early and ends its side in order, while it reads on.
func TestEarlyAnswerIsCompleteIfItsConnectionEndsInOrderWhileTheRequestIsWritten(t *testing.T) {
	t.Parallel()
	over := make(chan struct{})
	defer close(over)
	s := startScriptedServer(t, func(_ *scriptedServer, conn net.Conn, r *bufio.Reader) {
		_, _ = http.ReadRequest(r)
		_, _ = io.WriteString(conn, answerStart+"\r\nall of it")
		_ = conn.(*net.TCPConn).CloseWrite()
		<-over
	})
	p := newPool()
	defer p.Close()
	r := request("1")
	r.Body = make([]byte, 7<<20)
	x, err := p.Do(t.Context(), s.address(), r, time.Now().Add(time.Minute))
	require.NoError(t, err)
	defer x.Abort()
	require.Equal(t, "all of it", readBody(t, x))
}
