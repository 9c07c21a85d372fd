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
