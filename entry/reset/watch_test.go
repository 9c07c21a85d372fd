package reset

import (
	"io"
	"net"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// upload is larger than the buffers of a connection, so that its write does not end before the connection does.
var upload = make([]byte, 16<<20)

// connect returns both ends of a TCP connection.
func connect(t *testing.T) (near, far *net.TCPConn) {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	defer listener.Close()
	conn, err := net.Dial("tcp", listener.Addr().String())
	require.NoError(t, err)
	accepted, err := listener.Accept()
	require.NoError(t, err)
	t.Cleanup(func() { _, _ = conn.Close(), accepted.Close() })
	return conn.(*net.TCPConn), accepted.(*net.TCPConn)
}

// readWhileWriting writes and reads at the same time until the read ends. It returns the error of the read, nil for io.EOF.
func readWhileWriting(w *Watch, conn net.Conn) error {
	go func() { _, _ = w.Write(conn, upload) }()
	_, err := io.Copy(io.Discard, conn)
	return err
}

// Guards against MIXED: the writer took the reset, so that the reader saw an orderly end.
func TestResetIsNoOrderlyEndWhoeverIsToldOfIt(t *testing.T) {
	t.Parallel()
	for range 20 {
		near, far := connect(t)
		go func() {
			_, _ = far.Write([]byte("part"))
			time.Sleep(5 * time.Millisecond)
			_ = far.SetLinger(0)
			_ = far.Close()
		}()
		var w Watch
		if readWhileWriting(&w, near) == nil {
			require.False(t, w.EndedInOrder(near))
		}
	}
}

func TestEndOfTheOtherDirectionIsInOrderWhileTheWriteGoesOn(t *testing.T) {
	t.Parallel()
	near, far := connect(t)
	require.NoError(t, far.CloseWrite())
	var w Watch
	require.NoError(t, readWhileWriting(&w, near))
	require.True(t, w.EndedInOrder(near))
}

// The other side closes with all read that came by then, so that it resets the connection only for what comes later.
func TestEndThatIsFollowedByAResetIsInOrder(t *testing.T) {
	t.Parallel()
	near, far := connect(t)
	require.NoError(t, far.Close())
	_, err := io.Copy(io.Discard, near)
	require.NoError(t, err)
	var w Watch
	for err == nil {
		_, err = w.Write(near, upload[:1<<10])
	}
	require.True(t, w.EndedInOrder(near))
}

func TestEndIsInOrderWhereTheStateIsNotKnownAndNothingIsWritten(t *testing.T) {
	t.Parallel()
	near, far := net.Pipe()
	_ = far.Close()
	var w Watch
	require.True(t, w.EndedInOrder(near))
}
