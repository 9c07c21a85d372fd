package connection

import (
	"bufio"
	"context"
	"io"
	"net"
	"net/http"
	"runtime"
	"testing"
	"time"
	"weak"

	"github.com/stretchr/testify/require"

	"balsamknot.org/platform/standin"
)

func TestLargeBodyIsSentWithoutACopy(t *testing.T) {
	const size = 4 << 20
	received := make(chan int64, 1)
	s := startScriptedServer(t, func(_ *scriptedServer, conn net.Conn, r *bufio.Reader) {
		request, err := http.ReadRequest(r)
		if err != nil {
			return
		}
		n, _ := io.Copy(io.Discard, request.Body)
		received <- n
		_, _ = io.WriteString(conn, "HTTP/1.1 200 OK\r\n"+standin.RequestIDHeader+": id-1\r\nContent-Length: 0\r\n\r\n")
	})
	r := request("id-1")
	r.Body = make([]byte, size)
	var before, after runtime.MemStats
	runtime.ReadMemStats(&before)
	x, err := newPool().Do(context.Background(), s.address(), r, time.Now().Add(time.Minute))
	runtime.ReadMemStats(&after)
	require.NoError(t, err)
	x.Finish()
	require.EqualValues(t, size, <-received)
	require.Less(t, after.TotalAlloc-before.TotalAlloc, uint64(size/2), "bytes allocated for a body of %d bytes", size)
}

// An endpoint works on a request whose body it has read. The body must not be kept in memory meanwhile.
func TestBodyIsNotKeptAfterItWasWritten(t *testing.T) {
	const size = 1 << 20
	read, release := make(chan struct{}), make(chan struct{})
	s := startScriptedServer(t, func(_ *scriptedServer, conn net.Conn, r *bufio.Reader) {
		request, err := http.ReadRequest(r)
		if err != nil {
			return
		}
		_, _ = io.Copy(io.Discard, request.Body)
		close(read)
		<-release
		_, _ = io.WriteString(conn, "HTTP/1.1 200 OK\r\n"+standin.RequestIDHeader+": id-1\r\nContent-Length: 0\r\n\r\n")
	})
	bodies, done := make(chan weak.Pointer[byte], 1), make(chan error, 1)
	go func() {
		r := request("id-1")
		r.Body = make([]byte, size)
		bodies <- weak.Make(&r.Body[0])
		_, err := newPool().Do(context.Background(), s.address(), r, time.Now().Add(time.Minute))
		done <- err
	}()
	body := <-bodies
	<-read
	require.Eventually(t, func() bool {
		runtime.GC()
		return body.Value() == nil
	}, 30*time.Second, time.Millisecond)
	close(release)
	require.NoError(t, <-done)
}
